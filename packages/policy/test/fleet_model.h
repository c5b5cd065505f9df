/*
 * A seeded model of days of hosts: a load with peaks, prices by data centre,
 * reclaims of a data centre's worth at once, and starts refused for hours.
 */
#ifndef POLICY_TEST_FLEET_MODEL_H
#define POLICY_TEST_FLEET_MODEL_H

#include <stdint.h>

#include "policy/fleet.h"

#ifdef __cplusplus
extern "C" {
#endif

struct fleet_result {
    double cost;      /* a day */
    double uncovered; /* share of requests above the capacity */
    double on_demand; /* share of host hours */
    int cut;          /* hosts released with work in flight */
};

void Fleet_Run(const struct ft_ops *ops, uint64_t seed, int days,
               struct fleet_result *out);

#ifdef __cplusplus
}
#endif

#endif
