/* Endpoints that say that they are brittle; see policy/brittle.h. */
#ifndef EDGE_BRITTLE_H
#define EDGE_BRITTLE_H

#include "edge/gate_internal.h"

#ifdef __cplusplus
extern "C" {
#endif

/* An endpoint says what its service bears; "most" below 0: nothing. */
void Bt_Told(struct ga_gate *gate, const struct fl_endpoint *endpoint,
             int most);
/* Whether a brittle endpoint may not be sent a request now. */
bool Bt_Closed(const struct ga_gate *gate, struct fl_endpoint *endpoint);
void Bt_Sent(const struct ga_gate *gate, struct fl_endpoint *endpoint);
/* It turned a request away for want of room. */
void Bt_Refused(const struct ga_gate *gate, struct fl_endpoint *endpoint);

#ifdef __cplusplus
}
#endif

#endif
