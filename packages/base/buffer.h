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
/*
 * The same for a buffer that gets "most" bytes in all: no more than these are
 * allocated.  "len" more bytes must be within "most".
 */
bool Bf_AddUpTo(struct bf_buffer *buffer, const void *data, size_t len,
                size_t most);
/* What Bf_AddUpTo() would allocate besides. */
size_t Bf_Growth(const struct bf_buffer *buffer, size_t len, size_t most);
void Bf_Free(struct bf_buffer *buffer);

#ifdef __cplusplus
}
#endif

#endif
