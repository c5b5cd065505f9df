#include "base/hash.h"

#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#define Hash_DIGEST_BYTES 16

/* Returns a 64-bit placement hash of len bytes; not cryptographic. */
uint64_t
Hash_Bytes(const void *data, size_t len, uint64_t seed)
{
    return XXH3_64bits_withSeed(data, len, seed);
}

/* Returns a 64-bit placement hash of a string; not cryptographic. */
uint64_t
Hash_String(const char *text, uint64_t seed)
{
    return Hash_Bytes(text, strlen(text), seed);
}

/*
 * Returns the weight of a node for a key in rendezvous hashing.  A key belongs
 * to the node with the highest weight; a node's loss moves only its own keys.
 */
uint64_t
Hash_Rendezvous(const char *key, const char *node)
{
    return Hash_String(node, Hash_String(key, 0));
}

/* First 128 bits of SHA-256 in hex: identifies a secret, but hides it. */
void
Hash_Digest(const void *data, size_t len, char out[Hash_DIGEST_HEX])
{
    unsigned char full[EVP_MAX_MD_SIZE] = {0};
    EVP_Digest(data, len, full, NULL, EVP_sha256(), NULL);
    for (int i = 0; i < Hash_DIGEST_BYTES; i++) {
        snprintf(out + 2 * i, 3, "%02x", full[i]);
    }
}

/* Message authentication code: HMAC-SHA-256, truncated to 128 bits. */
void
Hash_Mac(const char *key, const void *data, size_t len, uint8_t out[16])
{
    unsigned char full[EVP_MAX_MD_SIZE] = {0};
    unsigned int full_len = 0;
    HMAC(EVP_sha256(), key, (int)strlen(key), data, len, full, &full_len);
    memcpy(out, full, Hash_DIGEST_BYTES);
}
