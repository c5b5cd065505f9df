/* Private to moves.c, moves_holder.c and moves_router.c. */
#ifndef GATE_MOVES_INTERNAL_H
#define GATE_MOVES_INTERNAL_H

#include "gate/moves.h"
#include "gate/moves_wire.h"

#define Mo_JOB_MAX 80
#define Mo_ROUTERS_MAX 512

/* A service with a move in its configuration or in the log. */
struct mo_service {
    TAILQ_ENTRY(mo_service) link;
    char name[Mv_NAME_MAX];
    char job[Mo_JOB_MAX]; /* of the lease: "move/NAME" */
    struct mv_plan plan;  /* from the configuration; "to" empty: no move */

    /* State replicated from the log, the same on every daemon. */
    bool recorded;
    struct mw_record record;

    /* This router's circuit breaker and outcome counts. */
    struct mv_trip trip;
    struct mw_report report;        /* of the current block */
    struct pa_typical typical_pace; /* of the old version */
    int64_t block_started_at;

    /* Used by the lease holder only. */
    bool holding;
    struct mv_move working; /* the state to log; "record" is the logged one */
    struct mv_evidence *evidence;
    int64_t block_closed_at;
    double peak_per_sec; /* highest request rate seen */
    bool appending;      /* an append of the state is open */
};

TAILQ_HEAD(mo_list, mo_service);

struct mo_moves {
    struct gt_gate *gate;
    const struct mo_ops *ops;
    void *arg;
    struct ct_control *control;
    struct mo_list services;
    int64_t next_tick;
    uint64_t config_offset; /* of the configuration that the plans are from */
};

struct mo_service *Mo_Find(const struct mo_moves *moves, const char *name);
bool Mo_NeedsHolder(const struct mo_service *service);
const struct mv_move *Mo_LoggedMove(const struct mo_service *service);

void Mo_RouterTick(struct mo_moves *moves, struct mo_service *service);
void Mo_HolderTick(struct mo_moves *moves, struct mo_service *service);
void Mo_HolderStop(struct mo_service *service);

#endif
