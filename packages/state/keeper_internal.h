/* Shared by the source files of the keeper only. */
#ifndef STATE_KEEPER_INTERNAL_H
#define STATE_KEEPER_INTERNAL_H

#include <bsd/sys/queue.h>

#include "state/keeper.h"
#include "state/snapshot.h"
#include "state/writer.h"

struct kp_slot;

/*
 * A claim that is not finished.  It is kept until its record was read back or
 * can no longer be written, even if it was answered before.
 */
struct kp_pending {
    TAILQ_ENTRY(kp_pending) link;
    struct kp_slot *slot;
    struct cl_claim claim;
    int64_t deadline;
    bool queued;    /* passed to the writer */
    bool in_writer; /* the writer has yet to call claim_written() */
    bool settled;   /* read back, or can no longer be written */
    bool answered;
    kp_claim_fn done;
    void *arg;
};

TAILQ_HEAD(kp_pending_list, kp_pending);

struct kp_slot {
    struct kp_keeper *keeper;
    int number;
    bool open;
    bool closing;
    struct cl_table *table;
    struct wr_writer *writer;
    struct sn_replica *replica;
    struct kp_pending_list pending;
    /* Time of the next read of the stream while claims are in flight. */
    int64_t next_read_at;
};

struct kp_keeper {
    struct kp_options options;
    struct kp_slot slots[Cl_SLOTS];
};

enum st_status Kp_SlotStart(struct kp_slot *slot);
void Kp_SlotStop(struct kp_slot *slot);
void Kp_SlotTick(struct kp_slot *slot, int64_t now);
enum st_status Kp_QueueUpdate(struct kp_slot *slot, const char *kind,
                              json_t *body, kp_done_fn done, void *arg);
void Kp_CompleteNotRun(struct kp_pending *pending, const char *reason);
void Kp_PendingFree(struct kp_pending *pending);

#endif
