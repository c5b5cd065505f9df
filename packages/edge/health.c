#include "edge/health.h"

#include <math.h>

/* Weight of the newest answer in the moving average: 1/8. */
#define He_WEIGHT 0.125
/*
 * After a broken connection the endpoint is ejected for this long, doubled
 * for each further break in a row: a crashed endpoint restarts or is removed
 * from the list within a few seconds, and one request detects that.
 */
#define He_EJECT_FIRST_USEC (400 * Ck_USEC_PER_MSEC)
#define He_EJECT_DOUBLINGS 4
/* A full endpoint is ejected until about 1/10 of its queue has drained. */
#define He_FULL_USEC (100 * Ck_USEC_PER_MSEC)

/* Half-lives of the averages while no answers arrive. */
#define He_FAILURE_HALF_LIFE_USEC (10.0 * Ck_USEC_PER_SEC)
#define He_FIRST_BYTE_HALF_LIFE_USEC (5.0 * Ck_USEC_PER_SEC)

/* Timeouts within this time of the first one count as one failure. */
#define He_SILENCE_USEC (1 * Ck_USEC_PER_SEC)

static void
eject(struct fl_endpoint *endpoint, int64_t until)
{
    if (endpoint->ejected_until < until) {
        endpoint->ejected_until = until;
    }
}

/* Weight that an average keeps after "usec" without an answer. */
static double
decay(int64_t usec, double half_usec)
{
    return exp2(-(double)usec / half_usec);
}

/*
 * Whether a timeout belongs to the same unresponsive period as the one before.
 * One such period hits all requests at the endpoint, and is one failure.
 */
static bool
same_silence(struct fl_endpoint *endpoint, enum he_outcome outcome,
             int64_t now)
{
    if (outcome != HE_SILENT) {
        return false;
    }
    bool same = endpoint->unresponsive_since != 0 &&
                now - endpoint->unresponsive_since < He_SILENCE_USEC;
    endpoint->unresponsive_since = same ? endpoint->unresponsive_since : now;
    return same;
}

/* Takes the outcome of a request. */
void
He_Note(struct fl_endpoint *endpoint, enum he_outcome outcome, int64_t now)
{
    double failed = outcome == HE_SERVED || outcome == HE_REFUSED ? 0 : 1;
    if (outcome != HE_REFUSED && !same_silence(endpoint, outcome, now)) {
        endpoint->last_outcome_at = now;
        endpoint->failure_rate +=
            He_WEIGHT * (failed - endpoint->failure_rate);
    }
    switch (outcome) {
    case HE_SERVED:
    case HE_FAILED:
        endpoint->consecutive_breaks = 0;
        endpoint->answered_at = now;
        break;
    case HE_REFUSED:
        eject(endpoint, now + He_FULL_USEC);
        break;
    case HE_BROKE:
    case HE_SILENT:
        if (endpoint->consecutive_breaks < He_EJECT_DOUBLINGS) {
            endpoint->consecutive_breaks++;
        }
        eject(endpoint, now + (He_EJECT_FIRST_USEC
                               << (endpoint->consecutive_breaks - 1)));
        break;
    }
}

/* Takes the time to the first byte of an answer. */
void
He_NoteFirstByte(struct fl_endpoint *endpoint, int64_t usec, int64_t now)
{
    double weight = He_WEIGHT;
    if (endpoint->last_first_byte_at != 0 &&
        (double)usec < endpoint->first_byte_usec) {
        /* The endpoint is faster again: the old average has decayed. */
        double decayed = 1 - decay(now - endpoint->last_first_byte_at,
                                   He_FIRST_BYTE_HALF_LIFE_USEC);
        weight = decayed > weight ? decayed : weight;
    }
    endpoint->answered_at = now;
    endpoint->last_first_byte_at = now;
    endpoint->first_byte_usec +=
        weight * ((double)usec - endpoint->first_byte_usec);
}

double
He_FailureRate(const struct fl_endpoint *endpoint, int64_t now)
{
    if (endpoint->failure_rate <= 0) {
        return 0;
    }
    return endpoint->failure_rate *
           decay(now - endpoint->last_outcome_at, He_FAILURE_HALF_LIFE_USEC);
}

double
He_FirstByteUsec(const struct fl_endpoint *endpoint, double mean, int64_t now)
{
    double above = endpoint->first_byte_usec - mean;
    return mean + above * decay(now - endpoint->last_first_byte_at,
                                He_FIRST_BYTE_HALF_LIFE_USEC);
}

bool
He_IsEjected(const struct fl_endpoint *endpoint, int64_t now)
{
    return now < endpoint->ejected_until;
}
