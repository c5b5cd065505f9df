/* What a tenant's bucket and window hold at the present moment. */
#include <math.h>

#include "edge/quota_internal.h"

/* How long what was left to unheard daemons waits for their word. */
#define Qt_RESERVE_SEC 3.0
/*
 * What a window still has room for is handed out over this part of it.  At
 * once, a customer that asks for several times its limit would have all of it
 * in two seconds and nothing in the six that follow, and again in each window
 * after: at a quarter, windows of such a flood held 0.81 to 0.98 of the limit,
 * at a half 0.88 to 0.96 (replay of seven daemons, four times the limit).
 */
#define Qt_PACE_PART 0.5

void
qt_spend(struct qt_bucket *bucket, double cost)
{
    bucket->level -= cost;
    Wn_Spend(&bucket->window, cost);
}

/*
 * Others tell what they admitted some tenths of a second late, with many
 * daemons up to a second; until then they are taken to go on as before.  When
 * nothing more is told it is given back.
 */
static void
foresee(const struct qt_quota *quota, struct qt_bucket *bucket, int64_t now,
        double seconds)
{
    if (now - bucket->told_at > quota->foresee_sec * Ck_USEC_PER_SEC) {
        bucket->level += bucket->foreseen;
        bucket->foreseen = 0;
        bucket->others = 0;
        return;
    }
    double more = bucket->others * seconds;
    double most = bucket->others * quota->foresee_sec;
    if (bucket->foreseen + more > most) {
        more = most > bucket->foreseen ? most - bucket->foreseen : 0;
    }
    bucket->foreseen += more;
    bucket->level -= more;
    bucket->others *= exp(-seconds / Qt_OTHERS_SEC);
}

/* What the window still has room for, less what others are foreseen to take.
 */
double
qt_room(const struct qt_bucket *bucket)
{
    return Wn_Room(&bucket->window) - fmax(bucket->foreseen, bucket->echo);
}

/* What all daemons together may spend in a window. */
double
qt_limit(const struct qt_quota *quota, const struct qt_bucket *bucket)
{
    double seconds = (double)quota->window_usec / (double)Ck_USEC_PER_SEC;
    return bucket->per_sec * seconds + bucket->burst;
}

/*
 * What comes into the bucket, a second.  Where the limit is one of windows,
 * the burst comes back within a window too, and what the window has room for
 * sooner.
 */
double
qt_refill(const struct qt_quota *quota, const struct qt_bucket *bucket)
{
    if (bucket->window.step_usec == 0) {
        return bucket->per_sec * quota->share;
    }
    double seconds = (double)quota->window_usec / (double)Ck_USEC_PER_SEC;
    double rate = qt_limit(quota, bucket) * quota->share / seconds;
    double room = qt_room(bucket);
    return room > 0 ? rate + room / (seconds * Qt_PACE_PART) : rate;
}

void
qt_fill(struct qt_quota *quota, struct qt_bucket *bucket)
{
    int64_t now = Ck_Now(quota->clock);
    double seconds =
        (double)(now - bucket->filled_at) / (double)Ck_USEC_PER_SEC;
    bucket->filled_at = now;
    foresee(quota, bucket, now, seconds);
    bucket->echo *= exp(-seconds / quota->foresee_sec);
    double part = exp(-seconds / Qt_OTHERS_SEC);
    bucket->own_asked *= part;
    bucket->others_asked *= part;
    if (bucket->window.step_usec > 0) {
        Wn_Advance(&bucket->window, bucket->per_sec * quota->share,
                   bucket->burst * quota->share, now);
    }
    double most = bucket->burst * quota->share;
    bucket->level += qt_refill(quota, bucket) * seconds;
    if (bucket->level > most) {
        bucket->level = most;
    }
    double left = bucket->per_sec * seconds * (1 - quota->share);
    bucket->reserve += left;
    /* What was left earlier than a window ago is no longer in the window. */
    double most_aside =
        (qt_limit(quota, bucket) - bucket->burst) * (1 - quota->share);
    bucket->aside = fmin(bucket->aside + left, most_aside);
    if (quota->share >= 1) {
        bucket->reserve *= exp(-seconds / Qt_RESERVE_SEC);
    }
}
