/*
 * Connections to endpoints that broke.  They count against the version of
 * the endpoint only once its link has been tested: what a cut link breaks off
 * says nothing of a version.
 */
#ifndef EDGE_BREAKS_H
#define EDGE_BREAKS_H

#include "edge/exchange.h"

#ifdef __cplusplus
extern "C" {
#endif

struct bk_breaks;

struct bk_breaks *Bk_Create(struct ga_gate *gate);
void Bk_Destroy(struct bk_breaks *breaks);
/* The connection of the attempt under way broke. */
void Bk_Note(struct bk_breaks *breaks, const struct xc_exchange *exchange);
/* Counts those whose links were found sound; every Ga_TICK_USEC. */
void Bk_Tick(struct bk_breaks *breaks);

#ifdef __cplusplus
}
#endif

#endif
