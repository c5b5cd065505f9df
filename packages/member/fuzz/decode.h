/* Decodes arbitrary bytes, for the fuzzer and the regression test. */
#ifndef MEMBER_FUZZ_DECODE_H
#define MEMBER_FUZZ_DECODE_H

#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Decodes the bytes as the body of a datagram, with a valid MAC added, and as
 * the body of a frame without a MAC. A decoded datagram is applied to a member
 * table and a fact table.  Returns how many of the two decoded.
 */
int fuzz_decode(const uint8_t *data, size_t len);

#ifdef __cplusplus
}
#endif

#endif
