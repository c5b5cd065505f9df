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

/*
 * One router with two engines of the old version.  An engine that is killed
 * fails all it had in flight at once, then refuses some more; one that fails
 * all is ejected and tried again.
 */
struct trip_model {
    uint64_t seed;
    double share; /* of the new version */
    int new_engines;
    int requests;
    double new_bad; /* share that the new version fails from "bad_at" on */
    int bad_at;
    double outage; /* share that both fail in an outage */
    int outage_at;
    int outage_for;
    bool killed; /* the first engine of "killed_side" */
    enum mv_side killed_side;
    int killed_at;
    int in_flight;
    int refused;
    bool failing; /* the same of an engine that fails all */
    enum mv_side failing_side;
    int failing_at;
    double resets; /* share that the first engine of the old one resets */
};

struct trip_outcome {
    bool tripped;
    bool early; /* before the new version was bad */
    int hurt;   /* failures of the new version since it was bad */
};

void Trip_Run(const struct trip_model *model, struct trip_outcome *out);

/*
 * A new version that fails all after "old_failed" failures in a row of one
 * old engine, "known" good ones before and "between" good ones of the other
 * to each failure of the new one; returns these failures.
 */
int Trip_AfterOldFailures(int known, int old_failed, int between);

void Move_Run(const struct move_model *model, struct move_outcome *out);

#ifdef __cplusplus
}
#endif

#endif
