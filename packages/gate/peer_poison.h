/* What daemons say of parts that end engines, as facts in msgpack. */
#ifndef GATE_PEER_POISON_H
#define GATE_PEER_POISON_H

#include "gate/quarantine.h"

#define Pp_PREFIX "poison/"
#define Pp_ENDED Pp_PREFIX "ended"
#define Pp_BEGUN Pp_PREFIX "begun"
#define Pp_STOPPED Pp_PREFIX "stopped"

/* The rows of one key; 0 when there are none, or they do not fit. */
size_t Pp_Write(const char *key, const struct gq_word *word, char *out,
                size_t size);
/* Reads the rows of a key into an empty word. */
bool Pp_Read(const char *key, const void *value, size_t len,
             struct gq_word *out);

#endif
