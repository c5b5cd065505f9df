/*
 * One request of the load: it is sent, read as it comes, compared with the
 * answer that the stand-ins give, and counted.
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

/* What all calls share. */
struct ld_load {
    struct lp_loop *loop;
    struct ld_plan plan;
    struct ld_stats stats;
    struct rn_random random;
    struct ld_calls open;
    int64_t open_count;
    int64_t sent; /* numbers prompts and keys */
    int64_t waiting_repeats;
    void (*idle)(struct ld_load *load); /* a call has ended */
};

void Ld_SendCompletion(struct ld_load *load, enum ld_class class_index);
void Ld_SendCharge(struct ld_load *load);
void Ld_GiveUp(struct ld_load *load);

#endif
