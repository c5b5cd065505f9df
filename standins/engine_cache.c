#include "standins/engine_cache.h"

#include <bsd/sys/queue.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/hash.h"
#include "standins/answer.h"

#define BLOCK_BYTES 64
#define BLOCK_TOKENS (BLOCK_BYTES / An_BYTES_PER_TOKEN)
#define BUCKETS 1024
#define EVENTS_KEPT 1024

struct block {
    TAILQ_ENTRY(block) by_use; /* least recently used first */
    LIST_ENTRY(block) by_hash;
    uint64_t hash;
};

struct event {
    int64_t seq;
    int64_t at;
    uint64_t hash;
    bool add;
};

struct ec_cache {
    struct ec_options options;
    TAILQ_HEAD(uses, block) uses;
    LIST_HEAD(bucket, block) buckets[BUCKETS];
    int count;
    struct event events[EVENTS_KEPT]; /* event N at N modulo the size */
    int64_t next;                     /* number of the next event */
};

/* Creates an empty cache. */
struct ec_cache *
Ec_Create(const struct ec_options *options)
{
    struct ec_cache *cache = calloc(1, sizeof(*cache));
    if (cache == NULL) {
        abort();
    }
    cache->options = *options;
    cache->next = 1;
    TAILQ_INIT(&cache->uses);
    return cache;
}

/* Frees the cache. */
void
Ec_Destroy(struct ec_cache *cache)
{
    struct block *block;
    struct block *next;
    TAILQ_FOREACH_SAFE (block, &cache->uses, by_use, next) {
        free(block);
    }
    free(cache);
}

static struct block *
find(struct ec_cache *cache, uint64_t hash)
{
    struct block *block;
    LIST_FOREACH (block, &cache->buckets[hash % BUCKETS], by_hash) {
        if (block->hash == hash) {
            return block;
        }
    }
    return NULL;
}

static void
note(struct ec_cache *cache, uint64_t hash, bool add, int64_t now)
{
    struct event *event = &cache->events[cache->next % EVENTS_KEPT];
    event->seq = cache->next++;
    event->at = now;
    event->hash = hash;
    event->add = add;
}

static void
touch(struct ec_cache *cache, struct block *block)
{
    TAILQ_REMOVE(&cache->uses, block, by_use);
    TAILQ_INSERT_TAIL(&cache->uses, block, by_use);
}

static void
drop_oldest(struct ec_cache *cache, int64_t now)
{
    struct block *block = TAILQ_FIRST(&cache->uses);
    TAILQ_REMOVE(&cache->uses, block, by_use);
    LIST_REMOVE(block, by_hash);
    note(cache, block->hash, false, now);
    cache->count--;
    free(block);
}

static void
insert(struct ec_cache *cache, uint64_t hash, int64_t now)
{
    if (cache->count >= cache->options.blocks) {
        drop_oldest(cache, now);
    }
    struct block *block = calloc(1, sizeof(*block));
    if (block == NULL) {
        abort();
    }
    block->hash = hash;
    TAILQ_INSERT_TAIL(&cache->uses, block, by_use);
    LIST_INSERT_HEAD(&cache->buckets[hash % BUCKETS], block, by_hash);
    cache->count++;
    note(cache, hash, true, now);
}

/* Tokens of the prompt's longest cached prefix. */
int
Ec_Cached(struct ec_cache *cache, const char *prompt, size_t len)
{
    int tokens = 0;
    for (size_t end = BLOCK_BYTES; end <= len; end += BLOCK_BYTES) {
        struct block *block = find(cache, Hash_Bytes(prompt, end, 0));
        if (block == NULL) {
            break;
        }
        touch(cache, block);
        tokens += BLOCK_TOKENS;
    }
    return tokens;
}

/* Caches every whole block of a prompt. */
void
Ec_Add(struct ec_cache *cache, const char *prompt, size_t len, int64_t now)
{
    if (cache->options.blocks <= 0) {
        return;
    }
    for (size_t end = BLOCK_BYTES; end <= len; end += BLOCK_BYTES) {
        uint64_t hash = Hash_Bytes(prompt, end, 0);
        struct block *block = find(cache, hash);
        if (block != NULL) {
            touch(cache, block);
        }
        else {
            insert(cache, hash, now);
        }
    }
}

static bool
lost(const struct ec_cache *cache, const struct event *event)
{
    int gap = cache->options.event_gap;
    return gap > 0 && event->seq % gap == 0;
}

/* Events from number "from" on that show by now, as the interface says. */
json_t *
Ec_Events(const struct ec_cache *cache, int64_t from, int64_t now)
{
    json_t *list = json_array();
    int64_t oldest = cache->next - EVENTS_KEPT;
    int64_t seq = from > oldest ? from : oldest;
    if (seq < 1) {
        seq = 1;
    }
    for (; seq < cache->next; seq++) {
        const struct event *event = &cache->events[seq % EVENTS_KEPT];
        if (event->at + cache->options.lag_usec > now) {
            break;
        }
        if (lost(cache, event)) {
            continue;
        }
        char hash[17];
        snprintf(hash, sizeof(hash), "%016llx",
                 (unsigned long long)event->hash);
        json_array_append_new(
            list, json_pack("{s:I, s:s, s:s}", "seq", (json_int_t)seq, "op",
                            event->add ? "add" : "drop", "prefix", hash));
    }
    return json_pack("{s:I, s:o}", "next", (json_int_t)seq, "events", list);
}
