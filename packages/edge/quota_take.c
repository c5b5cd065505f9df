/* Whether a request fits into its tenant's limit, and when it would. */
#include <math.h>

#include "edge/quota_internal.h"

#define Qt_WAIT_MIN_USEC (100 * Ck_USEC_PER_MSEC)
/*
 * Part of a window's limit that requests of the usual size and larger ones
 * leave to small ones.  With less, a customer at its limit gets a request
 * of a hundredth of the usual size refused as often as the others: 123 in
 * 1,850 against 10, at no gain for the large (a day with six times a
 * customer's usual load).
 */
#define Qt_SMALL_PART 0.03
/* Requests of this part of the usual size count as small. */
#define Qt_SMALL_SIZE 0.25
/* The same where sizes hardly differ, as a multiple of how much they do. */
#define Qt_SMALL_SPREADS 16.0
/* Weight of the newest request in the usual cost; about the last 64 count. */
#define Qt_USUAL_WEIGHT (1.0 / 64)
#define Qt_ECHO_PART 0.5

static void
note_cost(struct qt_bucket *bucket, double cost)
{
    if (bucket->usual <= 0) {
        bucket->usual = cost;
    }
    double off = fabs(cost - bucket->usual);
    bucket->spread += (off - bucket->spread) * Qt_USUAL_WEIGHT;
    bucket->usual += (cost - bucket->usual) * Qt_USUAL_WEIGHT;
    bucket->asked += cost;
    bucket->own_asked += cost / Qt_OTHERS_SEC;
}

/*
 * The room that a request needs to be let in.  At a customer's limit the room
 * comes back little by little; were it to hold the whole cost, small requests
 * would take it all and large ones hardly ever get in (267 of 2,173 prompts of
 * 17,000 tokens refused beside 51 of 3,701 of 1,500).  So all from the usual
 * size on need the same, and what one takes beyond is paid for afterwards.
 */
static double
need_of(const struct qt_quota *quota, const struct qt_bucket *bucket,
        double cost)
{
    double most = bucket->burst * quota->share;
    double need = cost;
    if (bucket->window.step_usec > 0) {
        double left =
            fmin(bucket->spread * Qt_SMALL_SPREADS,
                 qt_limit(quota, bucket) * quota->share * Qt_SMALL_PART);
        double part = fmin(cost / (bucket->usual * Qt_SMALL_SIZE), 1);
        need = part * (bucket->usual + left);
    }
    /* One request may exceed what a bucket can ever hold. */
    return fmin(need, most);
}

static int64_t
wait_for(const struct qt_quota *quota, const struct qt_bucket *bucket,
         double need)
{
    int64_t wait = Qt_WAIT_MIN_USEC;
    if (bucket->level < need) {
        double seconds = (need - bucket->level) / qt_refill(quota, bucket);
        int64_t usec = (int64_t)(seconds * (double)Ck_USEC_PER_SEC);
        wait = usec > wait ? usec : wait;
    }
    if (bucket->window.step_usec > 0) {
        int64_t usec = Wn_Wait(&bucket->window, bucket->per_sec * quota->share,
                               need + fmax(bucket->foreseen, bucket->echo));
        wait = usec > wait ? usec : wait;
    }
    return wait;
}

/*
 * When there is room again at a customer's limit all daemons see it at once,
 * and each lets in what comes until it hears of the others.  What one lets in
 * is a sample of what all do, as large a one as its part of what they are
 * asked for.  A customer that asks for less than its limit has no such herd:
 * with few requests a daemon each would stand for hundreds that never came.
 */
static double
echo_of(const struct qt_quota *quota, const struct qt_bucket *bucket,
        double cost)
{
    double asked = bucket->own_asked + bucket->others_asked;
    if (bucket->window.step_usec == 0 ||
        asked < bucket->per_sec * quota->share) {
        return 0;
    }
    return cost * bucket->others_asked / bucket->own_asked * Qt_ECHO_PART;
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
    note_cost(bucket, cost);
    double need = need_of(quota, bucket, cost);
    bool full = bucket->window.step_usec > 0 && qt_room(bucket) < need;
    if (full || bucket->level < need) {
        *wait_usec = wait_for(quota, bucket, need);
        return false;
    }
    bucket->total += cost;
    bucket->echo += echo_of(quota, bucket, cost);
    qt_spend(bucket, cost);
    return true;
}

/* Gives back what a request took that was then not run. */
void
Qt_Refund(struct qt_quota *quota, const char *tenant, double cost)
{
    struct qt_bucket *bucket = qt_find(quota, Qt_Hash(tenant));
    if (bucket != NULL && bucket->per_sec > 0) {
        qt_spend(bucket, -cost);
    }
}
