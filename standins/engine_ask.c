#include "standins/engine_ask.h"

#include <bsd/string.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standins/answer.h"

static const char *
text_of(const json_t *object, const char *name)
{
    const char *text = json_string_value(json_object_get(object, name));
    return text != NULL ? text : "";
}

static int
number_of(const json_t *object, const char *name)
{
    return (int)json_integer_value(json_object_get(object, name));
}

/* The prompt of a chat, as answer.h defines it. */
static char *
chat_prompt(const json_t *messages)
{
    char *prompt = NULL;
    size_t len = 0;
    FILE *out = open_memstream(&prompt, &len);
    if (out == NULL) {
        return NULL;
    }
    size_t i;
    json_t *message;
    json_array_foreach (messages, i, message) {
        fprintf(out, "%s\n%s\n", text_of(message, "role"),
                text_of(message, "content"));
    }
    fclose(out);
    return prompt;
}

/* A resumed text other than the answer so far shows a gap or a repeat. */
static enum st_status
check_resume(const struct en_ask *ask)
{
    char *text = An_Text(ask->prompt, ask->prompt_len, 0, ask->resume_tokens);
    bool same = text != NULL && strcmp(text, ask->resume_text) == 0;
    free(text);
    if (!same) {
        return St_Fail(ST_INVALID, "resume with exactly the text of the "
                                   "tokens given so far");
    }
    return ST_OK;
}

static enum st_status
parse_resume(struct en_ask *ask, const json_t *resume)
{
    if (resume == NULL) {
        return ST_OK;
    }
    ask->resume_tokens = number_of(resume, "tokens");
    ask->resume_text = strdup(text_of(resume, "text"));
    if (ask->resume_tokens < 0 || ask->resume_tokens > An_TOKENS_MOST ||
        ask->resume_text == NULL) {
        return St_Fail(ST_INVALID, "resume after 0 tokens or more");
    }
    return check_resume(ask);
}

/* Reads a request; free the struct also after a failure. */
enum st_status
En_AskParse(struct en_ask *ask, const char *path, const json_t *body)
{
    memset(ask, 0, sizeof(*ask));
    ask->chat = strcmp(path, "/v1/chat/completions") == 0;
    const json_t *messages = json_object_get(body, "messages");
    if (ask->chat ? !json_is_array(messages)
                  : !json_is_string(json_object_get(body, "prompt"))) {
        return St_Fail(ST_INVALID, "send a prompt or messages");
    }
    ask->prompt =
        ask->chat ? chat_prompt(messages) : strdup(text_of(body, "prompt"));
    if (ask->prompt == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for the prompt");
    }
    ask->prompt_len = strlen(ask->prompt);
    ask->max_tokens = number_of(body, "max_tokens");
    ask->priority = number_of(body, "priority");
    ask->stream = json_is_true(json_object_get(body, "stream"));
    strlcpy(ask->model, text_of(body, "model"), sizeof(ask->model));
    strlcpy(ask->kv, text_of(body, "kv"), sizeof(ask->kv));
    return parse_resume(ask, json_object_get(body, "resume"));
}

/* Frees what the struct holds. */
void
En_AskFree(struct en_ask *ask)
{
    free(ask->prompt);
    free(ask->resume_text);
}
