// The order of the phases of a graceful stop.
#include <gtest/gtest.h>
#include <libwebsockets.h>

#include <string>
#include <vector>

#include "gate/stop.h"
#include "web/loop.h"

namespace {

int64_t now_usec = 0;

void
FakeTime(const struct ck_clock *clock, struct timespec *now)
{
    now->tv_sec = now_usec / Ck_USEC_PER_SEC;
    now->tv_nsec = now_usec % Ck_USEC_PER_SEC * 1000;
}

const struct ck_ops kClockOps = {FakeTime, FakeTime};
const struct ck_clock kClock = {&kClockOps, nullptr};

// A daemon whose idle and listening state the test sets.
struct FakeDaemon {
    std::vector<std::string> calls;
    bool idle = false;
    bool listening = true;
    bool forced = false;
};

FakeDaemon *
Daemon(void *arg)
{
    return static_cast<FakeDaemon *>(arg);
}

const struct sp_ops kOps = {
    [](void *arg) { Daemon(arg)->calls.push_back("leaving"); },
    [](void *arg) { Daemon(arg)->calls.push_back("refusing"); },
    [](void *arg, int64_t) {
        if (Daemon(arg)->calls.back() != "closing") {
            Daemon(arg)->calls.push_back("closing");
        }
        return !Daemon(arg)->listening;
    },
    [](void *arg) { return true; },
    [](void *arg) { return Daemon(arg)->idle; },
    [](void *arg, bool forced) {
        Daemon(arg)->calls.push_back("finished");
        Daemon(arg)->forced = forced;
    },
};

class Stop : public ::testing::Test {
  protected:
    void
    SetUp() override
    {
        now_usec = 1000 * Ck_USEC_PER_SEC;
        options.drain_usec = 60 * Ck_USEC_PER_SEC;
        ASSERT_EQ(ST_OK, Lp_Create(&gate.loop));
        gate.options = &options;
        gate.clock = &kClock;
        ASSERT_EQ(ST_OK, Sp_Create(&gate, &kOps, &daemon, &stop));
    }

    void
    TearDown() override
    {
        Sp_Destroy(stop);
        Lp_Destroy(gate.loop);
    }

    // Advances the clock and runs the loop until "last" is the last callback.
    bool
    Reach(const std::string &last, int64_t usec)
    {
        const int kTurnsMax = 20;
        now_usec += usec;
        for (int i = 0; i < kTurnsMax && daemon.calls.back() != last; i++) {
            lws_service(Lp_Context(gate.loop), 0);
        }
        return daemon.calls.back() == last;
    }

    struct gt_options options = {};
    struct gt_gate gate = {};
    FakeDaemon daemon;
    struct sp_stop *stop = nullptr;
};

// Guards against connection resets: the daemon must not exit while a listener
// still accepts connections whose handshake had begun.
TEST_F(Stop, WaitsUntilListenersAreClosed)
{
    daemon.idle = true;
    Sp_Begin(stop);
    ASSERT_TRUE(Reach("refusing", 10 * Ck_USEC_PER_SEC));
    ASSERT_TRUE(Reach("closing", Ck_USEC_PER_SEC));
    EXPECT_FALSE(Reach("finished", 10 * Ck_USEC_PER_SEC));
    daemon.listening = false;
    ASSERT_TRUE(Reach("closing", 0));
    EXPECT_FALSE(daemon.forced);
    for (int i = 0; i < 3 && !Reach("finished", Ck_USEC_PER_SEC); i++) {
        continue;
    }
    EXPECT_EQ("finished", daemon.calls.back());
    EXPECT_FALSE(daemon.forced);
}

// Guards against connection resets at a forced stop: the listeners must be
// closed before the deadline, not by the exit.
TEST_F(Stop, ListenersCloseBeforeAForcedStop)
{
    Sp_Begin(stop);
    ASSERT_TRUE(Reach("refusing", 10 * Ck_USEC_PER_SEC));
    EXPECT_FALSE(Reach("closing", 10 * Ck_USEC_PER_SEC));
    ASSERT_TRUE(Reach("closing", 40 * Ck_USEC_PER_SEC));
    daemon.listening = false;
    ASSERT_TRUE(Reach("finished", 2 * Ck_USEC_PER_SEC));
    EXPECT_TRUE(daemon.forced);
}

} // namespace
