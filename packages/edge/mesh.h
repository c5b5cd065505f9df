/*
 * Gossip between daemons. Each daemon sends messages to its peers several
 * times a second and unsolicited: that it is alive, the load it has sent to
 * each endpoint, the usage it has admitted and counted, and how much of the
 * store it has read. All of this is advisory or a counter that only rises, so
 * datagrams may be lost, late or duplicated.
 *
 * With hundreds of daemons that handle a few requests a second each, messages
 * between any two of them would be seconds apart. So daemons of one data
 * centre send to each other more often, and each daemon gets summaries of
 * every other data centre, from one daemon there.
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
#include "edge/leader.h"
#include "edge/node.h"
#include "edge/rollout.h"
#include "policy/poison.h"
#include "policy/quota_rank.h"
#include "policy/warmup.h"

#ifdef __cplusplus
extern "C" {
#endif

#define Ms_LOADS_MAX 48
#define Ms_SUMMARY_LOADS_MAX 512
#define Ms_USAGE_MAX 64
#define Ms_COUNTS_MAX 192
#define Ms_ADDRESSES_MAX 4
#define Ms_RATES_MAX 16
#define Ms_OUTCOMES_MAX Ro_ROWS_MAX
#define Ms_REFUSAL_LIMITS_MAX 8
#define Ms_RATE_LIMITS_MAX 64
#define Ms_SUMMARY_RATE_LIMITS_MAX 256
#define Ms_CRASHES_MAX 24
#define Ms_CLEARS_MAX 16
#define Ms_QUARANTINES_MAX 8
#define Ms_RANK_DEMANDS_MAX 16

/* Load of one daemon on one endpoint. */
struct ms_load {
    uint32_t endpoint;
    int requests;
    int64_t prefill_tokens;
    int64_t output_tokens; /* still expected to be generated */
    /*
     * Estimate of the endpoint's speed by the sender or its data centre:
     * binary logarithm relative to the mean of its service, and its weight in
     * event gaps, decayed with age; weight 0: no estimate.
     */
    double speed_log2;
    int speed_samples;
};

/* Demand of a tenant near or over its limit, by rank; see quota_rank.h. */
struct ms_rank_demand {
    uint32_t tenant;
    uint32_t per_sec[Rk_RANKS]; /* tokens a second asked of the sender */
};

struct ms_usage {
    uint32_t tenant;
    uint64_t total;     /* admitted since the daemon's start */
    uint64_t requested; /* admitted or refused since then */
};

/*
 * The increase of a row since the row of the same tenant in an earlier
 * message; 0 if it went down.
 */
struct ms_usage Ms_UsageIncrease(const struct ms_usage *now,
                                 const struct ms_usage *before, size_t count);

/*
 * What a tenant spent in the window that ends now, as far as the sender knows.
 */
struct ms_past_usage {
    uint32_t tenant;
    uint64_t older; /* in the older half of the window */
    uint64_t newer;
};

struct ms_request_count {
    int64_t window;
    uint32_t tenant;
    uint32_t count;
};

/*
 * The refusal limit that endpoints of a service report: how many refusals a
 * second they tolerate.
 */
struct ms_refusal_limit {
    uint32_t service;
    int refusals_per_sec;
};

/* The rate limit that an endpoint reported. */
struct ms_rate_limit {
    uint32_t endpoint;
    double per_sec;   /* 0: it reported that it has none any more */
    int64_t age_usec; /* time since its report */
};

/* The content of one datagram. */
struct ms_message {
    char name[Nd_NAME_MAX];
    char ip[Nd_NAME_MAX];
    char zone[Nd_NAME_MAX];
    /* Whether "usage" and "loads" are sums over the sender's data centre. */
    bool summary;
    /* Of a message to be sent: this daemon's own loads are not part of it. */
    bool omits_loads;
    uint64_t run;    /* of the process; differs after each restart */
    int64_t up_usec; /* time since the process started */
    int link_mbps;   /* of the sender's host; 0: unknown */
    bool ready;
    bool stopping;
    bool store_reached;
    bool links_cut; /* the sender cannot connect to some endpoints */
    bool reads_config;
    bool reads_entries;
    int64_t wall_usec;
    int64_t config_changes_end;
    int64_t entries_changes_end;
    struct lr_lease_notice lease; /* the sender's lease, if it is the holder */
    size_t load_count;
    struct ms_load loads[Ms_SUMMARY_LOADS_MAX];
    size_t usage_count;
    struct ms_usage usage[Ms_USAGE_MAX];
    size_t rank_demand_count;
    struct ms_rank_demand rank_demands[Ms_RANK_DEMANDS_MAX];
    size_t past_usage_count; /* 0 unless a daemon has just started */
    struct ms_past_usage past_usage[Ms_USAGE_MAX];
    size_t request_count_rows;
    struct ms_request_count request_counts[Ms_COUNTS_MAX];
    size_t rate_count;
    struct de_rate rates[Ms_RATES_MAX];
    size_t outcome_count;
    struct ro_outcomes outcomes[Ms_OUTCOMES_MAX];
    size_t move_status_count;
    struct ro_status move_statuses[Ro_MOVES_MAX];
    size_t refusal_limit_count;
    struct ms_refusal_limit refusal_limits[Ms_REFUSAL_LIMITS_MAX];
    size_t rate_limit_count;
    struct ms_rate_limit rate_limits[Ms_SUMMARY_RATE_LIMITS_MAX];
    size_t crash_count;
    struct pz_crash crashes[Ms_CRASHES_MAX];
    size_t clear_count;
    struct pz_clear clears[Ms_CLEARS_MAX];
    size_t quarantine_count;
    struct pz_quarantine quarantines[Ms_QUARANTINES_MAX];
    size_t address_count;
    char addresses[Ms_ADDRESSES_MAX]
                  [Nd_NAME_MAX]; /* addresses of other daemons */
};

struct ms_peer {
    TAILQ_ENTRY(ms_peer) link;
    RB_ENTRY(ms_peer) by_address;
    uint32_t address;
    char ip[Nd_NAME_MAX];
    char name[Nd_NAME_MAX];
    char zone[Nd_NAME_MAX];
    uint64_t hash; /* of the IP address */
    uint64_t run;
    int link_mbps;
    bool same_zone; /* in the same data centre */
    bool ready;
    bool stopping;
    bool store_reached;
    bool links_cut;
    bool reads_config;
    bool reads_entries;
    int64_t started_at;
    int64_t last_message_at; /* 0: never */
    int64_t due_at;          /* when the next message is sent to the peer */
    int64_t summary_due_at;
    int64_t added_at;
    int64_t config_changes_end;
    int64_t entries_changes_end;
    size_t load_count;
    struct ms_load loads[Ms_LOADS_MAX];
    size_t usage_count;
    struct ms_usage usage[Ms_USAGE_MAX];
    size_t rank_demand_count;
    struct ms_rank_demand rank_demands[Ms_RANK_DEMANDS_MAX];
    size_t rate_count;
    struct de_rate rates[Ms_RATES_MAX];
    size_t outcome_count;
    struct ro_outcomes outcomes[Ms_OUTCOMES_MAX];
};

TAILQ_HEAD(ms_peers, ms_peer);

struct ms_ops {
    /* Fills in the state of this daemon. */
    void (*fill)(void *arg, struct ms_message *message);
    /* Replaces the sums of this daemon by those of its data centre. */
    void (*summarize)(void *arg, struct ms_message *message);
    /* Handles a message; "peer" still has its state from before it. */
    void (*message)(void *arg, const struct ms_peer *peer,
                    const struct ms_message *message);
};

struct ms_mesh;

struct ms_mesh *Ms_Create(const struct ck_clock *clock,
                          const struct nd_node *node, uint64_t run,
                          const struct ms_ops *ops, void *arg);
void Ms_Destroy(struct ms_mesh *mesh);
void Ms_AddPeer(struct ms_mesh *mesh, const char *ip);
/* To be called every Ms_TICK_USEC. */
void Ms_Tick(struct ms_mesh *mesh);
#define Ms_TICK_USEC (100 * Ck_USEC_PER_MSEC)

const struct ms_peers *Ms_Peers(const struct ms_mesh *mesh);
/* Differs once a peer has sent a message or was removed. */
uint64_t Ms_Changes(const struct ms_mesh *mesh);
/* The peer with an IPv4 address in network byte order; NULL: unknown. */
const struct ms_peer *Ms_Find(const struct ms_mesh *mesh, uint32_t address);
bool Ms_Alive(const struct ms_mesh *mesh, const struct ms_peer *peer);
/*
 * Whether the peer's messages are recent enough to be a timely source of what
 * it has read.
 */
bool Ms_IsResponsive(const struct ms_mesh *mesh, const struct ms_peer *peer);
/* Identifies this daemon like struct ms_peer.hash its peers. */
uint64_t Ms_OwnHash(const struct ms_mesh *mesh);
/* Whether data centres send summaries to each other. */
bool Ms_UsesSummaries(const struct ms_mesh *mesh);
/* The delay after which usage that peers admitted is reported here. */
int64_t Ms_ReportDelay(const struct ms_mesh *mesh);
/* The time within which a message of this daemon reaches every peer. */
int64_t Ms_MessageDelay(const struct ms_mesh *mesh);
/*
 * Daemons whose messages are recent enough that their usage is known,
 * including this one.
 */
size_t Ms_CountReachable(const struct ms_mesh *mesh);
bool Ms_IsReachable(const struct ms_mesh *mesh, const struct ms_peer *peer);
/*
 * Whether the messages handled in this tick were waiting because this process
 * was suspended, so that a peer's silence does not indicate a network fault.
 */
bool Ms_WasSuspended(const struct ms_mesh *mesh);
size_t Ms_CountAlive(const struct ms_mesh *mesh); /* includes this daemon */
size_t Ms_CountRunning(const struct ms_mesh *mesh);
/*
 * Daemons that may be admitting requests: those that sent messages lately and,
 * just after the start, also those of which only the address is known.
 */
size_t Ms_CountExpected(const struct ms_mesh *mesh);
/*
 * All daemons that sent a message in the last minute or whose address became
 * known in it, including this one.
 */
size_t Ms_CountAll(const struct ms_mesh *mesh);
/*
 * Lists all known peers for the selection of senders to cold endpoints. The
 * caller adds its own start time.
 */
void Ms_ListSenders(const struct ms_mesh *mesh, struct wu_hosts *out);
/* Whether a peer that is alive started less than "usec" ago. */
bool Ms_AnyStartedWithin(const struct ms_mesh *mesh, int64_t usec);
/* Position of this daemon by name among those alive. */
unsigned Ms_Rank(const struct ms_mesh *mesh);

/*
 * The encoded size; 0 when the message does not fit. Ms_Decode() returns false
 * for anything that is not a message of this format.
 */
size_t Ms_Encode(const struct ms_message *message, char *out, size_t size);
bool Ms_Decode(const char *data, size_t len, struct ms_message *out);

#ifdef __cplusplus
}
#endif

#endif
