/*
 * Paths to endpoints: connects directly or through a peer, learns from the
 * outcomes whether this host's link to an endpoint is cut, and tests links
 * with connections of its own.
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

/* Connects to an endpoint; NULL when out of memory or descriptors. */
struct cn_channel *Pt_Connect(struct pt_paths *paths,
                              struct fl_endpoint *endpoint, cn_idle_fn idle);
/*
 * Sets the address and target of a way to an endpoint, by the peer in
 * way->peer or directly if that is 0; false: the peer is not known.
 */
bool Pt_FillWay(const struct pt_paths *paths,
                const struct fl_endpoint *endpoint, struct di_way *way);
/*
 * Sets another way instead: the peer in way->peer makes no connection to the
 * endpoint.
 */
void Pt_FillOtherWay(struct pt_paths *paths,
                     const struct fl_endpoint *endpoint, struct di_way *way);
/* Notes that a request sent directly at "sent_at" has no answer yet. */
void Pt_NoteUnanswered(struct pt_paths *paths, struct fl_endpoint *endpoint,
                       int64_t sent_at);
/*
 * A connection through a peer broke: the peer may have ended, and with it all
 * connections that lead through it.  Other peers come before it for a while.
 */
void Pt_NoteRelayBroke(struct pt_paths *paths, uint32_t peer);
/* Whether an idle connection may be reused for another request. */
bool Pt_MayReuse(const struct pt_paths *paths,
                 const struct cn_channel *channel);
/* Whether this host's link to any endpoint is cut. */
bool Pt_AnyCut(const struct pt_paths *paths);

#ifdef __cplusplus
}
#endif

#endif
