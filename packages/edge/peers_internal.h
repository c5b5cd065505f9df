/* Shared by the files of the peers only. */
#ifndef EDGE_PEERS_INTERNAL_H
#define EDGE_PEERS_INTERNAL_H

#include "base/buffer.h"
#include "edge/gate_internal.h"
#include "web/channel.h"

/* A configuration as it was last packed for peers that know up to "from". */
struct packed_config {
    int64_t from;
    int64_t changed;
    struct bf_buffer bytes;
};

struct pe_peers {
    struct ga_gate *gate;
    struct packed_config packed;
    struct sv_server *server;
    struct cn_channel *fetch;
    int64_t fetch_at;
    int64_t fetch_moved_at; /* last bytes of it */
    struct bf_buffer answer;
    bool answer_cut; /* the answer is not whole */
    int64_t
        config_wanted_at; /* since when a peer knows a newer one; 0: none */
    int answer_status;
    int64_t listed_at;
    bool listing;
    bool listed; /* once, whatever the listing held */
    bool announced;
    bool announcing;
};

/* Looks for other daemons, and lets itself be found. */
void pe_find_peers(struct pe_peers *peers);
/* Sums the requests of the others, by endpoint. */
void pe_sum_loads(struct ga_gate *gate);
/* What is served to peers: the configuration and the endpoints known here. */
extern const struct sv_ops pe_state_ops;
/* Fetches what peers know more of, one fetch at a time. */
void pe_fetch_newer(struct pe_peers *peers);
void pe_end_fetch(struct pe_peers *peers);

#endif
