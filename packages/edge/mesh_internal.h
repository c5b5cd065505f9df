/* Shared by the files of the mesh only. */
#ifndef EDGE_MESH_INTERNAL_H
#define EDGE_MESH_INTERNAL_H

#include "base/random.h"
#include "edge/mesh.h"

#ifdef __cplusplus
extern "C" {
#endif

#define Ms_DATAGRAM_MAX 16384
/* Datagrams read or sent by one call. */
#define Ms_BATCH 32
/* Words to a peer are at least this far apart. */
#define Ms_GAP_LEAST_USEC Ms_TICK_USEC
/* With fewer daemons each hears every other often enough. */
#define Ms_SUMMARIES_LEAST 32

RB_HEAD(ms_addresses, ms_peer);

struct ms_mesh {
    const struct ck_clock *clock;
    const struct nd_node *node;
    const struct ms_ops *ops;
    void *arg;
    uint64_t run;
    uint64_t hash; /* of the own address */
    struct rn_random random;
    int fd;
    struct ms_peers peers;
    struct ms_addresses addresses;
    size_t count;
    /* As of the last tick. */
    int64_t now;
    size_t near_count;
    size_t heard_count;
    size_t expected_count;
    size_t known_count;
};

/* Time between two words to a peer: the shorter inside a data centre. */
int64_t ms_gap(const struct ms_mesh *mesh, bool near);
/* Takes the time and counts who is there, for all of a tick. */
void ms_begin_tick(struct ms_mesh *mesh);
/* Takes in what has come since the last tick. */
void ms_receive(struct ms_mesh *mesh);
/* Whether a word, or a summary, is to be sent to a peer now. */
bool ms_word_due(struct ms_mesh *mesh, struct ms_peer *peer);
bool ms_summary_due(struct ms_mesh *mesh, struct ms_peer *peer);
/* What a peer says of itself. */
void ms_take_word(struct ms_mesh *mesh, struct ms_peer *peer,
                  const struct ms_word *word);
bool ms_is_forgotten(const struct ms_mesh *mesh, const struct ms_peer *peer);
void ms_forget(struct ms_mesh *mesh, struct ms_peer *peer);

#ifdef __cplusplus
}
#endif

#endif
