/*
 * A seeded model of one version move over all routers, to measure false
 * alarms and detection with.
 */
#ifndef POLICY_TEST_MOVE_MODEL_H
#define POLICY_TEST_MOVE_MODEL_H

#include <stdbool.h>
#include <stdint.h>

#include "policy/move.h"

#ifdef __cplusplus
extern "C" {
#endif

enum move_fault {
    FAULT_NONE,
    FAULT_FAILS,        /* 30% fail at once */
    FAULT_FAILS_LITTLE, /* 3% fail at once */
    FAULT_SLOWS,        /* first tokens take twice as long */
    FAULT_LATE,         /* 30% fail from 35 minutes on */
    FAULT_LOAD,         /* 20% fail while the load is above 80% of its peak */
    FAULT_ROUTE,        /* 20% fail on one route of four (a tenth of all) */
    FAULT_KINDS
};

struct move_model {
    uint64_t seed;
    double per_sec; /* at the peak; the load swings between half and all */
    int routers;
    double old_failed; /* share of failures of a good version */
    enum move_fault fault;
    bool without_trip;
    double stalls_per_min; /* pauses of an engine of one of the versions */
};

struct move_outcome {
    struct mv_move move;
    bool tripped;        /* by a router */
    int64_t fault_at;    /* -1: never began */
    int64_t ended_at;    /* since the start of the move */
    uint64_t hurt;       /* failed requests on the new version */
    uint64_t requests;   /* on the new version */
    double share_at_end; /* before the end */
};

/*
 * One router, two outages of what both versions use with "bad" of the
 * requests failing; "share" goes to the new version.  True when it tripped.
 */
bool Outage_Run(uint64_t seed, double bad, double share);

void Move_Run(const struct move_model *model, struct move_outcome *out);

#ifdef __cplusplus
}
#endif

#endif
