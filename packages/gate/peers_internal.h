/* Private to peers.c and peers_*.c. */
#ifndef GATE_PEERS_INTERNAL_H
#define GATE_PEERS_INTERNAL_H

#include "gate/peers.h"

/*
 * TTL of the fact that a host will be reclaimed, beyond the time left to it.
 * Readers derive that time from the remaining TTL.
 */
#define Pe_LEAVING_TTL_USEC (600 * Ck_USEC_PER_SEC)

/* Room for the endpoints of two data centres, and for all keyed jobs. */
#define Pe_WATCH_CACHE_ENTRIES 2048
#define Pe_JOB_CACHE_ENTRIES 64

/* Whether this daemon watches an endpoint, as of a table generation. */
struct pe_watch_memo {
    uint64_t key;
    uint64_t generation; /* plus 1; 0: unused entry */
    bool watches;
};

/* The member responsible for a job, as of a table generation. */
struct pe_job_memo {
    uint64_t key;
    uint64_t generation; /* plus 1; 0: unused entry */
    const struct mb_record *member;
};

struct pe_peers {
    struct gt_gate *gate;
    const struct pe_ops *ops;
    void *arg;
    struct nd_node *node;
    uint64_t incarnation; /* of this run of the daemon */
    int64_t started;
    uint64_t highest_offset; /* of the config stream, at any daemon */
    bool fetching_config;    /* a call for a peer's configuration is open */
    struct pe_watch_memo watch_memos[Pe_WATCH_CACHE_ENTRIES];
    struct pe_job_memo job_memos[Pe_JOB_CACHE_ENTRIES];
};

/* In peers_receive.c. */
enum st_status Pe_WatchFacts(struct pe_peers *peers);
/* In peers_call.c. */
enum st_status Pe_ServeLinks(struct pe_peers *peers);
/* In peers_query.c. */
bool Pe_FindConfig(const struct pe_peers *peers, const char *node,
                   struct pf_config *out);

#endif
