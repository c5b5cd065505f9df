/*
 * Exported and imported KV caches.  An import reads from the engine that
 * exported, which must stay alive for as long as the transfer takes.
 */
#ifndef STANDINS_ENGINE_KV_H
#define STANDINS_ENGINE_KV_H

#include <bsd/sys/queue.h>
#include <stdint.h>

#include "standins/endpoint.h"

#define Kv_HANDLE_MAX 64

struct kv_entry {
    TAILQ_ENTRY(kv_entry) link;
    char handle[Kv_HANDLE_MAX];
    uint64_t prompt_hash;
    int prompt_tokens;
    int generated; /* tokens of the answer it covers */
};

struct kv_store;

struct kv_store *Kv_Create(struct ep_endpoint *endpoint);
void Kv_Destroy(struct kv_store *store);
const struct kv_entry *Kv_Find(const struct kv_store *store,
                               const char *handle);
json_t *Kv_Export(struct kv_store *store, uint64_t prompt_hash,
                  int prompt_tokens, int generated);
void Kv_Import(struct kv_store *store, struct hs_request *request);
void Kv_Fetch(struct kv_store *store, struct hs_request *request);

#endif
