/*
 * The evidence of a move as move_evidence.c and move_judge.c share it.
 */
#ifndef POLICY_MOVE_INTERNAL_H
#define POLICY_MOVE_INTERNAL_H

#include <bsd/sys/queue.h>

#include "policy/move.h"

#define Mv_EFFECTS 5
#define Mv_QUESTIONS 2

enum mv_question { MV_FAILS, MV_SLOW };

struct mv_process {
    double log_sum[Mv_EFFECTS];
    double old_count; /* fading history */
    double old_bad;
    uint64_t count[MV_SIDES]; /* in the test so far */
    uint64_t bad[MV_SIDES];
};

struct mv_state_cell {
    bool used;
    struct mv_cell block; /* of the open block, all routers */
    struct mv_process processes[Mv_QUESTIONS];
    double history[Mv_BUCKETS]; /* of the old version, fading */
    double recent_count;        /* of the old version, fading fast */
    double recent_bad;
    struct mv_trip trip; /* on the requests of all routers */
};

struct mv_router {
    SLIST_ENTRY(mv_router) entry;
    char id[Mv_NAME_MAX];
    uint64_t sequence;
};

struct mv_evidence {
    double threshold;
    int blocks;
    double unstarted; /* weight of starts still to come */
    struct mv_state_cell
        cells[Mv_CELLS_MAX + 1]; /* the first is all together */
    SLIST_HEAD(mv_router_list, mv_router) routers;
    struct mv_totals totals;
    struct mv_finding finding;
};

void mv_start_process(struct mv_process *process, double weight);
void mv_close_cell(struct mv_state_cell *cell, double start);
void mv_judge(struct mv_evidence *evidence);

#endif
