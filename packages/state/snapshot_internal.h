/* Shared by the reading and the writing side of snapshots only. */
#ifndef STATE_SNAPSHOT_INTERNAL_H
#define STATE_SNAPSHOT_INTERNAL_H

#include <bsd/sys/queue.h>

#include "state/follower.h"
#include "state/seen.h"
#include "state/snapshot.h"

#define Sn_PARTS_MAX 4096

/* A record read before the state it applies to was known. */
struct sn_kept {
    TAILQ_ENTRY(sn_kept) link;
    struct rc_record record;
};

/* A snapshot of which not all parts have been read. */
struct sn_set {
    TAILQ_ENTRY(sn_set) link;
    struct rc_writer writer;
    int64_t id;
    uint64_t covers;
    size_t parts;
    size_t have;
    json_t **bodies;
};

struct sn_replica {
    char stream[Pl_STREAM_MAX];
    const struct ck_clock *clock;
    struct wr_writer *writer;
    const struct sn_ops *ops;
    void *arg;
    struct fo_follower *follower;
    struct se_table *seen;
    int64_t snapshot_usec;
    uint64_t snapshot_records;
    TAILQ_HEAD(sn_kept_list, sn_kept) kept;
    TAILQ_HEAD(sn_set_list, sn_set) sets;
    uint64_t begin;  /* where reading began when the state is not known */
    bool valid;      /* the state is that at the follower's position */
    bool reached;    /* and the end of the stream was seen since */
    bool tail_empty; /* the end was seen without a usable snapshot */
    bool writing;
    size_t unwritten;     /* parts of our snapshot still to be written */
    uint64_t last_covers; /* of the newest whole snapshot read */
    uint64_t applied;     /* records since then, snapshots not counted */
    int64_t last_at;      /* when it was read, or reading began */
};

bool Sn_Due(const struct sn_replica *replica);

#endif
