/* Validation of msgpack lengths before the library unpacks the data. */
#ifndef BASE_MSGPACK_CHECK_H
#define BASE_MSGPACK_CHECK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

bool Mp_LengthsFit(const uint8_t *data, size_t len);

#ifdef __cplusplus
}
#endif

#endif
