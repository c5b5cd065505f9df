#include "base/deflate.h"

#include <stdint.h>
#include <stdlib.h>
#include <zlib.h>

#define Df_LENGTH_BYTES 4
/* The fastest level; higher ones gain little on repeated names. */
#define Df_LEVEL 1

bool
Df_Compress(const void *data, size_t len, struct bf_buffer *out)
{
    uLongf size = compressBound((uLong)len);
    unsigned char *packed = malloc(size);
    unsigned char length[Df_LENGTH_BYTES];
    for (size_t i = 0; i < Df_LENGTH_BYTES; i++) {
        length[i] = (unsigned char)(len >> (8 * (Df_LENGTH_BYTES - 1 - i)));
    }
    bool ok = packed != NULL && len <= UINT32_MAX &&
              compress2(packed, &size, data, (uLong)len, Df_LEVEL) == Z_OK &&
              Bf_Add(out, length, sizeof(length)) && Bf_Add(out, packed, size);
    free(packed);
    return ok;
}

bool
Df_Decompress(const void *data, size_t len, size_t max_len,
              struct bf_buffer *out)
{
    const unsigned char *bytes = data;
    if (len < Df_LENGTH_BYTES) {
        return false;
    }
    size_t size = 0;
    for (size_t i = 0; i < Df_LENGTH_BYTES; i++) {
        size = size << 8 | bytes[i];
    }
    if (size > max_len) {
        return false;
    }
    unsigned char *raw = malloc(size + 1);
    uLongf got = (uLongf)size;
    bool ok = raw != NULL &&
              uncompress(raw, &got, bytes + Df_LENGTH_BYTES,
                         (uLong)(len - Df_LENGTH_BYTES)) == Z_OK &&
              got == size && Bf_Add(out, raw, size);
    free(raw);
    return ok;
}
