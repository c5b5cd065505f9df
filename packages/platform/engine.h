/*
 * The completions API as spoken by callers and by model engines: reading a
 * caller's request, building the request to an engine, reading its events.
 * No input or output here.
 */
#ifndef PLATFORM_ENGINE_H
#define PLATFORM_ENGINE_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/status.h"

#ifdef __cplusplus
extern "C" {
#endif

#define En_NAME_MAX 48
#define En_KV_MAX 128

/* Parts of a prompt that requests may share. */
#define En_PARTS_MAX 32

/* A caller's request. */
struct en_prompt {
    json_t *root;
    char model[En_NAME_MAX];
    bool chat;
    bool stream;
    int max_tokens;       /* 0: not given */
    size_t text_len;      /* bytes of the prompt */
    uint64_t prefix_hash; /* of the first part of the prompt */
    /* Hashes of its messages, or of its head; the last: of the whole. */
    uint32_t parts[En_PARTS_MAX];
    size_t part_count;
};

/* What an engine is asked to go on from. */
struct en_resume {
    const char *text; /* tokens already given, joined; NULL: from the start */
    size_t text_len;
    int tokens;
    const char *kv; /* handle of an imported cache; NULL: none */
};

struct en_usage {
    int prompt_tokens;
    int completion_tokens;
    int recomputed_tokens;
    int cached_tokens;
};

enum en_event_kind {
    EN_TOKEN,
    EN_USAGE, /* the event that ends the tokens */
    EN_DONE,
    EN_ERROR,
};

/* One event of an engine's stream.  Pointers live until En_EventFree(). */
struct en_event {
    enum en_event_kind kind;
    const char *id; /* the engine's echo of x-request-id, or "" */
    int index;      /* number of the token within the whole answer */
    const char *text;
    struct en_usage usage;
    json_t *root;
};

enum st_status En_ReadPrompt(const char *path, const char *body, size_t len,
                             struct en_prompt *out);
void En_PromptFree(struct en_prompt *prompt);
char *En_BuildRequest(const struct en_prompt *prompt, int priority,
                      const struct en_resume *resume);
enum st_status En_ReadEvent(const char *data, size_t len,
                            struct en_event *out);
void En_EventFree(struct en_event *event);
char *En_CallerEvent(const struct en_event *event, const char *request_id,
                     const char *model);
char *En_CallerAnswer(const struct en_prompt *prompt, const char *request_id,
                      const char *text, size_t text_len,
                      const struct en_usage *usage);

#ifdef __cplusplus
}
#endif

#endif
