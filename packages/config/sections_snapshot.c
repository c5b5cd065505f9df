/*
 * Snapshots of the sections, for a daemon that cannot read the stream from
 * its beginning or that cannot reach the log.
 */
#include <bsd/string.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "config/sections_state.h"

static json_t *
sections_to_json(const struct sc_state *state)
{
    json_t *list = json_array();
    const struct sc_entry *entry;
    TAILQ_FOREACH (entry, &state->entries, link) {
        json_t *body = json_loads(entry->body, 0, NULL);
        json_array_append_new(
            list, json_pack("{s:s, s:I, s:o}", "name", entry->name, "offset",
                            (json_int_t)entry->offset, "body", body));
    }
    return list;
}

/* Lists the stored verdicts, oldest first. */
static json_t *
verdicts_to_json(const struct sc_state *state)
{
    json_t *list = json_array();
    size_t first = state->verdict_count > Sc_VERDICTS_MAX
                       ? state->verdict_count - Sc_VERDICTS_MAX
                       : 0;
    for (size_t i = first; i < state->verdict_count; i++) {
        const struct sc_verdict *verdict =
            &state->verdicts[i % Sc_VERDICTS_MAX];
        json_array_append_new(
            list, json_pack("{s:I, s:s, s:s, s:i, s:s}", "offset",
                            (json_int_t)verdict->offset, "id", verdict->id,
                            "section", verdict->section, "status",
                            (int)verdict->status, "reason", verdict->reason));
    }
    return list;
}

/*
 * Returns the whole state as JSON, which the caller frees; NULL without
 * memory.  The snapshot may be longer than a record of the log.
 */
char *
Sc_Snapshot(const struct sc_state *state)
{
    json_t *json = json_pack(
        "{s:I, s:I, s:o, s:o}", "offset", (json_int_t)state->offset,
        "in_force", (json_int_t)state->config->offset, "sections",
        sections_to_json(state), "verdicts", verdicts_to_json(state));
    char *text = json_dumps(json, JSON_COMPACT | JSON_ENSURE_ASCII);
    json_decref(json);
    return text;
}

static enum st_status
invalid_snapshot(void)
{
    return St_Fail(ST_INVALID,
                   "the snapshot is not one of the sections: take another "
                   "one, from the log or another daemon");
}

static enum st_status
read_entry(const json_t *json, struct sc_entry *entry)
{
    const char *name = json_string_value(json_object_get(json, "name"));
    const json_t *body = json_object_get(json, "body");
    json_int_t offset = json_integer_value(json_object_get(json, "offset"));
    if (name == NULL || !json_is_object(body) || offset <= 0) {
        return invalid_snapshot();
    }
    strlcpy(entry->name, name, sizeof(entry->name));
    entry->offset = (uint64_t)offset;
    entry->body = json_dumps(body, JSON_COMPACT | JSON_SORT_KEYS);
    if (entry->body == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for section %s", name);
    }
    return Cf_ParseSection(name, body, &entry->parsed);
}

static enum st_status
read_entries(const json_t *list, struct sc_state *state)
{
    size_t i;
    json_t *item;
    json_array_foreach (list, i, item) {
        struct sc_entry *entry = calloc(1, sizeof(*entry));
        if (entry == NULL) {
            return St_Fail(ST_NO_MEMORY, "no memory for a section");
        }
        TAILQ_INSERT_TAIL(&state->entries, entry, link);
        state->count++;
        enum st_status status = read_entry(item, entry);
        if (status != ST_OK) {
            return status;
        }
    }
    return ST_OK;
}

static enum st_status
read_verdict(const json_t *json, struct sc_verdict *verdict)
{
    const char *id = json_string_value(json_object_get(json, "id"));
    const char *section = json_string_value(json_object_get(json, "section"));
    const char *reason = json_string_value(json_object_get(json, "reason"));
    json_int_t offset = json_integer_value(json_object_get(json, "offset"));
    json_int_t status = json_integer_value(json_object_get(json, "status"));
    if (id == NULL || section == NULL || reason == NULL || offset <= 0 ||
        status < ST_OK || status > ST_INTERNAL) {
        return invalid_snapshot();
    }
    verdict->offset = (uint64_t)offset;
    verdict->status = (enum st_status)status;
    strlcpy(verdict->id, id, sizeof(verdict->id));
    strlcpy(verdict->section, section, sizeof(verdict->section));
    strlcpy(verdict->reason, reason, sizeof(verdict->reason));
    return ST_OK;
}

static enum st_status
read_verdicts(const json_t *list, struct sc_state *state)
{
    size_t i;
    json_t *item;
    json_array_foreach (list, i, item) {
        size_t slot = state->verdict_count % Sc_VERDICTS_MAX;
        enum st_status status = read_verdict(item, &state->verdicts[slot]);
        if (status != ST_OK) {
            return status;
        }
        state->verdict_count++;
    }
    return ST_OK;
}

static enum st_status
build_config(struct sc_state *state, uint64_t in_force)
{
    const struct cf_parsed_section **sections =
        calloc(state->count + 1, sizeof(*sections));
    if (sections == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for %zu sections",
                       state->count);
    }
    size_t count = 0;
    const struct sc_entry *entry;
    TAILQ_FOREACH (entry, &state->entries, link) {
        sections[count++] = entry->parsed;
    }
    Cf_Destroy(state->config);
    state->config = NULL;
    enum st_status status =
        Cf_Assemble(sections, count, in_force, &state->config);
    free(sections);
    return status;
}

static enum st_status
read_state(const json_t *json, struct sc_state *state)
{
    json_int_t in_force =
        json_integer_value(json_object_get(json, "in_force"));
    if (in_force < 0) {
        return invalid_snapshot();
    }
    state->offset =
        (uint64_t)json_integer_value(json_object_get(json, "offset"));
    enum st_status status =
        read_entries(json_object_get(json, "sections"), state);
    if (status == ST_OK) {
        status = read_verdicts(json_object_get(json, "verdicts"), state);
    }
    if (status == ST_OK) {
        status = build_config(state, (uint64_t)in_force);
    }
    return status;
}

/* Moves the contents of a fresh state into another one. */
static void
move_contents(struct sc_state *state, struct sc_state *fresh)
{
    Sc_Clear(state);
    TAILQ_CONCAT(&state->entries, &fresh->entries, link);
    state->offset = fresh->offset;
    state->count = fresh->count;
    state->config = fresh->config;
    state->verdict_count = fresh->verdict_count;
    memcpy(state->verdicts, fresh->verdicts, sizeof(state->verdicts));
    fresh->config = NULL;
}

static enum st_status
restore(struct sc_state *state, const json_t *json)
{
    struct sc_state *fresh;
    enum st_status status = Sc_Create(&fresh);
    if (status != ST_OK) {
        return status;
    }
    status = read_state(json, fresh);
    if (status == ST_OK) {
        move_contents(state, fresh);
    }
    Sc_Destroy(fresh);
    return status;
}

/*
 * Replaces the state by a snapshot with a higher offset.  An older snapshot,
 * from a peer that lags, has no effect and is not a failure.  After
 * ST_INVALID the state is unchanged.
 */
enum st_status
Sc_Restore(struct sc_state *state, const char *snapshot)
{
    json_t *json = json_loads(snapshot, JSON_REJECT_DUPLICATES, NULL);
    json_int_t offset = json_integer_value(json_object_get(json, "offset"));
    enum st_status status = ST_OK;
    if (json == NULL || offset < 0 ||
        !json_is_array(json_object_get(json, "sections")) ||
        !json_is_array(json_object_get(json, "verdicts"))) {
        status = invalid_snapshot();
    }
    else if ((uint64_t)offset > state->offset) {
        status = restore(state, json);
    }
    json_decref(json);
    return status;
}
