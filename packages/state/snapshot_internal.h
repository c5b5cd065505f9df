/* Shared by snapshot.c and snapshot_write.c only. */
#ifndef STATE_SNAPSHOT_INTERNAL_H
#define STATE_SNAPSHOT_INTERNAL_H

#include <bsd/sys/queue.h>

#include "state/follower.h"
#include "state/sequences.h"
#include "state/snapshot.h"

#define Sn_PARTS_MAX 4096

/* A record read before the state that it applies to is known. */
struct sn_buffered {
    TAILQ_ENTRY(sn_buffered) link;
    struct rc_record record;
};

/* A snapshot of which some parts have not been read. */
struct sn_partial {
    TAILQ_ENTRY(sn_partial) link;
    struct rc_writer writer;
    int64_t id;
    uint64_t covers;
    size_t parts;
    size_t parts_read;
    json_t **bodies;
};

struct sn_replica {
    char stream[Pl_STREAM_MAX];
    const struct ck_clock *clock;
    struct wr_writer *writer;
    const struct sn_ops *ops;
    void *arg;
    struct fo_follower *follower;
    struct se_table *sequences;
    int64_t snapshot_usec;
    uint64_t snapshot_records;
    TAILQ_HEAD(sn_buffered_list, sn_buffered) buffered;
    TAILQ_HEAD(sn_partial_list, sn_partial) partials;
    /* Offset of the first record read, while the state is not known. */
    uint64_t first_read;
    bool valid;        /* the state is that at the follower's offset */
    bool tail_reached; /* "valid", and the tail was reached since */
    bool no_snapshot;  /* the tail was reached without a usable snapshot */
    bool writing;
    size_t parts_unwritten; /* parts of a snapshot in the writer's queue */
    /* Last offset covered by the newest complete snapshot read. */
    uint64_t snapshot_covers;
    /* Records applied since that snapshot, other than snapshots. */
    uint64_t applied_records;
    int64_t snapshot_at; /* when that snapshot was read, or reading began */
};

bool Sn_Due(const struct sn_replica *replica);

#endif
