/* The state of the sections.  Private to sections*.c. */
#ifndef CONFIG_SECTIONS_STATE_H
#define CONFIG_SECTIONS_STATE_H

#include <bsd/sys/queue.h>

#include "config/parsed_section.h"
#include "config/sections.h"

struct sc_entry {
    TAILQ_ENTRY(sc_entry) link; /* list sorted by name */
    char name[Cf_SECTION_MAX];
    uint64_t offset;
    char *body;
    struct cf_parsed_section *parsed;
};

TAILQ_HEAD(sc_entries, sc_entry);

struct sc_state {
    uint64_t offset; /* of the last record read */
    struct sc_entries entries;
    size_t count;
    struct cf_config *config;
    struct sc_verdict verdicts[Sc_VERDICTS_MAX]; /* ring buffer */
    size_t verdict_count; /* includes overwritten verdicts */
};

/* The effect that a record would have. */
struct sc_change {
    char id[Sc_ID_MAX];
    char section[Cf_SECTION_MAX];
    char *body;
    struct cf_parsed_section *parsed;
    struct cf_config *config;
};

enum st_status Sc_Evaluate(const struct sc_state *state, uint64_t offset,
                           const char *json, struct sc_change *change);
void Sc_ChangeClear(struct sc_change *change);
void Sc_Clear(struct sc_state *state);
struct sc_entry *Sc_Find(const struct sc_state *state, const char *name);

#endif
