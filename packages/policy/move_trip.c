/*
 * A router's own trip: it stops sending to a bad version on what it saw
 * itself, without waiting for anybody.
 */
#include <math.h>
#include <string.h>

#include "policy/move.h"

#define GOOD_BAD_SHARE 0.02 /* a version no worse than this is good */
#define BAD_SHARE 0.5       /* the share the trip is made for */
#define TOO_BAD_OLD 0.3     /* an old version as bad as this proves nothing */
/*
 * A version as good as assumed comes to this once in exp(TRIP_AT) of its
 * requests in the mean, or less often.
 */
#define TRIP_AT 14.0
#define BLIND_AT (3 * TRIP_AT) /* with nothing seen of the old version */
/*
 * Two versions with one common share differ by this in a given stretch about
 * once in exp(APART).
 */
#define APART 8.5
/* More is asked where the old version fails: usually, or in the stretch. */
#define APART_USUAL 120.0
#define APART_HERE 60.0
#define USUAL_GAIN 0.01

/* What was seen in a stretch of requests, up to now. */
struct stretch {
    double good[MV_SIDES];
    double bad[MV_SIDES];
};

/* What one endpoint of the new version did in a stretch. */
struct tally {
    uint64_t endpoint;
    int seen;
    int failed;
    bool well; /* one of its last two was good */
};

struct tallies {
    struct tally of[Mv_TRIP_WINDOW];
    int count;
    int well;
    const struct tally *worst;
};

/* Starts with nothing seen. */
void
Mv_TripInit(struct mv_trip *trip)
{
    memset(trip, 0, sizeof(*trip));
}

static double
evidence(double good, double bad, double usual)
{
    return bad * log(BAD_SHARE / usual) +
           good * log((1 - BAD_SHARE) / (1 - usual));
}

static double
x_log_x(double x)
{
    return x > 0 ? x * log(x) : 0;
}

static double
own_share(double good, double bad)
{
    return x_log_x(good) + x_log_x(bad) - x_log_x(good + bad);
}

/* The log likelihood of a share for each version over that of one share. */
static double
apart(const struct stretch *s)
{
    double old = s->good[MV_OLD] + s->bad[MV_OLD];
    double new = s->good[MV_NEW] + s->bad[MV_NEW];
    if (s->bad[MV_NEW] * old <= s->bad[MV_OLD] * new) {
        return 0;
    }
    return own_share(s->good[MV_OLD], s->bad[MV_OLD]) +
           own_share(s->good[MV_NEW], s->bad[MV_NEW]) -
           own_share(s->good[MV_OLD] + s->good[MV_NEW],
                     s->bad[MV_OLD] + s->bad[MV_NEW]);
}

/* Never less than apart(), and cheap: chi-square of the two shares. */
static double
apart_most(const struct stretch *s)
{
    double old = s->good[MV_OLD] + s->bad[MV_OLD];
    double new = s->good[MV_NEW] + s->bad[MV_NEW];
    double good = s->good[MV_OLD] + s->good[MV_NEW];
    double bad = s->bad[MV_OLD] + s->bad[MV_NEW];
    double cross =
        s->bad[MV_NEW] * s->good[MV_OLD] - s->bad[MV_OLD] * s->good[MV_NEW];
    double below = old * new *good *bad;
    return below > 0 ? cross * cross * (old + new) / below : 0;
}

static bool
is_apart(const struct mv_trip *trip, const struct stretch *s)
{
    double old = s->good[MV_OLD] + s->bad[MV_OLD];
    if (old <= 0) {
        return false;
    }
    double least = APART + fmax(APART_USUAL * trip->old_usual,
                                APART_HERE * s->bad[MV_OLD] / old);
    return apart_most(s) >= least && apart(s) >= least;
}

static struct tally *
find_tally(struct tallies *tallies, uint64_t endpoint)
{
    for (int i = 0; i < tallies->count; i++) {
        if (tallies->of[i].endpoint == endpoint) {
            return &tallies->of[i];
        }
    }
    struct tally *tally = &tallies->of[tallies->count++];
    *tally = (struct tally){.endpoint = endpoint};
    return tally;
}

/* Which endpoints answer; their failures are counted as the stretch grows. */
static void
find_well(const struct mv_trip *trip, struct tallies *out)
{
    out->count = 0;
    out->well = 0;
    out->worst = NULL;
    for (int i = trip->count - 1; i >= 0; i--) {
        struct tally *tally = find_tally(out, trip->seen[i].endpoint);
        if (++tally->seen <= 2 && !trip->seen[i].bad && !tally->well) {
            tally->well = true;
            out->well++;
        }
    }
}

static void
count_failure(struct tallies *tallies, uint64_t endpoint)
{
    if (endpoint == 0) {
        return;
    }
    struct tally *tally = find_tally(tallies, endpoint);
    tally->failed++;
    if (tallies->worst == NULL || tally->failed > tallies->worst->failed) {
        tallies->worst = tally;
    }
}

/*
 * An endpoint that dies fails all it had in flight and says nothing of its
 * version.  While another one of the version answers, the worst endpoint's
 * failures count for no more than those of the others and two.
 */
static double
of_version(const struct tallies *tallies, double bad)
{
    const struct tally *worst = tallies->worst;
    if (worst == NULL || tallies->well - worst->well <= 0) {
        return bad;
    }
    return fmin(bad, 2 * (bad - worst->failed) + 2);
}

/*
 * Looks at each stretch from an outcome of the new version to now.  In one of
 * them the new version must be far from good and the two versions' shares
 * apart: in an outage of what both use they are not.  Failures of the old
 * version that came before or after the stretch excuse nothing in it.
 */
static bool
is_bad(const struct mv_trip *trip)
{
    struct stretch s = {{0, 0}, {0, 0}};
    struct tallies tallies;
    double bad = 0;
    find_well(trip, &tallies);
    for (int i = trip->count - 1; i >= 0; i--) {
        const struct mv_seen *seen = &trip->seen[i];
        s.good[MV_OLD] += seen->old_good;
        s.bad[MV_OLD] += seen->old_bad;
        s.good[MV_NEW] += !seen->bad;
        if (seen->bad) {
            bad++;
            count_failure(&tallies, seen->endpoint);
        }
        s.bad[MV_NEW] = of_version(&tallies, bad);
        double sum = evidence(s.good[MV_NEW], s.bad[MV_NEW], GOOD_BAD_SHARE);
        if (sum < TRIP_AT) {
            continue;
        }
        struct stretch longer = s;
        longer.good[MV_OLD] += seen->old_before;
        if (is_apart(trip, &s) ||
            (seen->old_before > 0 && is_apart(trip, &longer)) ||
            (!trip->old_seen && sum >= BLIND_AT)) {
            return true;
        }
    }
    return false;
}

/* Whether the endpoint failed the time before as well; keeps it for next. */
static bool
fails_again(struct mv_trip *trip, uint64_t endpoint, bool bad)
{
    if (endpoint == 0) {
        return false;
    }
    for (int i = 0; i < Mv_TRIP_ENDPOINTS; i++) {
        if (trip->failing[i] == endpoint) {
            trip->failing[i] = bad ? endpoint : 0;
            return bad;
        }
    }
    if (bad) {
        trip->failing[trip->next_failing] = endpoint;
        trip->next_failing = (trip->next_failing + 1) % Mv_TRIP_ENDPOINTS;
    }
    return false;
}

static void
note_old(struct mv_trip *trip, bool bad, uint64_t endpoint)
{
    trip->old_seen = true;
    if (!fails_again(trip, endpoint, bad)) {
        trip->old_usual += ((bad ? 1 : 0) - trip->old_usual) * USUAL_GAIN;
    }
    trip->old_row = bad ? 0 : trip->old_row + 1;
    if (trip->count > 0) {
        struct mv_seen *last = &trip->seen[trip->count - 1];
        last->old_good += !bad;
        last->old_bad += bad;
    }
}

static void
note_new(struct mv_trip *trip, bool bad, uint64_t endpoint)
{
    trip->sum += evidence(!bad, bad, GOOD_BAD_SHARE);
    trip->sum = fmin(fmax(trip->sum, 0), BLIND_AT);
    if (trip->sum <= 0) {
        trip->old_seen = false;
    }
    if (trip->count == Mv_TRIP_WINDOW) {
        trip->count--;
        memmove(trip->seen, trip->seen + 1,
                (size_t)trip->count * sizeof(trip->seen[0]));
    }
    trip->seen[trip->count++] = (struct mv_seen){
        .endpoint = endpoint, .bad = bad, .old_before = trip->old_row};
    trip->old_row = 0;
}

/*
 * Enters an outcome at an endpoint; true from the one on that trips.  The
 * cumulative likelihood ratio of BAD_SHARE against a good version's share is
 * kept from falling below zero, so that a fault that begins late is seen as
 * soon as one at the start; it says when to look.
 */
bool
Mv_TripNoteAt(struct mv_trip *trip, enum mv_side side, enum mv_outcome outcome,
              uint64_t endpoint)
{
    bool bad = outcome != MV_GOOD;
    if (side == MV_OLD) {
        note_old(trip, bad, endpoint);
    }
    else {
        note_new(trip, bad, endpoint);
    }
    /* Only these speak against the new one. */
    bool against = (side == MV_NEW) == bad;
    if (!trip->tripped && against && trip->sum >= TRIP_AT) {
        trip->tripped = is_bad(trip);
    }
    return trip->tripped;
}

/* The same with the endpoint not told: each failure counts. */
bool
Mv_TripNote(struct mv_trip *trip, enum mv_side side, enum mv_outcome outcome)
{
    return Mv_TripNoteAt(trip, side, outcome, 0);
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
 * known, with the old version's share over the same time.  While the old one
 * is bad, what was held against the new one is void.
 */
bool
Mv_TripBlock(struct mv_trip *trip, uint32_t good, uint32_t bad, double old_bad)
{
    double usual = fmax(GOOD_BAD_SHARE, 2 * old_bad);
    if (usual >= TOO_BAD_OLD) {
        trip->sum = 0;
    }
    else {
        trip->sum = fmax(0, trip->sum + evidence(good, bad, usual));
    }
    trip->tripped |= trip->sum >= TRIP_AT;
    return trip->tripped;
}
