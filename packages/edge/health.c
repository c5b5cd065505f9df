#include "edge/health.h"

#include <math.h>

/* Weight of the newest answer; about the last eight count. */
#define He_WEIGHT 0.125
/*
 * A broken connection keeps new requests away for this long, twice as long
 * for each further one in a row: a crashed endpoint is back or struck from
 * the list within a few seconds, and one request finds out.
 */
#define He_SHUN_FIRST_USEC (400 * Ck_USEC_PER_MSEC)
#define He_SHUN_DOUBLINGS 4
/* A full endpoint is left alone until about a tenth of its queue has gone. */
#define He_FULL_USEC (100 * Ck_USEC_PER_MSEC)

/* Half of what was seen is forgotten in so long without another answer. */
#define He_FAILING_HALF_USEC (10.0 * Ck_USEC_PER_SEC)
#define He_FIRST_HALF_USEC (5.0 * Ck_USEC_PER_SEC)

/* A sound endpoint may be silent for so long. */
#define He_SILENCE_USEC (1 * Ck_USEC_PER_SEC)

static void
shun(struct fl_endpoint *endpoint, int64_t until)
{
    if (endpoint->shunned_until < until) {
        endpoint->shunned_until = until;
    }
}

/* What is left after so long without another answer. */
static double
left_of(int64_t usec, double half_usec)
{
    return exp2(-(double)usec / half_usec);
}

/* One silence meets all requests that are there, and is one failure. */
static bool
same_silence(struct fl_endpoint *endpoint, enum he_outcome outcome,
             int64_t now)
{
    if (outcome != HE_SILENT) {
        return false;
    }
    bool same = endpoint->silent_at != 0 &&
                now - endpoint->silent_at < He_SILENCE_USEC;
    endpoint->silent_at = same ? endpoint->silent_at : now;
    return same;
}

/* Takes the end of a request. */
void
He_Note(struct fl_endpoint *endpoint, enum he_outcome outcome, int64_t now)
{
    double failed = outcome == HE_SERVED || outcome == HE_REFUSED ? 0 : 1;
    if (outcome != HE_REFUSED && !same_silence(endpoint, outcome, now)) {
        endpoint->noted_at = now;
        endpoint->failing += He_WEIGHT * (failed - endpoint->failing);
    }
    switch (outcome) {
    case HE_SERVED:
    case HE_FAILED:
        endpoint->strikes = 0;
        endpoint->answered_at = now;
        break;
    case HE_REFUSED:
        shun(endpoint, now + He_FULL_USEC);
        break;
    case HE_BROKE:
    case HE_SILENT:
        if (endpoint->strikes < He_SHUN_DOUBLINGS) {
            endpoint->strikes++;
        }
        shun(endpoint, now + (He_SHUN_FIRST_USEC << (endpoint->strikes - 1)));
        break;
    }
}

/* Takes the time that the first byte of an answer took. */
void
He_First(struct fl_endpoint *endpoint, int64_t usec, int64_t now)
{
    double weight = He_WEIGHT;
    if (endpoint->first_at != 0 && (double)usec < endpoint->first_usec) {
        /* Quick again: what was seen before it was passed by is old. */
        double old = 1 - left_of(now - endpoint->first_at, He_FIRST_HALF_USEC);
        weight = old > weight ? old : weight;
    }
    endpoint->answered_at = now;
    endpoint->first_at = now;
    endpoint->first_usec += weight * ((double)usec - endpoint->first_usec);
}

double
He_Failing(const struct fl_endpoint *endpoint, int64_t now)
{
    return endpoint->failing *
           left_of(now - endpoint->noted_at, He_FAILING_HALF_USEC);
}

double
He_FirstUsec(const struct fl_endpoint *endpoint, double mean, int64_t now)
{
    double above = endpoint->first_usec - mean;
    return mean +
           above * left_of(now - endpoint->first_at, He_FIRST_HALF_USEC);
}

bool
He_Shunned(const struct fl_endpoint *endpoint, int64_t now)
{
    return now < endpoint->shunned_until;
}
