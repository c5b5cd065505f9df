/*
 * Which prompt parts each endpoint has probably cached, as far as this host
 * sent them there.  A table of fixed size; on a hash collision the newer
 * entry replaces the older one.
 */
#ifndef EDGE_PREFIX_H
#define EDGE_PREFIX_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "edge/header_codec.h"

#ifdef __cplusplus
extern "C" {
#endif

struct px_table;

/* Prompt tokens that an endpoint would have to read. */
struct px_uncached {
    int64_t tokens;
    int64_t shared; /* of these, those in parts that requests share */
};

struct px_table *Px_Create(void);
void Px_Destroy(struct px_table *table);
/* Notes that the request's prompt was sent to the endpoint. */
void Px_NoteSent(struct px_table *table, const struct hd_request_info *info,
                 uint32_t endpoint, int64_t now);
/* A part counts as cached only if all parts before it are cached. */
struct px_uncached Px_CountUncached(const struct px_table *table,
                                    const struct hd_request_info *info,
                                    uint32_t endpoint, int64_t now);
/* Hashes of a prompt's parts, each with all parts before it. */
struct px_chains {
    uint64_t up_to[Hd_PARTS_MAX];
};

/*
 * Px_CountUncached() for many endpoints: Px_Chain() is called once for them.
 */
void Px_Chain(const struct hd_request_info *info, struct px_chains *out);
struct px_uncached Px_CountUncachedOf(const struct px_table *table,
                                      const struct hd_request_info *info,
                                      const struct px_chains *chains,
                                      uint32_t endpoint, int64_t now);
/* Short id of a part for logs and peers; Px_SHORT_ID_LEN hex digits. */
#define Px_SHORT_ID_LEN 8
uint32_t Px_ShortId(const struct hd_part *part);
/* Id of the group of requests that share a prompt prefix; 0: none. */
uint64_t Px_Group(const struct hd_request_info *info);

#ifdef __cplusplus
}
#endif

#endif
