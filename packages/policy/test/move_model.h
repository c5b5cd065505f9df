/*
 * A seeded simulation of one version move on all routers, which measures
 * false alarms and the detection of faults.
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
    FAULT_FAILS,        /* 30% fail from the start */
    FAULT_FAILS_LITTLE, /* 3% fail from the start */
    FAULT_SLOWS,        /* the time to first token is doubled */
    FAULT_LATE,         /* 30% fail from minute 35 on */
    FAULT_LOAD,         /* 20% fail while the load is above 80% of its peak */
    FAULT_ROUTE,        /* 20% fail on one route of four (a tenth of all) */
    FAULT_KINDS
};

struct move_model {
    uint64_t seed;
    double per_sec; /* peak rate; the rate swings between half and all of it */
    int routers;
    double usual_failure_rate; /* failure rate of a good version */
    enum move_fault fault;
    bool without_trip;
    double stalls_per_min; /* of a random engine of a random version */
};

struct move_outcome {
    struct mv_move move;
    bool tripped;          /* the circuit breaker of a router tripped */
    int64_t fault_at;      /* since the start of the move; -1: no fault */
    int64_t ended_at;      /* since the start of the move */
    uint64_t new_failures; /* failed requests of the new version */
    uint64_t requests;     /* all requests of the new version */
    double share_at_end;   /* of the new version, before the last tick */
};

/*
 * Simulates one router and two outages of a dependency of both versions, in
 * which the fraction "bad" of the requests fails.  The new version gets the
 * share "share".  True when the router's circuit breaker tripped.
 */
bool Outage_Run(uint64_t seed, double bad, double share);

/*
 * One router with two engines of the old version.  When an engine is killed,
 * all its requests in flight fail at once, and it refuses some further ones.
 * An engine that fails all requests is ejected and tried again later.  Times
 * ("_at", "_for") are counted in requests.
 */
struct trip_model {
    uint64_t seed;
    double share; /* traffic share of the new version */
    int new_engines;
    int requests;
    double new_failure_rate; /* failure rate of the new version from "bad_at"
                                on */
    int bad_at;
    double
        outage_failure_rate; /* failure rate of both versions in an outage */
    int outage_at;
    int outage_for;
    bool killed; /* the first engine of "killed_side" is killed */
    enum mv_side killed_side;
    int killed_at;
    int in_flight;
    int refused;
    bool failing; /* the first engine of "failing_side" fails all requests */
    enum mv_side failing_side;
    int failing_at;
    /* Fraction of its requests that the old version's first engine resets. */
    double resets;
};

struct trip_outcome {
    bool tripped;
    bool early;       /* tripped before the fault of the new version began */
    int new_failures; /* failures of the new version since its fault began */
};

void Trip_Run(const struct trip_model *model, struct trip_outcome *out);

/*
 * One router after "known" good outcomes of the old version and "old_failed"
 * successive failures of one old engine.  The new version fails all requests,
 * with "between" good outcomes of the other old engine after each failure.
 * Returns the number of failures of the new version until the trip.
 */
int Trip_AfterOldFailures(int known, int old_failed, int between);

void Move_Run(const struct move_model *model, struct move_outcome *out);

#ifdef __cplusplus
}
#endif

#endif
