/* Shared by the transfer files only. */
#ifndef EDGE_TRANSFER_INTERNAL_H
#define EDGE_TRANSFER_INTERNAL_H

#include "edge/exchange.h"
#include "edge/kv_call.h"
#include "edge/transfer.h"
#include "edge/transfer_plan.h"

enum call {
    COPY, /* the run goes on */
    STOP, /* the run is stopped, then copied */
    FREE, /* the copy is not used and is freed */
};

struct tr_move {
    TAILQ_ENTRY(tr_move) link;
    struct tr_transfers *transfers;
    struct xc_exchange *exchange; /* NULL: ended, or has left the run */
    struct fl_endpoint *source;   /* counted reference */
    struct fl_endpoint *target;   /* counted reference, with a slot reserved */
    struct lp_timer *timer;
    struct kc_call kv;
    enum call call;
    char id[Hd_ID_MAX];
    char handle[Hd_HANDLE_MAX]; /* of the last copy; empty: none */
    int64_t tokens;
    int64_t begun_at;
    int64_t ends_at; /* when its copy is expected to be complete */
    bool ended;      /* the stream's connection has ended, with "outcome" */
    enum cn_outcome outcome;
};

TAILQ_HEAD(move_list, tr_move);

struct tr_transfers {
    struct ga_gate *gate;
    struct move_list moves;
    struct mt_metric *started;
    struct mt_metric *succeeded;
};

/* A run that may be lost with its endpoint, and the target of its move. */
struct candidate {
    struct tr_run run;
    struct xc_exchange *exchange;
    struct xc_target target;
};

void tr_count_failed(struct tr_transfers *transfers, const char *why);
/* The request that continues the run "id" did not get an answer for it. */
void tr_note_not_continued(struct tr_transfers *transfers, const char *id,
                           const struct fl_endpoint *endpoint, int status);
void tr_start_move(struct tr_transfers *transfers,
                   const struct candidate *candidate,
                   const struct tr_run *run);
/* The exchange leaves the run.  The call's answer names the copy to free. */
void tr_leave_move(struct tr_move *move);
void tr_destroy_move(struct tr_move *move);
/* Starts the moves that are due at an endpoint that leaves. */
void tr_plan_endpoint(struct tr_transfers *transfers,
                      struct fl_endpoint *source);

#endif
