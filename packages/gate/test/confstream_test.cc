// The time until a configuration is in force when gossip does not announce it.
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <string>

#include "gate/confstream.h"
#include "platform/plog.h"
#include "state/follower.h"
#include "state/test/fake_clock.h"

namespace {

const int64_t kInForceMax = 11 * Ck_USEC_PER_SEC;
const int64_t kTick = 20 * Ck_USEC_PER_MSEC;

// A log with one record; the first "lost" reads after the write get no answer.
struct LossyLog {
    struct pl_log log = {&kOps, this};
    FakeClock clock;
    int lost = 0;
    bool written = false;
    int64_t answer_at = 0;
    bool answer_lost = false;
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
        result.kind = answer_lost ? PL_FAILED : PL_READ;
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
        auto *self = static_cast<LossyLog *>(log->context);
        self->done = done;
        self->arg = arg;
        self->answer_lost = self->written && self->lost-- > 0;
        // Answers that are not lost arrive just before the read times out.
        self->answer_at =
            self->clock.boot + (self->written ? Pl_TIMEOUT_USEC : 0);
        return ST_OK;
    }

    static const struct pl_ops kOps;
};

const struct pl_ops LossyLog::kOps = {nullptr, LossyLog::Read};

// Guards against a daemon that uses an old configuration for longer than 11 s
// when gossip does not announce the change and two reads of the log are lost.
TEST(ConfigStream, IsInForceInTimeWithoutNoticeAndWithTwoReadsLost)
{
    LossyLog log;
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
    options.poll_usec = Cs_POLL_SLOW_USEC;
    options.ops = &kOps;
    options.arg = &read;
    struct fo_follower *follower = nullptr;
    ASSERT_EQ(ST_OK, Fo_Create(&options, &follower));
    Fo_Tick(follower);
    log.Answer();
    log.written = true;
    int64_t written_at = log.clock.boot;
    while (!read && log.clock.boot < written_at + 2 * kInForceMax) {
        log.clock.Advance(kTick);
        log.Answer();
        Fo_Tick(follower);
    }
    EXPECT_TRUE(read);
    EXPECT_LE(log.clock.boot - written_at, kInForceMax);
    Fo_Destroy(follower);
}

// Faults and changes that one run applies, as times after the first read.
struct Scenario {
    int64_t write_at = 0;       // the change
    int64_t next_write_at = -1; // a second change, -1: none
    int lost = 0;               // reads after the change without an answer
    int64_t stop_at = -1;       // the process is stopped for kPause
    int64_t outage_at = -1;     // reads are refused for kPause
    int64_t notice_at = -1;     // gossip announces the change
};

const int64_t kStep = 100 * Ck_USEC_PER_MSEC;
const int64_t kPause = 2 * Ck_USEC_PER_SEC;
const int kLostMax = 2;

// A daemon that polls at the slow interval, and a log that answers just before
// a read times out, with the records it held when the read was sent.
class ScenarioRun {
  public:
    explicit ScenarioRun(const Scenario &scenario) : scenario_(scenario)
    {
    }

    // Time from the last write, or the end of the outage, to its being read.
    int64_t
    Delay()
    {
        struct fo_options options = {};
        options.log = &log_;
        options.stream = "config";
        options.from = Pl_FIRST_OFFSET;
        options.clock = &clock_.clock;
        options.poll_usec = Cs_POLL_SLOW_USEC;
        options.ops = &kFollow;
        options.arg = this;
        struct fo_follower *follower = nullptr;
        EXPECT_EQ(ST_OK, Fo_Create(&options, &follower));
        start_ = clock_.boot;
        Fo_Tick(follower);
        int64_t last = scenario_.next_write_at >= 0 ? scenario_.next_write_at
                                                    : scenario_.write_at;
        int64_t from = last;
        if (scenario_.outage_at >= 0 && scenario_.outage_at + kPause > last) {
            from = scenario_.outage_at + kPause;
        }
        bool notified = false;
        while (read_at_ < 0 && Now() < from + 3 * kInForceMax) {
            clock_.Advance(kTick);
            if (InPause(scenario_.stop_at)) {
                continue;
            }
            if (scenario_.notice_at >= 0 && !notified &&
                Now() >= scenario_.notice_at) {
                notified = true;
                Fo_ReadNow(follower);
            }
            Answer();
            Fo_Tick(follower);
        }
        Fo_Destroy(follower);
        EndRead();
        return read_at_ < 0 ? INT64_MAX : read_at_ - from;
    }

    // Failed reads that were sent after the change, outside the outage.
    int
    missed() const
    {
        return missed_;
    }

  private:
    int64_t
    Now() const
    {
        return clock_.boot - start_;
    }

    bool
    InPause(int64_t pause_at) const
    {
        return pause_at >= 0 && Now() >= pause_at && Now() < pause_at + kPause;
    }

    size_t
    RecordCount() const
    {
        return (Now() > scenario_.write_at ? 1 : 0) +
               (scenario_.next_write_at >= 0 && Now() > scenario_.next_write_at
                    ? 1
                    : 0);
    }

    // The log must end each read, also after the follower is destroyed.
    void
    EndRead()
    {
        struct pl_read result = {};
        result.kind = PL_FAILED;
        if (done_ != nullptr) {
            done_(arg_, &result);
            done_ = nullptr;
        }
    }

    // An answer that arrives while the process is stopped misses the timeout.
    void
    Answer()
    {
        if (done_ == nullptr ||
            (!refused_ && Now() < sent_at_ + Pl_TIMEOUT_USEC - kTick)) {
            return;
        }
        bool late = Now() >= sent_at_ + Pl_TIMEOUT_USEC;
        if (answer_lost_ && !late) {
            return;
        }
        pl_read_fn done = done_;
        done_ = nullptr;
        const std::string texts[] = {
            R"({"v":2,"n":"a","i":7,"s":1,"t":5,"k":"config","d":{}})",
            R"({"v":2,"n":"a","i":7,"s":2,"t":5,"k":"config","d":{}})"};
        struct pl_record records[2];
        struct pl_read result = {};
        for (uint64_t o = from_; o < Pl_FIRST_OFFSET + records_held_; o++) {
            records[result.count++] = {o, texts[o - Pl_FIRST_OFFSET].c_str()};
        }
        result.kind = answer_lost_ || late || refused_ ? PL_FAILED : PL_READ;
        missed_ +=
            result.kind == PL_FAILED && !refused_ && records_held_ > 0 ? 1 : 0;
        result.oldest = Pl_FIRST_OFFSET;
        result.next = Pl_FIRST_OFFSET + records_held_;
        result.records = records;
        done(arg_, &result);
    }

    static enum st_status
    Read(struct pl_log *log, const char *, uint64_t from, size_t,
         pl_read_fn done, void *arg)
    {
        auto *self = static_cast<ScenarioRun *>(log->context);
        self->done_ = done;
        self->arg_ = arg;
        self->from_ = from;
        self->sent_at_ = self->Now();
        self->records_held_ = self->RecordCount();
        self->refused_ = self->InPause(self->scenario_.outage_at);
        self->answer_lost_ = !self->refused_ && self->records_held_ > 0 &&
                             self->scenario_.lost-- > 0;
        return ST_OK;
    }

    static void
    OnRecord(void *arg, const struct rc_record *record)
    {
        auto *self = static_cast<ScenarioRun *>(arg);
        uint64_t last =
            Pl_FIRST_OFFSET + (self->scenario_.next_write_at >= 0 ? 1 : 0);
        if (record->offset == last) {
            self->read_at_ = self->Now();
        }
    }

    static const struct pl_ops kOps;
    static const struct fo_ops kFollow;
    Scenario scenario_;
    struct pl_log log_ = {&kOps, this};
    FakeClock clock_;
    int64_t start_ = 0;
    int64_t read_at_ = -1;
    int64_t sent_at_ = 0;
    size_t records_held_ = 0;
    bool answer_lost_ = false;
    bool refused_ = false;
    int missed_ = 0;
    uint64_t from_ = 0;
    pl_read_fn done_ = nullptr;
    void *arg_ = nullptr;
};

const struct pl_ops ScenarioRun::kOps = {nullptr, ScenarioRun::Read};
const struct fo_ops ScenarioRun::kFollow = {ScenarioRun::OnRecord, nullptr,
                                            [](void *, uint64_t) {}};

// The longest delay over all times of the change between two reads.  Runs that
// miss more than two reads are left out: the 11 s do not hold for them.
int64_t
MaxDelay(const std::function<void(Scenario *, int64_t)> &add,
         int64_t add_until)
{
    int64_t longest = 0;
    for (int lost = 0; lost <= kLostMax; lost++) {
        for (int64_t at = 0; at < Cs_POLL_SLOW_USEC + Pl_TIMEOUT_USEC;
             at += kStep) {
            for (int64_t more = 0; more <= add_until; more += kStep) {
                Scenario scenario;
                scenario.write_at = at;
                scenario.lost = lost;
                add(&scenario, more);
                ScenarioRun run(scenario);
                int64_t delay = run.Delay();
                if (run.missed() <= kLostMax) {
                    longest = std::max(longest, delay);
                }
            }
        }
    }
    return longest;
}

// Guards against late changes: an answer that the log sent before the change
// must not count as a read of the change.
TEST(ConfigStream, IsInForceInTimeAfterAnAnswerSentBeforeTheChange)
{
    EXPECT_LE(MaxDelay([](Scenario *, int64_t) {}, 0), kInForceMax);
}

// Guards against late changes when the process is stopped for two seconds at
// any time: between two reads, during a read, or before a retry.
TEST(ConfigStream, IsInForceInTimeWithAStopOfTwoSecondsAtAnyStep)
{
    auto stop = [](Scenario *scenario, int64_t after) {
        scenario->stop_at = scenario->write_at + after;
    };
    EXPECT_LE(MaxDelay(stop, kInForceMax), kInForceMax);
}

// Guards against a late second change: a read in flight may have returned only
// the first of the two.
TEST(ConfigStream, IsInForceInTimeForTheSecondChangeWithinOneRead)
{
    auto second = [](Scenario *scenario, int64_t after) {
        scenario->next_write_at = scenario->write_at + after;
    };
    EXPECT_LE(MaxDelay(second, Pl_TIMEOUT_USEC), kInForceMax);
}

// Guards against late changes after an outage of the log.
TEST(ConfigStream, IsInForceInTimeAfterAnOutageAtAnyStep)
{
    auto outage = [](Scenario *scenario, int64_t after) {
        scenario->outage_at = scenario->write_at + after;
    };
    EXPECT_LE(MaxDelay(outage, kInForceMax), kInForceMax);
}

// Guards against a gossip notice of a change that delays the read of it.
TEST(ConfigStream, IsInForceInTimeWithANoticeAtAnyStep)
{
    auto notice = [](Scenario *scenario, int64_t after) {
        scenario->notice_at = scenario->write_at + after;
    };
    EXPECT_LE(MaxDelay(notice, kInForceMax), kInForceMax);
}

} // namespace
