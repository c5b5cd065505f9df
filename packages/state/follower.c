#include "state/follower.h"

#include <bsd/string.h>
#include <stdlib.h>

#include "state/events.h"

#define Fo_READ_RECORDS 512
#define Fo_POLL_USEC (500 * Ck_USEC_PER_MSEC)
#define Fo_RETRY_USEC (100 * Ck_USEC_PER_MSEC)

/* Outlives the follower when that is destroyed under a read. */
struct fo_flight {
    struct fo_follower *follower;
    int64_t asked;
};

struct fo_follower {
    struct pl_log *log;
    char stream[Pl_STREAM_MAX];
    const struct ck_clock *clock;
    struct se_table *seen;
    const struct fo_ops *ops;
    void *arg;
    int64_t poll_usec;
    struct fo_flight *flight;
    uint64_t next;
    int64_t read_at;    /* when to read next */
    int64_t tail_asked; /* when the last read that saw the tail was sent */
    bool at_tail;
    bool kicked;
    bool handing; /* records are being handed over */
    bool stopped;
};

/* Makes a follower that starts at options->from with the first Fo_Tick(). */
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
    follower->seen = options->seen;
    follower->ops = options->ops;
    follower->arg = options->arg;
    follower->poll_usec =
        options->poll_usec > 0 ? options->poll_usec : Fo_POLL_USEC;
    follower->next = options->from;
    follower->read_at = Ck_Now(options->clock);
    *out = follower;
    return ST_OK;
}

/* Stops following; an answer on its way is dropped. */
void
Fo_Destroy(struct fo_follower *follower)
{
    if (follower == NULL) {
        return;
    }
    if (follower->flight != NULL) {
        follower->flight->follower = NULL;
    }
    free(follower);
}

static void
hand_over(struct fo_follower *follower, const struct pl_record *raw)
{
    struct rc_record record;
    if (Rc_Parse(raw->text, raw->offset, &record) != ST_OK) {
        Ev_Log(&STATE_FOREIGN, "stream=%s offset=%llu", follower->stream,
               (unsigned long long)raw->offset);
        return;
    }
    if (follower->seen == NULL || Se_Accept(follower->seen, &record)) {
        follower->ops->record(follower->arg, &record);
    }
    Rc_Clear(&record);
}

/* Returns false when the answer skips an offset that should be there. */
static bool
hand_over_all(struct fo_follower *follower, const struct pl_read *result)
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
        hand_over(follower, raw);
    }
    return true;
}

/*
 * The answer tells how the stream stood when the log was asked, at the
 * earliest; what came while it was on its way must not wait any longer.
 */
static int64_t
next_look(const struct fo_follower *follower, int64_t now)
{
    int64_t poll = follower->poll_usec;
    int64_t soonest = now + (poll < Fo_RETRY_USEC ? poll : Fo_RETRY_USEC);
    int64_t at = follower->tail_asked + poll;
    return at > soonest ? at : soonest;
}

static void
take_read(struct fo_follower *follower, const struct pl_read *result,
          int64_t asked)
{
    int64_t now = Ck_Now(follower->clock);
    follower->handing = true;
    bool whole = hand_over_all(follower, result);
    follower->handing = false;
    if (!whole) {
        follower->read_at = now + Fo_RETRY_USEC;
        return;
    }
    if (result->count > 0 && result->next > follower->next) {
        follower->read_at = now;
        return;
    }
    /*
     * A tail below what was read before is a stale answer: it proves nothing
     * about the present, and going back would undo decisions.
     */
    if (result->next != follower->next) {
        follower->read_at = now + Fo_RETRY_USEC;
        return;
    }
    follower->at_tail = true;
    follower->tail_asked = asked;
    follower->read_at = next_look(follower, now);
    if (follower->ops->tail != NULL) {
        follower->ops->tail(follower->arg);
    }
}

static void
read_done(void *arg, const struct pl_read *result)
{
    struct fo_flight *flight = arg;
    struct fo_follower *follower = flight->follower;
    int64_t asked = flight->asked;
    free(flight);
    if (follower == NULL) {
        return;
    }
    follower->flight = NULL;
    switch (result->kind) {
    case PL_READ:
        take_read(follower, result, asked);
        break;
    case PL_EXPIRED:
        /* A stale answer cannot ask for less than was already read. */
        if (result->oldest > follower->next) {
            follower->stopped = true;
            follower->at_tail = false;
            follower->ops->expired(follower->arg, result->oldest);
        }
        else {
            follower->read_at = Ck_Now(follower->clock) + Fo_RETRY_USEC;
        }
        break;
    case PL_FAILED:
        follower->read_at = Ck_Now(follower->clock) + Fo_RETRY_USEC;
        break;
    }
}

static void
start_read(struct fo_follower *follower)
{
    struct fo_flight *flight = malloc(sizeof(*flight));
    follower->kicked = false;
    follower->read_at = Ck_Now(follower->clock) + Fo_RETRY_USEC;
    if (flight == NULL) {
        return;
    }
    flight->follower = follower;
    flight->asked = Ck_Now(follower->clock);
    if (Pl_Read(follower->log, follower->stream, follower->next,
                Fo_READ_RECORDS, read_done, flight) != ST_OK) {
        free(flight);
        return;
    }
    follower->flight = flight;
}

/* Reads when it is time.  Call it at least every few milliseconds. */
void
Fo_Tick(struct fo_follower *follower)
{
    if (follower->flight != NULL || follower->handing || follower->stopped) {
        return;
    }
    if (follower->kicked || Ck_Now(follower->clock) >= follower->read_at) {
        start_read(follower);
    }
}

/* Changes the time between reads at the tail; a shorter one counts at once. */
void
Fo_SetPoll(struct fo_follower *follower, int64_t poll_usec)
{
    if (poll_usec < follower->poll_usec) {
        follower->read_at -= follower->poll_usec - poll_usec;
    }
    follower->poll_usec = poll_usec;
}

/* Reads now; a read on its way is followed by another one. */
void
Fo_Kick(struct fo_follower *follower)
{
    follower->kicked = true;
    Fo_Tick(follower);
}

/*
 * Goes on from another offset, for a state that was loaded from a snapshot
 * or comes from a peer.  Offsets already handed over are never repeated.
 */
void
Fo_Restart(struct fo_follower *follower, uint64_t from)
{
    if (follower->flight != NULL) {
        follower->flight->follower = NULL;
        follower->flight = NULL;
    }
    if (from > follower->next) {
        follower->next = from;
    }
    follower->stopped = false;
    follower->at_tail = false;
    follower->read_at = Ck_Now(follower->clock);
}

/* The offset that will be handed over next. */
uint64_t
Fo_Next(const struct fo_follower *follower)
{
    return follower->next;
}

/*
 * Whether the end of the stream was ever reached; "asked" (may be NULL) gets
 * the boot-clock time at which the last read that reached it was sent.
 */
bool
Fo_AtTail(const struct fo_follower *follower, int64_t *asked)
{
    if (asked != NULL) {
        *asked = follower->tail_asked;
    }
    return follower->at_tail;
}
