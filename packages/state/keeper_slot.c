/* One claim slot: its stream, its table and its pending claims. */
#include <stdio.h>
#include <stdlib.h>

#include "state/events.h"
#include "state/keeper_internal.h"

#define Kp_READ_INTERVAL_USEC (20 * Ck_USEC_PER_MSEC)
#define Kp_PENDING_MAX_USEC (600 * Ck_USEC_PER_SEC)
#define Kp_MSEC(usec) ((usec) / Ck_USEC_PER_MSEC)

/* A result or release record that is queued or in flight. */
struct kp_update {
    struct kp_slot *slot;
    kp_done_fn done;
    void *arg;
};

static bool
owner_dead(const struct kp_keeper *keeper, const struct rc_writer *owner)
{
    const struct kp_options *options = &keeper->options;
    return options->owner_ended != NULL &&
           options->owner_ended(options->owner_ended_arg, owner);
}

/*
 * Answers the owner of a claim; later answers to the same claim are dropped.
 */
static void
complete_claim(struct kp_pending *pending, const struct kp_answer *answer)
{
    if (!pending->answered) {
        pending->answered = true;
        pending->done(pending->arg, answer);
    }
}

/* Answers that the claim was not won, and what to do. */
void
Kp_CompleteNotRun(struct kp_pending *pending, const char *reason)
{
    struct kp_answer answer = {.verdict = KP_NOT_RUN, .reason = reason};
    complete_claim(pending, &answer);
}

/*
 * The verdict on a claim without a result.  If its owner's process has ended,
 * or the claim has expired, the request may have run and nobody can find out:
 * the outcome is unknown from then on.
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
complete_with_outcome(struct kp_pending *pending, const struct cl_outcome *out)
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
        answer.verdict = running_verdict(pending->slot->keeper, out);
        break;
    case CL_FULL:
        answer.reason = "too many keys are remembered; try again later";
        break;
    }
    complete_claim(pending, &answer);
}

/* Unlinks and frees a pending claim. */
void
Kp_PendingFree(struct kp_pending *pending)
{
    TAILQ_REMOVE(&pending->slot->pending, pending, link);
    free(pending);
}

static void
free_if_finished(struct kp_pending *pending)
{
    if (pending->settled && pending->answered && !pending->in_writer) {
        Kp_PendingFree(pending);
    }
}

/*
 * Processes a claim of this keeper that was read back.  A claim that won after
 * its owner was answered "not run" is released: nobody will dispatch it, and
 * without the release every retry would be answered "in progress" and later
 * "unknown".
 */
static void
settle_claim(struct kp_slot *slot, const struct rc_record *record,
             const struct cl_outcome *out)
{
    struct cl_claim claim;
    Cl_ReadClaim(record->body, &claim);
    struct kp_pending *pending;
    TAILQ_FOREACH (pending, &slot->pending, link) {
        if (!pending->settled && pending->queued &&
            Cl_SameAttempt(&pending->claim.attempt, &claim.attempt)) {
            break;
        }
    }
    if (pending == NULL) {
        return;
    }
    pending->settled = true;
    if (pending->answered && out->verdict == CL_WON) {
        Ev_Log(&STATE_LATE_CLAIM, "slot=%d customer=%s key=%s", slot->number,
               claim.key.customer, claim.key.digest);
        Kp_QueueUpdate(slot, Cl_RELEASE,
                       Cl_ReleaseBody(&claim.key, &claim.attempt), NULL, NULL);
    }
    complete_with_outcome(pending, out);
    free_if_finished(pending);
}

static void
table_reset(void *arg)
{
    struct kp_slot *slot = arg;
    Cl_Reset(slot->table);
}

/*
 * The only place where a claim that was appended gets its verdict: when it is
 * read back, in its place in the log.  The answer to the append is no verdict,
 * since a claim of another keeper may precede it in the log.  A replica that
 * reloads its state from a snapshot reads records a second time; their claims
 * are no longer pending.
 */
static void
table_apply(void *arg, const struct rc_record *record)
{
    struct kp_slot *slot = arg;
    struct cl_outcome out;
    Cl_Apply(slot->table, record, &out);
    const struct rc_writer *self = &slot->keeper->options.self;
    if (Rc_IsKind(record, Cl_CLAIM) &&
        Rc_CompareWriters(&record->writer, self) == 0) {
        settle_claim(slot, record, &out);
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
    Cl_ForEach(slot->table, emit, emit_arg);
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

/* Closes a slot and frees its state, except for its writer. */
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
 * Creates the writer of a slot.  It is kept until the keeper is destroyed,
 * also while the slot is closed: a new writer would restart its sequence
 * numbers, and readers would drop its records as duplicates.
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

/* Starts following a slot's stream. */
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
        Sn_EnableSnapshots(slot->replica, true);
    }
    return status;
}

static void
update_written(void *arg, enum wr_result result, uint64_t sequence)
{
    struct kp_update update = *(struct kp_update *)arg;
    free(arg);
    if (update.slot->replica != NULL) {
        Sn_ReadNow(update.slot->replica);
    }
    if (update.done != NULL) {
        update.done(update.arg, result == WR_WRITTEN);
    }
}

/* Queues a result or release record; takes ownership of "body". */
enum st_status
Kp_QueueUpdate(struct kp_slot *slot, const char *kind, json_t *body,
               kp_done_fn done, void *arg)
{
    struct kp_update *update = malloc(sizeof(*update));
    if (update == NULL) {
        json_decref(body);
        return St_Fail(ST_NO_MEMORY, "no memory for a claim's %s", kind);
    }
    update->slot = slot;
    update->done = done;
    update->arg = arg;
    enum st_status status =
        Wr_Put(slot->writer, BG_CLAIM, kind, body, 0, update_written, update);
    if (status != ST_OK) {
        free(update);
    }
    return status;
}

static void
claim_written(void *arg, enum wr_result result, uint64_t sequence)
{
    struct kp_pending *pending = arg;
    pending->in_writer = false;
    if (result == WR_NOT_WRITTEN) {
        pending->settled = true;
        Kp_CompleteNotRun(pending,
                          "the platform's log takes no records; send the "
                          "request again later");
    }
    else if (!pending->settled && pending->slot->replica != NULL) {
        Sn_ReadNow(pending->slot->replica);
    }
    free_if_finished(pending);
}

/* Answers a claim from the table, or queues the claim's record. */
static void
queue_claim(struct kp_slot *slot, struct kp_pending *pending)
{
    struct cl_outcome out;
    Cl_Lookup(slot->table, &pending->claim.key, pending->claim.body_digest,
              &out);
    if (out.verdict != CL_NONE) {
        pending->settled = true;
        complete_with_outcome(pending, &out);
        return;
    }
    pending->queued = true;
    pending->in_writer = true;
    if (Wr_Put(slot->writer, BG_CLAIM, Cl_CLAIM, Cl_ClaimBody(&pending->claim),
               pending->deadline, claim_written, pending) != ST_OK) {
        pending->in_writer = false;
        pending->settled = true;
        Kp_CompleteNotRun(pending, "no memory; send the request again later");
    }
}

static void
tick_pending(struct kp_slot *slot, struct kp_pending *pending, int64_t now)
{
    if (!pending->queued && !pending->settled && now < pending->deadline &&
        Sn_Phase(slot->replica) == SN_READY) {
        queue_claim(slot, pending);
    }
    if (!pending->answered && now >= pending->deadline) {
        pending->settled = pending->settled || !pending->queued;
        Kp_CompleteNotRun(pending,
                          Sn_Phase(slot->replica) == SN_GAP
                              ? "the log has lost records that no snapshot "
                                "covers; publish the slot's state again"
                              : "the platform's log did not answer in time; "
                                "send the request again");
    }
    if (!pending->in_writer &&
        now >= pending->deadline + Kp_PENDING_MAX_USEC) {
        pending->settled = true;
    }
    free_if_finished(pending);
}

/* Performs the reads, writes and answers that are due for one slot. */
void
Kp_SlotTick(struct kp_slot *slot, int64_t now)
{
    struct kp_pending *pending;
    struct kp_pending *next;
    /* Whether an unanswered claim has yet to be read back. */
    bool awaiting_read = false;
    TAILQ_FOREACH_SAFE (pending, &slot->pending, link, next) {
        awaiting_read =
            awaiting_read || (pending->queued && !pending->answered);
        tick_pending(slot, pending, now);
    }
    if (awaiting_read && now >= slot->next_read_at) {
        slot->next_read_at = now + Kp_READ_INTERVAL_USEC;
        Sn_ReadNow(slot->replica);
    }
    Sn_Tick(slot->replica);
    Wr_Tick(slot->writer);
    if (slot->closing && TAILQ_EMPTY(&slot->pending) &&
        Wr_Pending(slot->writer) == 0) {
        Kp_SlotStop(slot);
    }
}
