/*
 * Moves streams, with the KV caches of their runs, away from endpoints that
 * are about to leave.
 */
#ifndef EDGE_TRANSFER_H
#define EDGE_TRANSFER_H

#include "edge/gate_internal.h"

struct tr_transfers;

struct tr_transfers *Tr_Create(struct ga_gate *gate);
/* All exchanges must have ended. */
void Tr_Destroy(struct tr_transfers *transfers);
/* To be called every Ga_TICK_USEC. */
void Tr_Tick(struct tr_transfers *transfers);

/*
 * The connection of the exchange's attempt has ended.  Returns whether the
 * answer of a call that stops the run decides how the exchange goes on.
 */
bool Tr_HoldEnd(struct xc_exchange *exchange, enum cn_outcome outcome);
/* The exchange's attempt is about to be released. */
void Tr_NoteRelease(struct xc_exchange *exchange);
/*
 * The request that continues a moved run was answered or given up.  "good":
 * the run continues, at the target or at its source.
 */
void Tr_NoteAnswer(struct xc_exchange *exchange, bool good);

#endif
