/*
 * What daemons tell each other, some times a second and without being asked:
 * that they live, what they have sent where, what they have admitted and
 * counted, how much of the store they know.  All of it is advice or a count
 * that only rises, so datagrams may be lost, late or twice.
 *
 * The load it answers: hundreds of daemons, each with a few requests a
 * second, whose words to each other would come seconds apart.  Daemons of one
 * data centre tell each other more often, and each daemon gets the sums of
 * every other data centre (a summary) from one daemon there.
 */
#ifndef EDGE_MESH_H
#define EDGE_MESH_H

#include <bsd/sys/queue.h>
#include <bsd/sys/tree.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "edge/demand.h"
#include "edge/duty.h"
#include "edge/node.h"
#include "edge/rollout.h"
#include "policy/poison.h"
#include "policy/warmup.h"

#ifdef __cplusplus
extern "C" {
#endif

#define Ms_LOADS_MAX 48
#define Ms_SUMMARY_LOADS_MAX 512
#define Ms_SPENT_MAX 64
#define Ms_COUNTS_MAX 192
#define Ms_HINTS_MAX 4
#define Ms_RATES_MAX 16
#define Ms_EVIDENCE_MAX 32
#define Ms_BRITTLE_MAX 8
#define Ms_CRASHES_MAX 24
#define Ms_CLEARS_MAX 16
#define Ms_STOPS_MAX 8

/* Requests of one daemon at one endpoint. */
struct ms_load {
    uint32_t endpoint;
    int running;
    int64_t reading;
};

struct ms_spent {
    uint32_t tenant;
    uint64_t total; /* admitted since the daemon's start */
    uint64_t asked; /* the same and what was refused */
};

/* How much more a row says than that of its tenant in an earlier word; never
   less than 0. */
struct ms_spent Ms_SpentMore(const struct ms_spent *now,
                             const struct ms_spent *before, size_t count);

/* What a tenant has spent in the window that ends now, as the sender knows. */
struct ms_past {
    uint32_t tenant;
    uint64_t older; /* in the older half of the window */
    uint64_t newer;
};

struct ms_counted {
    int64_t window;
    uint32_t tenant;
    uint32_t count;
};

/* A service whose endpoints say how many refusals in a second they bear. */
struct ms_brittle {
    uint32_t service;
    int most;
};

/* What one datagram says. */
struct ms_word {
    char name[Nd_NAME_MAX];
    char ip[Nd_NAME_MAX];
    char zone[Nd_NAME_MAX];
    /* "spent" and "loads" are sums over the sender's data centre. */
    bool summary;
    uint64_t run;    /* of the process: differs at each start */
    int64_t up_usec; /* since that start */
    int link_mbps;   /* of the sender's host; 0: not known */
    bool ready;
    bool stopping;
    bool store_reached;
    bool cut; /* from some endpoints */
    bool reads_config;
    bool reads_entries;
    int64_t wall_usec;
    int64_t config_changed;
    int64_t entries_changed;
    struct du_told lease; /* of the duty */
    size_t load_count;
    struct ms_load loads[Ms_SUMMARY_LOADS_MAX];
    size_t spent_count;
    struct ms_spent spent[Ms_SPENT_MAX];
    size_t past_count; /* 0: no daemon has just started */
    struct ms_past pasts[Ms_SPENT_MAX];
    size_t counted_count;
    struct ms_counted counted[Ms_COUNTS_MAX];
    size_t rate_count;
    struct de_rate rates[Ms_RATES_MAX];
    size_t evidence_count;
    struct ro_evidence evidence[Ms_EVIDENCE_MAX];
    size_t standing_count;
    struct ro_standing standings[Ro_MOVES_MAX];
    size_t brittle_count;
    struct ms_brittle brittle[Ms_BRITTLE_MAX];
    size_t crash_count;
    struct pz_crash crashes[Ms_CRASHES_MAX];
    size_t clear_count;
    struct pz_clear clears[Ms_CLEARS_MAX];
    size_t stop_count;
    struct pz_stop stops[Ms_STOPS_MAX];
    size_t hint_count;
    char hints[Ms_HINTS_MAX][Nd_NAME_MAX]; /* addresses of other daemons */
};

struct ms_peer {
    TAILQ_ENTRY(ms_peer) link;
    RB_ENTRY(ms_peer) by_address;
    uint32_t address;
    char ip[Nd_NAME_MAX];
    char name[Nd_NAME_MAX];
    char zone[Nd_NAME_MAX];
    uint64_t hash; /* of the address */
    uint64_t run;
    int link_mbps;
    bool near; /* in the same data centre */
    bool ready;
    bool stopping;
    bool store_reached;
    bool cut;
    bool reads_config;
    bool reads_entries;
    int64_t started_at;
    int64_t heard_at; /* 0: never */
    int64_t due_at;   /* of the next word to it */
    int64_t summary_due_at;
    int64_t known_at;
    int64_t config_changed;
    int64_t entries_changed;
    size_t load_count;
    struct ms_load loads[Ms_LOADS_MAX];
    size_t spent_count;
    struct ms_spent spent[Ms_SPENT_MAX];
    size_t rate_count;
    struct de_rate rates[Ms_RATES_MAX];
    size_t evidence_count;
    struct ro_evidence evidence[Ms_EVIDENCE_MAX];
};

TAILQ_HEAD(ms_peers, ms_peer);

struct ms_ops {
    /* Fills what this daemon has to say. */
    void (*fill)(void *arg, struct ms_word *word);
    /* Puts the sums of the data centre in place of the daemon's own. */
    void (*summarize)(void *arg, struct ms_word *word);
    /* A word has come; "peer" is as it was before. */
    void (*word)(void *arg, const struct ms_peer *peer,
                 const struct ms_word *word);
};

struct ms_mesh;

struct ms_mesh *Ms_Create(const struct ck_clock *clock,
                          const struct nd_node *node, uint64_t run,
                          const struct ms_ops *ops, void *arg);
void Ms_Destroy(struct ms_mesh *mesh);
void Ms_Know(struct ms_mesh *mesh, const char *ip);
/* To be called every Ms_TICK_USEC. */
void Ms_Tick(struct ms_mesh *mesh);
#define Ms_TICK_USEC (100 * Ck_USEC_PER_MSEC)

const struct ms_peers *Ms_Peers(const struct ms_mesh *mesh);
/* The peer at an IPv4 address, in network order; NULL: none is known. */
const struct ms_peer *Ms_Find(const struct ms_mesh *mesh, uint32_t address);
bool Ms_Alive(const struct ms_mesh *mesh, const struct ms_peer *peer);
/* Heard so lately that what it reads is passed on in time. */
bool Ms_Close(const struct ms_mesh *mesh, const struct ms_peer *peer);
/* Whether data centres are told of each other's sums. */
bool Ms_Summarizes(const struct ms_mesh *mesh);
/* How late the admissions of others are heard of. */
int64_t Ms_Lag(const struct ms_mesh *mesh);
/* Heard so lately that what it spends is known; this one included. */
size_t Ms_CountHeard(const struct ms_mesh *mesh);
bool Ms_Heard(const struct ms_mesh *mesh, const struct ms_peer *peer);
size_t Ms_CountAlive(const struct ms_mesh *mesh); /* this one included */
size_t Ms_CountKnown(const struct ms_mesh *mesh);
/*
 * Daemons that may be admitting requests: those heard lately, and just after
 * the start also those that are only known of.
 */
size_t Ms_CountExpected(const struct ms_mesh *mesh);
/* All that were heard, or only known of, in the last minute, and this one. */
size_t Ms_CountAll(const struct ms_mesh *mesh);
/* These, for their claims on cold endpoints; the caller knows its own start.
 */
void Ms_ListHosts(const struct ms_mesh *mesh, struct wu_hosts *out);
/* Whether a daemon that is alive started less than "usec" ago. */
bool Ms_AnyYounger(const struct ms_mesh *mesh, int64_t usec);
/* Position of this daemon among those alive, by name. */
unsigned Ms_Rank(const struct ms_mesh *mesh);

/* Bytes of a word; 0 when it does not fit.  False: not a word of ours. */
size_t Ms_Encode(const struct ms_word *word, char *out, size_t size);
bool Ms_Decode(const char *data, size_t len, struct ms_word *out);

#ifdef __cplusplus
}
#endif

#endif
