/*
 * The daemon of an entry host: callers on one side, endpoints on the other,
 * the store and the other daemons beside it.
 */
#ifndef EDGE_GATE_H
#define EDGE_GATE_H

#include "base/clock.h"
#include "base/status.h"
#include "edge/ask.h"
#include "edge/cloud.h"
#include "edge/node.h"
#include "edge/store.h"
#include "web/loop.h"

#ifdef __cplusplus
extern "C" {
#endif

struct ga_gate;

struct ga_options {
    struct lp_loop *loop;
    const struct ck_clock *clock;
    const struct nd_node *node;
    const struct ak_wire *wire;
    const struct ag_codec *codec;
    struct ag_store *store;
    struct cl_cloud *cloud;
    const char *ready_path;
    const char *metrics_path;
    uint64_t run; /* differs at each start of a process */
};

enum st_status Ga_Create(const struct ga_options *options,
                         struct ga_gate **out);
/* Begins a planned stop; the loop is stopped when it is done. */
void Ga_Stop(struct ga_gate *gate);
void Ga_Destroy(struct ga_gate *gate);

#ifdef __cplusplus
}
#endif

#endif
