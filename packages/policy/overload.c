#include "policy/overload.h"

#include "base/clock.h"

/*
 * A turn this long is slow; one below Ov_FAST_TURN_USEC ends a run of slow
 * turns. The limit leaves room for a host that shares its processor with other
 * processes.
 */
#define Ov_SLOW_TURN_USEC (40 * Ck_USEC_PER_MSEC)
#define Ov_FAST_TURN_USEC (20 * Ck_USEC_PER_MSEC)
/*
 * A single long turn, as after the process was frozen, is not overload: turns
 * must have been slow for this long.
 */
#define Ov_OVERLOAD_AFTER_USEC (100 * Ck_USEC_PER_MSEC)

void
Ov_RecordTurn(struct ov_load *load, int64_t usec, int64_t now)
{
    if (usec < Ov_FAST_TURN_USEC) {
        load->slow_since = 0;
    }
    else if (usec >= Ov_SLOW_TURN_USEC && load->slow_since == 0) {
        load->slow_since = now;
    }
    load->overloaded = load->slow_since != 0 &&
                       now - load->slow_since >= Ov_OVERLOAD_AFTER_USEC;
}

bool
Ov_MayAccept(const struct ov_load *load)
{
    return !load->overloaded;
}
