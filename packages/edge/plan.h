/*
 * How many endpoints of each kind a service should have in each data centre.
 * Pure.  The load it answers: reclaimable endpoints cost a fraction of the
 * others, but all of a data centre may be taken away at once, and none may
 * be to be had for a while after.
 */
#ifndef EDGE_PLAN_H
#define EDGE_PLAN_H

#include <stdbool.h>
#include <stddef.h>

#include "edge/config.h"

#ifdef __cplusplus
extern "C" {
#endif

struct pn_zone {
    char zone[Ec_NAME_MAX];
    double price; /* of a lasting endpoint, a second */
    int lasting;  /* usable now */
    int spot;
    int lasting_ordered; /* as last confirmed, usable or still starting */
    int spot_coming;     /* confirmed lately and still starting */
    bool dry;            /* no reclaimable ones are to be had at the moment */
};

struct pn_service {
    int min; /* a data centre, both kinds together */
    int max;
    double spot_price; /* as a part of the zone's; 0: none are offered */
    int wanted;        /* endpoints that carry the load at its peaks */
    int steady;        /* endpoints that carry it but for short peaks */
};

struct pn_wish {
    int lasting;
    int spot;
};

/* Fills one wish a data centre. */
void Pn_Plan(const struct pn_service *service, const struct pn_zone *zones,
             size_t count, struct pn_wish *wishes);

#ifdef __cplusplus
}
#endif

#endif
