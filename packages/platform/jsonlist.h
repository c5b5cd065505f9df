/*
 * Reads a list in a JSON object entry by entry, so that one that cannot be
 * read hides no other: too deeply nested, or with a number of any size.
 */
#ifndef PLATFORM_JSONLIST_H
#define PLATFORM_JSONLIST_H

#include <jansson.h>
#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The entries that can be read of the list "name"; "unreadable" counts the
 * others.  NULL where the text is no whole object with such a list, or
 * without memory.  The caller owns the result.
 */
json_t *Jl_Read(const char *text, size_t len, const char *name,
                size_t *unreadable);

/* The value of the member "name"; NULL where it cannot be read. */
json_t *Jl_ReadMember(const char *text, size_t len, const char *name);

#ifdef __cplusplus
}
#endif

#endif
