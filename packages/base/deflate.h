/* zlib compression; the compressed data follows the uncompressed length. */
#ifndef BASE_DEFLATE_H
#define BASE_DEFLATE_H

#include <stdbool.h>
#include <stddef.h>

#include "base/buffer.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Appends the compressed data to "out"; false if an allocation fails. */
bool Df_Compress(const void *data, size_t len, struct bf_buffer *out);
/*
 * Appends the uncompressed data to "out".  Returns false if the data is
 * invalid or longer than "max_len" bytes uncompressed, or if an allocation
 * fails.
 */
bool Df_Decompress(const void *data, size_t len, size_t max_len,
                   struct bf_buffer *out);

#ifdef __cplusplus
}
#endif

#endif
