/* Byte buffer that grows as data is appended. */
#ifndef BASE_BUFFER_H
#define BASE_BUFFER_H

#include <stdbool.h>
#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

/* A zeroed struct is an empty buffer. */
struct bf_buffer {
    char *data;
    size_t len;
    size_t capacity; /* bytes allocated */
};

/* Appends data; if an allocation fails, returns false and changes nothing. */
bool Bf_Add(struct bf_buffer *buffer, const void *data, size_t len);
void Bf_Free(struct bf_buffer *buffer);

#ifdef __cplusplus
}
#endif

#endif
