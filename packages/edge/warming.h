/*
 * Slow start: whether this host may send a request to an endpoint that has
 * just started and is still cold; see policy/warmup.h.
 */
#ifndef EDGE_WARMING_H
#define EDGE_WARMING_H

#include "edge/gate_internal.h"

enum wa_state {
    WA_OPEN,       /* the endpoint is warm, or this host may send to it */
    WA_MAYBE_COLD, /* it may be cold: to be used only if there is no other */
    WA_CLOSED,     /* it is cold, and reserved for other hosts */
};

enum wa_state Wa_State(const struct ga_gate *gate,
                       struct fl_endpoint *endpoint,
                       const struct ec_service *service, int64_t now);
void Wa_NoteSent(const struct ga_gate *gate, struct fl_endpoint *endpoint,
                 const struct ec_service *service, int64_t now);
/* A connection broke: the endpoint may have restarted. */
void Wa_NoteBroken(struct fl_endpoint *endpoint,
                   const struct ec_service *service, int64_t now);

#endif
