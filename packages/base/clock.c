#include "base/clock.h"

static int64_t
to_usec(const struct timespec *ts)
{
    return (int64_t)ts->tv_sec * Ck_USEC_PER_SEC + ts->tv_nsec / 1000;
}

static void
system_boot(const struct ck_clock *clock, struct timespec *now)
{
    (void)clock;
    /*
     * CLOCK_BOOTTIME, not CLOCK_MONOTONIC, which stops during suspend: a host
     * that was suspended past the end of its lease must see it as expired.
     */
    clock_gettime(CLOCK_BOOTTIME, now);
}

static void
system_wall(const struct ck_clock *clock, struct timespec *now)
{
    (void)clock;
    clock_gettime(CLOCK_REALTIME, now);
}

static const struct ck_ops system_ops = {
    .boot = system_boot,
    .wall = system_wall,
};

static const struct ck_clock system_clock = {.ops = &system_ops};

/* Returns the clock of this host, valid as long as the process runs. */
const struct ck_clock *
Ck_System(void)
{
    return &system_clock;
}

/* Returns monotonic time in microseconds since an arbitrary start. */
int64_t
Ck_Now(const struct ck_clock *clock)
{
    struct timespec now;
    clock->ops->boot(clock, &now);
    return to_usec(&now);
}

/* Returns calendar time in microseconds since the epoch; it may jump. */
int64_t
Ck_Wall(const struct ck_clock *clock)
{
    struct timespec now;
    clock->ops->wall(clock, &now);
    return to_usec(&now);
}
