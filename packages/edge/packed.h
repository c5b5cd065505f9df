/* Decoding of MessagePack values written by a peer or an earlier daemon. */
#ifndef EDGE_PACKED_H
#define EDGE_PACKED_H

#include <msgpack.h>
#include <stdbool.h>
#include <stddef.h>

/* Copies a string; returns false when it is no string, or too long. */
bool Pk_CopyString(const msgpack_object *object, char *out, size_t size);

#endif
