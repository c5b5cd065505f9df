/* Encoding of the quarantine's rows as gossip values, in msgpack. */
#ifndef GATE_PEER_POISON_H
#define GATE_PEER_POISON_H

#include "gate/quarantine.h"

#define Pp_PREFIX "poison/"
#define Pp_CRASHED Pp_PREFIX "ended"
#define Pp_CONTENT_CRASHED Pp_PREFIX "ended-whole"
#define Pp_CLEARED Pp_PREFIX "begun"
#define Pp_QUARANTINED Pp_PREFIX "stopped"

/*
 * Encodes the rows that belong to a key.  Returns the length, or 0 when there
 * are no such rows or they do not fit.
 */
size_t Pp_Write(const char *key, const struct gq_rows *rows, char *out,
                size_t size);
/* Decodes the rows of a key; the other lists of "out" are left empty. */
bool Pp_Read(const char *key, const void *value, size_t len,
             struct gq_rows *out);

#endif
