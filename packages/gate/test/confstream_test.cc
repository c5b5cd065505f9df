// How late a configuration may be in force where gossip brings no word of it.
#include <gtest/gtest.h>

#include <string>

#include "gate/confstream.h"
#include "platform/plog.h"
#include "state/follower.h"
#include "state/test/fake_clock.h"

namespace {

const int64_t kInForceMost = 11 * Ck_USEC_PER_SEC;
const int64_t kTick = 20 * Ck_USEC_PER_MSEC;

// A log with one record, of which some reads get no answer.
struct SilentLog {
    struct pl_log log = {&kOps, this};
    FakeClock clock;
    int lost = 0;
    bool written = false;
    int64_t answer_at = 0;
    bool is_lost = false;
    pl_read_fn done = nullptr;
    void *arg = nullptr;

    void
    Answer()
    {
        if (done == nullptr || clock.boot < answer_at) {
            return;
        }
        pl_read_fn read_done = done;
        done = nullptr;
        const char *text =
            R"({"v":2,"n":"a","i":7,"s":1,"t":5,"k":"config","d":{}})";
        struct pl_record record = {Pl_FIRST_OFFSET, text};
        struct pl_read result = {};
        result.kind = is_lost ? PL_FAILED : PL_READ;
        result.oldest = Pl_FIRST_OFFSET;
        result.next = Pl_FIRST_OFFSET + (written ? 1 : 0);
        result.records = &record;
        result.count = written ? 1 : 0;
        read_done(arg, &result);
    }

    static enum st_status
    Read(struct pl_log *log, const char *, uint64_t, size_t, pl_read_fn done,
         void *arg)
    {
        auto *self = static_cast<SilentLog *>(log->context);
        self->done = done;
        self->arg = arg;
        self->is_lost = self->written && self->lost-- > 0;
        // What is not lost comes at the last moment.
        self->answer_at =
            self->clock.boot + (self->written ? Pl_LIMIT_USEC : 0);
        return ST_OK;
    }

    static const struct pl_ops kOps;
};

const struct pl_ops SilentLog::kOps = {nullptr, SilentLog::Read};

// Guards against a daemon that serves by an old configuration for longer than
// promised since no word of the change and two reads of the log got lost.
TEST(ConfigStream, IsInForceInTimeWithoutWordAndWithTwoReadsLost)
{
    SilentLog log;
    log.lost = 2;
    bool read = false;
    struct fo_options options = {};
    static const struct fo_ops kOps = {
        [](void *arg, const struct rc_record *) {
            *static_cast<bool *>(arg) = true;
        },
        nullptr, [](void *, uint64_t) {}};
    options.log = &log.log;
    options.stream = "config";
    options.from = Pl_FIRST_OFFSET;
    options.clock = &log.clock.clock;
    options.poll_usec = Cs_POLL_SLOW;
    options.ops = &kOps;
    options.arg = &read;
    struct fo_follower *follower = nullptr;
    ASSERT_EQ(ST_OK, Fo_Create(&options, &follower));
    Fo_Tick(follower);
    log.Answer();
    log.written = true;
    int64_t written_at = log.clock.boot;
    while (!read && log.clock.boot < written_at + 2 * kInForceMost) {
        log.clock.Advance(kTick);
        log.Answer();
        Fo_Tick(follower);
    }
    EXPECT_TRUE(read);
    EXPECT_LE(log.clock.boot - written_at, kInForceMost);
    Fo_Destroy(follower);
}

} // namespace
