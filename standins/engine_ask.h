/* A request of the completions API, read into a struct. */
#ifndef STANDINS_ENGINE_ASK_H
#define STANDINS_ENGINE_ASK_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>

#include "base/status.h"

#define En_TEXT_MAX 64

struct en_ask {
    char *prompt;
    size_t prompt_len;
    int max_tokens; /* of the whole answer; 0: no limit */
    int priority;
    bool stream;
    bool chat;
    char model[En_TEXT_MAX];
    char kv[En_TEXT_MAX]; /* empty without one */
    int resume_tokens;    /* 0 unless resumed */
    char *resume_text;
};

enum st_status En_AskParse(struct en_ask *ask, const char *path,
                           const json_t *body);
void En_AskFree(struct en_ask *ask);

#endif
