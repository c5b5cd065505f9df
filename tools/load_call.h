/*
 * Sends one request, reads its answer as it arrives, compares the answer with
 * the one that the stand-ins are known to give, and counts the outcome.
 */
#ifndef TOOLS_LOAD_CALL_H
#define TOOLS_LOAD_CALL_H

#include <bsd/sys/queue.h>

#include "base/random.h"
#include "tools/load_plan.h"
#include "tools/load_stats.h"
#include "web/loop.h"

struct ld_call;
struct ld_charge;

LIST_HEAD(ld_calls, ld_call);

/* The state that all calls of a run share. */
struct ld_load {
    struct lp_loop *loop;
    struct ld_plan plan;
    struct ld_stats stats;
    struct rn_random random;
    struct ld_calls open;
    int64_t open_count;
    int64_t sent; /* numbers the prompts and idempotency keys */
    int64_t pending_retries;
    void (*call_ended)(struct ld_load *load); /* called when a call ends */
};

void Ld_SendCompletion(struct ld_load *load, enum ld_class class_index);
void Ld_SendCharge(struct ld_load *load);
void Ld_CancelAll(struct ld_load *load);

#endif
