/* What other daemons spend, may be spending, and are heard to have spent. */
#include <math.h>

#include "edge/quota_internal.h"

/* What the gap between two words becomes with the time for the way and a tick
   at each end. */
#define Qt_FORESEE_MIN_SEC 0.15
#define Qt_FORESEE_GAPS 1.5
/* Nobody spends this multiple of a limit in a window. */
#define Qt_PAST_MOST 4.0
/* Words differ by this part of a limit as they come at different times. */
#define Qt_PAST_LEAST 0.05

/* With seven daemons words come ten times a second; to foresee more than what
   they leave untold would leave a tenth of a limit unused. */
void
Qt_SetPeers(struct qt_quota *quota, size_t missing, int64_t gap_usec)
{
    double gap = (double)gap_usec / (double)Ck_USEC_PER_SEC;
    quota->missing = missing;
    quota->foresee_sec = gap * Qt_FORESEE_GAPS + Qt_FORESEE_MIN_SEC;
}

/*
 * Hosts that are no longer heard may spend their share of what was left, too.
 */
static void
leave_to_unheard(struct qt_bucket *bucket, double part)
{
    if (bucket->level > 0) {
        bucket->level *= 1 - part;
    }
    if (bucket->window.step_usec == 0) {
        return;
    }
    double room = qt_room(bucket);
    if (room > 0) {
        Wn_Spend(&bucket->window, room * part);
        bucket->aside += room * part;
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
            leave_to_unheard(bucket, 1 - share / quota->share);
        }
    }
    quota->share = share;
}

/*
 * What was left to a daemon that is heard again is free, less what it then
 * says that it spent: nothing, if it had died.  Kept aside for the rest of
 * the window, a customer within its limit was refused for seconds after a cut
 * of two hosts in seven (107 of 646 requests against 23).
 */
void
Qt_Returned(struct qt_quota *quota)
{
    size_t missing = quota->missing > 0 ? quota->missing : 1;
    for (size_t i = 0; i < quota->count; i++) {
        struct qt_bucket *bucket = &quota->buckets[i];
        qt_fill(quota, bucket);
        double back = bucket->aside / (double)missing;
        bucket->aside -= back;
        Wn_Spend(&bucket->window, -back);
    }
    quota->missing = missing - 1;
}

void
Qt_Asked(struct qt_quota *quota, uint32_t tenant, double cost)
{
    struct qt_bucket *bucket = qt_find(quota, tenant);
    if (bucket != NULL) {
        qt_fill(quota, bucket);
        bucket->others_asked += cost / Qt_OTHERS_SEC;
    }
}

void
Qt_Spent(struct qt_quota *quota, uint32_t tenant, double cost, bool apart)
{
    struct qt_bucket *bucket = qt_find(quota, tenant);
    if (bucket == NULL) {
        return;
    }
    qt_fill(quota, bucket);
    if (apart) {
        /* The level was held back for it, the window is told the whole. */
        double reserved = cost < bucket->reserve ? cost : bucket->reserve;
        bucket->reserve -= reserved;
        bucket->level -= cost - reserved;
        Wn_Spend(&bucket->window, cost);
        return;
    }
    bucket->told_at = bucket->filled_at;
    bucket->others += cost / Qt_OTHERS_SEC;
    double known = cost < bucket->foreseen ? cost : bucket->foreseen;
    bucket->foreseen -= known;
    qt_spend(bucket, cost);
    bucket->level += known;
}

void
Qt_ToldPast(struct qt_quota *quota, uint32_t tenant,
            const struct wn_past *past)
{
    struct qt_bucket *bucket = qt_find(quota, tenant);
    if (bucket == NULL || bucket->window.step_usec == 0 ||
        Ck_Now(quota->clock) - quota->started_at >= quota->window_usec) {
        return;
    }
    qt_fill(quota, bucket);
    struct wn_past known = Wn_Past(&bucket->window);
    double more = past->older + past->newer - known.older - known.newer;
    double limit = qt_limit(quota, bucket);
    if (more > limit * Qt_PAST_LEAST &&
        past->older + past->newer < limit * Qt_PAST_MOST) {
        Wn_SetPast(&bucket->window, past);
        bucket->level -= more;
    }
}
