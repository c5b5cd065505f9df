/* libFuzzer entry point; see docs/design/membership.md for the command. */
#include "member/fuzz/decode.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
    fuzz_decode(data, len);
    return 0;
}
