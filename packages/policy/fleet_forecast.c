/*
 * Load forecast: level and trend of now, and the same time of earlier days.
 */
#include <math.h>

#include "base/clock.h"
#include "policy/fleet.h"

#define LEVEL_TIME 60e6 /* time constants, usec */
#define TREND_TIME 300e6
#define DAY_SEC INT64_C(86400)
#define DAY_GAIN 0.3

static int
slot_of(int64_t wall)
{
    int64_t sec = wall / Ck_USEC_PER_SEC % DAY_SEC;
    return (int)(sec * Ft_SLOTS_OF_DAY / DAY_SEC);
}

/* Enters the load seen now; "wall" is calendar time. */
void
Ft_Observe(struct ft_forecast *forecast, double per_sec, int64_t wall,
           int64_t now)
{
    double *day = &forecast->day[slot_of(wall)];
    bool *known = &forecast->known[slot_of(wall)];
    *day = *known ? *day + (per_sec - *day) * DAY_GAIN * 0.1 : per_sec;
    *known = true;
    if (forecast->seen_at == 0) {
        forecast->level = per_sec;
        forecast->seen_at = now;
        return;
    }
    double passed = (double)(now - forecast->seen_at);
    if (passed <= 0) {
        return;
    }
    double before = forecast->level;
    forecast->level += (per_sec - before) * (1 - exp(-passed / LEVEL_TIME));
    double slope = (forecast->level - before) / (passed / 1e6);
    forecast->trend +=
        (slope - forecast->trend) * (1 - exp(-passed / TREND_TIME));
    forecast->seen_at = now;
}

/*
 * The load to be ready for within "ahead": the larger of the trend carried
 * on and of what earlier days brought by then.  Hosts take minutes to start,
 * and a school's lunch break does not announce itself.
 */
double
Ft_Predict(const struct ft_forecast *forecast, int64_t ahead, int64_t wall)
{
    double most = forecast->level;
    double sec = (double)ahead / 1e6;
    most = fmax(most, forecast->level + fmax(forecast->trend, 0) * sec);
    int64_t step = DAY_SEC / Ft_SLOTS_OF_DAY * Ck_USEC_PER_SEC;
    for (int64_t at = 0; at < ahead + step; at += step) {
        int slot = slot_of(wall + (at < ahead ? at : ahead));
        if (forecast->known[slot]) {
            most = fmax(most, forecast->day[slot]);
        }
    }
    return most;
}
