#include "config/sections.h"

#include <bsd/string.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "config/sections_state.h"

/* Creates a state before the first record, with an empty configuration. */
enum st_status
Sc_Create(struct sc_state **out)
{
    struct sc_state *state = calloc(1, sizeof(*state));
    if (state == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for the sections");
    }
    TAILQ_INIT(&state->entries);
    enum st_status status = Cf_Assemble(NULL, 0, 0, &state->config);
    if (status != ST_OK) {
        free(state);
        return status;
    }
    *out = state;
    return ST_OK;
}

static void
entry_destroy(struct sc_entry *entry)
{
    Cf_ParsedSectionDestroy(entry->parsed);
    free(entry->body);
    free(entry);
}

/* Frees the sections and releases the configuration. */
void
Sc_Clear(struct sc_state *state)
{
    struct sc_entry *entry;
    while ((entry = TAILQ_FIRST(&state->entries)) != NULL) {
        TAILQ_REMOVE(&state->entries, entry, link);
        entry_destroy(entry);
    }
    state->count = 0;
    Cf_Destroy(state->config);
    state->config = NULL;
}

/* "state" may be NULL. */
void
Sc_Destroy(struct sc_state *state)
{
    if (state == NULL) {
        return;
    }
    Sc_Clear(state);
    free(state);
}

static void
insert_entry(struct sc_state *state, struct sc_entry *entry)
{
    struct sc_entry *next;
    TAILQ_FOREACH (next, &state->entries, link) {
        if (strcmp(next->name, entry->name) > 0) {
            TAILQ_INSERT_BEFORE(next, entry, link);
            state->count++;
            return;
        }
    }
    TAILQ_INSERT_TAIL(&state->entries, entry, link);
    state->count++;
}

static struct sc_entry *
find_or_add(struct sc_state *state, const char *name)
{
    struct sc_entry *entry = Sc_Find(state, name);
    if (entry != NULL) {
        return entry;
    }
    entry = calloc(1, sizeof(*entry));
    if (entry != NULL) {
        strlcpy(entry->name, name, sizeof(entry->name));
        insert_entry(state, entry);
    }
    return entry;
}

/* Applies an accepted change; its contents move into the state. */
static enum st_status
commit(struct sc_state *state, uint64_t offset, struct sc_change *change)
{
    struct sc_entry *entry = find_or_add(state, change->section);
    if (entry == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for section %s",
                       change->section);
    }
    free(entry->body);
    Cf_ParsedSectionDestroy(entry->parsed);
    entry->body = change->body;
    entry->parsed = change->parsed;
    entry->offset = offset;
    Cf_Destroy(state->config);
    state->config = change->config;
    change->body = NULL;
    change->parsed = NULL;
    change->config = NULL;
    return ST_OK;
}

static void
store_verdict(struct sc_state *state, uint64_t offset, enum st_status status,
              const struct sc_change *change)
{
    size_t slot = state->verdict_count % Sc_VERDICTS_MAX;
    struct sc_verdict *verdict = &state->verdicts[slot];
    memset(verdict, 0, sizeof(*verdict));
    verdict->offset = offset;
    verdict->status = status;
    strlcpy(verdict->id, change->id, sizeof(verdict->id));
    strlcpy(verdict->section, change->section, sizeof(verdict->section));
    if (status != ST_OK) {
        strlcpy(verdict->reason, St_Message(), sizeof(verdict->reason));
    }
    state->verdict_count++;
}

/*
 * Checks that the record is the next one.  A log that answers with a shorter
 * tail, or a peer that restarted with old state, sends offsets that were read
 * before; those records have no effect.  An offset beyond the next one means
 * that records are missing (they expired, or the reader skipped them).  A
 * daemon that went on would reach other verdicts than its peers.
 */
static enum st_status
check_next(const struct sc_state *state, uint64_t offset, bool *already_read)
{
    *already_read = offset <= state->offset;
    if (*already_read || offset == state->offset + 1) {
        return ST_OK;
    }
    return St_Fail(ST_NOT_FOUND,
                   "the record after offset %" PRIu64 " is missing, next "
                   "comes %" PRIu64 ": start from a snapshot",
                   state->offset, offset);
}

/*
 * Applies the record at this offset and stores its verdict.  ST_OK: the
 * record was read, accepted or not; see Sc_VerdictAt().  A record that was
 * read before has no effect.  ST_NOT_FOUND: records before this one are
 * missing.  ST_NO_MEMORY: the record was not read; apply it again.
 */
enum st_status
Sc_Apply(struct sc_state *state, uint64_t offset, const char *json)
{
    bool already_read;
    enum st_status status = check_next(state, offset, &already_read);
    if (status != ST_OK || already_read) {
        return status;
    }
    struct sc_change change;
    status = Sc_Evaluate(state, offset, json, &change);
    if (status == ST_OK) {
        status = commit(state, offset, &change);
    }
    if (status != ST_NO_MEMORY) {
        store_verdict(state, offset, status, &change);
        state->offset = offset;
        status = ST_OK;
    }
    Sc_ChangeClear(&change);
    return status;
}

/*
 * Advances the state to this offset without applying the records in between,
 * which are snapshots or records that the reader drops.  The caller guarantees
 * that it has read all of them and that none is for the sections.
 */
void
Sc_SkipTo(struct sc_state *state, uint64_t offset)
{
    if (offset > state->offset) {
        state->offset = offset;
    }
}
