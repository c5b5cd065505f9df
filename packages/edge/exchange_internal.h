/* Shared by the exchange files only. */
#ifndef EDGE_EXCHANGE_INTERNAL_H
#define EDGE_EXCHANGE_INTERNAL_H

#include "edge/exchange.h"

/* Time after which a slot is likely to be free when all are in use. */
#define Xc_BUSY_RETRY_USEC (300 * Ck_USEC_PER_MSEC)

/* Sends the request to an endpoint; false: no connection to spare. */
bool xc_send_to(struct xc_exchange *exchange, const struct xc_target *target);
/* Sets the timer for what is due next. */
void xc_set_timer(struct xc_exchange *exchange);
void xc_on_timer(void *arg);

#endif
