/*
 * The prefix cache of the engine's stand-in: blocks of 64 bytes (16 tokens)
 * of a prompt, each named by the hash of the prompt up to its end, the least
 * recently used dropped first, with events of what came and went.
 */
#ifndef STANDINS_ENGINE_CACHE_H
#define STANDINS_ENGINE_CACHE_H

#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

struct ec_cache;

struct ec_options {
    int blocks;
    int event_gap;    /* every n-th event is lost; 0: none */
    int64_t lag_usec; /* until an event shows */
};

struct ec_cache *Ec_Create(const struct ec_options *options);
void Ec_Destroy(struct ec_cache *cache);
int Ec_Cached(struct ec_cache *cache, const char *prompt, size_t len);
void Ec_Add(struct ec_cache *cache, const char *prompt, size_t len,
            int64_t now);
json_t *Ec_Events(const struct ec_cache *cache, int64_t from, int64_t now);

#endif
