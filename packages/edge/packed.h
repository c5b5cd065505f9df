/* Reading packed values that a peer or an earlier daemon wrote. */
#ifndef EDGE_PACKED_H
#define EDGE_PACKED_H

#include <msgpack.h>
#include <stdbool.h>
#include <stddef.h>

/* Copies a text; false when it is none, or too long. */
bool Pk_Text(const msgpack_object *object, char *out, size_t size);

#endif
