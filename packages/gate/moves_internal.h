/* Shared by the files of version moves only. */
#ifndef GATE_MOVES_INTERNAL_H
#define GATE_MOVES_INTERNAL_H

#include "gate/moves.h"
#include "gate/moves_wire.h"

#define Mo_JOB_MAX 80
#define Mo_ROUTERS_MAX 512

/* One service whose configuration names a move, or whose log state does. */
struct mo_service {
    TAILQ_ENTRY(mo_service) link;
    char name[Mv_NAME_MAX];
    char job[Mo_JOB_MAX];
    struct mv_plan plan; /* as configured; "to" empty: no move */

    /* What the log says: the same on every daemon. */
    bool recorded;
    struct mw_record record;

    /* This router's guard and evidence. */
    struct mv_trip trip;
    struct mw_report report; /* of the open block */
    int64_t block_begun;

    /* The holder's. */
    bool holding;
    struct mv_move working;
    struct mv_evidence *evidence;
    int64_t block_closed;
    double peak_per_sec;
    bool appending;
};

TAILQ_HEAD(mo_list, mo_service);

struct mo_moves {
    struct gt_gate *gate;
    const struct mo_ops *ops;
    void *arg;
    struct ct_control *control;
    struct mo_list services;
    int64_t next_tick;
    uint64_t config_offset; /* of the configuration last worked by */
};

struct mo_service *Mo_Find(const struct mo_moves *moves, const char *name);
bool Mo_Active(const struct mo_service *service);
const struct mv_move *Mo_InForce(const struct mo_service *service);

void Mo_RouterTick(struct mo_moves *moves, struct mo_service *service);
void Mo_HolderTick(struct mo_moves *moves, struct mo_service *service);
void Mo_HolderStop(struct mo_service *service);

#endif
