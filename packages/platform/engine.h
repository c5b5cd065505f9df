/*
 * The completions API of callers and of model engines: parses a caller's
 * request, builds the request to an engine and parses the engine's events.
 * This module does no I/O.
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

#define En_NAME_MAX 48 /* bytes of a model name, with the NUL */
#define En_KV_MAX 128  /* bytes of a KV cache handle, with the NUL */

/* Hashed parts of a prompt; other requests may contain the same parts. */
#define En_PARTS_MAX 32

/* A caller's request. */
struct en_prompt {
    json_t *root;
    char model[En_NAME_MAX];
    bool chat;
    bool stream;
    int max_tokens;       /* 0: not given */
    size_t text_len;      /* bytes of the prompt */
    uint64_t prefix_hash; /* of the first 256 bytes of the prompt */
    /*
     * A hash per message of a chat, or the hash of the first 256 bytes of a
     * plain prompt.  The last entry is the hash of the whole prompt.
     */
    uint32_t parts[En_PARTS_MAX];
    size_t part_count;
};

/* The state from which an engine resumes an answer. */
struct en_resume {
    const char *text; /* tokens sent so far, joined; NULL: start anew */
    size_t text_len;
    int tokens;     /* number of tokens in text */
    const char *kv; /* handle of an imported KV cache; NULL: none */
};

struct en_usage {
    int prompt_tokens;
    int completion_tokens;
    int recomputed_tokens;
    int cached_tokens;
};

enum en_event_kind {
    EN_TOKEN,
    EN_USAGE, /* token counts, sent after the last token */
    EN_DONE,
    EN_ERROR,
};

/* An event of an engine's stream; pointers are valid until En_EventFree(). */
struct en_event {
    enum en_event_kind kind;
    const char *id; /* x-request-id as the engine returns it, or "" */
    int index;      /* position of the token in the whole answer */
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
