/* One claim slot: its stream, its table and the claims on their way. */
#include <stdio.h>
#include <stdlib.h>

#include "state/events.h"
#include "state/keeper_internal.h"

#define Kp_READ_USEC (20 * Ck_USEC_PER_MSEC)
#define Kp_FORGET_USEC (600 * Ck_USEC_PER_SEC)
#define Kp_MSEC(usec) ((usec) / Ck_USEC_PER_MSEC)

/* A result or a release on its way. */
struct kp_note {
    struct kp_slot *slot;
    kp_done_fn done;
    void *arg;
};

static bool
owner_dead(const struct kp_keeper *keeper, const struct rc_writer *owner)
{
    const struct kp_options *options = &keeper->options;
    return options->dead != NULL && options->dead(options->dead_arg, owner);
}

/* Tells the waiting owner; only the first call for a claim does. */
static void
tell(struct kp_wait *wait, const struct kp_answer *answer)
{
    if (!wait->answered) {
        wait->answered = true;
        wait->done(wait->arg, answer);
    }
}

/* Tells the owner that nothing was won, and what to do. */
void
Kp_TellNotRun(struct kp_wait *wait, const char *reason)
{
    struct kp_answer answer = {.verdict = KP_NOT_RUN, .reason = reason};
    tell(wait, &answer);
}

/*
 * A claim without a result whose owner is gone, or that is past its expiry,
 * may have run: nobody can know, so it is called unknown for ever.
 */
static enum kp_verdict
running_verdict(const struct kp_keeper *keeper, const struct cl_outcome *out)
{
    int64_t wall_ms = Kp_MSEC(Ck_Wall(keeper->options.clock));
    if (wall_ms > out->expires_ms || owner_dead(keeper, &out->holder.owner)) {
        return KP_UNKNOWN;
    }
    return KP_IN_PROGRESS;
}

static void
tell_outcome(struct kp_wait *wait, const struct cl_outcome *out)
{
    struct kp_answer answer = {.verdict = KP_NOT_RUN};
    switch (out->verdict) {
    case CL_NONE:
        return;
    case CL_WON:
        answer.verdict = KP_WON;
        break;
    case CL_DONE:
        answer.verdict = KP_DONE;
        answer.answer = &out->answer;
        break;
    case CL_REUSED:
        answer.verdict = KP_REUSED;
        break;
    case CL_IN_PROGRESS:
        answer.verdict = running_verdict(wait->slot->keeper, out);
        break;
    case CL_FULL:
        answer.reason = "too many keys are remembered; try again later";
        break;
    }
    tell(wait, &answer);
}

/* Forgets a claim. */
void
Kp_WaitFree(struct kp_wait *wait)
{
    TAILQ_REMOVE(&wait->slot->waits, wait, link);
    free(wait);
}

static void
wait_free_if_over(struct kp_wait *wait)
{
    if (wait->settled && wait->answered && !wait->in_writer) {
        Kp_WaitFree(wait);
    }
}

/*
 * Acts on our own claim read back.  A claim that won after its owner was
 * told "not run" is released: nobody will dispatch it, and without a release
 * every repeat would be told "in progress" and then "unknown".
 */
static void
act_on_claim(struct kp_slot *slot, const struct rc_record *record,
             const struct cl_outcome *out)
{
    struct cl_claim claim;
    Cl_ReadClaim(record->body, &claim);
    struct kp_wait *wait;
    TAILQ_FOREACH (wait, &slot->waits, link) {
        if (!wait->settled && wait->put &&
            Cl_SameAttempt(&wait->claim.attempt, &claim.attempt)) {
            break;
        }
    }
    if (wait == NULL) {
        return;
    }
    wait->settled = true;
    if (wait->answered && out->verdict == CL_WON) {
        Ev_Log(&STATE_LATE_CLAIM, "slot=%d customer=%s key=%s", slot->number,
               claim.key.customer, claim.key.digest);
        Kp_PutNote(slot, Cl_RELEASE,
                   Cl_ReleaseBody(&claim.key, &claim.attempt), NULL, NULL);
    }
    tell_outcome(wait, out);
    wait_free_if_over(wait);
}

static void
table_reset(void *arg)
{
    struct kp_slot *slot = arg;
    Cl_Reset(slot->table);
}

/*
 * Verdicts are given here and nowhere else: the claim was read back, in its
 * place in the log.  An append's own answer is no verdict, since a claim of
 * another keeper may stand before it.  A state that is built again from a
 * snapshot passes records a second time; their claims wait no longer.
 */
static void
table_apply(void *arg, const struct rc_record *record)
{
    struct kp_slot *slot = arg;
    struct cl_outcome out;
    Cl_Apply(slot->table, record, &out);
    const struct rc_writer *self = &slot->keeper->options.self;
    if (Rc_Is(record, Cl_CLAIM) &&
        Rc_CompareWriters(&record->writer, self) == 0) {
        act_on_claim(slot, record, &out);
    }
}

static json_t *
table_save(void *arg)
{
    const struct kp_slot *slot = arg;
    return Cl_Save(slot->table);
}

static void
table_each(void *arg, sn_emit_fn emit, void *emit_arg)
{
    const struct kp_slot *slot = arg;
    Cl_Each(slot->table, emit, emit_arg);
}

static void
table_load(void *arg, const json_t *entry)
{
    struct kp_slot *slot = arg;
    Cl_Load(slot->table, entry);
}

static const struct sn_ops table_ops = {
    .reset = table_reset,
    .apply = table_apply,
    .save = table_save,
    .load = table_load,
    .each = table_each,
};

/* Forgets a slot's state; its writer stays. */
void
Kp_SlotStop(struct kp_slot *slot)
{
    slot->open = false;
    slot->closing = false;
    Sn_Destroy(slot->replica);
    Cl_Destroy(slot->table);
    slot->replica = NULL;
    slot->table = NULL;
}

/*
 * The writer lives as long as the keeper, also while the slot is closed: one
 * that began its sequence again would have its records dropped as repeats.
 */
static enum st_status
writer_create(struct kp_slot *slot, const char *stream)
{
    const struct kp_options *options = &slot->keeper->options;
    struct wr_options write = {
        .log = options->log,
        .stream = stream,
        .self = options->self,
        .clock = options->clock,
        .budget = options->budget,
        .batch_usec = options->batch_usec,
    };
    return slot->writer != NULL ? ST_OK : Wr_Create(&write, &slot->writer);
}

/* Begins to follow a slot's stream. */
enum st_status
Kp_SlotStart(struct kp_slot *slot)
{
    const struct kp_options *options = &slot->keeper->options;
    char stream[Pl_STREAM_MAX];
    snprintf(stream, sizeof(stream), "claims-%02d", slot->number);
    enum st_status status = writer_create(slot, stream);
    if (status != ST_OK) {
        return status;
    }
    slot->table = Cl_Create(&options->table);
    if (slot->table == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for the claims of a slot");
    }
    struct sn_options replicate = {
        .log = options->log,
        .stream = stream,
        .clock = options->clock,
        .writer = slot->writer,
        .snapshot_usec = options->snapshot_usec,
        .snapshot_records = options->snapshot_records,
        .ops = &table_ops,
        .arg = slot,
    };
    status = Sn_Create(&replicate, &slot->replica);
    if (status == ST_OK) {
        Sn_SetWriting(slot->replica, true);
    }
    return status;
}

static void
note_written(void *arg, enum wr_result result, uint64_t sequence)
{
    struct kp_note note = *(struct kp_note *)arg;
    free(arg);
    if (note.slot->replica != NULL) {
        Sn_Kick(note.slot->replica);
    }
    if (note.done != NULL) {
        note.done(note.arg, result == WR_WRITTEN);
    }
}

/* Queues a result or a release; takes "body" over. */
enum st_status
Kp_PutNote(struct kp_slot *slot, const char *kind, json_t *body,
           kp_done_fn done, void *arg)
{
    struct kp_note *note = malloc(sizeof(*note));
    if (note == NULL) {
        json_decref(body);
        return St_Fail(ST_NO_MEMORY, "no memory for a claim's %s", kind);
    }
    note->slot = slot;
    note->done = done;
    note->arg = arg;
    enum st_status status =
        Wr_Put(slot->writer, BG_CLAIM, kind, body, 0, note_written, note);
    if (status != ST_OK) {
        free(note);
    }
    return status;
}

static void
claim_written(void *arg, enum wr_result result, uint64_t sequence)
{
    struct kp_wait *wait = arg;
    wait->in_writer = false;
    if (result == WR_NOT_WRITTEN) {
        wait->settled = true;
        Kp_TellNotRun(wait, "the platform's log takes no records; send the "
                            "request again later");
    }
    else if (!wait->settled && wait->slot->replica != NULL) {
        Sn_Kick(wait->slot->replica);
    }
    wait_free_if_over(wait);
}

/* Answers from the table, or queues the claim's record. */
static void
put_claim(struct kp_slot *slot, struct kp_wait *wait)
{
    struct cl_outcome out;
    Cl_Lookup(slot->table, &wait->claim.key, wait->claim.body_digest, &out);
    if (out.verdict != CL_NONE) {
        wait->settled = true;
        tell_outcome(wait, &out);
        return;
    }
    wait->put = true;
    wait->in_writer = true;
    if (Wr_Put(slot->writer, BG_CLAIM, Cl_CLAIM, Cl_ClaimBody(&wait->claim),
               wait->deadline, claim_written, wait) != ST_OK) {
        wait->in_writer = false;
        wait->settled = true;
        Kp_TellNotRun(wait, "no memory; send the request again later");
    }
}

static void
tick_wait(struct kp_slot *slot, struct kp_wait *wait, int64_t now)
{
    if (!wait->put && !wait->settled && now < wait->deadline &&
        Sn_Phase(slot->replica) == SN_READY) {
        put_claim(slot, wait);
    }
    if (!wait->answered && now >= wait->deadline) {
        wait->settled = wait->settled || !wait->put;
        Kp_TellNotRun(wait, Sn_Phase(slot->replica) == SN_HOLE
                                ? "the log has lost records that no snapshot "
                                  "covers; publish the slot's state again"
                                : "the platform's log did not answer in time; "
                                  "send the request again");
    }
    if (!wait->in_writer && now >= wait->deadline + Kp_FORGET_USEC) {
        wait->settled = true;
    }
    wait_free_if_over(wait);
}

/* Does what is due for one slot. */
void
Kp_SlotTick(struct kp_slot *slot, int64_t now)
{
    struct kp_wait *wait;
    struct kp_wait *next;
    bool awaits = false; /* an owner waits for a claim to be read back */
    TAILQ_FOREACH_SAFE (wait, &slot->waits, link, next) {
        awaits = awaits || (wait->put && !wait->answered);
        tick_wait(slot, wait, now);
    }
    if (awaits && now >= slot->read_at) {
        slot->read_at = now + Kp_READ_USEC;
        Sn_Kick(slot->replica);
    }
    Sn_Tick(slot->replica);
    Wr_Tick(slot->writer);
    if (slot->closing && TAILQ_EMPTY(&slot->waits) &&
        Wr_Pending(slot->writer) == 0) {
        Kp_SlotStop(slot);
    }
}
