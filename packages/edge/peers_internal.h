/* Shared by the peers files only. */
#ifndef EDGE_PEERS_INTERNAL_H
#define EDGE_PEERS_INTERNAL_H

#include "base/buffer.h"
#include "edge/gate_internal.h"
#include "web/channel.h"

/* The configuration, compressed for peers that have it up to "from". */
struct compressed_config {
    int64_t from;
    int64_t changes_end;
    struct bf_buffer bytes;
};

struct pe_peers {
    struct ga_gate *gate;
    struct compressed_config compressed;
    struct sv_server *server;
    struct cn_channel *fetch;
    int64_t fetch_at;
    int64_t fetch_progress_at; /* when its last bytes arrived */
    struct bf_buffer response;
    bool response_truncated;     /* too long, or out of memory */
    int64_t config_behind_since; /* 0: no peer has a newer one */
    int response_status;
    int64_t listed_at;
    bool listing;
    bool listed;     /* at least once, even without addresses */
    bool list_again; /* shortly after the first time */
    bool discovered; /* the addresses of other daemons are read */
    bool registered;
    bool registering;
};

/* Finds other daemons through the store, and registers this one there. */
void pe_discover_peers(struct pe_peers *peers);
/* Sums the requests of peers at each endpoint. */
void pe_sum_loads(struct ga_gate *gate);
/* Adds this daemon's load rows to a message. */
void pe_fill_loads(const struct ga_gate *gate, struct ms_message *message);
/* Replaces the load rows of a summary by those of the data centre. */
void pe_fill_zone_loads(const struct ga_gate *gate,
                        struct ms_message *message);
/* Adds this daemon's demand by rank to a message. */
void pe_fill_ranks(struct ga_gate *gate, struct ms_message *message);
/* Adds that of the other daemons of this data centre to a summary. */
void pe_summarize_ranks(struct ga_gate *gate, struct ms_message *message);
/* Sums the demand by rank of all peers for the quota. */
void pe_sum_ranks(struct ga_gate *gate);
/* Serves the configuration and the endpoints to peers. */
extern const struct sv_ops pe_state_ops;
/* Fetches newer state from peers, one fetch at a time. */
void pe_fetch_newer_state(struct pe_peers *peers);
void pe_end_fetch(struct pe_peers *peers);

#endif
