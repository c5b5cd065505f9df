/*
 * Per-router circuit breaker for the new version of a move.  The router trips
 * it on its own outcomes, without waiting for other routers or the log.
 */
#include <math.h>
#include <string.h>

#include "policy/move.h"

/* Bad-outcome rates of the two hypotheses of the likelihood-ratio test. */
#define GOOD_BAD_RATE 0.02  /* highest rate of a good version */
#define FAULTY_BAD_RATE 0.5 /* rate that the test is tuned to detect */
/* Above this rate of the old version, the versions are not compared. */
#define OLD_BAD_RATE_MAX 0.3
/*
 * A good version reaches this log-likelihood ratio on average at most once in
 * exp(TRIP_LOG_RATIO) of its requests.
 */
#define TRIP_LOG_RATIO 14.0
/* Threshold without any outcome of the old version to compare with. */
#define TRIP_LOG_RATIO_BLIND (3 * TRIP_LOG_RATIO)
/*
 * Two versions with the same bad rate are separated by this log-likelihood
 * ratio in a given suffix with a probability of about exp(-SEPARATION_MIN).
 */
#define SEPARATION_MIN 8.5
/*
 * The threshold rises with the old version's bad rate, on average and within
 * the suffix.
 */
#define SEPARATION_PER_OLD_RATE 120.0
#define SEPARATION_PER_SUFFIX_RATE 60.0
#define OLD_RATE_GAIN 0.01

/* Counts over a suffix of the outcome window: from some outcome to now. */
struct suffix {
    double good[MV_SIDES];
    double bad[MV_SIDES];
};

/* One endpoint of the new version. */
struct endpoint_tally {
    uint64_t endpoint;
    int outcomes; /* outcomes in the window */
    int failed;   /* bad outcomes in the suffix */
    bool healthy; /* one of its last two outcomes was good */
};

struct endpoint_tallies {
    struct endpoint_tally rows[Mv_TRIP_WINDOW];
    int count;
    int healthy_count;
    const struct endpoint_tally *worst;
};

void
Mv_TripInit(struct mv_trip *trip)
{
    memset(trip, 0, sizeof(*trip));
}

static double
log_ratio(double good, double bad, double assumed_rate)
{
    return bad * log(FAULTY_BAD_RATE / assumed_rate) +
           good * log((1 - FAULTY_BAD_RATE) / (1 - assumed_rate));
}

static double
x_log_x(double x)
{
    return x > 0 ? x * log(x) : 0;
}

static double
max_log_likelihood(double good, double bad)
{
    return x_log_x(good) + x_log_x(bad) - x_log_x(good + bad);
}

/*
 * The log-likelihood ratio of separate bad rates for the two versions against
 * one common rate; 0 where the new version is no worse.
 */
static double
separation(const struct suffix *counts)
{
    double old = counts->good[MV_OLD] + counts->bad[MV_OLD];
    double new = counts->good[MV_NEW] + counts->bad[MV_NEW];
    if (counts->bad[MV_NEW] * old <= counts->bad[MV_OLD] * new) {
        return 0;
    }
    return max_log_likelihood(counts->good[MV_OLD], counts->bad[MV_OLD]) +
           max_log_likelihood(counts->good[MV_NEW], counts->bad[MV_NEW]) -
           max_log_likelihood(counts->good[MV_OLD] + counts->good[MV_NEW],
                              counts->bad[MV_OLD] + counts->bad[MV_NEW]);
}

/*
 * A cheap upper bound of separation(): the chi-square statistic of the two
 * bad rates.
 */
static double
separation_bound(const struct suffix *counts)
{
    double old = counts->good[MV_OLD] + counts->bad[MV_OLD];
    double new = counts->good[MV_NEW] + counts->bad[MV_NEW];
    double good = counts->good[MV_OLD] + counts->good[MV_NEW];
    double bad = counts->bad[MV_OLD] + counts->bad[MV_NEW];
    double cross = counts->bad[MV_NEW] * counts->good[MV_OLD] -
                   counts->bad[MV_OLD] * counts->good[MV_NEW];
    double denominator = old * new *good *bad;
    return denominator > 0 ? cross * cross * (old + new) / denominator : 0;
}

static bool
is_separated(const struct mv_trip *trip, const struct suffix *counts)
{
    double old = counts->good[MV_OLD] + counts->bad[MV_OLD];
    if (old <= 0) {
        return false;
    }
    double threshold =
        SEPARATION_MIN +
        fmax(SEPARATION_PER_OLD_RATE * trip->old_bad_rate,
             SEPARATION_PER_SUFFIX_RATE * counts->bad[MV_OLD] / old);
    return separation_bound(counts) >= threshold &&
           separation(counts) >= threshold;
}

static struct endpoint_tally *
find_tally(struct endpoint_tallies *tallies, uint64_t endpoint)
{
    for (int i = 0; i < tallies->count; i++) {
        if (tallies->rows[i].endpoint == endpoint) {
            return &tallies->rows[i];
        }
    }
    struct endpoint_tally *tally = &tallies->rows[tallies->count++];
    *tally = (struct endpoint_tally){.endpoint = endpoint};
    return tally;
}

/*
 * Finds the healthy endpoints of the new version.  count_failure() counts the
 * failures of each endpoint as the suffix is extended.
 */
static void
find_healthy(const struct mv_trip *trip, struct endpoint_tallies *out)
{
    out->count = 0;
    out->healthy_count = 0;
    out->worst = NULL;
    for (int i = trip->count - 1; i >= 0; i--) {
        struct endpoint_tally *tally =
            find_tally(out, trip->entries[i].endpoint);
        if (++tally->outcomes <= 2 && !trip->entries[i].bad &&
            !tally->healthy) {
            tally->healthy = true;
            out->healthy_count++;
        }
    }
}

static void
count_failure(struct endpoint_tallies *tallies, uint64_t endpoint)
{
    if (endpoint == 0) {
        return;
    }
    struct endpoint_tally *tally = find_tally(tallies, endpoint);
    tally->failed++;
    if (tallies->worst == NULL || tally->failed > tallies->worst->failed) {
        tallies->worst = tally;
    }
}

/*
 * An endpoint that dies fails all its requests in flight, which is no evidence
 * against its version.  While another endpoint of the version is healthy, the
 * failures of the worst endpoint therefore count for at most two more than
 * the failures of all others together.
 */
static double
discount_worst(const struct endpoint_tallies *tallies, double bad)
{
    const struct endpoint_tally *worst = tallies->worst;
    if (worst == NULL || tallies->healthy_count - worst->healthy <= 0) {
        return bad;
    }
    return fmin(bad, 2 * (bad - worst->failed) + 2);
}

/*
 * Tests every suffix of the outcome window.  The new version is faulty when,
 * in one of them, its bad rate is far above that of a good version and also
 * separated from the old version's rate.  In an outage of a dependency of
 * both versions the rates are not separated.  Failures of the old version
 * outside a suffix do not count in it, so they cannot hide a faulty new
 * version.
 */
static bool
is_new_faulty(const struct mv_trip *trip)
{
    struct suffix suffix = {{0, 0}, {0, 0}};
    struct endpoint_tallies tallies;
    double bad = 0;
    find_healthy(trip, &tallies);
    for (int i = trip->count - 1; i >= 0; i--) {
        const struct mv_trip_entry *entry = &trip->entries[i];
        suffix.good[MV_OLD] += entry->old_good;
        suffix.bad[MV_OLD] += entry->old_bad;
        suffix.good[MV_NEW] += !entry->bad;
        if (entry->bad) {
            bad++;
            count_failure(&tallies, entry->endpoint);
        }
        suffix.bad[MV_NEW] = discount_worst(&tallies, bad);
        double suffix_log_ratio =
            log_ratio(suffix.good[MV_NEW], suffix.bad[MV_NEW], GOOD_BAD_RATE);
        if (suffix_log_ratio < TRIP_LOG_RATIO) {
            continue;
        }
        struct suffix extended = suffix;
        extended.good[MV_OLD] += entry->old_good_before;
        if (is_separated(trip, &suffix) ||
            (entry->old_good_before > 0 && is_separated(trip, &extended)) ||
            (!trip->old_observed &&
             suffix_log_ratio >= TRIP_LOG_RATIO_BLIND)) {
            return true;
        }
    }
    return false;
}

/*
 * Whether the endpoint's previous outcome was bad as well.  Remembers this
 * outcome for the next call.
 */
static bool
is_repeated_failure(struct mv_trip *trip, uint64_t endpoint, bool bad)
{
    if (endpoint == 0) {
        return false;
    }
    for (int i = 0; i < Mv_TRIP_ENDPOINTS; i++) {
        if (trip->failing_endpoints[i] == endpoint) {
            trip->failing_endpoints[i] = bad ? endpoint : 0;
            return bad;
        }
    }
    if (bad) {
        trip->failing_endpoints[trip->next_failing] = endpoint;
        trip->next_failing = (trip->next_failing + 1) % Mv_TRIP_ENDPOINTS;
    }
    return false;
}

static void
note_old(struct mv_trip *trip, bool bad, uint64_t endpoint)
{
    trip->old_observed = true;
    if (!is_repeated_failure(trip, endpoint, bad)) {
        trip->old_bad_rate +=
            ((bad ? 1 : 0) - trip->old_bad_rate) * OLD_RATE_GAIN;
    }
    trip->old_good_streak = bad ? 0 : trip->old_good_streak + 1;
    if (trip->count > 0) {
        struct mv_trip_entry *last = &trip->entries[trip->count - 1];
        last->old_good += !bad;
        last->old_bad += bad;
    }
}

static void
note_new(struct mv_trip *trip, bool bad, uint64_t endpoint)
{
    trip->log_ratio += log_ratio(!bad, bad, GOOD_BAD_RATE);
    trip->log_ratio = fmin(fmax(trip->log_ratio, 0), TRIP_LOG_RATIO_BLIND);
    if (trip->log_ratio <= 0) {
        trip->old_observed = false;
    }
    if (trip->count == Mv_TRIP_WINDOW) {
        trip->count--;
        memmove(trip->entries, trip->entries + 1,
                (size_t)trip->count * sizeof(trip->entries[0]));
    }
    trip->entries[trip->count++] =
        (struct mv_trip_entry){.endpoint = endpoint,
                               .bad = bad,
                               .old_good_before = trip->old_good_streak};
    trip->old_good_streak = 0;
}

/*
 * Records an outcome of an endpoint.  Returns true once the circuit breaker
 * has tripped.  The cumulative log-likelihood ratio of FAULTY_BAD_RATE against
 * GOOD_BAD_RATE is kept at or above zero (CUSUM), so that a fault that begins
 * late is detected as quickly as one at the start.  When the ratio reaches
 * TRIP_LOG_RATIO, the suffixes of the window are tested.
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
    /* Only a bad outcome of the new version or a good one of the old trips. */
    bool implicates_new = (side == MV_NEW) == bad;
    if (!trip->tripped && implicates_new &&
        trip->log_ratio >= TRIP_LOG_RATIO) {
        trip->tripped = is_new_faulty(trip);
    }
    return trip->tripped;
}

/*
 * Mv_TripNoteAt() for an unknown endpoint, for which no failure is
 * discounted.
 */
bool
Mv_TripNote(struct mv_trip *trip, enum mv_side side, enum mv_outcome outcome)
{
    return Mv_TripNoteAt(trip, side, outcome, 0);
}

/*
 * Whether the router should send every other request to the old version.
 * Where the new version gets nearly all the traffic, only this distinguishes
 * its fault from an outage of a shared dependency before many requests have
 * failed.
 */
bool
Mv_TripSuspects(const struct mv_trip *trip)
{
    return trip->log_ratio >= TRIP_LOG_RATIO / 2;
}

/*
 * Records many outcomes of the new version at once, in unknown order; old_bad
 * is the old version's bad rate over the same time.  While the old version
 * itself is bad, the evidence against the new version is discarded.
 */
bool
Mv_TripNoteCounts(struct mv_trip *trip, uint32_t good, uint32_t bad,
                  double old_bad)
{
    double assumed_rate = fmax(GOOD_BAD_RATE, 2 * old_bad);
    if (assumed_rate >= OLD_BAD_RATE_MAX) {
        trip->log_ratio = 0;
    }
    else {
        trip->log_ratio =
            fmax(0, trip->log_ratio + log_ratio(good, bad, assumed_rate));
    }
    trip->tripped |= trip->log_ratio >= TRIP_LOG_RATIO;
    return trip->tripped;
}
