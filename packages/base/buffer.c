#include "base/buffer.h"

#include <stdlib.h>
#include <string.h>

#define Bf_FIRST_BYTES 1024

bool
Bf_Add(struct bf_buffer *buffer, const void *data, size_t len)
{
    if (len == 0) {
        return true;
    }
    if (buffer->len + len > buffer->size) {
        size_t size = buffer->size == 0 ? Bf_FIRST_BYTES : buffer->size;
        while (size < buffer->len + len) {
            size *= 2;
        }
        char *grown = realloc(buffer->at, size);
        if (grown == NULL) {
            return false;
        }
        buffer->at = grown;
        buffer->size = size;
    }
    memcpy(buffer->at + buffer->len, data, len);
    buffer->len += len;
    return true;
}

void
Bf_Free(struct bf_buffer *buffer)
{
    free(buffer->at);
    *buffer = (struct bf_buffer){0};
}
