/* Shared by the modules of the sections only. */
#ifndef CONFIG_SECTIONS_STATE_H
#define CONFIG_SECTIONS_STATE_H

#include <bsd/sys/queue.h>

#include "config/part.h"
#include "config/sections.h"

struct sc_entry {
    TAILQ_ENTRY(sc_entry) link; /* in the order of names */
    char name[Cf_SECTION_MAX];
    uint64_t offset;
    char *body;
    struct cf_part *part;
};

TAILQ_HEAD(sc_entries, sc_entry);

struct sc_state {
    uint64_t offset; /* of the last record seen */
    struct sc_entries entries;
    size_t count;
    struct cf_config *config;
    struct sc_verdict verdicts[Sc_VERDICTS]; /* a ring */
    size_t verdict_count;                    /* ever given */
};

/* The effect a record would have. */
struct sc_change {
    char id[Sc_ID_MAX];
    char section[Cf_SECTION_MAX];
    char *body;
    struct cf_part *part;
    struct cf_config *config;
};

enum st_status Sc_Evaluate(const struct sc_state *state, uint64_t offset,
                           const char *json, struct sc_change *change);
void Sc_ChangeClear(struct sc_change *change);
void Sc_Clear(struct sc_state *state);
struct sc_entry *Sc_Find(const struct sc_state *state, const char *name);

#endif
