#include "state/keeper.h"

#include <stdlib.h>

#include "state/keeper_internal.h"

#define Kp_APPENDS_PER_SLOT 12.0
#define Kp_BURST_PER_SLOT 4.0
#define Kp_BATCH_USEC (20 * Ck_USEC_PER_MSEC)
#define Kp_CLAIM_USEC (2 * Ck_USEC_PER_SEC)

/* Makes a keeper of no slot. */
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
        own->claim_usec = Kp_CLAIM_USEC;
    }
    for (int i = 0; i < Cl_SLOTS; i++) {
        keeper->slots[i].keeper = keeper;
        keeper->slots[i].number = i;
        TAILQ_INIT(&keeper->slots[i].waits);
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
    Bg_Set(keeper->options.budget, BG_CLAIM,
           open * keeper->options.appends_per_slot, open * Kp_BURST_PER_SLOT);
}

/*
 * Ends everything.  Claims not answered yet end as not run: their owners
 * cannot be told of a win any longer.
 */
void
Kp_Destroy(struct kp_keeper *keeper)
{
    if (keeper == NULL) {
        return;
    }
    for (int i = 0; i < Cl_SLOTS; i++) {
        struct kp_slot *slot = &keeper->slots[i];
        struct kp_wait *wait;
        struct kp_wait *next;
        TAILQ_FOREACH (wait, &slot->waits, link) {
            Kp_TellNotRun(wait, "this host stops; send the request again");
        }
        Wr_Destroy(slot->writer);
        TAILQ_FOREACH_SAFE (wait, &slot->waits, link, next) {
            Kp_WaitFree(wait);
        }
        Kp_SlotStop(slot);
    }
    free(keeper);
}

/*
 * Takes a slot over: its stream is followed from the last snapshot to the
 * tail before the first claim is answered.
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

/* Gives a slot up once nothing of it is on its way any longer. */
void
Kp_Close(struct kp_keeper *keeper, int slot_number)
{
    keeper->slots[slot_number].closing = true;
}

/*
 * Claims a key; "done" gets the verdict, at the latest at "deadline" (boot
 * clock).  The slot is opened when it is not.  Fails only without memory.
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
    struct kp_wait *wait = calloc(1, sizeof(*wait));
    if (wait == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for a claim");
    }
    int64_t latest =
        Ck_Now(keeper->options.clock) + keeper->options.claim_usec;
    wait->slot = slot;
    wait->claim = *claim;
    wait->deadline = deadline < latest ? deadline : latest;
    wait->done = done;
    wait->arg = arg;
    TAILQ_INSERT_TAIL(&slot->waits, wait, link);
    return ST_OK;
}

/*
 * Records the answer of an attempt that won, so that repeats get it.  It is
 * written however long the log is down; "done" may be NULL.
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
    return Kp_PutNote(slot, Cl_RESULT, Cl_ResultBody(key, attempt, answer),
                      done, arg);
}

/*
 * Frees the key of an attempt that won and was not dispatched.  The owner
 * must never dispatch it afterwards.
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
    return Kp_PutNote(slot, Cl_RELEASE, Cl_ReleaseBody(key, attempt), done,
                      arg);
}

/* Reads, writes and answers what is due; call it every few milliseconds. */
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
