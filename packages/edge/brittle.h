/*
 * Brittle endpoints: they report that they crash when they have to refuse more
 * than a given number of requests in a second; see policy/brittle.h.
 */
#ifndef EDGE_BRITTLE_H
#define EDGE_BRITTLE_H

#include "edge/gate_internal.h"
#include "edge/mesh.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Takes the number of refusals in a second that the endpoint tolerates, as
 * reported by its answer to a request sent at "sent_at"; "max_refusals" below
 * 0: the answer does not report it.
 */
void Bt_NoteAnswer(struct ga_gate *gate, struct fl_endpoint *endpoint,
                   int max_refusals, int64_t sent_at);
/* Write to, and read from, the gossip messages between hosts. */
void Bt_FillMessage(const struct ga_gate *gate, struct ms_message *message);
void Bt_ApplyMessage(struct ga_gate *gate, const struct ms_message *message);
/* Whether the endpoint is brittle and must get no request now. */
bool Bt_IsClosed(const struct ga_gate *gate, struct fl_endpoint *endpoint);
void Bt_NoteSent(const struct ga_gate *gate, struct fl_endpoint *endpoint);
/*
 * The endpoint refused a request because it was full; logs on what knowledge
 * the request was sent.
 */
void Bt_NoteRefused(struct ga_gate *gate, struct fl_endpoint *endpoint);

#ifdef __cplusplus
}
#endif

#endif
