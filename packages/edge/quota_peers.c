/*
 * Accounts for usage of peers: what they reported, what they are predicted to
 * admit, and what is reserved for those that cannot be reached.
 */
#include <math.h>

#include "edge/quota_internal.h"

/*
 * A report's delay is the interval between two messages plus the network
 * latency and one tick at each end.
 */
#define Qt_PREDICT_MIN_SEC 0.15
#define Qt_PREDICT_INTERVALS 1.5
/* A report of more than this many limits in a window is taken as invalid. */
#define Qt_PAST_MAX_LIMITS 4.0
/*
 * Reports of two peers differ by up to this fraction of a limit because they
 * are sent at different times.
 */
#define Qt_PAST_MIN_LIMITS 0.05

/*
 * With seven daemons, messages come ten times a second. Predicting usage
 * beyond the delay of the reports would leave a tenth of a limit unused.
 */
void
Qt_SetPeers(struct qt_quota *quota, size_t unreachable, int64_t interval_usec)
{
    double interval = (double)interval_usec / (double)Ck_USEC_PER_SEC;
    quota->unreachable_count = unreachable;
    quota->predict_sec = interval * Qt_PREDICT_INTERVALS + Qt_PREDICT_MIN_SEC;
}

/*
 * Peers that have become unreachable may also spend their share of the tokens
 * that were left, so those tokens are reserved.
 */
static void
reserve_for_unreachable(struct qt_bucket *bucket, double fraction)
{
    if (bucket->level > 0) {
        bucket->level *= 1 - fraction;
    }
    if (bucket->window.step_usec == 0) {
        return;
    }
    double room = qt_window_room(bucket);
    if (room > 0) {
        Wn_Spend(&bucket->window, room * fraction);
        bucket->window_reserve += room * fraction;
    }
}

void
Qt_SetShare(struct qt_quota *quota, double share)
{
    if (share == quota->share) {
        return;
    }
    for (size_t i = 0; i < quota->count; i++) {
        struct qt_bucket *bucket = &quota->buckets[i];
        qt_fill(quota, bucket);
        if (share < quota->share) {
            reserve_for_unreachable(bucket, 1 - share / quota->share);
        }
    }
    quota->share = share;
}

/*
 * What was reserved for a daemon is released when the daemon is reachable
 * again. The usage that the daemon then reports is charged; after a crash that
 * is nothing. When the tokens stayed reserved for the rest of the window, a
 * customer within its limit was refused for seconds after two hosts in seven
 * were partitioned off (107 of 646 requests against 23).
 */
void
Qt_PeerReturned(struct qt_quota *quota)
{
    size_t unreachable =
        quota->unreachable_count > 0 ? quota->unreachable_count : 1;
    for (size_t i = 0; i < quota->count; i++) {
        struct qt_bucket *bucket = &quota->buckets[i];
        qt_fill(quota, bucket);
        double released = bucket->window_reserve / (double)unreachable;
        bucket->window_reserve -= released;
        Wn_Spend(&bucket->window, -released);
    }
    quota->unreachable_count = unreachable - 1;
}

void
Qt_AddPeerDemand(struct qt_quota *quota, uint32_t tenant, double cost)
{
    struct qt_bucket *bucket = qt_find(quota, tenant);
    if (bucket != NULL) {
        qt_fill(quota, bucket);
        bucket->peer_demand += cost / Qt_PEER_RATE_SEC;
        bucket->fast_demand += cost / Qt_FAST_SEC;
    }
}

void
Qt_AddPeerUsage(struct qt_quota *quota, uint32_t tenant, double cost,
                bool while_unreachable)
{
    struct qt_bucket *bucket = qt_find(quota, tenant);
    if (bucket == NULL) {
        return;
    }
    qt_fill(quota, bucket);
    if (while_unreachable) {
        /*
         * Reserved tokens are not charged to the bucket again. The window is
         * charged the whole cost.
         */
        double reserved =
            cost < bucket->level_reserve ? cost : bucket->level_reserve;
        bucket->level_reserve -= reserved;
        bucket->level -= cost - reserved;
        Wn_Spend(&bucket->window, cost);
        return;
    }
    bucket->peer_usage_at = bucket->filled_at;
    bucket->peer_rate += cost / Qt_PEER_RATE_SEC;
    double prepaid = cost < bucket->predicted ? cost : bucket->predicted;
    bucket->predicted -= prepaid;
    qt_charge(bucket, cost);
    bucket->level += prepaid;
}

void
Qt_ApplyPastUsage(struct qt_quota *quota, uint32_t tenant,
                  const struct wn_past *past)
{
    struct qt_bucket *bucket = qt_find(quota, tenant);
    if (bucket == NULL || bucket->window.step_usec == 0 ||
        Ck_Now(quota->clock) - quota->started_at >= quota->window_usec) {
        return;
    }
    qt_fill(quota, bucket);
    struct wn_past own = Wn_Past(&bucket->window);
    double more = past->older + past->newer - own.older - own.newer;
    double limit = qt_window_limit(quota, bucket);
    if (more > limit * Qt_PAST_MIN_LIMITS &&
        past->older + past->newer < limit * Qt_PAST_MAX_LIMITS) {
        Wn_SetPast(&bucket->window, past);
        bucket->level -= more;
    }
}
