/*
 * Endpoints that have just started, as a request meets them: which of them
 * this daemon may send to at the moment.
 */
#ifndef EDGE_WARMING_H
#define EDGE_WARMING_H

#include "edge/gate_internal.h"

enum wa_state {
    WA_OPEN,    /* it is warm, or may be sent to all the same */
    WA_DOUBTED, /* it may be cold: only where there is no other */
    WA_CLOSED,  /* it is cold, and others serve it */
};

enum wa_state Wa_State(const struct ga_gate *gate,
                       struct fl_endpoint *endpoint,
                       const struct ec_service *service, int64_t now);
void Wa_Sent(const struct ga_gate *gate, struct fl_endpoint *endpoint,
             const struct ec_service *service, int64_t now);
/* It broke off: it may have started again. */
void Wa_Broke(struct fl_endpoint *endpoint, const struct ec_service *service,
              int64_t now);

#endif
