/*
 * The proxy daemon of an entry host: relays callers' requests to endpoints,
 * and exchanges state with the store and its peers.
 */
#ifndef EDGE_GATE_H
#define EDGE_GATE_H

#include "base/clock.h"
#include "base/status.h"
#include "edge/cloud.h"
#include "edge/header_codec.h"
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
    const struct hd_wire *wire;
    const struct ag_codec *codec;
    struct ag_store *store;
    struct cl_cloud *cloud;
    const char *ready_path;
    const char *metrics_path;
    uint64_t run_id; /* id of this run of the process */
};

enum st_status Ga_Create(const struct ga_options *options,
                         struct ga_gate **out);
/* Begins a graceful shutdown, which stops the loop when it is complete. */
void Ga_Stop(struct ga_gate *gate);
void Ga_Destroy(struct ga_gate *gate);

#ifdef __cplusplus
}
#endif

#endif
