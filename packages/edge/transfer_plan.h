/*
 * Which streams of an endpoint that is about to leave are moved, in which
 * order and when.  Pure: takes the observations and the time left.  Times are
 * microseconds.
 */
#ifndef EDGE_TRANSFER_PLAN_H
#define EDGE_TRANSFER_PLAN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "policy/stream.h"

#ifdef __cplusplus
extern "C" {
#endif

enum tr_step {
    TR_LEAVE,     /* ends in time, is resumed later, or cannot be moved */
    TR_LATER,     /* may still end in time, and a move can wait */
    TR_COPY,      /* copy while the run goes on; it is stopped after that */
    TR_STOP_COPY, /* stop the run at once, and copy it */
};

struct tr_run {
    size_t index; /* the caller's number of the run */
    struct sm_stream stream;
    /* Without the wait for other moves, which the plan adds. */
    struct sm_target target;
    enum tr_step step; /* out */
    bool resumable;
};

/* The link of the endpoint that leaves. */
struct tr_link {
    int64_t busy;       /* time that the moves begun by this host still take */
    int others_running; /* requests of other hosts at the endpoint */
};

void Tr_Settings(struct sm_settings *settings);
/*
 * Sets "step" of all runs, and reorders them: moves are begun in the order of
 * the array.
 */
void Tr_Plan(const struct tr_link *link, struct rn_random *random,
             struct tr_run *runs, size_t count);

#ifdef __cplusplus
}
#endif

#endif
