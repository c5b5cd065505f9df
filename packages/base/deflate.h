/* Bytes made smaller with zlib, behind their length. */
#ifndef BASE_DEFLATE_H
#define BASE_DEFLATE_H

#include <stdbool.h>
#include <stddef.h>

#include "base/buffer.h"

#ifdef __cplusplus
extern "C" {
#endif

/* False without memory. */
bool Df_Pack(const void *data, size_t len, struct bf_buffer *out);
/* False for bytes that are none of ours, or more than "most" unpacked. */
bool Df_Unpack(const void *data, size_t len, size_t most,
               struct bf_buffer *out);

#ifdef __cplusplus
}
#endif

#endif
