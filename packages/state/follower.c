#include "state/follower.h"

#include <bsd/string.h>
#include <stdlib.h>

#include "state/events.h"

#define Fo_READ_RECORDS 512
#define Fo_POLL_USEC (500 * Ck_USEC_PER_MSEC)
#define Fo_RETRY_USEC (100 * Ck_USEC_PER_MSEC)

/*
 * Context of a read in flight; outlives a follower that is destroyed
 * meanwhile.
 */
struct fo_pending_read {
    struct fo_follower *follower;
    int64_t sent_at;
};

struct fo_follower {
    struct pl_log *log;
    char stream[Pl_STREAM_MAX];
    const struct ck_clock *clock;
    struct se_table *sequences;
    const struct fo_ops *ops;
    void *arg;
    int64_t poll_usec;
    struct fo_pending_read *pending_read;
    uint64_t next;
    int64_t next_read_at;
    int64_t tail_read_at; /* when the last read at the tail was sent */
    bool at_tail;
    bool read_requested;
    bool delivering;
    bool stopped;
};

/* Creates a follower; the first Fo_Tick() reads from options->from. */
enum st_status
Fo_Create(const struct fo_options *options, struct fo_follower **out)
{
    struct fo_follower *follower = calloc(1, sizeof(*follower));
    if (follower == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for a follower");
    }
    follower->log = options->log;
    strlcpy(follower->stream, options->stream, sizeof(follower->stream));
    follower->clock = options->clock;
    follower->sequences = options->sequences;
    follower->ops = options->ops;
    follower->arg = options->arg;
    follower->poll_usec =
        options->poll_usec > 0 ? options->poll_usec : Fo_POLL_USEC;
    follower->next = options->from;
    follower->next_read_at = Ck_Now(options->clock);
    *out = follower;
    return ST_OK;
}

/* Destroys a follower; the answer to a read in flight is dropped. */
void
Fo_Destroy(struct fo_follower *follower)
{
    if (follower == NULL) {
        return;
    }
    if (follower->pending_read != NULL) {
        follower->pending_read->follower = NULL;
    }
    free(follower);
}

static void
deliver(struct fo_follower *follower, const struct pl_record *raw)
{
    struct rc_record record;
    if (Rc_Parse(raw->text, raw->offset, &record) != ST_OK) {
        Ev_Log(&STATE_FOREIGN, "stream=%s offset=%llu", follower->stream,
               (unsigned long long)raw->offset);
        return;
    }
    if (follower->sequences == NULL ||
        Se_Accept(follower->sequences, &record)) {
        follower->ops->record(follower->arg, &record);
    }
    Rc_Clear(&record);
}

/* Returns false if the answer skips an offset. */
static bool
deliver_all(struct fo_follower *follower, const struct pl_read *result)
{
    for (size_t i = 0; i < result->count; i++) {
        const struct pl_record *raw = &result->records[i];
        if (raw->offset < follower->next) {
            continue;
        }
        if (raw->offset > follower->next) {
            return false;
        }
        follower->next++;
        deliver(follower, raw);
    }
    return true;
}

/*
 * Returns when to read next at the tail.  The poll interval counts from when
 * the last read was sent: its answer may lack records that were written while
 * it was in flight, and these should not wait a full interval from the answer.
 */
static int64_t
next_poll(const struct fo_follower *follower, int64_t now)
{
    int64_t poll = follower->poll_usec;
    int64_t soonest = now + (poll < Fo_RETRY_USEC ? poll : Fo_RETRY_USEC);
    int64_t at = follower->tail_read_at + poll;
    return at > soonest ? at : soonest;
}

static void
process_read(struct fo_follower *follower, const struct pl_read *result,
             int64_t sent_at)
{
    int64_t now = Ck_Now(follower->clock);
    follower->delivering = true;
    bool complete = deliver_all(follower, result);
    follower->delivering = false;
    if (!complete) {
        follower->next_read_at = now + Fo_RETRY_USEC;
        return;
    }
    if (result->count > 0 && result->next > follower->next) {
        follower->next_read_at = now;
        return;
    }
    /*
     * A tail below the offsets already read comes from a stale replica of the
     * log.  It does not show that the tail was reached, and going back would
     * undo decisions based on later records.
     */
    if (result->next != follower->next) {
        follower->next_read_at = now + Fo_RETRY_USEC;
        return;
    }
    follower->at_tail = true;
    follower->tail_read_at = sent_at;
    follower->next_read_at = next_poll(follower, now);
    if (follower->ops->tail != NULL) {
        follower->ops->tail(follower->arg);
    }
}

static void
read_done(void *arg, const struct pl_read *result)
{
    struct fo_pending_read *pending = arg;
    struct fo_follower *follower = pending->follower;
    int64_t sent_at = pending->sent_at;
    free(pending);
    if (follower == NULL) {
        return;
    }
    follower->pending_read = NULL;
    switch (result->kind) {
    case PL_READ:
        process_read(follower, result, sent_at);
        break;
    case PL_EXPIRED:
        /*
         * A stale answer may report an "oldest" offset that was already read;
         * the read is retried.
         */
        if (result->oldest > follower->next) {
            follower->stopped = true;
            follower->at_tail = false;
            follower->ops->expired(follower->arg, result->oldest);
        }
        else {
            follower->next_read_at = Ck_Now(follower->clock) + Fo_RETRY_USEC;
        }
        break;
    case PL_FAILED:
        follower->next_read_at = Ck_Now(follower->clock) + Fo_RETRY_USEC;
        break;
    }
}

static void
start_read(struct fo_follower *follower)
{
    struct fo_pending_read *pending = malloc(sizeof(*pending));
    follower->read_requested = false;
    follower->next_read_at = Ck_Now(follower->clock) + Fo_RETRY_USEC;
    if (pending == NULL) {
        return;
    }
    pending->follower = follower;
    pending->sent_at = Ck_Now(follower->clock);
    if (Pl_Read(follower->log, follower->stream, follower->next,
                Fo_READ_RECORDS, read_done, pending) != ST_OK) {
        free(pending);
        return;
    }
    follower->pending_read = pending;
}

/* Reads if a read is due.  Call it at least every few milliseconds. */
void
Fo_Tick(struct fo_follower *follower)
{
    if (follower->pending_read != NULL || follower->delivering ||
        follower->stopped) {
        return;
    }
    if (follower->read_requested ||
        Ck_Now(follower->clock) >= follower->next_read_at) {
        start_read(follower);
    }
}

/*
 * Changes the interval of reads at the tail; a shorter interval takes effect
 * at once.
 */
void
Fo_SetPoll(struct fo_follower *follower, int64_t poll_usec)
{
    if (poll_usec < follower->poll_usec) {
        follower->next_read_at -= follower->poll_usec - poll_usec;
    }
    follower->poll_usec = poll_usec;
}

/* Reads at once, or right after the read in flight. */
void
Fo_ReadNow(struct fo_follower *follower)
{
    follower->read_requested = true;
    Fo_Tick(follower);
}

/*
 * Continues from another offset, after a state was loaded from a snapshot or a
 * peer.  Offsets that were already delivered are not delivered again.
 */
void
Fo_Restart(struct fo_follower *follower, uint64_t from)
{
    if (follower->pending_read != NULL) {
        follower->pending_read->follower = NULL;
        follower->pending_read = NULL;
    }
    if (from > follower->next) {
        follower->next = from;
    }
    follower->stopped = false;
    follower->at_tail = false;
    follower->next_read_at = Ck_Now(follower->clock);
}

/* Returns the offset of the next record to deliver. */
uint64_t
Fo_Next(const struct fo_follower *follower)
{
    return follower->next;
}

/*
 * Whether the tail was reached; "sent_at" (may be NULL) gets the boot-clock
 * time at which the last read that reached it was sent.
 */
bool
Fo_AtTail(const struct fo_follower *follower, int64_t *sent_at)
{
    if (sent_at != NULL) {
        *sent_at = follower->tail_read_at;
    }
    return follower->at_tail;
}
