#include "platform/engine.h"

#include <bsd/string.h>
#include <stdlib.h>
#include <string.h>

#include "base/hash.h"

/*
 * Requests whose prompts begin with the same bytes are likely to find their
 * prefix in the same engine's cache; this many bytes are hashed.
 */
#define En_PREFIX_BYTES 256
#define En_MAX_TOKENS_LIMIT 1000000

static const char *
string_or_empty(const json_t *object, const char *key)
{
    const char *text = json_string_value(json_object_get(object, key));
    return text != NULL ? text : "";
}

/*
 * Adds the hash of one part.  The last entry of the array is left for the
 * hash of the whole prompt, so that parts past En_PARTS_MAX - 1 are dropped.
 */
static void
add_part(struct en_prompt *out, uint64_t hash)
{
    if (out->part_count + 1 < En_PARTS_MAX) {
        out->parts[out->part_count++] = (uint32_t)hash;
    }
}

/*
 * Adds the hash of the whole prompt as the last entry; it recognizes a
 * request that is sent again.
 */
static void
add_whole_prompt(struct en_prompt *out, uint64_t hash)
{
    out->parts[out->part_count++] = (uint32_t)hash;
}

static enum st_status
hash_text(struct en_prompt *out, const char *text)
{
    size_t len = strlen(text);
    size_t prefix_left =
        out->text_len < En_PREFIX_BYTES ? En_PREFIX_BYTES - out->text_len : 0;
    size_t n = len < prefix_left ? len : prefix_left;
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
    uint64_t whole_hash = 0;
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
        whole_hash = Hash_String(json_string_value(content), whole_hash + 1);
    }
    add_whole_prompt(out, whole_hash);
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
    add_whole_prompt(out, Hash_String(json_string_value(prompt), 1));
    return ST_OK;
}

/*
 * Parses the body of a caller's request.  Returns ST_INVALID with a message
 * that names the wrong field and the value expected.  On success the prompt
 * must be freed with En_PromptFree().
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

/* Releases the parsed body; the struct itself belongs to its owner. */
void
En_PromptFree(struct en_prompt *prompt)
{
    json_decref(prompt->root);
    prompt->root = NULL;
}

/*
 * Builds the body of a request to an engine.  It always asks for a stream,
 * so that another engine can resume an answer after its first tokens.  The
 * caller frees the body; NULL is returned when memory runs out.
 */
char *
En_BuildRequest(const struct en_prompt *prompt, int priority,
                const struct en_resume *resume)
{
    json_t *body = json_copy(prompt->root);
    json_object_set_new(body, "stream", json_true());
    json_object_set_new(body, "priority", json_integer(priority));
    /*
     * "resume" and "kv" are extensions between this system and the engine;
     * values from the caller are dropped.
     */
    json_object_del(body, "resume");
    json_object_del(body, "kv");
    if (resume->text != NULL && resume->tokens > 0) {
        json_t *resume_object = json_object();
        json_object_set_new(resume_object, "text",
                            json_stringn(resume->text, resume->text_len));
        json_object_set_new(resume_object, "tokens",
                            json_integer(resume->tokens));
        json_object_set_new(body, "resume", resume_object);
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
 * Parses the data of one event.  Returns ST_INVALID for data that is neither
 * "[DONE]" nor an event of the completions API.  On success the event must
 * be freed with En_EventFree().
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
    out->id = string_or_empty(out->root, "id");
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
    /*
     * A huge index, truncated to an int, could equal the index that is
     * expected next.
     */
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

/* Releases the parsed event; the pointers in it become invalid. */
void
En_EventFree(struct en_event *event)
{
    json_decref(event->root);
    event->root = NULL;
}

/*
 * Serializes an event for the caller.  The id of the request replaces the id
 * that the engine sent, so that a stream that moved between engines has one
 * id throughout.  The result must be freed.
 */
char *
En_CallerEvent(const struct en_event *event, const char *request_id,
               const char *model)
{
    json_object_set_new(event->root, "id", json_string(request_id));
    json_object_set_new(event->root, "model", json_string(model));
    return json_dumps(event->root, JSON_COMPACT);
}

/*
 * Builds the complete answer for a request without "stream".  The result
 * must be freed.
 */
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
