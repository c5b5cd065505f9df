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
 * know their ranks: they call the store three times, one call after the other,
 * and then exchange messages. With 500 ms, all of 79 daemons appended where a
 * call took 100 ms.
 */
#define Lr_DISCOVERY_USEC (800 * Ck_USEC_PER_MSEC)

struct lr_lease *
Lr_Create(const struct lr_options *options)
{
    struct lr_lease *lease = calloc(1, sizeof(*lease));
    if (lease != NULL) {
        lease->options = *options;
        lease->started_at = Ck_Now(options->clock);
        lease->end = -1;
    }
    return lease;
}

/* The store must not deliver any answer after this call. */
void
Lr_Destroy(struct lr_lease *lease)
{
    free(lease);
}

static int64_t
now_of(const struct lr_lease *lease)
{
    return Ck_Now(lease->options.clock);
}

bool
Lr_Holds(const struct lr_lease *lease)
{
    return lease->fence != 0 &&
           now_of(lease) < lease->lease_until -
                               lease->options.lease_usec / Lr_MARGIN_DIVISOR;
}

int64_t
Lr_Fence(const struct lr_lease *lease)
{
    return Lr_Holds(lease) ? lease->fence : 0;
}

static void
end_lease(struct lr_lease *lease)
{
    if (lease->fence != 0) {
        lease->fence = 0;
        lease->options.changed(lease->options.arg, false, 0);
    }
}

static void
confirm_lease(struct lr_lease *lease, int64_t offset, int64_t sent_at)
{
    lease->lease_until = sent_at + lease->options.lease_usec;
    if (lease->fence == 0) {
        /* offsets start at 0, which means no fence */
        lease->fence = offset + 1;
        lease->options.changed(lease->options.arg, true, lease->fence);
    }
}

struct lr_usage *
Lr_Usage(struct lr_lease *lease, int64_t window)
{
    struct lr_usage *usage = &lease->usages[(uint64_t)window % Lr_WINDOWS];
    return usage->window == window && window != 0 ? usage : NULL;
}

static void
store_usage(struct lr_lease *lease, const struct lr_usage *usage)
{
    struct lr_usage *slot =
        &lease->usages[(uint64_t)usage->window % Lr_WINDOWS];
    /* The first record of a window is final. */
    if (slot->window < usage->window) {
        *slot = *usage;
        slot->reported = false;
    }
}

static void
apply_record(struct lr_lease *lease, const struct ag_record *record)
{
    static struct lc_record decoded;
    lease->end = record->offset + 1;
    lease->end_changed_at = now_of(lease);
    if (!Lc_Decode(record->value, record->len, &decoded)) {
        return;
    }
    if (decoded.need_count > 0) {
        lease->need_count = decoded.need_count;
        memcpy(lease->needs, decoded.needs, sizeof(lease->needs));
    }
    if (decoded.run != lease->options.run) {
        lease->inherited_count = decoded.recent_count;
        memcpy(lease->inherited, decoded.recent, sizeof(lease->inherited));
        lease->move_count = decoded.move_count;
        memcpy(lease->moves, decoded.moves, sizeof(lease->moves));
    }
    if (decoded.has_usage) {
        store_usage(lease, &decoded.usage);
    }
    if (decoded.run != lease->options.run) {
        end_lease(lease);
    }
    else if (lease->append_unknown) {
        /*
         * The append whose answer was lost took effect, but not before it was
         * sent.
         */
        lease->append_unknown = false;
        confirm_lease(lease, record->offset, lease->unknown_sent_at);
    }
}

static void
on_read(void *arg, const struct ag_result *result)
{
    struct lr_lease *lease = arg;
    lease->in_flight = false;
    lease->at_end = false;
    if (result->status == AG_EXPIRED) {
        lease->end = result->offset;
        lease->end_changed_at = now_of(lease);
        return;
    }
    if (result->status != AG_OK) {
        lease->retry_at = now_of(lease) + Lr_RETRY_USEC;
        return;
    }
    for (size_t i = 0; i < result->count; i++) {
        apply_record(lease, &result->records[i]);
    }
    if (lease->end < 0) {
        lease->end = 0;
    }
    lease->at_end = lease->end >= result->end;
    if (!lease->at_end && result->count == 0) {
        lease->end = result->end;
        lease->end_changed_at = now_of(lease);
    }
}

static void
start_read(struct lr_lease *lease)
{
    lease->in_flight = true;
    lease->sent_at = now_of(lease);
    Ag_Read(lease->options.store, AG_LEASE, lease->end < 0 ? 0 : lease->end, 0,
            on_read, lease);
}

static void
on_append(void *arg, const struct ag_result *result)
{
    struct lr_lease *lease = arg;
    lease->in_flight = false;
    switch (result->status) {
    case AG_OK:
        lease->append_unknown = false;
        lease->end = result->offset + 1;
        lease->end_changed_at = now_of(lease);
        lease->at_end = true;
        lease->moves_recorded |= lease->moves_sent;
        if (lease->pending.window != 0) {
            store_usage(lease, &lease->pending);
        }
        confirm_lease(lease, result->offset, lease->sent_at);
        break;
    case AG_CONFLICT:
    case AG_EXPIRED:
        /*
         * Another record is at this offset, possibly an earlier one of this
         * daemon: read the log.
         */
        lease->at_end = false;
        break;
    case AG_UNKNOWN:
        /*
         * The first of several unknown appends counts, so that the lease is
         * not overestimated.
         */
        if (!lease->append_unknown) {
            lease->append_unknown = true;
            lease->unknown_sent_at = lease->sent_at;
        }
        lease->at_end = false;
        break;
    case AG_UNAVAILABLE:
        lease->retry_at = now_of(lease) + Lr_RETRY_USEC;
        break;
    }
}

static void
start_append(struct lr_lease *lease, const struct lr_usage *usage)
{
    static struct lc_record record;
    memset(&record, 0, sizeof(record));
    record.run = lease->options.run;
    record.need_count = lease->need_count;
    memcpy(record.needs, lease->needs, sizeof(record.needs));
    record.recent_count = lease->recent_count;
    memcpy(record.recent, lease->recent, sizeof(record.recent));
    lease->recorded_count = lease->recent_count;
    memcpy(lease->recorded, lease->recent, sizeof(lease->recorded));
    record.move_count = lease->move_count;
    memcpy(record.moves, lease->moves, sizeof(record.moves));
    lease->moves_sent = true;
    if (usage != NULL) {
        record.has_usage = true;
        record.usage = *usage;
    }
    lease->pending = record.usage;
    char *data;
    size_t len = Lc_Encode(&record, &data);
    lease->in_flight = true;
    lease->sent_at = now_of(lease);
    Ag_Append(lease->options.store, AG_LEASE, lease->end, NULL, data, len,
              on_append, lease);
    free(data);
}

/*
 * A holder whose lease has run out does not act but still tries to renew: if
 * the log still ends at its own record, no other daemon has acted since.
 */
static void
tick_holder(struct lr_lease *lease)
{
    int64_t now = now_of(lease);
    if (!lease->at_end) {
        start_read(lease);
        return;
    }
    int64_t renew_at = lease->lease_until - lease->options.lease_usec +
                       lease->options.lease_usec / Lr_RENEWALS_PER_LEASE;
    if (now >= renew_at || lr_recent_increased(lease)) {
        start_append(lease, NULL);
    }
}

/*
 * A lease counts from before its renewal was sent, and this daemon sees the
 * renewal later.  So the lease is free once this daemon has not seen the
 * log change for the whole duration of a lease.  If the log still ends at the
 * record for which the holder announced the lease's end, the lease is free at
 * that end: a later renewal would have moved the log's end, and the append
 * succeeds only if it has not moved.
 */
static bool
is_lease_free(const struct lr_lease *lease, int64_t rank_delay)
{
    int64_t now = now_of(lease);
    if (lease->end == 0) {
        /*
         * All daemons start at once, and each ranks itself first until it
         * discovers the others.
         */
        return now >= lease->started_at + Lr_DISCOVERY_USEC + rank_delay;
    }
    if (lease->peer_fence != 0 && lease->end == lease->peer_end) {
        return now >= lease->peer_until + rank_delay;
    }
    return now - lease->end_changed_at >
           lease->options.lease_usec + rank_delay;
}

static void
tick_standby(struct lr_lease *lease)
{
    int64_t now = now_of(lease);
    int64_t rank_delay =
        (int64_t)lease->options.rank(lease->options.arg) * Lr_RANK_DELAY_USEC;
    if (lease->peer_fence != 0 && now < lease->peer_until + rank_delay) {
        return;
    }
    bool is_free = is_lease_free(lease, rank_delay);
    if (lease->end >= 0 && lease->at_end && !is_free) {
        return;
    }
    if (lease->at_end && is_free &&
        now - lease->sent_at <
            lease->options.lease_usec / Lr_RENEWALS_PER_LEASE) {
        /* The log's end was confirmed recently. */
        lease->at_end = false;
        start_append(lease, NULL);
        return;
    }
    start_read(lease);
}

void
Lr_Tick(struct lr_lease *lease)
{
    int64_t now = now_of(lease);
    if (lease->stopped || lease->in_flight || now < lease->retry_at) {
        return;
    }
    if (lease->fence != 0) {
        tick_holder(lease);
    }
    else {
        tick_standby(lease);
    }
}

void
Lr_HandleNotice(struct lr_lease *lease, const struct lr_lease_notice *notice)
{
    if (lease->fence != 0 && notice->fence > lease->fence) {
        end_lease(lease);
        lease->at_end = false;
    }
    if (notice->fence < lease->peer_fence) {
        return;
    }
    /*
     * Each notice gives an upper bound for the end of the same lease; the
     * lowest bound counts.
     */
    int64_t until = now_of(lease) + notice->remaining_usec;
    if (notice->fence != lease->peer_fence ||
        notice->log_end != lease->peer_end || until < lease->peer_until) {
        lease->peer_until = until;
    }
    lease->peer_fence = notice->fence;
    lease->peer_end = notice->log_end;
}

struct lr_lease_notice
Lr_LeaseNotice(const struct lr_lease *lease)
{
    if (!Lr_Holds(lease)) {
        return lease->release_notice;
    }
    return (struct lr_lease_notice){
        .fence = lease->fence,
        .log_end = lease->end,
        .remaining_usec = lease->lease_until - now_of(lease),
    };
}

bool
Lr_RecordUsage(struct lr_lease *lease, const struct lr_usage *usage)
{
    if (lease->in_flight || !Lr_Holds(lease) || !lease->at_end) {
        return false;
    }
    struct lr_usage *slot =
        &lease->usages[(uint64_t)usage->window % Lr_WINDOWS];
    if (slot->window >= usage->window) {
        return false;
    }
    start_append(lease, usage);
    return true;
}

void
Lr_FenceRefused(struct lr_lease *lease)
{
    end_lease(lease);
    lease->at_end = false;
    lease->end_changed_at = now_of(lease);
}

/*
 * The caller repeats the call while the lease is held: an append may be in
 * progress.
 */
void
Lr_Release(struct lr_lease *lease)
{
    bool holds = Lr_Holds(lease);
    if (holds && (lease->in_flight || !lease->at_end)) {
        return;
    }
    if (holds) {
        lease->release_notice = Lr_LeaseNotice(lease);
        lease->release_notice.remaining_usec = 0;
    }
    lease->stopped = true;
    end_lease(lease);
}
