#include "policy/crowd.h"

#include "base/clock.h"

/* A loop that shares its processor with others is not called late for it. */
#define Cr_LATE_USEC (40 * Ck_USEC_PER_MSEC)
#define Cr_IN_TIME_USEC (20 * Ck_USEC_PER_MSEC)
/* One long turn, as after a freeze, is no crowd. */
#define Cr_LASTS_USEC (100 * Ck_USEC_PER_MSEC)

void
Cr_Turn(struct cr_host *host, int64_t usec, int64_t now)
{
    if (usec < Cr_IN_TIME_USEC) {
        host->late_since = 0;
    }
    else if (usec >= Cr_LATE_USEC && host->late_since == 0) {
        host->late_since = now;
    }
    host->full =
        host->late_since != 0 && now - host->late_since >= Cr_LASTS_USEC;
}

bool
Cr_MayTake(const struct cr_host *host, size_t connections, size_t most)
{
    return !host->full && connections < most;
}
