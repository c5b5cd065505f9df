/*
 * Fuzz entry points, one for each parser of bytes that callers, engines, peers
 * or streams send.  Each accepts any bytes and aborts when an invariant of its
 * parser is violated.  libFuzzer and the test of the committed corpus run
 * them.
 */
#ifndef FUZZ_ENTRIES_H
#define FUZZ_ENTRIES_H

#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef void (*fz_entry_fn)(const uint8_t *data, size_t len);

struct fz_entry {
    const char *name; /* also the name of its directory in fuzz/corpus */
    fz_entry_fn run;
};

extern const struct fz_entry Fz_Entries[];
extern const size_t Fz_Count;

const struct fz_entry *Fz_Find(const char *name);

#ifdef __cplusplus
}
#endif

#endif
