/*
 * Computes how many spot and on-demand endpoints a service should have in each
 * data centre.  The functions are pure.  Spot endpoints cost a fraction of
 * on-demand endpoints, but the platform may reclaim all of them in a data
 * centre at once and may have no spot capacity for a while afterwards.
 */
#ifndef EDGE_PLAN_H
#define EDGE_PLAN_H

#include <stdbool.h>
#include <stddef.h>

#include "base/clock.h"
#include "edge/config.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The usual fraction of the endpoints needed below which answers come late.
 * De_EndpointsNeeded() adds headroom for a burst and for the loss of a data
 * centre.  With this fraction of its result, endpoints are about half utilized
 * and still answer on time.
 */
#define Pn_MIN_FRACTION 0.55

struct pn_zone {
    char zone[Ec_NAME_MAX];
    double price;  /* of an on-demand endpoint per second */
    int on_demand; /* usable on-demand endpoints */
    int spot;
    /* last confirmed order; includes usable and starting endpoints; negative:
       none yet */
    int on_demand_ordered;
    int spot_starting;     /* ordered recently and still starting */
    bool spot_unavailable; /* the platform has no spot capacity now */
};

struct pn_service {
    int min; /* per data centre, both kinds together */
    int max;
    double spot_price; /* fraction of the zone's price; 0: no spot offered */
    int peak;          /* endpoints needed at load peaks */
    int baseline;      /* endpoints needed without short peaks */
    /* data centres whose spot endpoints were recently reclaimed */
    int zones_reclaimed;
    /* fraction of the baseline below which answers come late */
    double min_fraction;
};

struct pn_target {
    int on_demand;
    int spot;
};

/* Moving average of the endpoints needed, without short peaks. */
struct pn_baseline {
    double endpoints;
    int64_t updated_at; /* time of the last update; 0: never */
};

/* The value may come from this daemon or from the previous lease holder. */
void Pn_StartBaseline(struct pn_baseline *baseline, int endpoints,
                      int64_t now);
void Pn_UpdateBaseline(struct pn_baseline *baseline, int needed, int64_t now);

/*
 * Estimate of the endpoints that a service needs: the peak of the recent past
 * and the baseline.
 */
struct pn_estimate {
    int peak;
    int64_t peak_at; /* when the peak was last reached */
    struct pn_baseline baseline;
};

/*
 * Resets the estimate when a lease begins; "inherited" is the need recorded by
 * the previous lease holder, or 0.
 */
void Pn_StartEstimate(struct pn_estimate *estimate, int inherited,
                      int64_t now);
/*
 * "needed" is the number of endpoints for the current load, or 0 if the load
 * is not known; "observed" is the number of usable endpoints of the larger
 * kind.
 */
void Pn_UpdateEstimate(struct pn_estimate *estimate, int needed, int observed,
                       int64_t now);

/* Writes one target per data centre. */
void Pn_Plan(const struct pn_service *service, const struct pn_zone *zones,
             size_t count, struct pn_target *targets);
/*
 * Returns how many of a data centre's target of spot endpoints can be ordered
 * now: as many as the on-demand order in force leaves of "max".
 */
int Pn_SpotOrder(const struct pn_zone *zone, int max, int target);

#ifdef __cplusplus
}
#endif

#endif
