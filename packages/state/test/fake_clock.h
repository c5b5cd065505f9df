/* A clock whose readings are set by the test. */
#ifndef STATE_TEST_FAKE_CLOCK_H
#define STATE_TEST_FAKE_CLOCK_H

#include "base/clock.h"

struct FakeClock {
    struct ck_clock clock;
    int64_t boot = Ck_USEC_PER_SEC;
    int64_t wall = 1000000 * Ck_USEC_PER_SEC;

    FakeClock() : clock{&kOps, this}
    {
    }
    FakeClock(const FakeClock &) = delete;

    void
    Advance(int64_t usec)
    {
        boot += usec;
        wall += usec;
    }

  private:
    static const struct ck_ops kOps;

    static struct timespec
    ToTime(int64_t usec)
    {
        struct timespec ts;
        ts.tv_sec = usec / Ck_USEC_PER_SEC;
        ts.tv_nsec = usec % Ck_USEC_PER_SEC * 1000;
        return ts;
    }

    static void
    Boot(const struct ck_clock *clock, struct timespec *now)
    {
        *now = ToTime(static_cast<FakeClock *>(clock->context)->boot);
    }

    static void
    Wall(const struct ck_clock *clock, struct timespec *now)
    {
        *now = ToTime(static_cast<FakeClock *>(clock->context)->wall);
    }
};

inline const struct ck_ops FakeClock::kOps = {FakeClock::Boot,
                                              FakeClock::Wall};

#endif
