#include "fuzz/entries.h"

#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config/sections.h"
#include "gate/claims_wire.h"
#include "platform/engine.h"
#include "platform/sse.h"
#include "state/claim.h"

#define Fz_EVENT_MAX 4096
#define Fz_ENTRIES_MAX 64

static void
require(bool holds, const char *promise)
{
    if (!holds) {
        fprintf(stderr, "broken promise: %s\n", promise);
        abort();
    }
}

/* The bytes as a NUL-terminated text; a reader beyond its end is found. */
static char *
text_of(const uint8_t *data, size_t len)
{
    char *text = malloc(len + 1);
    require(text != NULL, "memory");
    if (len > 0) {
        memcpy(text, data, len);
    }
    text[len] = '\0';
    return text;
}

struct events {
    size_t count;
    uint64_t hash;
};

static void
take_event(void *arg, const char *data, size_t len)
{
    struct events *events = arg;
    struct en_event event;
    events->count++;
    events->hash ^= Hash_Bytes(data, len, events->hash + events->count);
    if (En_ReadEvent(data, len, &event) != ST_OK) {
        return;
    }
    require(event.kind != EN_TOKEN || event.text != NULL, "a token has text");
    require(event.kind != EN_TOKEN || event.index >= 0, "an index is not < 0");
    if (event.kind == EN_TOKEN) {
        free(En_CallerEvent(&event, "request", "model"));
    }
    En_EventFree(&event);
}

static struct events
feed(const uint8_t *data, size_t len, size_t piece)
{
    struct events events = {0};
    struct ss_parser *parser = Ss_Create(Fz_EVENT_MAX);
    require(parser != NULL, "memory");
    enum st_status status = ST_OK;
    for (size_t at = 0; at < len && status == ST_OK; at += piece) {
        size_t n = len - at < piece ? len - at : piece;
        status = Ss_Feed(parser, data + at, n, take_event, &events);
    }
    Ss_Destroy(parser);
    return events;
}

/* An engine's stream: the same events whatever pieces it comes in. */
static void
run_events(const uint8_t *data, size_t len)
{
    struct events whole = feed(data, len, len > 0 ? len : 1);
    struct events bytes = feed(data, len, 1);
    struct events threes = feed(data, len, 3);
    require(whole.count == bytes.count && whole.hash == bytes.hash &&
                whole.count == threes.count && whole.hash == threes.hash,
            "events do not depend on the pieces");
}

/* A caller's body, and what is built of it for an engine. */
static void
run_prompt(const uint8_t *data, size_t len)
{
    static const char *const paths[] = {"/v1/completions",
                                        "/v1/chat/completions"};
    static const struct en_resume resume = {
        .text = "a b", .text_len = 3, .tokens = 2};
    for (size_t i = 0; i < sizeof(paths) / sizeof(paths[0]); i++) {
        struct en_prompt prompt;
        char *text = text_of(data, len);
        if (En_ReadPrompt(paths[i], text, len, &prompt) == ST_OK) {
            require(prompt.max_tokens >= 0, "max_tokens is not negative");
            free(En_BuildRequest(&prompt, 1, &(struct en_resume){0}));
            free(En_BuildRequest(&prompt, 1, &resume));
            free(En_CallerAnswer(&prompt, "request", "a", 1,
                                 &(struct en_usage){0}));
            En_PromptFree(&prompt);
        }
        free(text);
    }
}

/* Runs "each" on every line with its number as the offset. */
static void
each_line(const uint8_t *data, size_t len,
          void (*each)(void *arg, const char *line, uint64_t offset),
          void *arg)
{
    char *text = text_of(data, len);
    char *rest = text;
    char *line;
    uint64_t offset = 0;
    while ((line = strsep(&rest, "\n")) != NULL) {
        each(arg, line, ++offset);
    }
    free(text);
}

static void
apply_claim(void *arg, const char *line, uint64_t offset)
{
    struct cl_table *table = arg;
    struct rc_record record;
    struct cl_outcome out;
    if (Rc_Parse(line, offset, &record) != ST_OK) {
        return;
    }
    Cl_Apply(table, &record, &out);
    require(Cl_Count(table) <= Fz_ENTRIES_MAX, "the table is bounded");
    Rc_Clear(&record);
}

static char *
saved(const struct cl_table *table)
{
    json_t *list = Cl_Save(table);
    char *text = list != NULL ? json_dumps(list, JSON_COMPACT) : NULL;
    json_decref(list);
    return text;
}

/* Records of a claim stream, a line each; two readers agree. */
static void
run_claims(const uint8_t *data, size_t len)
{
    struct cl_options options = {.max_entries = Fz_ENTRIES_MAX};
    struct cl_table *one = Cl_Create(&options);
    struct cl_table *two = Cl_Create(&options);
    require(one != NULL && two != NULL, "memory");
    each_line(data, len, apply_claim, one);
    each_line(data, len, apply_claim, two);
    char *first = saved(one);
    char *second = saved(two);
    require(first != NULL && second != NULL && strcmp(first, second) == 0,
            "the same records give the same table");
    free(first);
    free(second);
    Cl_Destroy(one);
    Cl_Destroy(two);
}

static void
apply_section(void *arg, const char *line, uint64_t offset)
{
    struct sc_state *state = arg;
    Sc_Apply(state, offset, line);
    require(Sc_Offset(state) == offset, "the offset never stands still");
}

/* Records of the config stream, a line each; a snapshot restores them. */
static void
run_sections(const uint8_t *data, size_t len)
{
    struct sc_state *state = NULL;
    struct sc_state *copy = NULL;
    require(Sc_Create(&state) == ST_OK && Sc_Create(&copy) == ST_OK, "memory");
    each_line(data, len, apply_section, state);
    char *snapshot = Sc_Snapshot(state);
    require(snapshot != NULL, "memory");
    require(Sc_Restore(copy, snapshot) == ST_OK, "a snapshot can be restored");
    char *again = Sc_Snapshot(copy);
    require(again != NULL && strcmp(snapshot, again) == 0,
            "a restored state is the same");
    free(snapshot);
    free(again);
    Sc_Destroy(state);
    Sc_Destroy(copy);
}

/* What another daemon asks or answers about claims. */
static void
run_claims_wire(const uint8_t *data, size_t len)
{
    struct cw_request ask;
    struct cw_reply answer;
    char *text = text_of(data, len);
    if (Cw_ReadRequest(text, len, &ask) == ST_OK) {
        require(ask.kind <= CW_RELEASE, "a known kind");
        Cw_FreeRequest(&ask);
    }
    if (Cw_ReadReply(text, len, &answer) == ST_OK) {
        require(answer.answer.verdict != KP_DONE ||
                    answer.answer.answer != NULL,
                "a kept answer is there");
        Cw_FreeReply(&answer);
    }
    free(text);
}

const struct fz_entry Fz_Entries[] = {
    {"events", run_events},           {"prompt", run_prompt},
    {"claims", run_claims},           {"sections", run_sections},
    {"claims_wire", run_claims_wire},
};

const size_t Fz_Count = sizeof(Fz_Entries) / sizeof(Fz_Entries[0]);

/* NULL when there is no such entry. */
const struct fz_entry *
Fz_Find(const char *name)
{
    for (size_t i = 0; i < Fz_Count; i++) {
        if (strcmp(Fz_Entries[i].name, name) == 0) {
            return &Fz_Entries[i];
        }
    }
    return NULL;
}
