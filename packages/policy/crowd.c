#include "policy/crowd.h"

#include "base/clock.h"

/*
 * A turn this long is slow; one below Cr_FAST_TURN_USEC ends a run of slow
 * turns. The limit leaves room for a host that shares its processor with other
 * processes.
 */
#define Cr_SLOW_TURN_USEC (40 * Ck_USEC_PER_MSEC)
#define Cr_FAST_TURN_USEC (20 * Ck_USEC_PER_MSEC)
/*
 * A single long turn, as after the process was frozen, is not overload: turns
 * must have been slow for this long.
 */
#define Cr_OVERLOAD_AFTER_USEC (100 * Ck_USEC_PER_MSEC)

void
Cr_Turn(struct cr_host *host, int64_t usec, int64_t now)
{
    if (usec < Cr_FAST_TURN_USEC) {
        host->slow_since = 0;
    }
    else if (usec >= Cr_SLOW_TURN_USEC && host->slow_since == 0) {
        host->slow_since = now;
    }
    host->full = host->slow_since != 0 &&
                 now - host->slow_since >= Cr_OVERLOAD_AFTER_USEC;
}

bool
Cr_MayTake(const struct cr_host *host, size_t connections, size_t most)
{
    return !host->full && connections < most;
}
