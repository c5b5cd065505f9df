/*
 * Decides whether a request fits into its tenant's limit, and if not, when it
 * would.
 */
#include <math.h>

#include "edge/quota_internal.h"

#define Qt_WAIT_MIN_USEC (100 * Ck_USEC_PER_MSEC)
/* Requests of this fraction of the mean cost and above need the same room. */
#define Qt_SMALL_MEAN_COSTS 0.25
/* Weight of the newest request in the mean cost; about the last 64 count. */
#define Qt_MEAN_WEIGHT (1.0 / 64)
#define Qt_CONCURRENT_FACTOR 0.5

static void
record_cost(struct qt_bucket *bucket, double cost)
{
    bucket->request_count++;
    double weight = fmax(Qt_MEAN_WEIGHT, 1 / bucket->request_count);
    bucket->mean_cost += (cost - bucket->mean_cost) * weight;
    bucket->mean_square += (cost * cost - bucket->mean_square) * weight;
    bucket->requested += cost;
    bucket->local_demand += cost / Qt_PEER_RATE_SEC;
    bucket->fast_demand += cost / Qt_FAST_SEC;
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
        double fraction =
            fmin(cost / (bucket->mean_cost * Qt_SMALL_MEAN_COSTS), 1);
        need = fraction * bucket->mean_cost;
    }
    /* One request may cost more than a bucket can ever hold. */
    return fmin(need, bucket_max);
}

static int64_t
wait_until_room(const struct qt_quota *quota, const struct qt_bucket *bucket,
                double need, double reserve)
{
    int64_t wait = Qt_WAIT_MIN_USEC;
    if (bucket->level < need) {
        double seconds =
            (need - bucket->level) / qt_refill_rate(quota, bucket);
        int64_t usec = (int64_t)(seconds * (double)Ck_USEC_PER_SEC);
        wait = usec > wait ? usec : wait;
    }
    if (bucket->window.step_usec > 0) {
        int64_t usec = Wn_Wait(
            &bucket->window, bucket->per_sec * quota->share,
            need + reserve + fmax(bucket->predicted, bucket->concurrent));
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

int
Qt_Rank(struct qt_quota *quota, const char *tenant, double cost,
        int route_rank)
{
    const struct qt_bucket *bucket = qt_find(quota, Qt_Hash(tenant));
    if (bucket == NULL || !bucket->counts_tokens) {
        return 0;
    }
    return Rk_Rank(cost, bucket->mean_cost, route_rank);
}

/*
 * The bucket spreads a window's room over time. The division by rank does so
 * for ranked requests, and only the window bounds them.
 */
static bool
has_room(const struct qt_bucket *bucket, const struct qt_division *division,
         double need, double reserve)
{
    return (bucket->level >= need || division->ranked) &&
           (bucket->window.step_usec == 0 ||
            qt_window_room(bucket) >= need + reserve);
}

/* Decides on a request at a bucket that is filled, and charges its cost. */
static bool
take(const struct qt_quota *quota, struct qt_bucket *bucket, double cost,
     int rank, int64_t *wait_usec)
{
    record_cost(bucket, cost);
    qt_record_demand(bucket, cost, rank);
    struct qt_division division = qt_divide(quota, bucket);
    struct qt_rank *state = &bucket->ranks[rank];
    double need = required_room(quota, bucket, cost);
    bool has_credit = Rk_Earn(&state->credit, division.fractions[rank]);
    double reserve = division.reserves[rank];
    bool fits = has_room(bucket, &division, need, reserve);
    if (!has_credit || !fits) {
        *wait_usec = fits ? Qt_WAIT_MIN_USEC
                          : wait_until_room(quota, bucket, need, reserve);
        if (division.ranked) {
            int64_t wait =
                qt_wait_behind(quota, bucket, &division, cost, rank);
            *wait_usec = wait > *wait_usec ? wait : *wait_usec;
        }
        return false;
    }
    Rk_Spend(&state->credit);
    state->served += cost / Qt_PEER_RATE_SEC;
    bucket->admitted += cost;
    if (!division.ranked) {
        bucket->concurrent += estimate_concurrent(quota, bucket, cost);
    }
    qt_charge(bucket, cost);
    return true;
}

bool
Qt_Take(struct qt_quota *quota, const char *tenant, double cost, int rank,
        int64_t *wait_usec)
{
    struct qt_bucket *bucket = qt_find(quota, Qt_Hash(tenant));
    if (bucket == NULL || bucket->per_sec <= 0) {
        return true;
    }
    qt_fill(quota, bucket);
    return take(quota, bucket, cost, rank, wait_usec);
}

/* Decides at a copy of the bucket, which is discarded. */
bool
Qt_WouldTake(struct qt_quota *quota, const char *tenant, double cost, int rank,
             int64_t *wait_usec)
{
    const struct qt_bucket *bucket = qt_find(quota, Qt_Hash(tenant));
    if (bucket == NULL || bucket->per_sec <= 0) {
        return true;
    }
    struct qt_bucket copy = *bucket;
    qt_fill(quota, &copy);
    return take(quota, &copy, cost, rank, wait_usec);
}

/*
 * The refund counts from the time of the charge.  Counted from now on, the
 * refunds of requests that waited for longer than a window would grant the
 * limit a second time.
 */
void
Qt_Refund(struct qt_quota *quota, const char *tenant, double cost,
          int64_t charged_at)
{
    struct qt_bucket *bucket = qt_find(quota, Qt_Hash(tenant));
    if (bucket == NULL || bucket->per_sec <= 0) {
        return;
    }
    qt_fill(quota, bucket);
    bucket->level += cost;
    if (bucket->window.step_usec > 0) {
        Wn_Refund(&bucket->window, cost, charged_at);
    }
}
