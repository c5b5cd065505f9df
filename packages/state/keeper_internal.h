/* Shared by the modules of the keeper only. */
#ifndef STATE_KEEPER_INTERNAL_H
#define STATE_KEEPER_INTERNAL_H

#include <bsd/sys/queue.h>

#include "state/keeper.h"
#include "state/snapshot.h"
#include "state/writer.h"

struct kp_slot;

/* A claim on its way.  It stays until its record was read back or surely
 * never will be, even when it was answered before. */
struct kp_wait {
    TAILQ_ENTRY(kp_wait) link;
    struct kp_slot *slot;
    struct cl_claim claim;
    int64_t deadline;
    bool put;       /* handed to the writer */
    bool in_writer; /* the writer will still call claim_written() */
    bool settled;   /* read back, or never to be */
    bool answered;
    kp_claim_fn done;
    void *arg;
};

TAILQ_HEAD(kp_waits, kp_wait);

struct kp_slot {
    struct kp_keeper *keeper;
    int number;
    bool open;
    bool closing;
    struct cl_table *table;
    struct wr_writer *writer;
    struct sn_replica *replica;
    struct kp_waits waits;
    int64_t read_at; /* when to read again while claims are on their way */
};

struct kp_keeper {
    struct kp_options options;
    struct kp_slot slots[Cl_SLOTS];
};

enum st_status Kp_SlotStart(struct kp_slot *slot);
void Kp_SlotStop(struct kp_slot *slot);
void Kp_SlotTick(struct kp_slot *slot, int64_t now);
enum st_status Kp_PutNote(struct kp_slot *slot, const char *kind, json_t *body,
                          kp_done_fn done, void *arg);
void Kp_TellNotRun(struct kp_wait *wait, const char *reason);
void Kp_WaitFree(struct kp_wait *wait);

#endif
