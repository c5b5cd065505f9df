/*
 * Paths to endpoints: how a new connection is made, what its making showed of
 * this host's links, and tests of links that callers' requests do not make.
 */
#ifndef EDGE_PATHS_H
#define EDGE_PATHS_H

#include "edge/gate_internal.h"
#include "web/channel.h"

#ifdef __cplusplus
extern "C" {
#endif

struct pt_paths;

struct pt_paths *Pt_Create(struct ga_gate *gate);
void Pt_Destroy(struct pt_paths *paths);
void Pt_Tick(struct pt_paths *paths);

/* A connection to an endpoint; NULL without memory or descriptors. */
struct cn_channel *Pt_Connect(struct pt_paths *paths,
                              struct fl_endpoint *endpoint, cn_idle_fn idle);
/* A request that was sent at "sent_at" directly has no answer yet. */
void Pt_Unanswered(struct pt_paths *paths, struct fl_endpoint *endpoint,
                   int64_t sent_at);
/* Whether a kept connection may carry another request. */
bool Pt_MayUse(const struct pt_paths *paths, const struct cn_channel *channel);
/* Whether the links of this host to some endpoints are cut. */
bool Pt_AnyCut(const struct pt_paths *paths);

#ifdef __cplusplus
}
#endif

#endif
