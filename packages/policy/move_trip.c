/*
 * A router's own trip: it stops sending to a bad version on what it saw
 * itself, without waiting for anybody.
 */
#include <math.h>
#include <string.h>

#include "policy/move.h"

#define OLD_GAIN 0.02
#define GOOD_BAD_SHARE 0.02 /* a version no worse than this is good */
#define BAD_SHARE 0.5       /* the share the trip is made for */
#define TOO_BAD_OLD 0.3     /* an old version as bad as this proves nothing */
/*
 * A version as good as assumed trips a router once in exp(TRIP_AT) of its
 * requests in the mean, or less often.
 */
#define TRIP_AT 14.0
#define CONFIRMED 2 /* good outcomes of the old version after that */
#define BLIND_AT (3 * TRIP_AT) /* with nothing seen of the old version */

/* Starts with nothing seen. */
void
Mv_TripInit(struct mv_trip *trip)
{
    memset(trip, 0, sizeof(*trip));
}

/* The share of bad outcomes that the old version's case excuses. */
static double
excused(const struct mv_trip *trip)
{
    double usual = fmax(GOOD_BAD_SHARE, 2 * trip->old_bad);
    if (trip->old_failed > 0) {
        double here =
            (double)trip->old_failed / (trip->old_failed + trip->old_well);
        usual = fmax(usual, 2 * here);
    }
    return usual;
}

static void
add(struct mv_trip *trip, double good, double bad, double usual)
{
    if (usual >= TOO_BAD_OLD) {
        trip->sum = 0; /* what was held against it is void as well */
        return;
    }
    bool early = trip->sum < TRIP_AT;
    trip->sum += bad * log(BAD_SHARE / usual) +
                 good * log((1 - BAD_SHARE) / (1 - usual));
    if (trip->sum <= 0) {
        trip->sum = 0;
        trip->old_failed = 0;
        trip->old_well = 0;
    }
    if (early) {
        trip->old_good = 0; /* it may have come before the fault began */
    }
}

/*
 * Enters an outcome; true from the one on that trips.  The cumulative
 * likelihood ratio of BAD_SHARE against twice the old version's share is
 * kept from falling below zero, so that a fault that begins late is seen as
 * soon as one at the start.  An outage of what both versions use shows as
 * failures of both: so one good outcome of the old version must have come
 * after the first failures, or the failures be many more, and while the old
 * one is bad nothing is held against the new one.
 */
bool
Mv_TripNote(struct mv_trip *trip, enum mv_side side, enum mv_outcome outcome)
{
    double bad = outcome == MV_GOOD ? 0 : 1;
    if (side == MV_OLD) {
        trip->old_bad += (bad - trip->old_bad) * OLD_GAIN;
        trip->old_good = outcome == MV_GOOD ? trip->old_good + 1 : 0;
        trip->old_well += outcome == MV_GOOD;
        trip->old_failed += outcome != MV_GOOD;
    }
    else {
        add(trip, 1 - bad, bad, excused(trip));
    }
    if (trip->sum >= (trip->old_good >= CONFIRMED ? TRIP_AT : BLIND_AT)) {
        trip->tripped = true;
    }
    return trip->tripped;
}

/*
 * Whether the router should send every other request to the old version:
 * when the new one carries nearly all, only that tells its fault from an
 * outage of what both use before many requests have failed.
 */
bool
Mv_TripSuspects(const struct mv_trip *trip)
{
    return trip->sum >= TRIP_AT / 2;
}

/*
 * The same for many outcomes of the new version at once, their order not
 * known, with the old version's share over the same time.
 */
bool
Mv_TripBlock(struct mv_trip *trip, uint32_t good, uint32_t bad, double old_bad)
{
    add(trip, good, bad, fmax(GOOD_BAD_SHARE, 2 * old_bad));
    if (trip->sum >= TRIP_AT) {
        trip->tripped = true;
    }
    return trip->tripped;
}
