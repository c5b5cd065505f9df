#include "base/buffer.h"

#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#define Bf_FIRST_BYTES 1024

static size_t
size_for(const struct bf_buffer *buffer, size_t len, size_t most)
{
    size_t size = buffer->capacity == 0 ? Bf_FIRST_BYTES : buffer->capacity;
    while (size < buffer->len + len) {
        size *= 2;
    }
    return size > most && buffer->len + len <= most ? most : size;
}

size_t
Bf_Growth(const struct bf_buffer *buffer, size_t len, size_t most)
{
    return buffer->len + len <= buffer->capacity
               ? 0
               : size_for(buffer, len, most) - buffer->capacity;
}

bool
Bf_AddUpTo(struct bf_buffer *buffer, const void *data, size_t len, size_t most)
{
    if (len == 0) {
        return true;
    }
    size_t more = Bf_Growth(buffer, len, most);
    if (more > 0) {
        char *grown = realloc(buffer->data, buffer->capacity + more);
        if (grown == NULL) {
            return false;
        }
        buffer->data = grown;
        buffer->capacity += more;
    }
    memcpy(buffer->data + buffer->len, data, len);
    buffer->len += len;
    return true;
}

bool
Bf_Add(struct bf_buffer *buffer, const void *data, size_t len)
{
    return Bf_AddUpTo(buffer, data, len, SIZE_MAX);
}

void
Bf_Free(struct bf_buffer *buffer)
{
    free(buffer->data);
    *buffer = (struct bf_buffer){0};
}
