#include "policy/quota_rank.h"

#include <math.h>

/* Requests below this fraction of the mean cost count as small. */
#define Rk_SMALL_MEAN_COSTS 0.25
/*
 * Each rank is admitted at least this fraction of its part in a division in
 * proportion to demand. The requirement is 0.6; the margin is for tokens that
 * earlier requests have used in the same window.
 */
#define Rk_PROPORTIONAL_MIN 0.75
/* Most credit of requests that found no room, which limits a later burst. */
#define Rk_CREDIT_MAX 2.0

int
Rk_Rank(double cost, double mean_cost, int route_rank)
{
    if (cost < mean_cost * Rk_SMALL_MEAN_COSTS || route_rank < 0) {
        return 0;
    }
    return route_rank < Rk_RANKS ? route_rank : Rk_RANKS - 1;
}

void
Rk_Divide(const double demand[Rk_RANKS], double rate,
          double fractions[Rk_RANKS])
{
    double total = 0;
    for (int rank = 0; rank < Rk_RANKS; rank++) {
        total += demand[rank];
    }
    double least = total > rate ? rate / total * Rk_PROPORTIONAL_MIN : 1;
    double left = rate - total * least;
    for (int rank = 0; rank < Rk_RANKS; rank++) {
        double more = fmin(left, demand[rank] * (1 - least));
        more = fmax(more, 0);
        left -= more;
        fractions[rank] =
            demand[rank] > 0 ? fmin(least + more / demand[rank], 1) : 1;
    }
}

bool
Rk_Earn(double *credit, double fraction)
{
    *credit = fmin(*credit + fraction, Rk_CREDIT_MAX);
    return *credit >= 1;
}

void
Rk_Spend(double *credit)
{
    *credit -= 1;
}

double
Rk_Wait(const double waiting[Rk_RANKS], const double served[Rk_RANKS],
        int rank, double max)
{
    double tokens = 0;
    double rate = 0;
    double wait = 0;
    for (int i = 0; i <= rank; i++) {
        tokens += waiting[i];
        rate += served[i];
        if (tokens > 0) {
            wait = fmax(wait, rate > 0 ? tokens / rate : max);
        }
    }
    return fmin(wait, max);
}
