/* Computes the level of a tenant's bucket and the room in its window. */
#include <math.h>

#include "edge/quota_internal.h"

/*
 * Tokens reserved for unreachable daemons are released with this time
 * constant, so that late reports of those daemons can still use them.
 */
#define Qt_RESERVE_DECAY_SEC 3.0
/*
 * Room in the window is released to the bucket over this fraction of the
 * window. If it were released at once, a customer that requests several times
 * its limit would spend all of it in two seconds and nothing in the next six,
 * again in every window. With a fraction of a quarter the windows of such an
 * overload held 0.81 to 0.98 of the limit, with a half 0.88 to 0.96 (replay of
 * seven daemons at four times the limit).
 */
#define Qt_RELEASE_WINDOWS 0.5

void
qt_charge(struct qt_bucket *bucket, double cost)
{
    bucket->level -= cost;
    Wn_Spend(&bucket->window, cost);
}

/*
 * Peers report what they admitted some tenths of a second late, or up to a
 * second late with many daemons. Until the next report they are assumed to go
 * on at the same rate, and the predicted usage is charged in advance. When no
 * more reports come, the predicted tokens are refunded.
 */
static void
predict_peer_usage(const struct qt_quota *quota, struct qt_bucket *bucket,
                   int64_t now, double seconds)
{
    if (now - bucket->peer_usage_at > quota->predict_sec * Ck_USEC_PER_SEC) {
        bucket->level += bucket->predicted;
        bucket->predicted = 0;
        bucket->peer_rate = 0;
        return;
    }
    double more = bucket->peer_rate * seconds;
    double predicted_max = bucket->peer_rate * quota->predict_sec;
    if (bucket->predicted + more > predicted_max) {
        more = predicted_max > bucket->predicted
                   ? predicted_max - bucket->predicted
                   : 0;
    }
    bucket->predicted += more;
    bucket->level -= more;
    bucket->peer_rate *= exp(-seconds / Qt_PEER_RATE_SEC);
}

/* The room left in the window, less the usage predicted for peers. */
double
qt_window_room(const struct qt_bucket *bucket)
{
    return Wn_Room(&bucket->window) -
           fmax(bucket->predicted, bucket->concurrent);
}

/* What all daemons together may admit in a window. */
double
qt_window_limit(const struct qt_quota *quota, const struct qt_bucket *bucket)
{
    double seconds = (double)quota->window_usec / (double)Ck_USEC_PER_SEC;
    return bucket->per_sec * seconds + bucket->burst;
}

/*
 * The reserve and what the window allows are the limit together.  When costs
 * in the window are forgiven, so is the charge of the reserve, and releasing
 * the reserve later would allow more than the limit.
 */
void
qt_bound_reserve(const struct qt_quota *quota, struct qt_bucket *bucket)
{
    struct wn_past past = Wn_Past(&bucket->window);
    double allowed = Wn_Room(&bucket->window) + past.older + past.newer;
    double reserve_max = fmax(qt_window_limit(quota, bucket) - allowed, 0);
    bucket->window_reserve = fmin(bucket->window_reserve, reserve_max);
}

/*
 * Tokens a second that flow into the bucket. Where the limit applies to
 * windows, the burst refills within a window as well, and room in the window
 * is released sooner.
 */
double
qt_refill_rate(const struct qt_quota *quota, const struct qt_bucket *bucket)
{
    if (bucket->window.step_usec == 0) {
        return bucket->per_sec * quota->share;
    }
    double seconds = (double)quota->window_usec / (double)Ck_USEC_PER_SEC;
    double rate = qt_window_limit(quota, bucket) * quota->share / seconds;
    double room = qt_window_room(bucket);
    return room > 0 ? rate + room / (seconds * Qt_RELEASE_WINDOWS) : rate;
}

void
qt_fill(struct qt_quota *quota, struct qt_bucket *bucket)
{
    int64_t now = Ck_Now(quota->clock);
    double seconds =
        (double)(now - bucket->filled_at) / (double)Ck_USEC_PER_SEC;
    bucket->filled_at = now;
    predict_peer_usage(quota, bucket, now, seconds);
    bucket->concurrent *= exp(-seconds / quota->predict_sec);
    double decay = exp(-seconds / Qt_PEER_RATE_SEC);
    bucket->local_demand *= decay;
    bucket->peer_demand *= decay;
    bucket->fast_demand *= exp(-seconds / Qt_FAST_SEC);
    qt_decay_ranks(quota, bucket, seconds);
    if (bucket->window.step_usec > 0) {
        Wn_Advance(&bucket->window, bucket->per_sec * quota->share,
                   bucket->burst * quota->share, now);
    }
    double level_max = bucket->burst * quota->share;
    bucket->level += qt_refill_rate(quota, bucket) * seconds;
    if (bucket->level > level_max) {
        bucket->level = level_max;
    }
    if (bucket->level < 0 && qt_ranks_apply(quota, bucket)) {
        bucket->level = 0;
    }
    double unreachable_part = bucket->per_sec * seconds * (1 - quota->share);
    bucket->level_reserve += unreachable_part;
    /* Tokens reserved more than a window ago have left the window. */
    double reserve_max =
        (qt_window_limit(quota, bucket) - bucket->burst) * (1 - quota->share);
    bucket->window_reserve =
        fmin(bucket->window_reserve + unreachable_part, reserve_max);
    if (quota->share >= 1) {
        bucket->level_reserve *= exp(-seconds / Qt_RESERVE_DECAY_SEC);
    }
}
