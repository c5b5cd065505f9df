/* What both the fuzzer and the regression test feed bytes to. */
#ifndef MEMBER_FUZZ_DECODE_H
#define MEMBER_FUZZ_DECODE_H

#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Decodes the bytes as the body of a datagram and as that of a frame, codes
 * aside, and applies what comes out to a table and facts.  Returns how many
 * of the two were well-formed.
 */
int fuzz_decode(const uint8_t *data, size_t len);

#ifdef __cplusplus
}
#endif

#endif
