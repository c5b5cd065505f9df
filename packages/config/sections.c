#include "config/sections.h"

#include <bsd/string.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "config/sections_state.h"

/* Makes a state before the first record, with an empty configuration. */
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
    Cf_PartDestroy(entry->part);
    free(entry->body);
    free(entry);
}

/* Frees the sections and the reference to the configuration. */
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

/* Frees the state and its reference to the configuration; NULL is allowed. */
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

/* Puts an accepted change into force; the change gives its contents away. */
static enum st_status
commit(struct sc_state *state, uint64_t offset, struct sc_change *change)
{
    struct sc_entry *entry = find_or_add(state, change->section);
    if (entry == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for section %s",
                       change->section);
    }
    free(entry->body);
    Cf_PartDestroy(entry->part);
    entry->body = change->body;
    entry->part = change->part;
    entry->offset = offset;
    Cf_Destroy(state->config);
    state->config = change->config;
    change->body = NULL;
    change->part = NULL;
    change->config = NULL;
    return ST_OK;
}

static void
keep_verdict(struct sc_state *state, uint64_t offset, enum st_status status,
             const struct sc_change *change)
{
    size_t slot = state->verdict_count % Sc_VERDICTS;
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
 * Guards against a node turned back or led past a record.  A log that answers
 * with a shorter tail, or a peer that started again with old state, offers
 * offsets that were seen: they have no effect.  An offset beyond the next one
 * means that records were missed (they expired, or a reader skipped them);
 * whoever went on would reach other verdicts than the rest.
 */
static enum st_status
check_next(const struct sc_state *state, uint64_t offset, bool *seen)
{
    *seen = offset <= state->offset;
    if (*seen || offset == state->offset + 1) {
        return ST_OK;
    }
    return St_Fail(ST_NOT_FOUND,
                   "the record after offset %" PRIu64 " is missing, next "
                   "comes %" PRIu64 ": start from a snapshot",
                   state->offset, offset);
}

/*
 * Takes the record at this offset and keeps the verdict on it.  ST_OK says
 * that it was read, not that it was accepted: see Sc_VerdictAt().  Records
 * seen before have no effect.  ST_NOT_FOUND: records before it are missing.
 * ST_NO_MEMORY: not taken; give it again.
 */
enum st_status
Sc_Apply(struct sc_state *state, uint64_t offset, const char *json)
{
    bool seen;
    enum st_status status = check_next(state, offset, &seen);
    if (status != ST_OK || seen) {
        return status;
    }
    struct sc_change change;
    status = Sc_Evaluate(state, offset, json, &change);
    if (status == ST_OK) {
        status = commit(state, offset, &change);
    }
    if (status != ST_NO_MEMORY) {
        keep_verdict(state, offset, status, &change);
        state->offset = offset;
        status = ST_OK;
    }
    Sc_ChangeClear(&change);
    return status;
}

/*
 * Says that every record up to this offset was read and that those not given
 * to Sc_Apply() are none for the sections: snapshots, and records that the
 * reader drops.  The caller vouches that none was missed.
 */
void
Sc_Pass(struct sc_state *state, uint64_t offset)
{
    if (offset > state->offset) {
        state->offset = offset;
    }
}
