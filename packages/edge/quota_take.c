/*
 * Decides whether a request fits into its tenant's limit, and if not, when it
 * would.
 */
#include <math.h>

#include "edge/quota_internal.h"

#define Qt_WAIT_MIN_USEC (100 * Ck_USEC_PER_MSEC)
/*
 * Fraction of a window's limit that requests of mean cost and above leave to
 * small ones. With a smaller reserve, a customer at its limit gets requests of
 * a hundredth of the mean cost refused as often as others: 123 in 1,850
 * against 10, at no gain for large requests (a day with six times a customer's
 * usual load).
 */
#define Qt_SMALL_RESERVE_LIMITS 0.03
/* Requests below this fraction of the mean cost count as small. */
#define Qt_SMALL_MEAN_COSTS 0.25
/*
 * Where costs hardly vary, the reserve is at most this multiple of their mean
 * deviation.
 */
#define Qt_SMALL_DEVIATIONS 16.0
/* Weight of the newest request in the mean cost; about the last 64 count. */
#define Qt_MEAN_WEIGHT (1.0 / 64)
#define Qt_CONCURRENT_FACTOR 0.5

static void
record_cost(struct qt_bucket *bucket, double cost)
{
    if (bucket->mean_cost <= 0) {
        bucket->mean_cost = cost;
    }
    double deviation = fabs(cost - bucket->mean_cost);
    bucket->cost_deviation +=
        (deviation - bucket->cost_deviation) * Qt_MEAN_WEIGHT;
    bucket->mean_cost += (cost - bucket->mean_cost) * Qt_MEAN_WEIGHT;
    bucket->requested += cost;
    bucket->local_demand += cost / Qt_PEER_RATE_SEC;
}

/*
 * Room that a request needs to be admitted. At a customer's limit, room
 * becomes free little by little. If each request needed room for its whole
 * cost, small requests would take all of the room and large ones would hardly
 * ever be admitted (267 of 2,173 prompts of 17,000 tokens were refused,
 * against 51 of 3,701 prompts of 1,500). So all requests of a quarter of the
 * mean cost and above need the same room. A cost beyond that room overdraws
 * the bucket and is paid off by later refills.
 */
static double
required_room(const struct qt_quota *quota, const struct qt_bucket *bucket,
              double cost)
{
    double bucket_max = bucket->burst * quota->share;
    double need = cost;
    if (bucket->window.step_usec > 0) {
        double small_reserve =
            fmin(bucket->cost_deviation * Qt_SMALL_DEVIATIONS,
                 qt_window_limit(quota, bucket) * quota->share *
                     Qt_SMALL_RESERVE_LIMITS);
        double fraction =
            fmin(cost / (bucket->mean_cost * Qt_SMALL_MEAN_COSTS), 1);
        need = fraction * (bucket->mean_cost + small_reserve);
    }
    /* One request may cost more than a bucket can ever hold. */
    return fmin(need, bucket_max);
}

static int64_t
wait_until_room(const struct qt_quota *quota, const struct qt_bucket *bucket,
                double need)
{
    int64_t wait = Qt_WAIT_MIN_USEC;
    if (bucket->level < need) {
        double seconds =
            (need - bucket->level) / qt_refill_rate(quota, bucket);
        int64_t usec = (int64_t)(seconds * (double)Ck_USEC_PER_SEC);
        wait = usec > wait ? usec : wait;
    }
    if (bucket->window.step_usec > 0) {
        int64_t usec =
            Wn_Wait(&bucket->window, bucket->per_sec * quota->share,
                    need + fmax(bucket->predicted, bucket->concurrent));
        wait = usec > wait ? usec : wait;
    }
    return wait;
}

/*
 * When room becomes free at a customer's limit, all daemons see it at once,
 * and each admits requests until the reports of its peers arrive. The cost
 * that peers admit meanwhile is estimated from what this daemon admits, in
 * proportion to the demand on the peers. For a customer below its limit the
 * estimate is 0: with few requests at each daemon, one request would stand for
 * hundreds that were never sent.
 */
static double
estimate_concurrent(const struct qt_quota *quota,
                    const struct qt_bucket *bucket, double cost)
{
    double demand = bucket->local_demand + bucket->peer_demand;
    if (bucket->window.step_usec == 0 ||
        demand < bucket->per_sec * quota->share) {
        return 0;
    }
    return cost * bucket->peer_demand / bucket->local_demand *
           Qt_CONCURRENT_FACTOR;
}

bool
Qt_Take(struct qt_quota *quota, const char *tenant, double cost,
        int64_t *wait_usec)
{
    struct qt_bucket *bucket = qt_find(quota, Qt_Hash(tenant));
    if (bucket == NULL || bucket->per_sec <= 0) {
        return true;
    }
    qt_fill(quota, bucket);
    record_cost(bucket, cost);
    double need = required_room(quota, bucket, cost);
    bool full = bucket->window.step_usec > 0 && qt_window_room(bucket) < need;
    if (full || bucket->level < need) {
        *wait_usec = wait_until_room(quota, bucket, need);
        return false;
    }
    bucket->admitted += cost;
    bucket->concurrent += estimate_concurrent(quota, bucket, cost);
    qt_charge(bucket, cost);
    return true;
}

/* Refunds the cost of a request that was admitted but not run. */
void
Qt_Refund(struct qt_quota *quota, const char *tenant, double cost)
{
    struct qt_bucket *bucket = qt_find(quota, Qt_Hash(tenant));
    if (bucket != NULL && bucket->per_sec > 0) {
        qt_charge(bucket, -cost);
    }
}
