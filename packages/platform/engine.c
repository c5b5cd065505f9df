#include "platform/engine.h"

#include <bsd/string.h>
#include <stdlib.h>
#include <string.h>

#include "base/hash.h"

/* The part of a prompt that decides which engine is likely to cache it. */
#define En_PREFIX_BYTES 256
#define En_MAX_TOKENS_LIMIT 1000000

static const char *
text_of(const json_t *object, const char *key)
{
    const char *text = json_string_value(json_object_get(object, key));
    return text != NULL ? text : "";
}

/* The first messages stand for a prompt that has too many. */
static void
add_part(struct en_prompt *out, uint64_t hash)
{
    if (out->part_count + 1 < En_PARTS_MAX) {
        out->parts[out->part_count++] = (uint32_t)hash;
    }
}

/* The whole of it: a request that is sent again. */
static void
end_parts(struct en_prompt *out, uint64_t hash)
{
    out->parts[out->part_count++] = (uint32_t)hash;
}

static enum st_status
hash_text(struct en_prompt *out, const char *text)
{
    size_t len = strlen(text);
    size_t room =
        out->text_len < En_PREFIX_BYTES ? En_PREFIX_BYTES - out->text_len : 0;
    size_t n = len < room ? len : room;
    if (n > 0) {
        out->prefix_hash = Hash_Bytes(text, n, out->prefix_hash);
    }
    out->text_len += len;
    return ST_OK;
}

static enum st_status
read_messages(const json_t *messages, struct en_prompt *out)
{
    size_t i;
    uint64_t whole = 0;
    const json_t *message;
    json_array_foreach (messages, i, message) {
        const json_t *content = json_object_get(message, "content");
        if (!json_is_string(content)) {
            return St_Fail(ST_INVALID,
                           "messages[%zu].content must be a "
                           "string",
                           i);
        }
        hash_text(out, json_string_value(content));
        add_part(out, Hash_String(json_string_value(content), 0));
        whole = Hash_String(json_string_value(content), whole + 1);
    }
    end_parts(out, whole);
    if (json_array_size(messages) == 0) {
        return St_Fail(ST_INVALID, "give at least one message");
    }
    return ST_OK;
}

static enum st_status
read_fields(struct en_prompt *out)
{
    const json_t *model = json_object_get(out->root, "model");
    if (!json_is_string(model) ||
        strlcpy(out->model, json_string_value(model), sizeof(out->model)) >=
            sizeof(out->model)) {
        return St_Fail(ST_INVALID, "set \"model\" to the name of a service");
    }
    const json_t *stream = json_object_get(out->root, "stream");
    if (stream != NULL && !json_is_boolean(stream)) {
        return St_Fail(ST_INVALID, "\"stream\" must be true or false");
    }
    out->stream = json_is_true(stream);
    const json_t *max = json_object_get(out->root, "max_tokens");
    if (max != NULL && (!json_is_integer(max) || json_integer_value(max) < 1 ||
                        json_integer_value(max) > En_MAX_TOKENS_LIMIT)) {
        return St_Fail(ST_INVALID,
                       "\"max_tokens\" must be a number from 1 to 1000000");
    }
    out->max_tokens = (int)json_integer_value(max);
    if (out->chat) {
        return read_messages(json_object_get(out->root, "messages"), out);
    }
    const json_t *prompt = json_object_get(out->root, "prompt");
    if (!json_is_string(prompt)) {
        return St_Fail(ST_INVALID, "\"prompt\" must be a string");
    }
    hash_text(out, json_string_value(prompt));
    add_part(out, out->prefix_hash);
    end_parts(out, Hash_String(json_string_value(prompt), 1));
    return ST_OK;
}

/*
 * Reads a caller's body.  ST_INVALID: the message names the field and what
 * it should be.  On success the caller owns the prompt.
 */
enum st_status
En_ReadPrompt(const char *path, const char *body, size_t len,
              struct en_prompt *out)
{
    memset(out, 0, sizeof(*out));
    out->chat = strcmp(path, "/v1/chat/completions") == 0;
    json_error_t error;
    out->root = json_loadb(body, len, JSON_REJECT_DUPLICATES, &error);
    if (!json_is_object(out->root)) {
        En_PromptFree(out);
        return St_Fail(ST_INVALID, "the body must be a JSON object");
    }
    enum st_status status = read_fields(out);
    if (status != ST_OK) {
        En_PromptFree(out);
    }
    return status;
}

/* Frees what a prompt holds. */
void
En_PromptFree(struct en_prompt *prompt)
{
    json_decref(prompt->root);
    prompt->root = NULL;
}

/*
 * Builds the body for an engine: always a stream, so that an answer begun
 * can be gone on with elsewhere.  The caller frees it; NULL without memory.
 */
char *
En_BuildRequest(const struct en_prompt *prompt, int priority,
                const struct en_resume *resume)
{
    json_t *body = json_copy(prompt->root);
    json_object_set_new(body, "stream", json_true());
    json_object_set_new(body, "priority", json_integer(priority));
    /* These extensions are between this system and the engine only. */
    json_object_del(body, "resume");
    json_object_del(body, "kv");
    if (resume->text != NULL && resume->tokens > 0) {
        json_t *from = json_object();
        json_object_set_new(from, "text",
                            json_stringn(resume->text, resume->text_len));
        json_object_set_new(from, "tokens", json_integer(resume->tokens));
        json_object_set_new(body, "resume", from);
    }
    if (resume->kv != NULL) {
        json_object_set_new(body, "kv", json_string(resume->kv));
    }
    char *text = json_dumps(body, JSON_COMPACT);
    json_decref(body);
    return text;
}

static void
read_usage(const json_t *usage, struct en_usage *out)
{
    out->prompt_tokens =
        (int)json_integer_value(json_object_get(usage, "prompt_tokens"));
    out->completion_tokens =
        (int)json_integer_value(json_object_get(usage, "completion_tokens"));
    out->recomputed_tokens =
        (int)json_integer_value(json_object_get(usage, "recomputed_tokens"));
    out->cached_tokens =
        (int)json_integer_value(json_object_get(usage, "cached_tokens"));
}

static const char *
choice_text(const json_t *root)
{
    const json_t *choice = json_array_get(json_object_get(root, "choices"), 0);
    const json_t *text = json_object_get(choice, "text");
    if (text == NULL) {
        text = json_object_get(json_object_get(choice, "delta"), "content");
    }
    return json_string_value(text);
}

/*
 * Reads the data of one event.  ST_INVALID: it is neither the end mark nor
 * an event of the completions API.  On success free it with En_EventFree().
 */
enum st_status
En_ReadEvent(const char *data, size_t len, struct en_event *out)
{
    memset(out, 0, sizeof(*out));
    out->id = "";
    if (strcmp(data, "[DONE]") == 0) {
        out->kind = EN_DONE;
        return ST_OK;
    }
    out->root = json_loadb(data, len, 0, NULL);
    if (!json_is_object(out->root)) {
        En_EventFree(out);
        return St_Fail(ST_INVALID, "the engine sent an event that is no JSON "
                                   "object; check its version");
    }
    out->id = text_of(out->root, "id");
    if (json_object_get(out->root, "error") != NULL) {
        out->kind = EN_ERROR;
        return ST_OK;
    }
    const json_t *usage = json_object_get(out->root, "usage");
    const json_t *index = json_object_get(out->root, "index");
    out->text = choice_text(out->root);
    if (json_is_object(usage)) {
        out->kind = EN_USAGE;
        read_usage(usage, &out->usage);
        return ST_OK;
    }
    /* Cut down to an int, a huge index could pass for the next one. */
    if (out->text == NULL || !json_is_integer(index) ||
        json_integer_value(index) < 0 ||
        json_integer_value(index) > En_MAX_TOKENS_LIMIT) {
        En_EventFree(out);
        return St_Fail(ST_INVALID, "the engine sent an event without a text "
                                   "and an index; check its version");
    }
    out->kind = EN_TOKEN;
    out->index = (int)json_integer_value(index);
    return ST_OK;
}

/* Frees what an event holds. */
void
En_EventFree(struct en_event *event)
{
    json_decref(event->root);
    event->root = NULL;
}

/*
 * The event as the caller gets it, under this system's request id, so that
 * a stream that moved between engines reads as one.  The caller frees it.
 */
char *
En_CallerEvent(const struct en_event *event, const char *request_id,
               const char *model)
{
    json_object_set_new(event->root, "id", json_string(request_id));
    json_object_set_new(event->root, "model", json_string(model));
    return json_dumps(event->root, JSON_COMPACT);
}

/* The whole answer for a caller who asked for no stream. */
char *
En_CallerAnswer(const struct en_prompt *prompt, const char *request_id,
                const char *text, size_t text_len,
                const struct en_usage *usage)
{
    json_t *content = json_stringn(text, text_len);
    json_t *choice = prompt->chat
                         ? json_pack("{s:i,s:s,s:{s:s,s:o}}", "index", 0,
                                     "finish_reason", "stop", "message",
                                     "role", "assistant", "content", content)
                         : json_pack("{s:i,s:s,s:o}", "index", 0,
                                     "finish_reason", "stop", "text", content);
    json_t *root = json_pack(
        "{s:s,s:s,s:s,s:[o],s:{s:i,s:i,s:i,s:i}}", "id", request_id, "object",
        prompt->chat ? "chat.completion" : "text_completion", "model",
        prompt->model, "choices", choice, "usage", "prompt_tokens",
        usage->prompt_tokens, "completion_tokens", usage->completion_tokens,
        "recomputed_tokens", usage->recomputed_tokens, "cached_tokens",
        usage->cached_tokens);
    char *answer = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    return answer;
}
