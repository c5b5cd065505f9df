#include "standins/engine_kv.h"

#include <bsd/string.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "web/client.h"

#define ADDRESS_MAX 64
#define PATH_MAX_BYTES 128

struct kv_store {
    struct ep_endpoint *endpoint;
    TAILQ_HEAD(entries, kv_entry) entries;
    int exported;
};

/* An import that waits for the engine that exported. */
struct import {
    struct sv_job job;
    struct kv_store *store;
    struct hs_request *request;
    struct hc_call *call;
};

/* Creates an empty store. */
struct kv_store *
Kv_Create(struct ep_endpoint *endpoint)
{
    struct kv_store *store = calloc(1, sizeof(*store));
    if (store == NULL) {
        abort();
    }
    store->endpoint = endpoint;
    TAILQ_INIT(&store->entries);
    return store;
}

/* Frees the store. */
void
Kv_Destroy(struct kv_store *store)
{
    struct kv_entry *entry;
    struct kv_entry *next;
    TAILQ_FOREACH_SAFE (entry, &store->entries, link, next) {
        free(entry);
    }
    free(store);
}

/* The cache of a handle, NULL when it is not here. */
const struct kv_entry *
Kv_Find(const struct kv_store *store, const char *handle)
{
    const struct kv_entry *entry;
    TAILQ_FOREACH (entry, &store->entries, link) {
        if (strcmp(entry->handle, handle) == 0) {
            return entry;
        }
    }
    return NULL;
}

static struct kv_entry *
add_entry(struct kv_store *store)
{
    struct kv_entry *entry = calloc(1, sizeof(*entry));
    if (entry == NULL) {
        abort();
    }
    TAILQ_INSERT_TAIL(&store->entries, entry, link);
    return entry;
}

static json_t *
entry_answer(const struct kv_entry *entry)
{
    return json_pack("{s:s, s:i}", "kv", entry->handle, "tokens",
                     entry->prompt_tokens + entry->generated);
}

/* Exports the cache of a run as it stands; returns the answer. */
json_t *
Kv_Export(struct kv_store *store, uint64_t prompt_hash, int prompt_tokens,
          int generated)
{
    struct kv_entry *entry = add_entry(store);
    snprintf(entry->handle, sizeof(entry->handle), "kv-%d-%d",
             Sv_Port(store->endpoint->program), ++store->exported);
    entry->prompt_hash = prompt_hash;
    entry->prompt_tokens = prompt_tokens;
    entry->generated = generated;
    return entry_answer(entry);
}

static void
import_gone(struct sv_job *job)
{
    struct import *import = (struct import *)job;
    Hc_Cancel(import->call);
    free(import);
}

static bool
read_entry(struct kv_store *store, const json_t *body)
{
    const char *handle = json_string_value(json_object_get(body, "kv"));
    const char *hash = json_string_value(json_object_get(body, "hash"));
    if (handle == NULL || hash == NULL) {
        return false;
    }
    struct kv_entry *entry = add_entry(store);
    strlcpy(entry->handle, handle, sizeof(entry->handle));
    entry->prompt_hash = strtoull(hash, NULL, 16);
    entry->prompt_tokens =
        (int)json_integer_value(json_object_get(body, "prompt_tokens"));
    entry->generated =
        (int)json_integer_value(json_object_get(body, "generated"));
    return true;
}

static void
import_done(void *arg, struct hc_call *call, const struct hc_result *result)
{
    struct import *import = arg;
    struct kv_store *store = import->store;
    size_t len;
    const char *text = Hc_Body(call, &len);
    json_t *body = NULL;
    if (result->status == ST_OK && result->code == 200 && text != NULL) {
        body = json_loadb(text, len, 0, NULL);
    }
    Hs_SetUser(import->request, NULL);
    if (read_entry(store, body)) {
        const struct kv_entry *entry = TAILQ_LAST(&store->entries, entries);
        Sv_Reply(store->endpoint->program, import->request, 200,
                 entry_answer(entry));
    }
    else {
        Sv_Reply(store->endpoint->program, import->request, 502,
                 json_pack("{s:s}", "error", "the exporting engine is gone"));
    }
    json_decref(body);
    free(import);
}

static const struct hc_ops import_ops = {.done = import_done};

/* Splits "ADDRESS:PORT"; returns the port, 0 when there is none. */
static int
split_address(const char *from, char address[ADDRESS_MAX])
{
    const char *colon = from != NULL ? strrchr(from, ':') : NULL;
    if (colon == NULL || colon - from >= ADDRESS_MAX) {
        return 0;
    }
    memcpy(address, from, (size_t)(colon - from));
    address[colon - from] = '\0';
    return (int)strtol(colon + 1, NULL, 10);
}

static void
start_import(struct kv_store *store, struct hs_request *request,
             const char *address, int port, const char *handle)
{
    char path[PATH_MAX_BYTES];
    snprintf(path, sizeof(path), "/v1/kv/fetch?kv=%s", handle);
    struct import *import = calloc(1, sizeof(*import));
    if (import == NULL) {
        abort();
    }
    import->job.gone = import_gone;
    import->store = store;
    import->request = request;
    struct hc_request call = {
        .address = address,
        .port = port,
        .method = "GET",
        .path = path,
    };
    Hs_SetUser(request, import);
    if (Hc_Start(Sv_Loop(store->endpoint->program), &call, &import_ops, import,
                 &import->call) != ST_OK) {
        abort();
    }
}

/* Serves an import; answered once the whole cache has come. */
void
Kv_Import(struct kv_store *store, struct hs_request *request)
{
    char address[ADDRESS_MAX] = "";
    json_t *body = Sv_BodyJson(request);
    const char *handle = json_string_value(json_object_get(body, "kv"));
    const char *from = json_string_value(json_object_get(body, "from"));
    int port = split_address(from, address);
    if (handle == NULL || port == 0 || strlen(handle) >= Kv_HANDLE_MAX) {
        Sv_Reply(store->endpoint->program, request, 400,
                 json_pack("{s:s}", "error", "name \"kv\" and \"from\""));
    }
    else {
        start_import(store, request, address, port, handle);
    }
    json_decref(body);
}

/*
 * Hands a cache to another engine.  The time of the transfer passes here, so
 * that the import fails when this engine goes before it is over.
 */
void
Kv_Fetch(struct kv_store *store, struct hs_request *request)
{
    char handle[Kv_HANDLE_MAX] = "";
    char hash[17];
    Hs_Query(request, "kv", handle, sizeof(handle));
    const struct kv_entry *entry = Kv_Find(store, handle);
    if (entry == NULL) {
        Sv_Reply(store->endpoint->program, request, 404,
                 json_pack("{s:s}", "error", "no such cache"));
        return;
    }
    int tokens = entry->prompt_tokens + entry->generated;
    snprintf(hash, sizeof(hash), "%016llx",
             (unsigned long long)entry->prompt_hash);
    struct sv_answer answer = {
        .code = 200,
        .body = json_pack("{s:s, s:s, s:i, s:i}", "kv", handle, "hash", hash,
                          "prompt_tokens", entry->prompt_tokens, "generated",
                          entry->generated),
    };
    struct fl_fault transfer = {
        .mode = FL_DELAY,
        .delay_usec = tokens * store->endpoint->options.kv_usec,
    };
    Sv_Answer(store->endpoint->program, request, &transfer, &answer);
}
