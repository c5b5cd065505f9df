/* Shared by the files of the holder's work only. */
#ifndef EDGE_WORK_INTERNAL_H
#define EDGE_WORK_INTERNAL_H

#include "edge/gate_internal.h"
#include "edge/plan.h"

#define Wo_ORDERS_MAX 64
#define Wo_SERVICES_MAX 16
/* A call that was not taken is made again after this. */
#define Wo_RETRY_USEC (700 * Ck_USEC_PER_MSEC)

struct order {
    char service[Ec_NAME_MAX];
    char zone[Ec_NAME_MAX];
    bool spot;
    int wanted;
    int confirmed;        /* -1: none under this fence */
    int present;          /* usable when last planned */
    int most;             /* the most usable since there were none */
    int64_t reclaimed_at; /* when all were gone that had been ordered */
    int64_t asked_at;
    int64_t raised_at; /* when a larger number was last confirmed */
    int64_t dry_until;
    bool busy;
    struct wo_work *work;
};

/* What a service was found to need in this term. */
struct base {
    char service[Ec_NAME_MAX];
    struct pn_estimate found;
    bool settled; /* its endpoints are all known */
};

/* What operators were last told of a move. */
struct told_move {
    bool known;
    int64_t order;
    enum ro_state state;
};

struct wo_work {
    struct ga_gate *gate;
    struct told_move told[Ro_MOVES_MAX];
    int64_t status_end; /* of the operators' topic; -1: not known */
    int64_t tell_at;
    bool telling;
    size_t telling_move;
    int64_t telling_order;
    enum ro_state telling_state;
    int64_t report_window; /* under way; 0: none */
    int64_t retry_at;
    int64_t planned_at;
    size_t order_count;
    struct order orders[Wo_ORDERS_MAX];
    size_t base_count;
    struct base bases[Wo_SERVICES_MAX];
};

/* Plans every service that may be ordered, and orders what differs. */
void wo_tick_orders(struct wo_work *work);
void wo_tick_moves(struct wo_work *work);
void wo_begin_moves(struct wo_work *work);

#endif
