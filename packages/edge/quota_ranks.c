/*
 * Divides what a tenant may spend among the ranks of its requests while it
 * asks for more than its limit allows.
 */
#include <math.h>
#include <stdio.h>

#include "base/hash.h"
#include "edge/quota_internal.h"

/* Demand near the limit: this fraction of the limit's rate and above. */
#define Qt_NEAR_LIMIT 0.8
/*
 * Ranks apply when demand is this many standard deviations above that. A
 * tenant well within its limit that sends a few large requests a second is
 * not refused because some of them arrive together.
 */
#define Qt_NEAR_DEVIATIONS 2.0
/*
 * The fast average counts as demand when it is this many standard deviations
 * above the slow one, which shows a rise more than a second late.
 */
#define Qt_RISE_DEVIATIONS 1.0
/*
 * Cost, as a fraction of the burst, of one request that this daemon has not
 * seen: with few requests, the spread of costs is not known.
 */
#define Qt_UNSEEN_BURSTS 0.1
/*
 * Fraction of a window's limit by which ranked requests may exceed it, and
 * what rank 0 may use in addition.
 * The bound allows a tenth for late reports; ranked requests are admitted
 * evenly and need less of it.
 */
#define Qt_SLACK_LIMITS 0.04
#define Qt_FIRST_SLACK_LIMITS 0.03
/*
 * Room is left for the demand of more urgent ranks during this fraction of the
 * longest delay of a report.
 */
#define Qt_RESERVE_DELAYS 0.6

static double
sum(const double per_rank[Rk_RANKS])
{
    double total = 0;
    for (int rank = 0; rank < Rk_RANKS; rank++) {
        total += per_rank[rank];
    }
    return total;
}

/*
 * The standard deviation of demand that is averaged with a decay, for requests
 * that arrive independently.
 */
static double
deviation(const struct qt_bucket *bucket, double demand, double decay_sec)
{
    if (bucket->mean_cost <= 0) {
        return 0;
    }
    double unit = bucket->burst * Qt_UNSEEN_BURSTS / bucket->request_count +
                  bucket->mean_square / bucket->mean_cost;
    return sqrt(demand * unit / (2 * decay_sec));
}

/* Whether demand is near the limit, beyond chance if "surely". */
static bool
is_near_limit(const struct qt_quota *quota, const struct qt_bucket *bucket,
              bool surely)
{
    if (!bucket->counts_tokens || bucket->window.step_usec == 0) {
        return false;
    }
    double near = bucket->per_sec * quota->share * Qt_NEAR_LIMIT;
    double demand = bucket->local_demand + bucket->peer_demand;
    double fast = bucket->fast_demand;
    if (surely) {
        demand -=
            Qt_NEAR_DEVIATIONS * deviation(bucket, demand, Qt_PEER_RATE_SEC);
        fast -= Qt_NEAR_DEVIATIONS * deviation(bucket, fast, Qt_FAST_SEC);
    }
    return demand > near || fast > near;
}

bool
qt_ranks_apply(const struct qt_quota *quota, const struct qt_bucket *bucket)
{
    return is_near_limit(quota, bucket, true);
}

/*
 * Reports of demand by rank come from peers that know that the tenant is near
 * its limit, so the sum may be short of the demand that all peers report.
 */
static void
total_demand(const struct qt_bucket *bucket, double out[Rk_RANKS])
{
    for (int rank = 0; rank < Rk_RANKS; rank++) {
        out[rank] = bucket->ranks[rank].demand + bucket->ranks[rank].peers;
    }
    double ranked = sum(out);
    double all = bucket->local_demand + bucket->peer_demand;
    double rise = Qt_RISE_DEVIATIONS * deviation(bucket, all, Qt_FAST_SEC);
    if (bucket->fast_demand > all + rise) {
        all = bucket->fast_demand;
    }
    for (int rank = 0; rank < Rk_RANKS && ranked > 0 && ranked < all; rank++) {
        out[rank] *= all / ranked;
    }
}

struct qt_division
qt_divide(const struct qt_quota *quota, const struct qt_bucket *bucket)
{
    struct qt_division out = {
        .ranked = qt_ranks_apply(quota, bucket),
        .sustained = bucket->per_sec * quota->share,
        .fractions = {1, 1, 1, 1},
    };
    if (!out.ranked) {
        return out;
    }
    double demand[Rk_RANKS];
    total_demand(bucket, demand);
    double limit = qt_window_limit(quota, bucket) * quota->share;
    out.sustained =
        Wn_SustainedRate(&bucket->window, bucket->per_sec * quota->share,
                         bucket->predicted - limit * Qt_SLACK_LIMITS);
    Rk_Divide(demand, out.sustained, out.fractions);
    double reserve = -limit * Qt_SLACK_LIMITS;
    for (int rank = 0; rank < Rk_RANKS; rank++) {
        out.reserves[rank] = reserve;
        reserve += demand[rank] * out.fractions[rank] * quota->predict_sec *
                   Qt_RESERVE_DELAYS;
    }
    out.reserves[0] -= limit * Qt_FIRST_SLACK_LIMITS;
    return out;
}

void
qt_record_demand(struct qt_bucket *bucket, double cost, int rank)
{
    bucket->ranks[rank].demand += cost / Qt_PEER_RATE_SEC;
}

int64_t
qt_wait_behind(const struct qt_quota *quota, struct qt_bucket *bucket,
               const struct qt_division *division, double cost, int rank)
{
    double waiting[Rk_RANKS];
    double served[Rk_RANKS];
    bucket->ranks[rank].waiting += cost;
    for (int i = 0; i < Rk_RANKS; i++) {
        waiting[i] = bucket->ranks[i].waiting;
        served[i] = bucket->ranks[i].demand * division->fractions[i];
    }
    double max = (double)quota->window_usec / (double)Ck_USEC_PER_SEC;
    return (int64_t)(Rk_Wait(waiting, served, rank, max) *
                     (double)Ck_USEC_PER_SEC);
}

void
qt_decay_ranks(const struct qt_quota *quota, struct qt_bucket *bucket,
               double seconds)
{
    double decay = exp(-seconds / Qt_PEER_RATE_SEC);
    double window = (double)quota->window_usec / (double)Ck_USEC_PER_SEC;
    window = fmax(window, Qt_PEER_RATE_SEC);
    for (int rank = 0; rank < Rk_RANKS; rank++) {
        struct qt_rank *state = &bucket->ranks[rank];
        /* All that were refused return within a window. */
        state->waiting -=
            fmax(state->waiting / window, state->served) * seconds;
        state->waiting = fmax(state->waiting, 0);
        state->demand *= decay;
        state->peers *= decay;
        state->served *= decay;
    }
}

void
Qt_SetSeed(struct qt_quota *quota, uint64_t seed)
{
    quota->seed = seed;
}

/* A credit between 0 and 1 that differs between daemons. */
double
qt_first_credit(const struct qt_quota *quota, uint32_t tenant, int rank)
{
    uint64_t key[3] = {quota->seed, tenant, (uint64_t)rank};
    return (double)(Hash_Bytes(key, sizeof(key), 0) >> 11) * 0x1p-53;
}

void
Qt_EachRankDemand(struct qt_quota *quota, qt_rank_fn fn, void *arg)
{
    for (size_t i = 0; i < quota->count; i++) {
        struct qt_bucket *bucket = &quota->buckets[i];
        qt_fill(quota, bucket);
        if (!is_near_limit(quota, bucket, false)) {
            continue;
        }
        double per_sec[Rk_RANKS];
        for (int rank = 0; rank < Rk_RANKS; rank++) {
            per_sec[rank] = bucket->ranks[rank].demand;
        }
        fn(arg, bucket->hash, per_sec);
    }
}

void
Qt_ClearPeerRanks(struct qt_quota *quota)
{
    for (size_t i = 0; i < quota->count; i++) {
        for (int rank = 0; rank < Rk_RANKS; rank++) {
            quota->buckets[i].ranks[rank].peers = 0;
        }
    }
}

void
Qt_AddPeerRanks(struct qt_quota *quota, uint32_t tenant,
                const uint32_t per_sec[Rk_RANKS], int64_t age_usec)
{
    struct qt_bucket *bucket = qt_find(quota, tenant);
    double late =
        (double)age_usec / (double)Ck_USEC_PER_SEC - quota->predict_sec;
    for (int rank = 0; rank < Rk_RANKS && bucket != NULL; rank++) {
        bucket->ranks[rank].peers +=
            (double)per_sec[rank] * exp(-fmax(late, 0) / Qt_PEER_RATE_SEC);
    }
}

void
Qt_ExportRanks(struct qt_quota *quota, struct mt_registry *registry)
{
    static const char name[] = "cornelgate_quota_sustained_rate";
    Mt_Clear(registry, name);
    for (size_t i = 0; i < quota->count; i++) {
        struct qt_bucket *bucket = &quota->buckets[i];
        qt_fill(quota, bucket);
        if (qt_ranks_apply(quota, bucket)) {
            char labels[Ec_NAME_MAX + 16];
            snprintf(labels, sizeof(labels), "tenant=\"%s\"", bucket->tenant);
            Mt_Set(Mt_Get(registry, MT_GAUGE, name, labels),
                   (int64_t)qt_divide(quota, bucket).sustained);
        }
    }
}
