/* Shared by the source files of the fact table only. */
#ifndef MEMBER_FACT_INTERNAL_H
#define MEMBER_FACT_INTERNAL_H

#include <bsd/sys/queue.h>
#include <bsd/sys/tree.h>

#include "member/fact.h"

struct fc_entry {
    RB_ENTRY(fc_entry) node;
    TAILQ_ENTRY(fc_entry) queued;
    uint64_t name_hash;
    char owner[Mb_ID_MAX];
    char key[Fc_KEY_MAX];
    uint64_t version;
    enum fc_scope scope;
    int64_t expires_usec; /* 0: never */
    int64_t updated_usec; /* when this version was stored */
    int64_t purge_usec;   /* when the entry may be removed */
    bool expired;         /* tombstone: only the version is kept */
    bool published;       /* by this node since it started */
    int sends_left;       /* transmissions left; queued while above 0 */
    void *value;
    size_t len;
};

RB_HEAD(fc_tree, fc_entry);
TAILQ_HEAD(fc_queue, fc_entry);
SLIST_HEAD(fc_watches, fc_watch);

struct fc_watch {
    SLIST_ENTRY(fc_watch) link;
    char prefix[Fc_KEY_MAX];
    fc_changed_fn changed;
    void *arg;
};

struct fc_table {
    char node[Mb_ID_MAX];
    const struct ck_clock *clock;
    fc_changed_fn changed;
    void *arg;
    size_t facts_max;
    size_t count;
    struct fc_tree entries;
    struct fc_queue queues[Fc_SCOPES];
    struct fc_queue sent[Fc_SCOPES]; /* already in the current datagram */
    int spread[Fc_SCOPES];
    bool no_spread; /* updates are not queued for gossip */
    struct fc_watches watches;
};

RB_PROTOTYPE(fc_tree, fc_entry, node, fc_compare);

int fc_compare(const struct fc_entry *a, const struct fc_entry *b);
uint64_t fc_name_hash(const char *owner, const char *key);
struct fc_entry *fc_find(const struct fc_table *facts, const char *owner,
                         const char *key);
void fc_view(const struct fc_table *facts, const struct fc_entry *entry,
             struct fc_fact *out);

#endif
