#include <math.h>

#include "edge/rollout.h"

/*
 * So many bad answers, or more, come by chance less often than once in
 * exp(9.5), one in 13,000 (Chernoff's bound, which overstates it).  Moves of
 * a version that is as good as the old one are judged over and over; in 40
 * moves with one answer in seven failing none is taken back.
 */
#define Ro_EVIDENCE 9.5
/* Fewer bad answers are an accident, whatever the share. */
#define Ro_BAD_LEAST 4
/*
 * A smaller difference is none that callers feel, and new endpoints have no
 * prompts kept at first.
 */
#define Ro_DIFFERENCE_LEAST 0.1

/* How surprising the new share is where the old one is the truth. */
static double
divergence(double next, double old)
{
    double sum = next * log(next / old);
    if (next < 1) {
        sum += (1 - next) * log((1 - next) / (1 - old));
    }
    return sum;
}

/*
 * The share of the old version is taken with one more bad answer than seen,
 * so that no failure among few answers is no proof of perfection.
 */
bool
Ro_IsWorse(const struct ro_count *old, const struct ro_count *next)
{
    if (next->bad < Ro_BAD_LEAST) {
        return false;
    }
    double old_share = ((double)old->bad + 1) / ((double)old->answers + 2);
    double next_share = (double)next->bad / (double)next->answers;
    return next_share - old_share >= Ro_DIFFERENCE_LEAST &&
           (double)next->answers * divergence(next_share, old_share) >
               Ro_EVIDENCE;
}
