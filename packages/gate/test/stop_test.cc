// The order in which a planned stop ends things.
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

// A daemon whose requests and connections the test says.
struct FakeDaemon {
    std::vector<std::string> told;
    bool idle = false;
    bool listens = true;
    bool forced = false;
};

FakeDaemon *
Daemon(void *arg)
{
    return static_cast<FakeDaemon *>(arg);
}

const struct sp_ops kOps = {
    [](void *arg) { Daemon(arg)->told.push_back("leaving"); },
    [](void *arg) { Daemon(arg)->told.push_back("refusing"); },
    [](void *arg, int64_t) {
        if (Daemon(arg)->told.back() != "closing") {
            Daemon(arg)->told.push_back("closing");
        }
        return !Daemon(arg)->listens;
    },
    [](void *arg) { return true; },
    [](void *arg) { return Daemon(arg)->idle; },
    [](void *arg, bool forced) {
        Daemon(arg)->told.push_back("finished");
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

    // Lets the stop look at a later time until "last" was told.
    bool
    Reach(const std::string &last, int64_t usec)
    {
        const int kTurnsMost = 20;
        now_usec += usec;
        for (int i = 0; i < kTurnsMost && daemon.told.back() != last; i++) {
            lws_service(Lp_Context(gate.loop), 0);
        }
        return daemon.told.back() == last;
    }

    struct gt_options options = {};
    struct gt_gate gate = {};
    FakeDaemon daemon;
    struct sp_stop *stop = nullptr;
};

// Guards against connections that are reset since the daemon exits while it
// still takes those that had begun.
TEST_F(Stop, WaitsUntilNobodyListens)
{
    daemon.idle = true;
    Sp_Begin(stop);
    ASSERT_TRUE(Reach("refusing", 10 * Ck_USEC_PER_SEC));
    ASSERT_TRUE(Reach("closing", Ck_USEC_PER_SEC));
    EXPECT_FALSE(Reach("finished", 10 * Ck_USEC_PER_SEC));
    daemon.listens = false;
    ASSERT_TRUE(Reach("closing", 0));
    EXPECT_FALSE(daemon.forced);
    for (int i = 0; i < 3 && !Reach("finished", Ck_USEC_PER_SEC); i++) {
        continue;
    }
    EXPECT_EQ("finished", daemon.told.back());
    EXPECT_FALSE(daemon.forced);
}

// Guards against callers who connect as a stop is forced, and are reset since
// the daemon listened to its end.
TEST_F(Stop, AForcedStopEndsListeningBefore)
{
    Sp_Begin(stop);
    ASSERT_TRUE(Reach("refusing", 10 * Ck_USEC_PER_SEC));
    EXPECT_FALSE(Reach("closing", 10 * Ck_USEC_PER_SEC));
    ASSERT_TRUE(Reach("closing", 40 * Ck_USEC_PER_SEC));
    daemon.listens = false;
    ASSERT_TRUE(Reach("finished", 2 * Ck_USEC_PER_SEC));
    EXPECT_TRUE(daemon.forced);
}

} // namespace
