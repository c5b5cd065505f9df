/*
 * Tells when all endpoints of a service have changed to another version.
 */
#ifndef EDGE_QUARANTINE_VERSION_H
#define EDGE_QUARANTINE_VERSION_H

#include <stdint.h>

#include "edge/fleet.h"

#ifdef __cplusplus
extern "C" {
#endif

struct qv_versions;

/* All usable endpoints of a service, by its hash, have another version now. */
typedef void (*qv_fn)(void *arg, uint32_t service);

/* Returns NULL when out of memory. */
struct qv_versions *Qv_Create(qv_fn changed, void *arg);
void Qv_Destroy(struct qv_versions *versions);
void Qv_Update(struct qv_versions *versions, const struct fl_fleet *fleet);

#ifdef __cplusplus
}
#endif

#endif
