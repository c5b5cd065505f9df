/*
 * Entry points for mutated input, one for each reader of bytes that others
 * send.  Each takes any bytes and aborts when a promise of its reader does
 * not hold; used by libFuzzer and by the test of the committed corpus.
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
    const char *name; /* also of its folder in fuzz/corpus */
    fz_entry_fn run;
};

extern const struct fz_entry Fz_Entries[];
extern const size_t Fz_Count;

const struct fz_entry *Fz_Find(const char *name);

#ifdef __cplusplus
}
#endif

#endif
