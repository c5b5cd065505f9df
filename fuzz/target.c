/* Runs the fuzz entry point named by Fz_TARGET as a libFuzzer program. */
#include "fuzz/entries.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
    static const struct fz_entry *entry;
    if (entry == NULL) {
        entry = Fz_Find(Fz_TARGET);
    }
    entry->run(data, len);
    return 0;
}
