/* Bytes that grow at their end. */
#ifndef BASE_BUFFER_H
#define BASE_BUFFER_H

#include <stdbool.h>
#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

/* All zero: empty. */
struct bf_buffer {
    char *at;
    size_t len;
    size_t size;
};

/* False without memory; the buffer is as it was. */
bool Bf_Add(struct bf_buffer *buffer, const void *data, size_t len);
void Bf_Free(struct bf_buffer *buffer);

#ifdef __cplusplus
}
#endif

#endif
