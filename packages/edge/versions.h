/*
 * Which version answers callers, and which versions each data centre has.
 * For operators who move a service to another version.
 */
#ifndef EDGE_VERSIONS_H
#define EDGE_VERSIONS_H

#include "base/metric.h"
#include "edge/fleet.h"

#ifdef __cplusplus
extern "C" {
#endif

/* An endpoint has answered a caller. */
void Vs_CountAnswer(struct mt_registry *registry,
                    const struct fl_entry *entry);
/* Endpoints by service, data centre, version and state, as known now. */
void Vs_ShowEndpoints(struct mt_registry *registry,
                      const struct fl_fleet *fleet);

#ifdef __cplusplus
}
#endif

#endif
