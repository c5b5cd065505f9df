/*
 * Asks leaving endpoints how much time they have left.  An endpoint's entry
 * says that it leaves, but not always when; its report does.  Only endpoints
 * with requests of this host are asked, and only where the service's
 * configuration allows moves of running streams.
 */
#ifndef EDGE_NOTICE_H
#define EDGE_NOTICE_H

#include "edge/gate_internal.h"

#ifdef __cplusplus
extern "C" {
#endif

struct nt_notices;

struct nt_notices *Nt_Create(struct ga_gate *gate);
void Nt_Destroy(struct nt_notices *notices);
/* Sends the requests that are due; sets fl_endpoint.leaves_at later. */
void Nt_Tick(struct nt_notices *notices);

#ifdef __cplusplus
}
#endif

#endif
