#include "edge/duty.h"

#include <stdlib.h>
#include <string.h>

#include "edge/duty_internal.h"
#include "edge/duty_record.h"

/* Renewed this often in a term, so that one lost answer does not end it. */
#define Du_RENEWALS 3
/*
 * Part of a term at its end in which the holder no longer acts: what it sends
 * has to arrive before a successor can.
 */
#define Du_MARGIN_DIVISOR 6
/* Daemons further back wait this much longer each, so that few collide. */
#define Du_RANK_USEC (300 * Ck_USEC_PER_MSEC)
#define Du_RETRY_USEC (300 * Ck_USEC_PER_MSEC)
/* Daemons that start know of each other, and their order, after this. */
#define Du_MEET_USEC (500 * Ck_USEC_PER_MSEC)

struct du_duty *
Du_Create(const struct du_options *options)
{
    struct du_duty *duty = calloc(1, sizeof(*duty));
    if (duty != NULL) {
        duty->options = *options;
        duty->started_at = Ck_Now(options->clock);
        duty->end = -1;
    }
    return duty;
}

/* Answers of the store must not come any more. */
void
Du_Destroy(struct du_duty *duty)
{
    free(duty);
}

static int64_t
now_of(const struct du_duty *duty)
{
    return Ck_Now(duty->options.clock);
}

bool
Du_Holds(const struct du_duty *duty)
{
    return duty->fence != 0 &&
           now_of(duty) < duty->valid_until -
                              duty->options.lease_usec / Du_MARGIN_DIVISOR;
}

int64_t
Du_Fence(const struct du_duty *duty)
{
    return Du_Holds(duty) ? duty->fence : 0;
}

static void
lose(struct du_duty *duty)
{
    if (duty->fence != 0) {
        duty->fence = 0;
        duty->options.changed(duty->options.arg, false, 0);
    }
}

static void
win(struct du_duty *duty, int64_t offset, int64_t sent_at)
{
    duty->valid_until = sent_at + duty->options.lease_usec;
    if (duty->fence == 0) {
        duty->fence = offset + 1; /* the first offset is 0 */
        duty->options.changed(duty->options.arg, true, duty->fence);
    }
}

struct du_usage *
Du_Usage(struct du_duty *duty, int64_t window)
{
    struct du_usage *usage = &duty->usages[(uint64_t)window % Du_WINDOWS];
    return usage->window == window && window != 0 ? usage : NULL;
}

static void
keep_usage(struct du_duty *duty, const struct du_usage *usage)
{
    struct du_usage *slot =
        &duty->usages[(uint64_t)usage->window % Du_WINDOWS];
    /* The first record of a window stands. */
    if (slot->window < usage->window) {
        *slot = *usage;
        slot->reported = false;
    }
}

static void
take(struct du_duty *duty, const struct ag_record *record)
{
    static struct dr_record decoded;
    duty->end = record->offset + 1;
    duty->moved_at = now_of(duty);
    if (!Dr_Decode(record->value, record->len, &decoded)) {
        return;
    }
    if (decoded.need_count > 0) {
        duty->need_count = decoded.need_count;
        memcpy(duty->needs, decoded.needs, sizeof(duty->needs));
    }
    if (decoded.run != duty->options.run) {
        duty->before_count = decoded.recent_count;
        memcpy(duty->before, decoded.recent, sizeof(duty->before));
        duty->move_count = decoded.move_count;
        memcpy(duty->moves, decoded.moves, sizeof(duty->moves));
    }
    if (decoded.has_usage) {
        keep_usage(duty, &decoded.usage);
    }
    if (decoded.run != duty->options.run) {
        lose(duty);
    }
    else if (duty->doubtful) {
        /* The append whose answer was lost was done, no earlier than sent. */
        duty->doubtful = false;
        win(duty, record->offset, duty->doubtful_sent_at);
    }
}

static void
on_read(void *arg, const struct ag_result *result)
{
    struct du_duty *duty = arg;
    duty->busy = false;
    duty->at_end = false;
    if (result->status == AG_EXPIRED) {
        duty->end = result->offset;
        duty->moved_at = now_of(duty);
        return;
    }
    if (result->status != AG_OK) {
        duty->retry_at = now_of(duty) + Du_RETRY_USEC;
        return;
    }
    for (size_t i = 0; i < result->count; i++) {
        take(duty, &result->records[i]);
    }
    if (duty->end < 0) {
        duty->end = 0;
    }
    duty->at_end = duty->end >= result->end;
    if (!duty->at_end && result->count == 0) {
        duty->end = result->end;
        duty->moved_at = now_of(duty);
    }
}

static void
start_read(struct du_duty *duty)
{
    duty->busy = true;
    duty->sent_at = now_of(duty);
    Ag_Read(duty->options.store, AG_DUTY, duty->end < 0 ? 0 : duty->end, 0,
            on_read, duty);
}

static void
on_append(void *arg, const struct ag_result *result)
{
    struct du_duty *duty = arg;
    duty->busy = false;
    switch (result->status) {
    case AG_OK:
        duty->doubtful = false;
        duty->end = result->offset + 1;
        duty->moved_at = now_of(duty);
        duty->at_end = true;
        duty->moves_recorded |= duty->moves_sent;
        if (duty->pending.window != 0) {
            keep_usage(duty, &duty->pending);
        }
        win(duty, result->offset, duty->sent_at);
        break;
    case AG_CONFLICT:
    case AG_EXPIRED:
        /* Another record is there, maybe our own of before: read it. */
        duty->at_end = false;
        break;
    case AG_UNKNOWN:
        /* Of several, the first: the term must not seem longer than it is. */
        if (!duty->doubtful) {
            duty->doubtful = true;
            duty->doubtful_sent_at = duty->sent_at;
        }
        duty->at_end = false;
        break;
    case AG_UNAVAILABLE:
        duty->retry_at = now_of(duty) + Du_RETRY_USEC;
        break;
    }
}

static void
start_append(struct du_duty *duty, const struct du_usage *usage)
{
    static struct dr_record record;
    memset(&record, 0, sizeof(record));
    record.run = duty->options.run;
    record.need_count = duty->need_count;
    memcpy(record.needs, duty->needs, sizeof(record.needs));
    record.recent_count = duty->recent_count;
    memcpy(record.recent, duty->recent, sizeof(record.recent));
    duty->recorded_count = duty->recent_count;
    memcpy(duty->recorded, duty->recent, sizeof(duty->recorded));
    record.move_count = duty->move_count;
    memcpy(record.moves, duty->moves, sizeof(record.moves));
    duty->moves_sent = true;
    if (usage != NULL) {
        record.has_usage = true;
        record.usage = *usage;
    }
    duty->pending = record.usage;
    char *data;
    size_t len = Dr_Encode(&record, &data);
    duty->busy = true;
    duty->sent_at = now_of(duty);
    Ag_Append(duty->options.store, AG_DUTY, duty->end, NULL, data, len,
              on_append, duty);
    free(data);
}

/*
 * After its term a holder does not act, but renews: that the log still ends
 * at its own record shows that nobody has acted since.
 */
static void
tick_holder(struct du_duty *duty)
{
    int64_t now = now_of(duty);
    if (!duty->at_end) {
        start_read(duty);
        return;
    }
    int64_t renew_at = duty->valid_until - duty->options.lease_usec +
                       duty->options.lease_usec / Du_RENEWALS;
    if (now >= renew_at || du_recent_grew(duty)) {
        start_append(duty, NULL);
    }
}

/*
 * A term counts from before its renewal was sent; we saw the renewal later.
 * So a log that has stood still for a whole term, as we saw it, is free.  So
 * is one that still ends at the record of a term whose holder told when it
 * ends: a later renewal would have moved the end, and ours is appended only
 * where it has not moved.
 */
static bool
is_free(const struct du_duty *duty, int64_t patience)
{
    int64_t now = now_of(duty);
    if (duty->end == 0) {
        /* All start at once, and each takes itself for the first. */
        return now >= duty->started_at + Du_MEET_USEC + patience;
    }
    if (duty->heard_fence != 0 && duty->end == duty->heard_end) {
        return now >= duty->heard_until + patience;
    }
    return now - duty->moved_at > duty->options.lease_usec + patience;
}

static void
tick_other(struct du_duty *duty)
{
    int64_t now = now_of(duty);
    int64_t patience =
        (int64_t)duty->options.rank(duty->options.arg) * Du_RANK_USEC;
    if (duty->heard_fence != 0 && now < duty->heard_until + patience) {
        return;
    }
    bool free_now = is_free(duty, patience);
    if (duty->end >= 0 && duty->at_end && !free_now) {
        return;
    }
    if (duty->at_end && free_now &&
        now - duty->sent_at < duty->options.lease_usec / Du_RENEWALS) {
        /* The end was confirmed a moment ago. */
        duty->at_end = false;
        start_append(duty, NULL);
        return;
    }
    start_read(duty);
}

void
Du_Tick(struct du_duty *duty)
{
    int64_t now = now_of(duty);
    if (duty->left || duty->busy || now < duty->retry_at) {
        return;
    }
    if (duty->fence != 0) {
        tick_holder(duty);
    }
    else {
        tick_other(duty);
    }
}

void
Du_Heard(struct du_duty *duty, const struct du_told *told)
{
    if (duty->fence != 0 && told->fence > duty->fence) {
        lose(duty);
        duty->at_end = false;
    }
    if (told->fence < duty->heard_fence) {
        return;
    }
    /* Each word bounds the end of the same term; the earliest bound holds. */
    int64_t until = now_of(duty) + told->left_usec;
    if (told->fence != duty->heard_fence || told->end != duty->heard_end ||
        until < duty->heard_until) {
        duty->heard_until = until;
    }
    duty->heard_fence = told->fence;
    duty->heard_end = told->end;
}

struct du_told
Du_Told(const struct du_duty *duty)
{
    if (!Du_Holds(duty)) {
        return duty->resigned;
    }
    return (struct du_told){
        .fence = duty->fence,
        .end = duty->end,
        .left_usec = duty->valid_until - now_of(duty),
    };
}

bool
Du_Agree(struct du_duty *duty, const struct du_usage *usage)
{
    if (duty->busy || !Du_Holds(duty) || !duty->at_end) {
        return false;
    }
    struct du_usage *slot =
        &duty->usages[(uint64_t)usage->window % Du_WINDOWS];
    if (slot->window >= usage->window) {
        return false;
    }
    start_append(duty, usage);
    return true;
}

void
Du_Refused(struct du_duty *duty)
{
    lose(duty);
    duty->at_end = false;
    duty->moved_at = now_of(duty);
}

/* To be called again while it still holds: an append may be under way. */
void
Du_Resign(struct du_duty *duty)
{
    bool holds = Du_Holds(duty);
    if (holds && (duty->busy || !duty->at_end)) {
        return;
    }
    if (holds) {
        duty->resigned = Du_Told(duty);
        duty->resigned.left_usec = 0;
    }
    duty->left = true;
    lose(duty);
}
