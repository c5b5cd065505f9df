// How late a configuration may be in force where gossip brings no word of it.
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
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

// What is done to one daemon's way to the log around a change.
struct Order {
    int64_t write_at = 0;       // after a read was sent
    int64_t next_write_at = -1; // a second change, -1: none
    int lost = 0;               // reads sent later that get no answer
    int64_t stop_at = -1;       // the daemon is stopped for two seconds
    int64_t outage_at = -1;     // reads are refused for two seconds
    int64_t word_at = -1;       // another daemon's word of the change
};

const int64_t kStep = 100 * Ck_USEC_PER_MSEC;
const int64_t kPause = 2 * Ck_USEC_PER_SEC;
const int kLostMost = 2;

// A daemon that reads seldom, and a log that says what it held when it was
// asked, at the last moment that the reader waits for.
class OrderRun {
  public:
    explicit OrderRun(const Order &order) : order_(order)
    {
    }

    // When the last change was read, after it was written or the outage ended.
    int64_t
    Lateness()
    {
        struct fo_options options = {};
        options.log = &log_;
        options.stream = "config";
        options.from = Pl_FIRST_OFFSET;
        options.clock = &clock_.clock;
        options.poll_usec = Cs_POLL_SLOW;
        options.ops = &kFollow;
        options.arg = this;
        struct fo_follower *follower = nullptr;
        EXPECT_EQ(ST_OK, Fo_Create(&options, &follower));
        start_ = clock_.boot;
        Fo_Tick(follower);
        int64_t last =
            order_.next_write_at >= 0 ? order_.next_write_at : order_.write_at;
        int64_t from = last;
        if (order_.outage_at >= 0 && order_.outage_at + kPause > last) {
            from = order_.outage_at + kPause;
        }
        bool told = false;
        while (read_at_ < 0 && Now() < from + 3 * kInForceMost) {
            clock_.Advance(kTick);
            if (Within(order_.stop_at)) {
                continue;
            }
            if (order_.word_at >= 0 && !told && Now() >= order_.word_at) {
                told = true;
                Fo_Kick(follower);
            }
            Answer();
            Fo_Tick(follower);
        }
        Fo_Destroy(follower);
        EndRead();
        return read_at_ < 0 ? INT64_MAX : read_at_ - from;
    }

    // Reads that were sent after the change and got no answer.
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
    Within(int64_t pause_at) const
    {
        return pause_at >= 0 && Now() >= pause_at && Now() < pause_at + kPause;
    }

    size_t
    Written() const
    {
        return (Now() > order_.write_at ? 1 : 0) +
               (order_.next_write_at >= 0 && Now() > order_.next_write_at ? 1
                                                                          : 0);
    }

    // A log tells the end of each read, also of one that nobody waits for.
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

    // An answer that came while the daemon stood still is found too late.
    void
    Answer()
    {
        if (done_ == nullptr ||
            (!refused_ && Now() < asked_ + Pl_LIMIT_USEC - kTick)) {
            return;
        }
        bool late = Now() >= asked_ + Pl_LIMIT_USEC;
        if (lost_ && !late) {
            return;
        }
        pl_read_fn done = done_;
        done_ = nullptr;
        const std::string texts[] = {
            R"({"v":2,"n":"a","i":7,"s":1,"t":5,"k":"config","d":{}})",
            R"({"v":2,"n":"a","i":7,"s":2,"t":5,"k":"config","d":{}})"};
        struct pl_record records[2];
        struct pl_read result = {};
        for (uint64_t o = from_; o < Pl_FIRST_OFFSET + held_; o++) {
            records[result.count++] = {o, texts[o - Pl_FIRST_OFFSET].c_str()};
        }
        result.kind = lost_ || late || refused_ ? PL_FAILED : PL_READ;
        missed_ += result.kind == PL_FAILED && !refused_ && held_ > 0 ? 1 : 0;
        result.oldest = Pl_FIRST_OFFSET;
        result.next = Pl_FIRST_OFFSET + held_;
        result.records = records;
        done(arg_, &result);
    }

    static enum st_status
    Read(struct pl_log *log, const char *, uint64_t from, size_t,
         pl_read_fn done, void *arg)
    {
        auto *self = static_cast<OrderRun *>(log->context);
        self->done_ = done;
        self->arg_ = arg;
        self->from_ = from;
        self->asked_ = self->Now();
        self->held_ = self->Written();
        self->refused_ = self->Within(self->order_.outage_at);
        self->lost_ =
            !self->refused_ && self->held_ > 0 && self->order_.lost-- > 0;
        return ST_OK;
    }

    static void
    Took(void *arg, const struct rc_record *record)
    {
        auto *self = static_cast<OrderRun *>(arg);
        uint64_t last =
            Pl_FIRST_OFFSET + (self->order_.next_write_at >= 0 ? 1 : 0);
        if (record->offset == last) {
            self->read_at_ = self->Now();
        }
    }

    static const struct pl_ops kOps;
    static const struct fo_ops kFollow;
    Order order_;
    struct pl_log log_ = {&kOps, this};
    FakeClock clock_;
    int64_t start_ = 0;
    int64_t read_at_ = -1;
    int64_t asked_ = 0;
    size_t held_ = 0;
    bool lost_ = false;
    bool refused_ = false;
    int missed_ = 0;
    uint64_t from_ = 0;
    pl_read_fn done_ = nullptr;
    void *arg_ = nullptr;
};

const struct pl_ops OrderRun::kOps = {nullptr, OrderRun::Read};
const struct fo_ops OrderRun::kFollow = {OrderRun::Took, nullptr,
                                         [](void *, uint64_t) {}};

// The worst over all moments of the change between two reads, with up to two
// reads lost; what misses more is outside the promise.
int64_t
Worst(const std::function<void(Order *, int64_t)> &add, int64_t add_until)
{
    int64_t worst = 0;
    for (int lost = 0; lost <= kLostMost; lost++) {
        for (int64_t at = 0; at < Cs_POLL_SLOW + Pl_LIMIT_USEC; at += kStep) {
            for (int64_t more = 0; more <= add_until; more += kStep) {
                Order order;
                order.write_at = at;
                order.lost = lost;
                add(&order, more);
                OrderRun run(order);
                int64_t lateness = run.Lateness();
                if (run.missed() <= kLostMost) {
                    worst = std::max(worst, lateness);
                }
            }
        }
    }
    return worst;
}

// Guards against a daemon that is late since the answer under way at a change
// was counted as a look at it.
TEST(ConfigStream, IsInForceInTimeBehindAnAnswerThatLeftBeforeTheChange)
{
    EXPECT_LE(Worst([](Order *, int64_t) {}, 0), kInForceMost);
}

// Guards against a daemon that is late since it was stopped for two seconds
// while it waited, asked or was about to ask again.
TEST(ConfigStream, IsInForceInTimeWithAStopOfTwoSecondsAtAnyStep)
{
    auto stop = [](Order *order, int64_t after) {
        order->stop_at = order->write_at + after;
    };
    EXPECT_LE(Worst(stop, kInForceMost), kInForceMost);
}

// Guards against the second of two changes being late since one read brought
// the first alone.
TEST(ConfigStream, IsInForceInTimeForTheSecondChangeWithinOneRead)
{
    auto second = [](Order *order, int64_t after) {
        order->next_write_at = order->write_at + after;
    };
    EXPECT_LE(Worst(second, Pl_LIMIT_USEC), kInForceMost);
}

// Guards against a daemon that is late after the log was out for a while.
TEST(ConfigStream, IsInForceInTimeAfterAnOutageAtAnyStep)
{
    auto outage = [](Order *order, int64_t after) {
        order->outage_at = order->write_at + after;
    };
    EXPECT_LE(Worst(outage, kInForceMost), kInForceMost);
}

// Guards against word of a change that makes its reading later.
TEST(ConfigStream, IsInForceInTimeWithWordAtAnyStep)
{
    auto word = [](Order *order, int64_t after) {
        order->word_at = order->write_at + after;
    };
    EXPECT_LE(Worst(word, kInForceMost), kInForceMost);
}

} // namespace
