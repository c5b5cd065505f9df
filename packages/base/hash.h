/* Hashes for placement (xxhash), digests and MACs (SHA-256). */
#ifndef BASE_HASH_H
#define BASE_HASH_H

#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define Hash_DIGEST_HEX 33 /* 128 bits in hex and the terminating NUL */

uint64_t Hash_Bytes(const void *data, size_t len, uint64_t seed);
uint64_t Hash_String(const char *text, uint64_t seed);
uint64_t Hash_Rendezvous(const char *key, const char *node);
void Hash_Digest(const void *data, size_t len, char out[Hash_DIGEST_HEX]);
void Hash_Mac(const char *key, const void *data, size_t len, uint8_t out[16]);

#ifdef __cplusplus
}
#endif

#endif
