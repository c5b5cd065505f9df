#include <gtest/gtest.h>

#include <dlfcn.h>
#include <poll.h>

#include <string>

#include "web/loop.h"

namespace {

int polls = 0;

} // namespace

// Counts how often the loop looks for something to do.
extern "C" int
poll(struct pollfd *fds, nfds_t count, int timeout)
{
    using Poll = int (*)(struct pollfd *, nfds_t, int);
    static Poll real = reinterpret_cast<Poll>(dlsym(RTLD_NEXT, "poll"));
    polls++;
    return real(fds, count, timeout);
}

namespace {

constexpr int kTicks = 40;
constexpr int64_t kTickUsec = 20000;

struct Ticker {
    struct lp_loop *loop = nullptr;
    struct lp_timer *timer = nullptr;
    int left = kTicks;
    std::string order;
};

void
Tick(void *arg)
{
    auto *ticker = static_cast<Ticker *>(arg);
    if (--ticker->left == 0) {
        Lp_Stop(ticker->loop);
        return;
    }
    Lp_TimerSet(ticker->timer, kTickUsec);
}

// Every host spends 2% of a core with nothing to do: before each tick the
// loop asks poll() again and again, without waiting, until the last part of
// a millisecond has passed.  libwebsockets rounds its waits down.
TEST(Loop, ATickingTimerDoesNotSpin)
{
    Ticker ticker;
    ASSERT_EQ(Lp_Create(&ticker.loop), ST_OK);
    ticker.timer = Lp_TimerCreate(ticker.loop, Tick, &ticker);
    Lp_TimerSet(ticker.timer, 0);
    polls = 0;
    Lp_Run(ticker.loop);
    EXPECT_GT(polls, 0);
    EXPECT_LT(polls, kTicks * 4);
    Lp_TimerDestroy(ticker.timer);
    Lp_Destroy(ticker.loop);
}

struct Mark {
    Ticker *ticker;
    char name;
    struct lp_timer *victim;
};

void
Note(void *arg)
{
    auto *mark = static_cast<Mark *>(arg);
    mark->ticker->order += mark->name;
    if (mark->victim != nullptr) {
        Lp_TimerCancel(mark->victim);
    }
    if (mark->name == 'z') {
        Lp_Stop(mark->ticker->loop);
    }
}

TEST(Loop, TimersFireInOrderAndOneCancelledByAnotherDoesNot)
{
    Ticker ticker;
    ASSERT_EQ(Lp_Create(&ticker.loop), ST_OK);
    Mark marks[] = {{&ticker, 'a', nullptr},
                    {&ticker, 'b', nullptr},
                    {&ticker, 'c', nullptr},
                    {&ticker, 'z', nullptr}};
    struct lp_timer *timers[4];
    for (int i = 0; i < 4; i++) {
        timers[i] = Lp_TimerCreate(ticker.loop, Note, &marks[i]);
    }
    marks[0].victim = timers[2];
    Lp_TimerSet(timers[3], 30000);
    Lp_TimerSet(timers[0], 5000);
    Lp_TimerSet(timers[1], 10000);
    Lp_TimerSet(timers[2], 20000);
    Lp_Run(ticker.loop);
    EXPECT_EQ(ticker.order, "abz");
    for (struct lp_timer *timer : timers) {
        Lp_TimerDestroy(timer);
    }
    Lp_Destroy(ticker.loop);
}

} // namespace
