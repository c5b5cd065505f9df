/*
 * Load forecast from the current level and trend and from the load at the same
 * time of earlier days.
 */
#include <math.h>

#include "base/clock.h"
#include "policy/fleet.h"

#define LEVEL_TIME_USEC 60e6 /* time constants of the exponential averages */
#define TREND_TIME_USEC 300e6
#define DAY_SEC INT64_C(86400)
#define DAY_GAIN 0.3

static int
quarter_of(int64_t wall)
{
    int64_t sec = wall / Ck_USEC_PER_SEC % DAY_SEC;
    return (int)(sec * Ft_QUARTERS_PER_DAY / DAY_SEC);
}

/* Records the current load; "wall" is calendar time. */
void
Ft_Observe(struct ft_forecast *forecast, double per_sec, int64_t wall,
           int64_t now)
{
    double *day = &forecast->day[quarter_of(wall)];
    bool *has_data = &forecast->has_data[quarter_of(wall)];
    *day = *has_data ? *day + (per_sec - *day) * DAY_GAIN * 0.1 : per_sec;
    *has_data = true;
    if (forecast->updated_at == 0) {
        forecast->level = per_sec;
        forecast->updated_at = now;
        return;
    }
    double elapsed = (double)(now - forecast->updated_at);
    if (elapsed <= 0) {
        return;
    }
    double before = forecast->level;
    forecast->level +=
        (per_sec - before) * (1 - exp(-elapsed / LEVEL_TIME_USEC));
    double slope = (forecast->level - before) / (elapsed / 1e6);
    forecast->trend +=
        (slope - forecast->trend) * (1 - exp(-elapsed / TREND_TIME_USEC));
    forecast->updated_at = now;
}

/*
 * Predicts the highest load within "ahead": the larger of the trend
 * extrapolated and of the load of earlier days up to that time. Hosts take
 * minutes to start, and a rise at a fixed time of day does not show in the
 * trend beforehand.
 */
double
Ft_Predict(const struct ft_forecast *forecast, int64_t ahead, int64_t wall)
{
    double most = forecast->level;
    double sec = (double)ahead / 1e6;
    most = fmax(most, forecast->level + fmax(forecast->trend, 0) * sec);
    int64_t step = DAY_SEC / Ft_QUARTERS_PER_DAY * Ck_USEC_PER_SEC;
    for (int64_t at = 0; at < ahead + step; at += step) {
        int quarter = quarter_of(wall + (at < ahead ? at : ahead));
        if (forecast->has_data[quarter]) {
            most = fmax(most, forecast->day[quarter]);
        }
    }
    return most;
}
