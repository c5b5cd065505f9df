/* Shared by the mesh files only. */
#ifndef EDGE_MESH_INTERNAL_H
#define EDGE_MESH_INTERNAL_H

#include "base/random.h"
#include "edge/mesh.h"

#ifdef __cplusplus
extern "C" {
#endif

#define Ms_DATAGRAM_MAX 16384
/* Datagrams received or sent with one system call. */
#define Ms_BATCH 32
/* Minimum interval between messages to a peer. */
#define Ms_INTERVAL_MIN_USEC Ms_TICK_USEC
/* With fewer daemons, each gets messages from every other one often enough. */
#define Ms_SUMMARY_MIN_DAEMONS 32

RB_HEAD(ms_addresses, ms_peer);

struct ms_mesh {
    const struct ck_clock *clock;
    const struct nd_node *node;
    const struct ms_ops *ops;
    void *arg;
    uint64_t run;
    uint64_t hash; /* of this host's IP address */
    struct rn_random random;
    int fd;
    struct ms_peers peers;
    struct ms_addresses addresses;
    size_t count;
    uint64_t changes; /* of the peers, see Ms_Changes() */
    /* Updated by each tick. */
    int64_t now;
    bool suspended; /* the process did not run for a while before this tick */
    size_t local_count;
    size_t reachable_count;
    size_t expected_count;
    size_t running_count;
};

/* Interval between messages to a peer, shorter within a data centre. */
int64_t ms_send_interval(const struct ms_mesh *mesh, bool same_zone);
/* Reads the clock and counts the peers that were heard before the tick. */
void ms_begin_tick(struct ms_mesh *mesh);
/* Handles the datagrams received since the last tick. */
void ms_receive_all(struct ms_mesh *mesh);
/* Whether a message, or a summary, is to be sent to a peer now. */
bool ms_message_due(struct ms_mesh *mesh, struct ms_peer *peer);
bool ms_summary_due(struct ms_mesh *mesh, struct ms_peer *peer);
/* Updates a peer's state from its message. */
void ms_apply_message(struct ms_mesh *mesh, struct ms_peer *peer,
                      const struct ms_message *message);
bool ms_is_expired(const struct ms_mesh *mesh, const struct ms_peer *peer);
void ms_remove(struct ms_mesh *mesh, struct ms_peer *peer);

#ifdef __cplusplus
}
#endif

#endif
