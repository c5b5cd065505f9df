/*
 * A seeded simulation of several days of hosts: a load with peaks, prices by
 * data centre, reclaims of all reclaimable hosts of a data centre at once, and
 * offers that refuse starts for hours.
 */
#ifndef POLICY_TEST_FLEET_MODEL_H
#define POLICY_TEST_FLEET_MODEL_H

#include <stdint.h>

#include "policy/fleet.h"

#ifdef __cplusplus
extern "C" {
#endif

struct fleet_result {
    double cost;      /* price of the hosts per day */
    double uncovered; /* fraction of the requests above the capacity */
    double on_demand; /* fraction of the host hours */
    int cut_off;      /* hosts released with requests in flight */
};

void Fleet_Run(const struct ft_ops *ops, uint64_t seed, int days,
               struct fleet_result *out);

#ifdef __cplusplus
}
#endif

#endif
