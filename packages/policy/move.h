/*
 * Moving a service's traffic from one version to another: the router's own
 * trip, the evidence of all routers with a sequential test, and the state
 * machine that grows the share or takes the move back.  Everything here is
 * pure; docs/design/version-moves.md tells how the parts are put together.
 * Times are microseconds.
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
#define Mv_BLOCK_USEC INT64_C(10000000) /* evidence is compared by block */

enum mv_side { MV_OLD, MV_NEW, MV_SIDES };

/*
 * What one router saw of one route and class in one block: requests,
 * failures, and first-token times of those that did not fail, by bucket of
 * Mv_Bucket().
 */
struct mv_cell {
    char route[Mv_NAME_MAX];
    int request_class;
    uint32_t count[MV_SIDES];
    uint32_t failed[MV_SIDES];
    uint32_t first_token[MV_SIDES][Mv_BUCKETS];
};

int Mv_Bucket(int64_t usec);
int64_t Mv_BucketStart(int bucket);

/* ---- a router's own trip ---- */

enum mv_outcome {
    MV_GOOD,
    MV_FAILED, /* or no first token long after it was due */
    MV_VERY_SLOW,
};

#define Mv_TRIP_WINDOW 64   /* outcomes of the new version that are kept */
#define Mv_TRIP_ENDPOINTS 8 /* failing endpoints of the old one kept apart */

/* One outcome of the new version and what the old one did around it. */
struct mv_seen {
    uint64_t endpoint; /* hash of its id; 0: not told */
    bool bad;
    int old_before; /* good ones of the old version in a row just before */
    int old_good;   /* until the next outcome of the new one */
    int old_bad;
};

struct mv_trip {
    double sum;       /* cumulative evidence that the new one is not good */
    double old_usual; /* share of bad ones, old version */
    int old_row;      /* good ones of the old version in a row */
    bool old_seen;    /* since the sum was last 0 */
    bool tripped;
    int count;
    struct mv_seen seen[Mv_TRIP_WINDOW]; /* the oldest first */
    uint64_t failing[Mv_TRIP_ENDPOINTS]; /* old ones whose last was bad */
    int next_failing;
};

void Mv_TripInit(struct mv_trip *trip);
bool Mv_TripNoteAt(struct mv_trip *trip, enum mv_side side,
                   enum mv_outcome outcome, uint64_t endpoint);
bool Mv_TripNote(struct mv_trip *trip, enum mv_side side,
                 enum mv_outcome outcome);
bool Mv_TripSuspects(const struct mv_trip *trip);
bool Mv_TripBlock(struct mv_trip *trip, uint32_t good, uint32_t bad,
                  double old_bad);

/* ---- evidence of all routers ---- */

struct mv_evidence;

/* The cell that speaks most against the new version. */
struct mv_finding {
    bool alarm;
    double e_value; /* of all cells together; alarm at 1 over the rate */
    bool slow;      /* the first token is late; else requests fail */
    char route[Mv_NAME_MAX]; /* empty: all routes together */
    int request_class;
    uint64_t count[MV_SIDES];
    uint64_t bad[MV_SIDES]; /* failed or late */
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

/* ---- the move ---- */

enum mv_phase {
    MV_PLANNED,    /* no endpoint of the new version yet */
    MV_SMALL,      /* the new version carries the first share */
    MV_GROWING,    /* growing shares */
    MV_PROBATION,  /* it carries all; the old one is kept warm */
    MV_DONE,       /* the old one may go */
    MV_TAKEN_BACK, /* the old one carries all */
};

struct mv_plan {
    char service[Mv_NAME_MAX];
    char from[Mv_NAME_MAX];
    char to[Mv_NAME_MAX];
    double first_share;
    int64_t deadline; /* 0: none */
    bool withdrawn;
};

/* What the move's holder sees at a tick. */
struct mv_view {
    int new_endpoints;   /* live, with the version loaded */
    double new_capacity; /* share of the traffic they can carry, 0 to 1 */
    bool distrusted;     /* a router has tripped on the new version */
    double per_sec;      /* requests of the service now */
    double peak_per_sec; /* its highest in the last day; 0: not known */
};

/* The whole state of a move; a log record of it restores the holder. */
struct mv_move {
    struct mv_plan plan;
    enum mv_phase phase;
    double share; /* of the new version */
    int64_t started;
    int64_t phase_since;
    int64_t step_since;
    bool peak_seen; /* the new version has carried a load near the peak */
    char reason[160];
    struct mv_finding finding; /* at the end */
    struct mv_totals totals;   /* at the end */
};

enum st_status Mv_Begin(struct mv_move *move, const struct mv_plan *plan,
                        int64_t now);
bool Mv_Tick(struct mv_move *move, const struct mv_evidence *evidence,
             const struct mv_view *view, int64_t now);
bool Mv_Revise(struct mv_move *move, const struct mv_plan *plan, int64_t now);
bool Mv_IsOver(const struct mv_move *move);
void Mv_Sentence(const struct mv_move *move, char *out, size_t size);
const char *Mv_PhaseName(enum mv_phase phase);

/* One router's part of a share. */
struct mv_allotment {
    double share;
    int max_in_flight; /* as in struct ch_share */
};

void Mv_Allot(const struct mv_move *move, const char *router,
              const char *const *routers, size_t count, int total_in_flight,
              struct mv_allotment *out);

#ifdef __cplusplus
}
#endif

#endif
