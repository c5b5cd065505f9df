/*
 * A move is the progressive rollout of a service from its old version to a
 * new one.  This module has the circuit breaker ("trip") with which each
 * router stops sending to a faulty new version, the statistics of all routers
 * with a sequential test on them, and the state machine that raises the new
 * version's share of the traffic or rolls the move back.  The functions do no
 * I/O and read no clock; docs/design/version-moves.md describes how they are
 * combined.  Times are microseconds.
 */
#ifndef POLICY_MOVE_H
#define POLICY_MOVE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/status.h"

#ifdef __cplusplus
extern "C" {
#endif

#define Mv_NAME_MAX 64
#define Mv_BUCKETS 40
#define Mv_CELLS_MAX 16
/* Both versions are compared over time intervals ("blocks") of this length. */
#define Mv_BLOCK_USEC INT64_C(10000000)

enum mv_side { MV_OLD, MV_NEW, MV_SIDES };

/*
 * One router's counts for one route and request class in one block: requests,
 * failures, and a histogram over the buckets of Mv_Bucket() of the time to
 * first token of requests that did not fail.
 */
struct mv_cell {
    char route[Mv_NAME_MAX];
    int request_class;
    uint32_t count[MV_SIDES];
    uint32_t failed[MV_SIDES];
    uint32_t first_token[MV_SIDES][Mv_BUCKETS];
    uint32_t paced[MV_SIDES];     /* streams whose pace was judged */
    uint32_t slow_pace[MV_SIDES]; /* of these, slow; see pace.h */
};

int Mv_Bucket(int64_t usec);
int64_t Mv_BucketStart(int bucket);

/*
 * Circuit breaker: compares one router's latest outcomes of both versions and
 * trips if the new version is faulty.
 */

enum mv_outcome {
    MV_GOOD,
    MV_FAILED, /* also: the first token is long overdue */
    MV_VERY_SLOW,
};

#define Mv_TRIP_WINDOW 64   /* latest outcomes of the new version */
#define Mv_TRIP_ENDPOINTS 8 /* failing endpoints of the old version */

/*
 * One outcome of the new version, with the old version's outcomes just before
 * and after it.
 */
struct mv_trip_entry {
    uint64_t endpoint; /* hash of its id; 0: unknown */
    bool bad;
    /* Successive good outcomes of the old version just before this one. */
    int old_good_before;
    /* Outcomes of the old version until the next one of the new version. */
    int old_good;
    int old_bad;
};

struct mv_trip {
    /* Cumulative log-likelihood ratio: new version faulty against good. */
    double log_ratio;
    double old_bad_rate; /* moving average of the old version */
    int old_good_streak; /* successive good outcomes of the old version */
    bool old_observed;   /* an old outcome came since log_ratio was last 0 */
    bool tripped;
    int count;
    struct mv_trip_entry entries[Mv_TRIP_WINDOW]; /* oldest first */
    /* Endpoints of the old version whose latest outcome was bad. */
    uint64_t failing_endpoints[Mv_TRIP_ENDPOINTS];
    int next_failing;
};

void Mv_TripInit(struct mv_trip *trip);
bool Mv_TripNoteAt(struct mv_trip *trip, enum mv_side side,
                   enum mv_outcome outcome, uint64_t endpoint);
bool Mv_TripNote(struct mv_trip *trip, enum mv_side side,
                 enum mv_outcome outcome);
bool Mv_TripSuspects(const struct mv_trip *trip);
bool Mv_TripNoteCounts(struct mv_trip *trip, uint32_t good, uint32_t bad,
                       double old_bad);

/*
 * Evidence: merges the counts of all routers and tests, block by block,
 * whether the new version fails more often or is slower than the old one.
 */

struct mv_evidence;

/* Kinds of bad requests: failed ones, late first tokens, slow streams. */
enum mv_metric {
    MV_METRIC_FAILURES,
    MV_METRIC_LATENCY,
    MV_METRIC_PACE,
    MV_METRICS,
};

/* The route and class with the strongest evidence against the new version. */
struct mv_finding {
    bool alarm;
    /* Over all routes and classes; alarm at 1 / false-alarm rate. */
    double e_value;
    enum mv_metric metric;
    char route[Mv_NAME_MAX]; /* empty: all routes together */
    int request_class;
    uint64_t count[MV_SIDES];
    uint64_t bad[MV_SIDES]; /* by "metric" */
};

struct mv_totals {
    uint64_t count[MV_SIDES];
    uint64_t failed[MV_SIDES];
};

struct mv_evidence *Mv_EvidenceCreate(double false_alarms);
void Mv_EvidenceDestroy(struct mv_evidence *evidence);
enum st_status Mv_Merge(struct mv_evidence *evidence, const char *router,
                        uint64_t sequence, const struct mv_cell *cells,
                        size_t count);
void Mv_CloseBlock(struct mv_evidence *evidence);
void Mv_Finding(const struct mv_evidence *evidence, struct mv_finding *out);
void Mv_Totals(const struct mv_evidence *evidence, struct mv_totals *out);

/*
 * State machine of a move: raises the new version's share of the traffic phase
 * by phase, or rolls the move back.
 */

enum mv_phase {
    MV_PLANNED,     /* the new version has no endpoint yet */
    MV_SMALL,       /* the new version gets the first share of the traffic */
    MV_GROWING,     /* its share is raised step by step */
    MV_PROBATION,   /* it gets all but a control share for the old version */
    MV_DONE,        /* it gets all; the old version may be shut down */
    MV_ROLLED_BACK, /* rolled back: the old version gets all */
};

struct mv_plan {
    char service[Mv_NAME_MAX];
    char from[Mv_NAME_MAX];
    char to[Mv_NAME_MAX];
    double first_share;
    int64_t deadline; /* 0: none */
    bool withdrawn;
};

/* Input of a tick, as seen by the daemon that holds the move's lease. */
struct mv_tick_input {
    int new_endpoints;   /* live endpoints that have the new version loaded */
    double new_capacity; /* share of the traffic they can serve, 0 to 1 */
    bool any_tripped;    /* the circuit breaker of a router has tripped */
    double per_sec;      /* current request rate of the service */
    double peak_per_sec; /* its highest rate in the last day; 0: unknown */
};

/*
 * The state of a move.  It is written to the log, without the finding and the
 * totals, and the next holder of the lease restores it from there.
 */
struct mv_move {
    struct mv_plan plan;
    enum mv_phase phase;
    double share; /* traffic share of the new version */
    int64_t started;
    int64_t phase_since;
    int64_t step_since;
    bool peak_seen; /* the new version has served near the day's peak rate */
    char reason[160];
    struct mv_finding finding; /* at the last change of state by a tick */
    struct mv_totals totals;   /* at that change too */
};

enum st_status Mv_Begin(struct mv_move *move, const struct mv_plan *plan,
                        int64_t now);
bool Mv_Tick(struct mv_move *move, const struct mv_evidence *evidence,
             const struct mv_tick_input *input, int64_t now);
bool Mv_Revise(struct mv_move *move, const struct mv_plan *plan, int64_t now);
bool Mv_IsOver(const struct mv_move *move);
void Mv_Describe(const struct mv_move *move, char *out, size_t size);
const char *Mv_PhaseName(enum mv_phase phase);

/* What one router may send to the new version. */
struct mv_allotment {
    double share;
    int max_in_flight; /* 0: no limit; -1: none, as in struct ch_share */
};

void Mv_Allot(const struct mv_move *move, const char *router,
              const char *const *routers, size_t count, int total_in_flight,
              struct mv_allotment *out);

#ifdef __cplusplus
}
#endif

#endif
