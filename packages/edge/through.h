/*
 * Connections that this daemon makes for peers whose own links to endpoints
 * are cut.  It passes bytes on, nothing more: every decision, account and
 * deadline stays with the peer.  One hop: what it makes is its own.
 */
#ifndef EDGE_THROUGH_H
#define EDGE_THROUGH_H

#include "base/status.h"
#include "edge/gate_internal.h"

#ifdef __cplusplus
extern "C" {
#endif

struct th_through;

/* Listens; ST_INVALID where the address cannot be used. */
enum st_status Th_Create(struct ga_gate *gate, struct th_through **out);
void Th_Destroy(struct th_through *through);
/* Ends what has asked and got no connection in time. */
void Th_Tick(struct th_through *through);
/* Connections made for peers that are open. */
size_t Th_Count(const struct th_through *through);

#ifdef __cplusplus
}
#endif

#endif
