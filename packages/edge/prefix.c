#include "edge/prefix.h"

#include <stdlib.h>

#include "base/clock.h"
#include "base/hash.h"

#define Px_SLOTS 16384 /* a power of two; 256 KiB */
/*
 * Engines evict the least recently used parts; how soon depends on their load.
 * Half a minute is several times what a part must stay cached to pay off.
 */
#define Px_CACHED_USEC (30 * Ck_USEC_PER_SEC)

struct slot {
    uint64_t key;
    int64_t noted_at;
};

struct px_table {
    struct slot slots[Px_SLOTS];
};

struct px_table *
Px_Create(void)
{
    return calloc(1, sizeof(struct px_table));
}

void
Px_Destroy(struct px_table *table)
{
    free(table);
}

static uint64_t
key_of(uint64_t chain, uint32_t endpoint)
{
    uint64_t pair[2] = {chain, endpoint};
    return Hash_Bytes(pair, sizeof(pair), 0);
}

static uint64_t
extend(uint64_t chain, uint64_t part)
{
    uint64_t pair[2] = {chain, part};
    return Hash_Bytes(pair, sizeof(pair), 1);
}

void
Px_NoteSent(struct px_table *table, const struct hd_request_info *info,
            uint32_t endpoint, int64_t now)
{
    uint64_t chain = 0;
    for (size_t i = 0; i < info->part_count; i++) {
        chain = extend(chain, info->parts[i].id);
        uint64_t key = key_of(chain, endpoint);
        struct slot *slot = &table->slots[key & (Px_SLOTS - 1)];
        slot->key = key;
        slot->noted_at = now;
    }
}

static bool
is_cached(const struct px_table *table, uint64_t key, int64_t now)
{
    const struct slot *slot = &table->slots[key & (Px_SLOTS - 1)];
    return slot->key == key && now - slot->noted_at <= Px_CACHED_USEC;
}

void
Px_Chain(const struct hd_request_info *info, struct px_chains *out)
{
    uint64_t chain = 0;
    for (size_t i = 0; i < info->part_count; i++) {
        chain = extend(chain, info->parts[i].id);
        out->up_to[i] = chain;
    }
}

struct px_uncached
Px_CountUncachedOf(const struct px_table *table,
                   const struct hd_request_info *info,
                   const struct px_chains *chains, uint32_t endpoint,
                   int64_t now)
{
    struct px_uncached uncached = {.tokens = info->tokens_in};
    bool cached = true;
    for (size_t i = 0; i < info->part_count; i++) {
        int tokens = info->parts[i].tokens;
        cached = cached &&
                 is_cached(table, key_of(chains->up_to[i], endpoint), now);
        if (cached) {
            uncached.tokens -= tokens;
        }
        else if (i + 1 < info->part_count) {
            uncached.shared += tokens;
        }
    }
    if (uncached.tokens < 0) {
        uncached.tokens = 0;
    }
    if (uncached.shared > uncached.tokens) {
        uncached.shared = uncached.tokens;
    }
    return uncached;
}

struct px_uncached
Px_CountUncached(const struct px_table *table,
                 const struct hd_request_info *info, uint32_t endpoint,
                 int64_t now)
{
    struct px_chains chains;
    Px_Chain(info, &chains);
    return Px_CountUncachedOf(table, info, &chains, endpoint, now);
}

uint32_t
Px_ShortId(const struct hd_part *part)
{
    return (uint32_t)part->id;
}

/* The last part is the request's own; the one before it is shared. */
uint64_t
Px_Group(const struct hd_request_info *info)
{
    return info->part_count < 2 ? 0 : info->parts[info->part_count - 2].id;
}
