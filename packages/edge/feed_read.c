/* Decides when to read the store, and reads it. */
#include "edge/feed_internal.h"

/*
 * The configuration changes rarely, so a read waits in the store for the next
 * change, for this fraction of the time in which a configuration must be in
 * force. If the store hangs during such a read, the failure is noticed when
 * read and answer are overdue; the rest of that time is left for retrying.
 *
 * Entries change with every heartbeat, so a waiting read would return for each
 * of those. They are polled instead, at this fraction of the time in which a
 * stopping endpoint must be known to all daemons. After a poll come a message
 * to the peers and a fetch by them, and each of the two once more if a host
 * that was to pass the state on has frozen.
 */
#define Fe_CONFIG_WAIT_DIVISOR 4
#define Fe_CONFIG_WAIT_USEC (500 * Ck_USEC_PER_MSEC)
#define Fe_ENTRIES_DIVISOR 5
#define Fe_ENTRIES_MAX_USEC (600 * Ck_USEC_PER_MSEC)
#define Fe_ENTRIES_MIN_USEC (200 * Ck_USEC_PER_MSEC)
/* The retry delay is doubled at most this many times. */
#define Fe_RETRY_DOUBLINGS_MAX 3
/*
 * A read that was triggered by a peer's message completes within this time. If
 * the store then still returns an older configuration, the store lags behind.
 */
#define Fe_REFRESH_USEC (700 * Ck_USEC_PER_MSEC)
/* Interval at which a daemon that does not read checks whether it should. */
#define Fe_ROLE_CHECK_USEC (100 * Ck_USEC_PER_MSEC)
/* Within this time a starting daemon has read the addresses of other hosts. */
#define Fe_DISCOVERY_USEC (100 * Ck_USEC_PER_MSEC)
/*
 * Within this time a starting daemon has received messages from other hosts.
 */
#define Fe_FIRST_MESSAGES_USEC (1 * Ck_USEC_PER_SEC)
/* Time that the second page of a first listing waits for a peer's state. */
#define Fe_PEER_STATE_USEC (400 * Ck_USEC_PER_MSEC)
/*
 * Entries expire while the store is down and are written again within this
 * time after its return.
 */
#define Fe_HOLD_REMOVALS_USEC (2000 * Ck_USEC_PER_MSEC)
#define Fe_OUTAGE_MIN_USEC (1000 * Ck_USEC_PER_MSEC)
/*
 * The store counts as down for all daemons, and entries as expired, if no
 * daemon reached it up to this long ago.
 */
#define Fe_OUTAGE_RECENT_USEC                                                 \
    ((Fe_RETRY_USEC << Fe_RETRY_DOUBLINGS_MAX) + 500 * Ck_USEC_PER_MSEC)
/* A waiting read that takes this much longer than its wait is lost. */
#define Fe_OVERDUE_USEC (1 * Ck_USEC_PER_SEC)

static int64_t
entries_interval(const struct fe_feed *feed)
{
    int64_t interval = feed->options.drain_usec / Fe_ENTRIES_DIVISOR;
    if (interval <= 0 || interval > Fe_ENTRIES_MAX_USEC) {
        return Fe_ENTRIES_MAX_USEC;
    }
    return fe_max(interval, Fe_ENTRIES_MIN_USEC);
}

static int64_t
config_wait(const struct fe_feed *feed)
{
    int64_t wait = feed->options.config_apply_usec / Fe_CONFIG_WAIT_DIVISOR;
    return wait > 0 ? wait : Fe_CONFIG_WAIT_USEC;
}

static void
set_reached(struct fe_feed *feed, bool reached)
{
    if (feed->reached != reached) {
        feed->reached = reached;
        feed->options.ops->store(feed->options.arg, reached);
    }
}

void
fe_end_failure(struct reader *reader)
{
    struct fe_feed *feed = reader->feed;
    int64_t now = Ck_Now(feed->options.clock);
    if (reader->failing_since != 0 && reader->topic == AG_ENDPOINTS &&
        now - reader->failing_since > Fe_OUTAGE_MIN_USEC &&
        reader->all_failed_at != 0 &&
        now - reader->all_failed_at < Fe_OUTAGE_RECENT_USEC) {
        Fl_HoldRemovals(feed->options.fleet, Fe_HOLD_REMOVALS_USEC);
    }
    reader->failing_since = 0;
    reader->failures = 0;
}

void
fe_note_success(struct reader *reader)
{
    struct fe_feed *feed = reader->feed;
    reader->reading = false;
    fe_end_failure(reader);
    reader->answered_at = Ck_Now(feed->options.clock);
    set_reached(feed, feed->entry_reader.failing_since == 0 &&
                          feed->config_reader.failing_since == 0);
}

void
fe_note_failure(struct reader *reader)
{
    int64_t now = Ck_Now(reader->feed->options.clock);
    reader->reading = false;
    if (reader->failing_since == 0) {
        reader->failing_since =
            reader->answered_at != 0 ? reader->answered_at : now;
    }
    if (!reader->feed->options.ops->peers_reach(reader->feed->options.arg)) {
        reader->all_failed_at = now;
    }
    set_reached(reader->feed, false);
    Lp_TimerSet(reader->timer, Fe_RETRY_USEC << reader->failures);
    if (reader->failures < Fe_RETRY_DOUBLINGS_MAX) {
        reader->failures++;
    }
}

static void
on_read(void *arg, const struct ag_result *result)
{
    struct reader *reader = arg;
    if (result->status == AG_EXPIRED) {
        reader->reading = false;
        reader->next_offset = -1;
        Lp_TimerSet(reader->timer, 0);
        return;
    }
    if (result->status != AG_OK) {
        fe_note_failure(reader);
        return;
    }
    fe_note_success(reader);
    reader->changes_end =
        fe_max(reader->changes_end, fe_apply_records(reader, result));
    if (result->count > 0) {
        reader->next_offset = result->records[result->count - 1].offset + 1;
    }
    bool behind = reader->next_offset < result->end && result->count > 0;
    Lp_TimerSet(reader->timer, reader->topic == AG_CONFIG || behind
                                   ? 0
                                   : entries_interval(reader->feed));
}

/*
 * A daemon that starts among others gets from a peer, in one response, what
 * the store lists in many pages. It continues from the offset of that peer: if
 * it has to read the store later, it reads the records from there on.
 */
static void
use_state_for_listing(struct reader *reader, int64_t now)
{
    const struct fe_options *options = &reader->feed->options;
    if (reader->listed || !reader->state_applied ||
        reader->topic != AG_ENDPOINTS ||
        !options->ops->peers_read(options->arg, reader->topic)) {
        return;
    }
    reader->next_offset = reader->changes_end;
    reader->listed = true;
    reader->listed_at = now;
    reader->list_after[0] = '\0';
}

/*
 * A daemon can serve with the first page of a listing, and the first messages
 * of peers may be about to arrive.
 */
static bool
awaits_peer_state(const struct reader *reader, int64_t now)
{
    const struct fe_options *options = &reader->feed->options;
    return !reader->listed && reader->list_after[0] != '\0' &&
           reader->topic == AG_ENDPOINTS &&
           now - reader->first_page_at < Fe_PEER_STATE_USEC &&
           options->ops->peers_known(options->arg);
}

/*
 * Enough peers read the topic, or this daemon has just started and their
 * messages have yet to arrive.
 */
static bool
leaves_reading_to_peers(const struct reader *reader, int64_t now)
{
    const struct fe_options *options = &reader->feed->options;
    int64_t up_usec = now - reader->feed->started_at;
    return options->ops->peers_read(options->arg, reader->topic) ||
           up_usec < Fe_DISCOVERY_USEC ||
           (up_usec < Fe_FIRST_MESSAGES_USEC &&
            options->ops->peers_known(options->arg));
}

void
fe_on_timer(void *arg)
{
    struct reader *reader = arg;
    struct fe_feed *feed = reader->feed;
    struct ag_store *store = feed->options.store;
    int64_t now = Ck_Now(feed->options.clock);
    use_state_for_listing(reader, now);
    if (awaits_peer_state(reader, now)) {
        Lp_TimerSet(reader->timer, Fe_ROLE_CHECK_USEC);
        return;
    }
    if (reader->next_offset >= 0 && leaves_reading_to_peers(reader, now)) {
        fe_end_failure(reader);
        reader->reading = false;
        Lp_TimerSet(reader->timer, Fe_ROLE_CHECK_USEC);
        return;
    }
    if (now - reader->answered_at > Fe_RELIST_USEC &&
        reader->topic == AG_ENDPOINTS) {
        reader->next_offset = -1;
    }
    fe_publish_listing(reader, now);
    reader->reading = true;
    if (reader->next_offset < 0) {
        Ag_Newest(store, reader->topic,
                  reader->list_after[0] == '\0' ? NULL : reader->list_after,
                  fe_on_listed, reader);
        return;
    }
    Ag_Read(store, reader->topic, reader->next_offset,
            reader->topic == AG_CONFIG ? config_wait(feed) : 0, on_read,
            reader);
}

/*
 * A configuration may be hundreds of kilobytes. If hundreds of daemons fetch
 * it from the one that read it first, that takes seconds. Meanwhile requests
 * are served by the older configuration, and removals of endpoints wait behind
 * it. The store has the bandwidth, at one call for each daemon.
 */
bool
Fe_Refresh(struct fe_feed *feed)
{
    struct reader *reader = &feed->config_reader;
    int64_t now = Ck_Now(feed->options.clock);
    bool refreshed_recently = now - reader->refreshed_at < Fe_REFRESH_USEC;
    if (reader->failing_since != 0) {
        return false;
    }
    if (reader->reading || (refreshed_recently && reader->next_offset < 0)) {
        return refreshed_recently;
    }
    if (refreshed_recently) {
        return false;
    }
    reader->refreshed_at = now;
    reader->next_offset = -1;
    reader->list_after[0] = '\0';
    Lp_TimerSet(reader->timer, 0);
    return true;
}

bool
Fe_Reads(const struct fe_feed *feed, enum ag_topic topic)
{
    const struct reader *reader =
        topic == AG_CONFIG ? &feed->config_reader : &feed->entry_reader;
    int64_t timeout = topic == AG_CONFIG ? config_wait(feed) + Fe_OVERDUE_USEC
                                         : 2 * Fe_ENTRIES_MAX_USEC;
    return reader->failing_since == 0 && reader->answered_at != 0 &&
           Ck_Now(feed->options.clock) - reader->answered_at < timeout;
}
