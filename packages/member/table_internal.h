/* Shared by the source files of the membership table only. */
#ifndef MEMBER_TABLE_INTERNAL_H
#define MEMBER_TABLE_INTERNAL_H

#include <bsd/sys/queue.h>
#include <bsd/sys/tree.h>

#include "member/table.h"

#define Mb_SEEDS_MAX 512
#define Mb_PROBES_MAX 64
#define Mb_DATA_CENTRES_MAX 64
#define Mb_MEMBERS_MAX 4096
#define Mb_BRIDGES 2 /* per pair of data centres, on each side */
#define Mb_SUSPECTORS_MAX 3

struct mb_dc {
    TAILQ_ENTRY(mb_dc) link;
    char name[Mb_NAME_MAX];
    char region[Mb_NAME_MAX];
    size_t live_count; /* members that are not dead */
    bool bridged;      /* this node is a bridge to it */
    bool unreachable;
    int64_t since_usec; /* when it became unreachable */
    int failures;       /* consecutive failed bridge probes */
    int64_t wait_usec;  /* delay between bridge probes */
    int64_t next_usec;
};

struct mb_entry {
    struct mb_record record;
    RB_ENTRY(mb_entry) node;
    TAILQ_ENTRY(mb_entry) queued;
    struct mb_dc *dc;
    int sends_left;        /* remaining transmissions; queued while above 0 */
    bool local_suspicion;  /* suspected while this node was isolated */
    bool departed;         /* announced that it leaves */
    int64_t since_usec;    /* when it entered its state */
    int64_t deadline_usec; /* end of suspicion; 0: none */
    uint64_t suspectors[Mb_SUSPECTORS_MAX]; /* hashes of their ids */
    size_t suspector_count;
    int64_t wait_usec; /* between probes of a dead member */
    int64_t next_usec;
};

enum mb_purpose {
    MB_FOR_GROUP,  /* regular probe of a group member */
    MB_FOR_BRIDGE, /* checks whether a data centre is reachable */
    MB_FOR_REJOIN, /* a dead member or a seed; a failure has no effect */
    MB_FOR_OTHER,  /* on behalf of another member */
};

struct mb_probe {
    bool used;
    enum mb_purpose purpose;
    uint32_t sequence;
    char target[Mb_ID_MAX];
    bool indirect; /* indirect probes were requested */
    int64_t indirect_usec;
    int64_t deadline_usec;
    char requester[Mb_ID_MAX]; /* set for MB_FOR_OTHER */
    uint32_t requester_sequence;
};

RB_HEAD(mb_tree, mb_entry);
TAILQ_HEAD(mb_queue, mb_entry);
TAILQ_HEAD(mb_dcs, mb_dc);

struct mb_table {
    const struct ck_clock *clock;
    struct rn_random *random;
    const struct mb_ops *ops;
    void *arg;
    int64_t period_usec;
    int64_t timeout_usec;
    size_t group_min;

    struct mb_entry *self;
    struct mb_tree members;
    size_t member_count;
    bool no_spread; /* updates are not queued for gossip */
    struct mb_queue queue;
    struct mb_dcs dcs;
    size_t dc_count;
    uint64_t generation;
    uint64_t bridges_generation;

    struct mb_endpoint seeds[Mb_SEEDS_MAX];
    size_t seed_count;
    int64_t next_seed_usec;

    struct mb_probe probes[Mb_PROBES_MAX];
    uint32_t sequence;
    struct mb_entry **order; /* shuffled probe order of one round */
    size_t order_len;
    size_t order_next;
    int64_t next_probe_usec;
    int64_t next_scan_usec;
    int64_t last_tick_usec;
    int64_t last_received_usec; /* last message from a group member */
    int health_penalty; /* failed probes less successful ones; 0: healthy */
};

RB_PROTOTYPE(mb_tree, mb_entry, node, mb_compare);

int mb_compare(const struct mb_entry *a, const struct mb_entry *b);

/* table_entry.c */
struct mb_entry *mb_find(const struct mb_table *table, const char *id);
struct mb_entry *mb_add(struct mb_table *table,
                        const struct mb_record *record);
void mb_remove(struct mb_table *table, struct mb_entry *entry);
struct mb_dc *mb_dc_of(struct mb_table *table, const struct mb_record *record);
bool mb_is_live(enum mb_state state);

/* table.c */
void mb_set_state(struct mb_table *table, struct mb_entry *entry,
                  enum mb_state state);
void mb_enqueue(struct mb_table *table, struct mb_entry *entry);
bool mb_in_group(const struct mb_table *table, const struct mb_entry *entry);
bool mb_isolated(const struct mb_table *table, int64_t now);
void mb_suspect(struct mb_table *table, struct mb_entry *entry);

/* table_send.c */
struct mb_message mb_message_new(struct mb_table *table, enum mb_type type,
                                 uint32_t sequence, const char *subject);
bool mb_message_add(struct mb_message *message,
                    const struct mb_record *record);
void mb_message_fill(struct mb_table *table, struct mb_message *message);
void mb_send_to(struct mb_table *table, const struct mb_entry *entry,
                const struct mb_message *message);
void mb_ping(struct mb_table *table, const struct mb_entry *entry,
             uint32_t sequence, bool introduce);
typedef bool (*mb_accept_fn)(const struct mb_table *table,
                             const struct mb_entry *entry, const void *arg);
struct mb_entry *mb_pick_random(struct mb_table *table, mb_accept_fn accept,
                                const void *arg);

/* table_probe.c */
struct mb_probe *mb_probe_new(struct mb_table *table, enum mb_purpose purpose,
                              const char *target, int64_t deadline_usec);
void mb_handle_ack(struct mb_table *table, const struct mb_message *message);
void mb_relay_probe(struct mb_table *table, const struct mb_message *message);
void mb_update_bridges(struct mb_table *table);
void mb_set_reachable(struct mb_table *table, struct mb_dc *dc,
                      bool reachable);

#endif
