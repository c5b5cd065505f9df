/*
 * Statistics of a move, shared by move_evidence.c and move_judge.c.
 */
#ifndef POLICY_MOVE_INTERNAL_H
#define POLICY_MOVE_INTERNAL_H

#include <bsd/sys/queue.h>

#include "policy/move.h"

#define Mv_EFFECTS 5
/* The sequential test of one metric of one route and class. */
struct mv_seq_test {
    double log_e_value[Mv_EFFECTS]; /* one for each assumed effect size */
    double old_count;               /* decayed counts of the old version */
    double old_bad;
    uint64_t count[MV_SIDES]; /* requests tested so far */
    uint64_t bad[MV_SIDES];
};

struct mv_cell_state {
    bool used;
    struct mv_cell block; /* counts of the open block, all routers */
    struct mv_seq_test tests[MV_METRICS];
    double old_first_token[Mv_BUCKETS]; /* decayed histogram */
    double old_recent_count;            /* decayed over a few blocks */
    double old_recent_bad;
    struct mv_trip trip; /* fed with the requests of all routers */
};

struct mv_router {
    SLIST_ENTRY(mv_router) entry;
    char id[Mv_NAME_MAX];
    uint64_t sequence;
};

struct mv_evidence {
    double threshold; /* e-value of an alarm */
    int blocks;
    double pending_weight; /* prior weight of fault onsets yet to come */
    struct mv_cell_state cells[Mv_CELLS_MAX + 1]; /* [0]: sum of all */
    SLIST_HEAD(mv_router_list, mv_router) routers;
    struct mv_totals totals;
    struct mv_finding finding;
};

void mv_init_test(struct mv_seq_test *test, double weight);
void mv_close_cell(struct mv_cell_state *cell, double onset_weight);
void mv_update_finding(struct mv_evidence *evidence);

#endif
