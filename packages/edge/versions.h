/*
 * Metrics for operators who move a service to another version: answers by
 * version, and endpoints by data centre and version.
 */
#ifndef EDGE_VERSIONS_H
#define EDGE_VERSIONS_H

#include "base/metric.h"
#include "edge/fleet.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Counts an endpoint's answer to a caller. */
void Vs_CountAnswer(struct mt_registry *registry,
                    const struct fl_entry *entry);
/*
 * Counts a request sent to an endpoint of a service that is being moved; "why"
 * names the reason for which its version was chosen.
 */
void Vs_CountSent(struct mt_registry *registry, const struct fl_entry *entry,
                  const char *why);
/*
 * Counts an attempt that ended without telling whether its version is good;
 * "why" names how it ended.
 */
void Vs_CountUnjudged(struct mt_registry *registry,
                      const struct fl_entry *entry, const char *why);
/* Sets the gauge of endpoints by service, data centre, version and state. */
void Vs_UpdateEndpoints(struct mt_registry *registry,
                        const struct fl_fleet *fleet);

#ifdef __cplusplus
}
#endif

#endif
