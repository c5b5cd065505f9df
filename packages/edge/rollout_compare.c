#include <math.h>

#include "edge/rollout.h"

/*
 * Threshold of the log-likelihood ratio.  A result above it occurs by chance
 * less often than once in exp(9.5), about 13,000 (the Chernoff bound, which
 * overstates the probability).  The threshold is this high because versions
 * are compared again and again: 40 moves between equally good versions with
 * one answer in seven failing must not be rolled back.
 */
#define Ro_MIN_LOG_RATIO 9.5
/* Fewer bad answers are no evidence, whatever their rate. */
#define Ro_MIN_BAD 4
/*
 * Callers do not notice a smaller difference of the rates, and new endpoints
 * start with an empty prompt cache.
 */
#define Ro_MIN_DIFFERENCE 0.1
/*
 * The answers of one window count as at most this many.  A pause of an
 * endpoint makes a series of answers slow; if each of them counted, one pause
 * would roll a move back.
 */
#define Ro_WINDOW_MAX_WEIGHT 4.0

/* Kullback-Leibler divergence of the new version's rate from the old one's. */
static double
divergence(double new_rate, double old_rate)
{
    double result = new_rate * log(new_rate / old_rate);
    if (new_rate < 1) {
        result += (1 - new_rate) * log((1 - new_rate) / (1 - old_rate));
    }
    return result;
}

/*
 * The rate of the old version is computed with one more bad answer than seen,
 * so that few answers without failure do not count as a rate of zero.
 */
bool
Ro_IsWorseWeighted(const struct ro_weighted_count *old_count,
                   const struct ro_weighted_count *new_count)
{
    if (new_count->bad < Ro_MIN_BAD) {
        return false;
    }
    double old_rate = (old_count->bad + 1) / (old_count->answers + 2);
    double new_rate = new_count->bad / new_count->answers;
    return new_rate - old_rate >= Ro_MIN_DIFFERENCE &&
           new_count->answers * divergence(new_rate, old_rate) >
               Ro_MIN_LOG_RATIO;
}

static struct ro_weighted_count
unweighted(const struct ro_count *count)
{
    return (struct ro_weighted_count){count->answers, count->bad};
}

bool
Ro_IsWorse(const struct ro_count *old_count, const struct ro_count *new_count)
{
    struct ro_weighted_count weights[2] = {unweighted(old_count),
                                           unweighted(new_count)};
    return Ro_IsWorseWeighted(&weights[0], &weights[1]);
}

/*
 * The totals decrease when a peer becomes unreachable and its counts drop out.
 */
static double
increase(uint32_t now, uint32_t before)
{
    return now > before ? now - before : 0;
}

void
Ro_CloseWindow(struct ro_slow_counts *slow_counts,
               const struct ro_count sums[2])
{
    for (int version = 0; version < 2; version++) {
        struct ro_count *counted = &slow_counts->counted[version];
        double answers = increase(sums[version].answers, counted->answers);
        double bad = fmin(increase(sums[version].bad, counted->bad), answers);
        double weight = answers > Ro_WINDOW_MAX_WEIGHT
                            ? Ro_WINDOW_MAX_WEIGHT / answers
                            : 1;
        slow_counts->weighted[version].answers += answers * weight;
        slow_counts->weighted[version].bad += bad * weight;
        *counted = sums[version];
    }
}
