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
    if (buffer->len + len > buffer->capacity) {
        size_t size =
            buffer->capacity == 0 ? Bf_FIRST_BYTES : buffer->capacity;
        while (size < buffer->len + len) {
            size *= 2;
        }
        char *grown = realloc(buffer->data, size);
        if (grown == NULL) {
            return false;
        }
        buffer->data = grown;
        buffer->capacity = size;
    }
    memcpy(buffer->data + buffer->len, data, len);
    buffer->len += len;
    return true;
}

void
Bf_Free(struct bf_buffer *buffer)
{
    free(buffer->data);
    *buffer = (struct bf_buffer){0};
}
