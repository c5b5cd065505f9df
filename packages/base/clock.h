/*
 * The clock is an interface, so that decisions and leases can be tested with a
 * simulated clock that jumps.  Times are int64_t microseconds.
 */
#ifndef BASE_CLOCK_H
#define BASE_CLOCK_H

#include <stdint.h>
#include <time.h>

#ifdef __cplusplus
extern "C" {
#endif

#define Ck_USEC_PER_MSEC INT64_C(1000)
#define Ck_USEC_PER_SEC INT64_C(1000000)

struct ck_clock;

struct ck_ops {
    /* Time since an arbitrary start, including time while suspended. */
    void (*boot)(const struct ck_clock *clock, struct timespec *now);
    /* Calendar time, for display and for the platform only. */
    void (*wall)(const struct ck_clock *clock, struct timespec *now);
};

struct ck_clock {
    const struct ck_ops *ops;
    void *context;
};

const struct ck_clock *Ck_System(void);
int64_t Ck_Now(const struct ck_clock *clock);
int64_t Ck_Wall(const struct ck_clock *clock);

#ifdef __cplusplus
}
#endif

#endif
