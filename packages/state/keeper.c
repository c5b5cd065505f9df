#include "state/keeper.h"

#include <stdlib.h>

#include "state/keeper_internal.h"

#define Kp_APPENDS_PER_SLOT 12.0
#define Kp_BURST_PER_SLOT 4.0
#define Kp_BATCH_USEC (20 * Ck_USEC_PER_MSEC)
#define Kp_CLAIM_TIMEOUT_USEC (2 * Ck_USEC_PER_SEC)

/* Creates a keeper with no open slot. */
enum st_status
Kp_Create(const struct kp_options *options, struct kp_keeper **out)
{
    struct kp_keeper *keeper = calloc(1, sizeof(*keeper));
    if (keeper == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for a keeper");
    }
    keeper->options = *options;
    struct kp_options *own = &keeper->options;
    if (own->appends_per_slot <= 0) {
        own->appends_per_slot = Kp_APPENDS_PER_SLOT;
    }
    if (own->batch_usec <= 0) {
        own->batch_usec = Kp_BATCH_USEC;
    }
    if (own->claim_usec <= 0) {
        own->claim_usec = Kp_CLAIM_TIMEOUT_USEC;
    }
    for (int i = 0; i < Cl_SLOTS; i++) {
        keeper->slots[i].keeper = keeper;
        keeper->slots[i].number = i;
        TAILQ_INIT(&keeper->slots[i].pending);
    }
    *out = keeper;
    return ST_OK;
}

static void
set_rate(struct kp_keeper *keeper)
{
    int open = 0;
    for (int i = 0; i < Cl_SLOTS; i++) {
        open += keeper->slots[i].open ? 1 : 0;
    }
    Bg_SetRate(keeper->options.budget, BG_CLAIM,
               open * keeper->options.appends_per_slot,
               open * Kp_BURST_PER_SLOT);
}

/*
 * Destroys a keeper.  Claims without an answer end as not run, since a win can
 * no longer be reported to their owners.
 */
void
Kp_Destroy(struct kp_keeper *keeper)
{
    if (keeper == NULL) {
        return;
    }
    for (int i = 0; i < Cl_SLOTS; i++) {
        struct kp_slot *slot = &keeper->slots[i];
        struct kp_pending *pending;
        struct kp_pending *next;
        TAILQ_FOREACH (pending, &slot->pending, link) {
            Kp_CompleteNotRun(pending,
                              "this host stops; send the request again");
        }
        Wr_Destroy(slot->writer);
        TAILQ_FOREACH_SAFE (pending, &slot->pending, link, next) {
            Kp_PendingFree(pending);
        }
        Kp_SlotStop(slot);
    }
    free(keeper);
}

/*
 * Opens a slot.  Its stream is read from the last snapshot to the tail before
 * the first claim is answered.
 */
enum st_status
Kp_Open(struct kp_keeper *keeper, int slot_number)
{
    struct kp_slot *slot = &keeper->slots[slot_number];
    slot->closing = false;
    if (slot->open) {
        return ST_OK;
    }
    enum st_status status = Kp_SlotStart(slot);
    if (status != ST_OK) {
        Kp_SlotStop(slot);
        return status;
    }
    slot->open = true;
    set_rate(keeper);
    return ST_OK;
}

/*
 * Closes a slot once it has no pending claims and no records queued or in
 * flight.
 */
void
Kp_Close(struct kp_keeper *keeper, int slot_number)
{
    keeper->slots[slot_number].closing = true;
}

/*
 * Claims a key.  "done" gets the verdict, no later than "deadline" (boot
 * clock).  Opens the slot if it is closed.  Fails only if out of memory.
 */
enum st_status
Kp_Claim(struct kp_keeper *keeper, const struct cl_claim *claim,
         int64_t deadline, kp_claim_fn done, void *arg)
{
    struct kp_slot *slot = &keeper->slots[Cl_Slot(&claim->key)];
    enum st_status status = Kp_Open(keeper, slot->number);
    if (status != ST_OK) {
        return status;
    }
    struct kp_pending *pending = calloc(1, sizeof(*pending));
    if (pending == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for a claim");
    }
    int64_t latest =
        Ck_Now(keeper->options.clock) + keeper->options.claim_usec;
    pending->slot = slot;
    pending->claim = *claim;
    pending->deadline = deadline < latest ? deadline : latest;
    pending->done = done;
    pending->arg = arg;
    TAILQ_INSERT_TAIL(&slot->pending, pending, link);
    return ST_OK;
}

/*
 * Records the answer of an attempt that won, so that retries get it.  The
 * record is retried until it is written, however long the log is down.  "done"
 * may be NULL.
 */
enum st_status
Kp_Result(struct kp_keeper *keeper, const struct cl_key *key,
          const struct cl_attempt *attempt, const struct cl_answer *answer,
          kp_done_fn done, void *arg)
{
    struct kp_slot *slot = &keeper->slots[Cl_Slot(key)];
    enum st_status status = Kp_Open(keeper, slot->number);
    if (status != ST_OK) {
        return status;
    }
    return Kp_QueueUpdate(slot, Cl_RESULT, Cl_ResultBody(key, attempt, answer),
                          done, arg);
}

/*
 * Releases the key of an attempt that won and was not dispatched.  The owner
 * must not dispatch the attempt afterwards.
 */
enum st_status
Kp_Release(struct kp_keeper *keeper, const struct cl_key *key,
           const struct cl_attempt *attempt, kp_done_fn done, void *arg)
{
    struct kp_slot *slot = &keeper->slots[Cl_Slot(key)];
    enum st_status status = Kp_Open(keeper, slot->number);
    if (status != ST_OK) {
        return status;
    }
    return Kp_QueueUpdate(slot, Cl_RELEASE, Cl_ReleaseBody(key, attempt), done,
                          arg);
}

/*
 * Performs the reads, writes and answers that are due; call it every few
 * milliseconds.
 */
void
Kp_Tick(struct kp_keeper *keeper)
{
    int64_t now = Ck_Now(keeper->options.clock);
    bool closed = false;
    for (int i = 0; i < Cl_SLOTS; i++) {
        if (keeper->slots[i].open) {
            Kp_SlotTick(&keeper->slots[i], now);
            closed = closed || !keeper->slots[i].open;
        }
    }
    if (closed) {
        set_rate(keeper);
    }
}
