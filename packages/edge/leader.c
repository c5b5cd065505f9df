#include "edge/leader.h"

#include <stdlib.h>
#include <string.h>

#include "edge/leader_internal.h"
#include "edge/leader_record.h"

/* Renewals per lease; one lost answer must not end it. */
#define Lr_RENEWALS_PER_LEASE 3
/*
 * The holder stops acting 1/Lr_MARGIN_DIVISOR of the lease before its end, so
 * that what it sent arrives before the next holder can act.
 */
#define Lr_MARGIN_DIVISOR 6
/*
 * Each daemon waits this much longer than the one ranked before it, so that
 * few appends collide.
 */
#define Lr_RANK_DELAY_USEC (300 * Ck_USEC_PER_MSEC)
#define Lr_RETRY_USEC (300 * Ck_USEC_PER_MSEC)
/*
 * After this time, daemons that start together have discovered each other and
 * know their ranks.
 */
#define Lr_DISCOVERY_USEC (500 * Ck_USEC_PER_MSEC)

struct lr_lease *
Lr_Create(const struct lr_options *options)
{
    struct lr_lease *duty = calloc(1, sizeof(*duty));
    if (duty != NULL) {
        duty->options = *options;
        duty->started_at = Ck_Now(options->clock);
        duty->end = -1;
    }
    return duty;
}

/* The store must not deliver any answer after this call. */
void
Lr_Destroy(struct lr_lease *duty)
{
    free(duty);
}

static int64_t
now_of(const struct lr_lease *duty)
{
    return Ck_Now(duty->options.clock);
}

bool
Lr_Holds(const struct lr_lease *duty)
{
    return duty->fence != 0 &&
           now_of(duty) < duty->lease_until -
                              duty->options.lease_usec / Lr_MARGIN_DIVISOR;
}

int64_t
Lr_Fence(const struct lr_lease *duty)
{
    return Lr_Holds(duty) ? duty->fence : 0;
}

static void
end_lease(struct lr_lease *duty)
{
    if (duty->fence != 0) {
        duty->fence = 0;
        duty->options.changed(duty->options.arg, false, 0);
    }
}

static void
confirm_lease(struct lr_lease *duty, int64_t offset, int64_t sent_at)
{
    duty->lease_until = sent_at + duty->options.lease_usec;
    if (duty->fence == 0) {
        /* offsets start at 0, which means no fence */
        duty->fence = offset + 1;
        duty->options.changed(duty->options.arg, true, duty->fence);
    }
}

struct lr_usage *
Lr_Usage(struct lr_lease *duty, int64_t window)
{
    struct lr_usage *usage = &duty->usages[(uint64_t)window % Lr_WINDOWS];
    return usage->window == window && window != 0 ? usage : NULL;
}

static void
store_usage(struct lr_lease *duty, const struct lr_usage *usage)
{
    struct lr_usage *slot =
        &duty->usages[(uint64_t)usage->window % Lr_WINDOWS];
    /* The first record of a window is final. */
    if (slot->window < usage->window) {
        *slot = *usage;
        slot->reported = false;
    }
}

static void
apply_record(struct lr_lease *duty, const struct ag_record *record)
{
    static struct lc_record decoded;
    duty->end = record->offset + 1;
    duty->end_changed_at = now_of(duty);
    if (!Lc_Decode(record->value, record->len, &decoded)) {
        return;
    }
    if (decoded.need_count > 0) {
        duty->need_count = decoded.need_count;
        memcpy(duty->needs, decoded.needs, sizeof(duty->needs));
    }
    if (decoded.run != duty->options.run) {
        duty->inherited_count = decoded.recent_count;
        memcpy(duty->inherited, decoded.recent, sizeof(duty->inherited));
        duty->move_count = decoded.move_count;
        memcpy(duty->moves, decoded.moves, sizeof(duty->moves));
    }
    if (decoded.has_usage) {
        store_usage(duty, &decoded.usage);
    }
    if (decoded.run != duty->options.run) {
        end_lease(duty);
    }
    else if (duty->append_unknown) {
        /*
         * The append whose answer was lost took effect, but not before it was
         * sent.
         */
        duty->append_unknown = false;
        confirm_lease(duty, record->offset, duty->unknown_sent_at);
    }
}

static void
on_read(void *arg, const struct ag_result *result)
{
    struct lr_lease *duty = arg;
    duty->in_flight = false;
    duty->at_end = false;
    if (result->status == AG_EXPIRED) {
        duty->end = result->offset;
        duty->end_changed_at = now_of(duty);
        return;
    }
    if (result->status != AG_OK) {
        duty->retry_at = now_of(duty) + Lr_RETRY_USEC;
        return;
    }
    for (size_t i = 0; i < result->count; i++) {
        apply_record(duty, &result->records[i]);
    }
    if (duty->end < 0) {
        duty->end = 0;
    }
    duty->at_end = duty->end >= result->end;
    if (!duty->at_end && result->count == 0) {
        duty->end = result->end;
        duty->end_changed_at = now_of(duty);
    }
}

static void
start_read(struct lr_lease *duty)
{
    duty->in_flight = true;
    duty->sent_at = now_of(duty);
    Ag_Read(duty->options.store, AG_DUTY, duty->end < 0 ? 0 : duty->end, 0,
            on_read, duty);
}

static void
on_append(void *arg, const struct ag_result *result)
{
    struct lr_lease *duty = arg;
    duty->in_flight = false;
    switch (result->status) {
    case AG_OK:
        duty->append_unknown = false;
        duty->end = result->offset + 1;
        duty->end_changed_at = now_of(duty);
        duty->at_end = true;
        duty->moves_recorded |= duty->moves_sent;
        if (duty->pending.window != 0) {
            store_usage(duty, &duty->pending);
        }
        confirm_lease(duty, result->offset, duty->sent_at);
        break;
    case AG_CONFLICT:
    case AG_EXPIRED:
        /*
         * Another record is at this offset, possibly an earlier one of this
         * daemon: read the log.
         */
        duty->at_end = false;
        break;
    case AG_UNKNOWN:
        /*
         * The first of several unknown appends counts, so that the lease is
         * not overestimated.
         */
        if (!duty->append_unknown) {
            duty->append_unknown = true;
            duty->unknown_sent_at = duty->sent_at;
        }
        duty->at_end = false;
        break;
    case AG_UNAVAILABLE:
        duty->retry_at = now_of(duty) + Lr_RETRY_USEC;
        break;
    }
}

static void
start_append(struct lr_lease *duty, const struct lr_usage *usage)
{
    static struct lc_record record;
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
    size_t len = Lc_Encode(&record, &data);
    duty->in_flight = true;
    duty->sent_at = now_of(duty);
    Ag_Append(duty->options.store, AG_DUTY, duty->end, NULL, data, len,
              on_append, duty);
    free(data);
}

/*
 * A holder whose lease has run out does not act but still tries to renew: if
 * the log still ends at its own record, no other daemon has acted since.
 */
static void
tick_holder(struct lr_lease *duty)
{
    int64_t now = now_of(duty);
    if (!duty->at_end) {
        start_read(duty);
        return;
    }
    int64_t renew_at = duty->lease_until - duty->options.lease_usec +
                       duty->options.lease_usec / Lr_RENEWALS_PER_LEASE;
    if (now >= renew_at || lr_recent_increased(duty)) {
        start_append(duty, NULL);
    }
}

/*
 * A lease counts from before its renewal was sent, and this daemon sees the
 * renewal later.  So the lease is free once the log has not changed for a
 * whole lease, as seen here.  If the log still ends at the record for which
 * the holder announced the lease's end, the lease is free at that end: a later
 * renewal would have moved the log's end, and the append succeeds only if it
 * has not moved.
 */
static bool
is_lease_free(const struct lr_lease *duty, int64_t rank_delay)
{
    int64_t now = now_of(duty);
    if (duty->end == 0) {
        /*
         * All daemons start at once, and each ranks itself first until it
         * discovers the others.
         */
        return now >= duty->started_at + Lr_DISCOVERY_USEC + rank_delay;
    }
    if (duty->peer_fence != 0 && duty->end == duty->peer_end) {
        return now >= duty->peer_until + rank_delay;
    }
    return now - duty->end_changed_at > duty->options.lease_usec + rank_delay;
}

static void
tick_standby(struct lr_lease *duty)
{
    int64_t now = now_of(duty);
    int64_t rank_delay =
        (int64_t)duty->options.rank(duty->options.arg) * Lr_RANK_DELAY_USEC;
    if (duty->peer_fence != 0 && now < duty->peer_until + rank_delay) {
        return;
    }
    bool is_free = is_lease_free(duty, rank_delay);
    if (duty->end >= 0 && duty->at_end && !is_free) {
        return;
    }
    if (duty->at_end && is_free &&
        now - duty->sent_at <
            duty->options.lease_usec / Lr_RENEWALS_PER_LEASE) {
        /* The log's end was confirmed recently. */
        duty->at_end = false;
        start_append(duty, NULL);
        return;
    }
    start_read(duty);
}

void
Lr_Tick(struct lr_lease *duty)
{
    int64_t now = now_of(duty);
    if (duty->stopped || duty->in_flight || now < duty->retry_at) {
        return;
    }
    if (duty->fence != 0) {
        tick_holder(duty);
    }
    else {
        tick_standby(duty);
    }
}

void
Lr_HandleNotice(struct lr_lease *duty, const struct lr_lease_notice *notice)
{
    if (duty->fence != 0 && notice->fence > duty->fence) {
        end_lease(duty);
        duty->at_end = false;
    }
    if (notice->fence < duty->peer_fence) {
        return;
    }
    /*
     * Each notice gives an upper bound for the end of the same lease; the
     * lowest bound counts.
     */
    int64_t until = now_of(duty) + notice->remaining_usec;
    if (notice->fence != duty->peer_fence ||
        notice->log_end != duty->peer_end || until < duty->peer_until) {
        duty->peer_until = until;
    }
    duty->peer_fence = notice->fence;
    duty->peer_end = notice->log_end;
}

struct lr_lease_notice
Lr_LeaseNotice(const struct lr_lease *duty)
{
    if (!Lr_Holds(duty)) {
        return duty->resigned;
    }
    return (struct lr_lease_notice){
        .fence = duty->fence,
        .log_end = duty->end,
        .remaining_usec = duty->lease_until - now_of(duty),
    };
}

bool
Lr_RecordUsage(struct lr_lease *duty, const struct lr_usage *usage)
{
    if (duty->in_flight || !Lr_Holds(duty) || !duty->at_end) {
        return false;
    }
    struct lr_usage *slot =
        &duty->usages[(uint64_t)usage->window % Lr_WINDOWS];
    if (slot->window >= usage->window) {
        return false;
    }
    start_append(duty, usage);
    return true;
}

void
Lr_FenceRefused(struct lr_lease *duty)
{
    end_lease(duty);
    duty->at_end = false;
    duty->end_changed_at = now_of(duty);
}

/*
 * The caller repeats the call while the lease is held: an append may be in
 * progress.
 */
void
Lr_Release(struct lr_lease *duty)
{
    bool holds = Lr_Holds(duty);
    if (holds && (duty->in_flight || !duty->at_end)) {
        return;
    }
    if (holds) {
        duty->resigned = Lr_LeaseNotice(duty);
        duty->resigned.remaining_usec = 0;
    }
    duty->stopped = true;
    end_lease(duty);
}
