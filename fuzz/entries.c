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

#define Fz_EVENT_MAX 4096 /* bytes */
#define Fz_ENTRIES_MAX 64

static void
require(bool condition, const char *invariant)
{
    if (!condition) {
        fprintf(stderr, "invariant violated: %s\n", invariant);
        abort();
    }
}

/*
 * Copies the bytes to a NUL-terminated string of its own allocation, so that
 * the address sanitizer detects a read beyond its end.
 */
static char *
copy_text(const uint8_t *data, size_t len)
{
    char *text = malloc(len + 1);
    require(text != NULL, "memory");
    if (len > 0) {
        memcpy(text, data, len);
    }
    text[len] = '\0';
    return text;
}

struct event_digest {
    size_t count;
    uint64_t hash;
};

static void
count_event(void *arg, const char *data, size_t len)
{
    struct event_digest *events = arg;
    struct en_event event;
    events->count++;
    events->hash ^= Hash_Bytes(data, len, events->hash + events->count);
    if (En_ReadEvent(data, len, &event) != ST_OK) {
        return;
    }
    require(event.kind != EN_TOKEN || event.text != NULL,
            "a token event has a text");
    require(event.kind != EN_TOKEN || event.index >= 0,
            "a token's index is not negative");
    if (event.kind == EN_TOKEN) {
        free(En_CallerEvent(&event, "request", "model"));
    }
    En_EventFree(&event);
}

static struct event_digest
parse_events(const uint8_t *data, size_t len, size_t piece_len)
{
    struct event_digest events = {0};
    struct ss_parser *parser = Ss_Create(Fz_EVENT_MAX);
    require(parser != NULL, "memory");
    enum st_status status = ST_OK;
    for (size_t at = 0; at < len && status == ST_OK; at += piece_len) {
        size_t n = len - at < piece_len ? len - at : piece_len;
        status = Ss_Feed(parser, data + at, n, count_event, &events);
    }
    Ss_Destroy(parser);
    return events;
}

/* Checks that an engine's stream gives the same events however it is split. */
static void
run_events(const uint8_t *data, size_t len)
{
    struct event_digest whole = parse_events(data, len, len > 0 ? len : 1);
    struct event_digest by_one = parse_events(data, len, 1);
    struct event_digest by_three = parse_events(data, len, 3);
    require(whole.count == by_one.count && whole.hash == by_one.hash &&
                whole.count == by_three.count && whole.hash == by_three.hash,
            "the events do not depend on how the stream is split");
}

/* Parses a caller's body; builds the engine request and the answer from it. */
static void
run_prompt(const uint8_t *data, size_t len)
{
    static const char *const paths[] = {"/v1/completions",
                                        "/v1/chat/completions"};
    static const struct en_resume resume = {
        .text = "a b", .text_len = 3, .tokens = 2};
    for (size_t i = 0; i < sizeof(paths) / sizeof(paths[0]); i++) {
        struct en_prompt prompt;
        char *text = copy_text(data, len);
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

/* Calls "each" for every line, with the line number as the offset. */
static void
each_line(const uint8_t *data, size_t len,
          void (*each)(void *arg, const char *line, uint64_t offset),
          void *arg)
{
    char *text = copy_text(data, len);
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
dump_table(const struct cl_table *table)
{
    json_t *list = Cl_Save(table);
    char *text = list != NULL ? json_dumps(list, JSON_COMPACT) : NULL;
    json_decref(list);
    return text;
}

/*
 * Reads records of a claim stream, one a line, and checks that two tables that
 * apply the same records are equal.
 */
static void
run_claims(const uint8_t *data, size_t len)
{
    struct cl_options options = {.max_entries = Fz_ENTRIES_MAX};
    struct cl_table *one = Cl_Create(&options);
    struct cl_table *two = Cl_Create(&options);
    require(one != NULL && two != NULL, "memory");
    each_line(data, len, apply_claim, one);
    each_line(data, len, apply_claim, two);
    char *first = dump_table(one);
    char *second = dump_table(two);
    require(first != NULL && second != NULL && strcmp(first, second) == 0,
            "the same records give equal tables");
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
    require(Sc_Offset(state) == offset, "every record advances the offset");
}

/*
 * Reads records of the config stream, one a line, and checks that a snapshot
 * restores the same state.
 */
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
            "a restored state gives the same snapshot");
    free(snapshot);
    free(again);
    Sc_Destroy(state);
    Sc_Destroy(copy);
}

/* Parses the bytes as a peer's claim request and as a peer's claim reply. */
static void
run_claims_wire(const uint8_t *data, size_t len)
{
    struct cw_request ask;
    struct cw_reply answer;
    char *text = copy_text(data, len);
    if (Cw_ReadRequest(text, len, &ask) == ST_OK) {
        require(ask.kind <= CW_RELEASE, "the request kind is known");
        Cw_FreeRequest(&ask);
    }
    if (Cw_ReadReply(text, len, &answer) == ST_OK) {
        require(answer.answer.verdict != KP_DONE ||
                    answer.answer.answer != NULL,
                "a stored answer is not NULL");
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

/* Returns NULL when there is no such entry. */
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
