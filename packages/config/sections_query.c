#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "config/sections_state.h"

struct sc_entry *
Sc_Find(const struct sc_state *state, const char *name)
{
    struct sc_entry *entry;
    TAILQ_FOREACH (entry, &state->entries, link) {
        if (strcmp(entry->name, name) == 0) {
            return entry;
        }
    }
    return NULL;
}

/*
 * Checks whether a record would be accepted as the next one.  Returns the
 * status that its verdict would have; the message is the reason.
 */
enum st_status
Sc_Check(const struct sc_state *state, const char *json)
{
    struct sc_change change;
    enum st_status status =
        Sc_Evaluate(state, state->offset + 1, json, &change);
    Sc_ChangeClear(&change);
    return status;
}

/* Returns the offset of the last record read; 0 before the first. */
uint64_t
Sc_Offset(const struct sc_state *state)
{
    return state->offset;
}

/*
 * Returns the configuration in force, never NULL.  Its offset is that of the
 * last accepted record.  Use Cf_Ref() to keep it beyond the next record.
 */
struct cf_config *
Sc_Config(const struct sc_state *state)
{
    return state->config;
}

size_t
Sc_SectionCount(const struct sc_state *state)
{
    return state->count;
}

/*
 * Returns a section; the index counts in the order of names and is below
 * Sc_SectionCount().
 */
struct sc_section
Sc_SectionAt(const struct sc_state *state, size_t index)
{
    struct sc_section section = {NULL, 0, NULL};
    const struct sc_entry *entry;
    TAILQ_FOREACH (entry, &state->entries, link) {
        if (index-- == 0) {
            section.name = entry->name;
            section.offset = entry->offset;
            section.body = entry->body;
            break;
        }
    }
    return section;
}

/* Returns the base for the next change; 0 if there is no such section. */
uint64_t
Sc_SectionOffset(const struct sc_state *state, const char *name)
{
    const struct sc_entry *entry = Sc_Find(state, name);
    return entry != NULL ? entry->offset : 0;
}

static size_t
stored_verdict_count(const struct sc_state *state)
{
    return state->verdict_count < Sc_VERDICTS_MAX ? state->verdict_count
                                                  : Sc_VERDICTS_MAX;
}

/* Returns the verdict on the record at this offset; NULL if overwritten. */
const struct sc_verdict *
Sc_VerdictAt(const struct sc_state *state, uint64_t offset)
{
    for (size_t i = 0; i < stored_verdict_count(state); i++) {
        if (state->verdicts[i].offset == offset) {
            return &state->verdicts[i];
        }
    }
    return NULL;
}

/* Returns the first stored verdict on a record with this id, or NULL. */
const struct sc_verdict *
Sc_VerdictById(const struct sc_state *state, const char *id)
{
    const struct sc_verdict *first = NULL;
    for (size_t i = 0; i < stored_verdict_count(state); i++) {
        const struct sc_verdict *verdict = &state->verdicts[i];
        if (strcmp(verdict->id, id) == 0 &&
            (first == NULL || verdict->offset < first->offset)) {
            first = verdict;
        }
    }
    return first;
}
