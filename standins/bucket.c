#include "standins/bucket.h"

#include "base/clock.h"

/* Starts with a full bucket. */
void
Bk_Init(struct bk_bucket *bucket, double rate, double burst, int64_t now)
{
    bucket->rate = rate;
    bucket->burst = burst;
    bucket->level = burst;
    bucket->last = now;
}

/* Takes one; false when the rate is used up. */
bool
Bk_Take(struct bk_bucket *bucket, int64_t now)
{
    double gained =
        (double)(now - bucket->last) * bucket->rate / Ck_USEC_PER_SEC;
    bucket->last = now;
    bucket->level += gained;
    if (bucket->level > bucket->burst) {
        bucket->level = bucket->burst;
    }
    if (bucket->level < 1) {
        return false;
    }
    bucket->level -= 1;
    return true;
}
