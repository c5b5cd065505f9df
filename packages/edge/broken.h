/*
 * Broken connections to endpoints.  A broken connection counts as a failure
 * of the endpoint's version only after the link to the endpoint has been
 * tested: connections over a cut link break whatever the version.  The test
 * also tells whether the endpoint still lives: what broke with an endpoint
 * that died is counted apart from what living endpoints fail.
 */
#ifndef EDGE_BROKEN_H
#define EDGE_BROKEN_H

#include "edge/exchange.h"

#ifdef __cplusplus
extern "C" {
#endif

struct bk_breaks;

struct bk_breaks *Bk_Create(struct ga_gate *gate);
void Bk_Destroy(struct bk_breaks *breaks);
/*
 * The connection of the current attempt broke.  Returns false if the break
 * tells nothing about the endpoint's version.
 */
bool Bk_Note(struct bk_breaks *breaks, const struct xc_exchange *exchange);
/*
 * Counts the broken connections whose link is not cut; to be called every
 * Ga_TICK_USEC.
 */
void Bk_Tick(struct bk_breaks *breaks);

#ifdef __cplusplus
}
#endif

#endif
