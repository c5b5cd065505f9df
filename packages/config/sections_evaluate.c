/*
 * Decides whether a record is accepted.  The verdict depends only on the
 * state and the record, so every daemon that has read the same prefix of the
 * log reaches the same verdict.
 */
#include <bsd/string.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "config/patch.h"
#include "config/sections_state.h"

/* The fields of a record; the strings belong to the JSON value. */
struct record {
    bool patch;
    const char *section;
    const char *author;
    const char *id;
    uint64_t base;
    const json_t *body;
};

static bool
is_short_text(const json_t *value, size_t size)
{
    const char *text = json_string_value(value);
    return text != NULL && text[0] != '\0' && strlen(text) < size;
}

static enum st_status
read_record(const json_t *json, struct record *record)
{
    const json_t *section = json_object_get(json, "section");
    const json_t *author = json_object_get(json, "author");
    const json_t *id = json_object_get(json, "id");
    const json_t *base = json_object_get(json, "base");
    const char *kind = json_string_value(json_object_get(json, "kind"));
    record->body = json_object_get(json, "body");
    bool is_section = kind != NULL && strcmp(kind, "section") == 0;
    record->patch = kind != NULL && strcmp(kind, "patch") == 0;
    if ((!is_section && !record->patch) ||
        !is_short_text(section, Cf_SECTION_MAX) ||
        !is_short_text(author, Cf_NAME_MAX) || !json_is_integer(base) ||
        json_integer_value(base) < 0 || !json_is_object(record->body) ||
        (id != NULL && !is_short_text(id, Sc_ID_MAX))) {
        St_Fail(ST_INVALID,
                "the record is not a section or patch with section, "
                "base, author and body: publish with 'cornelctl "
                "publish'");
        return ST_INVALID;
    }
    record->section = json_string_value(section);
    record->author = json_string_value(author);
    record->id = id != NULL ? json_string_value(id) : "";
    record->base = (uint64_t)json_integer_value(base);
    return ST_OK;
}

/*
 * Makes publishing idempotent.  A publisher that gets no answer to its append
 * retries it, so the log may hold the same record twice, and the second copy
 * could be accepted after other changes.  The ids of the last verdicts belong
 * to the state, so every reader refuses the second copy.
 */
static enum st_status
check_id_unused(const struct sc_state *state, const struct record *record)
{
    if (record->id[0] == '\0') {
        return ST_OK;
    }
    const struct sc_verdict *first = Sc_VerdictById(state, record->id);
    if (first == NULL) {
        return ST_OK;
    }
    return St_Fail(ST_CONFLICT,
                   "the change repeats the record at offset %" PRIu64
                   ": read the verdict given there",
                   first->offset);
}

static enum st_status
check_author(const struct sc_state *state, const struct record *record)
{
    if (Cf_MayPublish(state->config, record->author, record->section)) {
        return ST_OK;
    }
    if (strcmp(record->author, Cf_BOOTSTRAP) == 0) {
        return St_Fail(ST_DENIED,
                       "the first key publishes the platform section only, "
                       "and only while no team exists: use the key of a team");
    }
    return St_Fail(ST_DENIED,
                   "team %s may not publish section %s: ask that team, or an "
                   "operator, to publish the change",
                   record->author, record->section);
}

static enum st_status
check_base(const struct sc_entry *entry, const struct record *record)
{
    uint64_t offset = entry != NULL ? entry->offset : 0;
    if (record->base == offset) {
        return ST_OK;
    }
    return St_Fail(ST_CONFLICT,
                   "section %s is at offset %" PRIu64
                   ", but the change builds on %" PRIu64
                   ": another change came first; run 'cornelctl diff', then "
                   "publish again",
                   record->section, offset, record->base);
}

/* Returns a new reference to the new body; NULL: the failure is in status. */
static json_t *
make_body(const struct sc_entry *entry, const struct record *record,
          enum st_status *status)
{
    json_t *before = NULL;
    if (record->patch && entry != NULL) {
        before = json_loads(entry->body, 0, NULL);
    }
    json_t *after = Mp_Apply(before, record->body);
    json_decref(before);
    if (after == NULL) {
        *status =
            St_Fail(ST_NO_MEMORY, "no memory for section %s", record->section);
        return NULL;
    }
    *status = Cf_KeyListsByName(record->section, after);
    if (*status != ST_OK) {
        json_decref(after);
        return NULL;
    }
    return after;
}

static enum st_status
write_body(const json_t *body, const struct record *record,
           struct sc_change *change)
{
    change->body = json_dumps(body, JSON_COMPACT | JSON_SORT_KEYS);
    if (change->body == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for section %s",
                       record->section);
    }
    size_t len = strlen(change->body);
    if (len > Cf_SECTION_BYTES_MAX) {
        return St_Fail(ST_INVALID,
                       "section %s would take %zu bytes and at most %d go "
                       "in: move customers or services to another team",
                       record->section, len, Cf_SECTION_BYTES_MAX);
    }
    return ST_OK;
}

/* Builds the configuration with one section replaced or added. */
static enum st_status
assemble(const struct sc_state *state, const struct sc_entry *replaced,
         uint64_t offset, struct sc_change *change)
{
    const struct cf_parsed_section **sections =
        calloc(state->count + 1, sizeof(*sections));
    if (sections == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for %zu sections",
                       state->count);
    }
    size_t count = 0;
    sections[count++] = change->parsed;
    const struct sc_entry *entry;
    TAILQ_FOREACH (entry, &state->entries, link) {
        if (entry != replaced) {
            sections[count++] = entry->parsed;
        }
    }
    enum st_status status =
        Cf_Assemble(sections, count, offset, &change->config);
    free(sections);
    return status;
}

static enum st_status
evaluate(const struct sc_state *state, uint64_t offset,
         const struct record *record, struct sc_change *change)
{
    struct sc_entry *entry = Sc_Find(state, record->section);
    enum st_status status = check_id_unused(state, record);
    if (status == ST_OK) {
        status = check_author(state, record);
    }
    if (status == ST_OK) {
        status = check_base(entry, record);
    }
    if (status != ST_OK) {
        return status;
    }
    json_t *body = make_body(entry, record, &status);
    if (body == NULL) {
        return status;
    }
    status = write_body(body, record, change);
    if (status == ST_OK) {
        status = Cf_ParseSection(record->section, body, &change->parsed);
    }
    json_decref(body);
    if (status == ST_OK) {
        status = assemble(state, entry, offset, change);
    }
    return status;
}

/*
 * Computes the effect of the record at this offset without applying it.  The
 * caller must clear the change also after a failure.
 */
enum st_status
Sc_Evaluate(const struct sc_state *state, uint64_t offset, const char *json,
            struct sc_change *change)
{
    memset(change, 0, sizeof(*change));
    struct record record = {.id = "", .section = ""};
    json_error_t error;
    json_t *value = json_loads(json, JSON_REJECT_DUPLICATES, &error);
    if (value == NULL) {
        return St_Fail(ST_INVALID,
                       "the record is not JSON (%s): publish "
                       "with 'cornelctl publish'",
                       error.text);
    }
    enum st_status status = read_record(value, &record);
    if (status == ST_OK) {
        strlcpy(change->id, record.id, sizeof(change->id));
        strlcpy(change->section, record.section, sizeof(change->section));
        status = evaluate(state, offset, &record, change);
    }
    json_decref(value);
    return status;
}

/* Frees the contents that the change still owns. */
void
Sc_ChangeClear(struct sc_change *change)
{
    free(change->body);
    Cf_ParsedSectionDestroy(change->parsed);
    Cf_Destroy(change->config);
    memset(change, 0, sizeof(*change));
}
