#include "edge/feed_internal.h"

#include <bsd/string.h>
#include <stdlib.h>
#include <string.h>

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

int
fe_compare(const struct cached *a, const struct cached *b)
{
    return strcmp(a->key, b->key);
}

RB_GENERATE(record_tree, cached, link, fe_compare);

static void on_timer(void *arg);

struct cached *
fe_find(struct reader *reader, const char *key)
{
    struct cached wanted = {.key = (char *)key};
    return RB_FIND(record_tree, &reader->records, &wanted);
}

int64_t
fe_max(int64_t a, int64_t b)
{
    return a > b ? a : b;
}

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

static struct cached *
find_or_add_record(struct reader *reader, const char *key)
{
    struct cached *cached = fe_find(reader, key);
    if (cached != NULL) {
        return cached;
    }
    cached = calloc(1, sizeof(*cached));
    if (cached == NULL) {
        return NULL;
    }
    cached->key = strdup(key);
    cached->offset = -1;
    if (cached->key == NULL) {
        free(cached);
        return NULL;
    }
    struct cached *other = RB_INSERT(record_tree, &reader->records, cached);
    if (other != NULL) {
        free(cached->key);
        free(cached);
        return other;
    }
    return cached;
}

static void
apply_order(struct fe_feed *feed, const struct cached *cached)
{
    struct ro_order order;
    if (feed->options.codec->order(cached->key, strlen(cached->key),
                                   cached->value, cached->len, &order)) {
        order.number = cached->offset;
        feed->options.ops->order(feed->options.arg, &order);
    }
}

static void
apply_config(struct fe_feed *feed, const struct cached *cached)
{
    char zone[Ec_NAME_MAX];
    if (feed->options.codec->evacuation(cached->key, strlen(cached->key),
                                        zone)) {
        feed->options.ops->evacuation(feed->options.arg, zone,
                                      cached->value != NULL);
        return;
    }
    if (cached->value == NULL) {
        return;
    }
    if (!feed->options.codec->is_config(cached->key, strlen(cached->key))) {
        apply_order(feed, cached);
        return;
    }
    struct ec_config *config =
        feed->options.codec->config(cached->value, cached->len);
    if (config == NULL) {
        return;
    }
    if (feed->config != NULL && config->version <= feed->config->version) {
        Ec_Unref(config);
        return;
    }
    Ec_Unref(feed->config);
    feed->config = config;
    feed->options.ops->config(feed->options.arg, config);
}

static void
apply_entry(struct fe_feed *feed, const struct cached *cached)
{
    struct fl_entry entry;
    if (cached->value == NULL) {
        Fl_Remove(feed->options.fleet, cached->key);
    }
    else if (feed->options.codec->entry(cached->key, strlen(cached->key),
                                        cached->value, cached->len, &entry)) {
        Fl_Apply(feed->options.fleet, &entry);
    }
}

/* Whether a record has the same meaning as the cached one. */
static bool
is_unchanged(const struct reader *reader, const struct cached *cached,
             const void *value, size_t len)
{
    if (cached->value == NULL || value == NULL) {
        return cached->value == NULL && value == NULL && cached->offset >= 0;
    }
    if (reader->topic == AG_CONFIG) {
        return false;
    }
    const struct ag_codec *codec = reader->feed->options.codec;
    size_t key_len = strlen(cached->key);
    struct fl_entry before;
    struct fl_entry after;
    bool was_valid = codec->entry(cached->key, key_len, cached->value,
                                  cached->len, &before);
    bool is_valid = codec->entry(cached->key, key_len, value, len, &after);
    if (!was_valid || !is_valid) {
        return was_valid == is_valid;
    }
    return Fl_SameEntry(&before, &after);
}

/*
 * Whether this is the first listing of entries since the start. To a daemon
 * that has just started, every entry looks like a change. If the listing
 * advanced changes_end, that would be the offset of the last heartbeat, ahead
 * of all peers. They would fetch the records of this daemon, take over its
 * changes_end, and so skip removals that this daemon never saw. A listing does
 * not show when an entry last changed, only that this was not after the listed
 * record, so the change gets the offset of that record: with a lower one,
 * peers would take the entry for one that they already have.
 */
static bool
is_first_listing(const struct reader *reader)
{
    return reader->topic == AG_ENDPOINTS && !reader->listed &&
           reader->next_offset < 0 && reader->reading;
}

int64_t
fe_apply_record(struct reader *reader, const char *key, int64_t offset,
                const void *value, size_t len)
{
    struct cached *cached = find_or_add_record(reader, key);
    if (cached == NULL) {
        return 0;
    }
    if (offset <= cached->offset) {
        /*
         * A listing or a peer delivered the record before. If it is the last
         * change of its key, it counts as a change now that it is read in
         * order.
         */
        bool is_last_change =
            offset == cached->offset && offset == cached->changed;
        return is_last_change ? offset + 1 : 0;
    }
    int64_t changes_end = 0;
    if (is_first_listing(reader)) {
        cached->changed = offset;
    }
    else if (!is_unchanged(reader, cached, value, len)) {
        cached->changed = offset;
        changes_end = offset + 1;
    }
    free(cached->value);
    cached->value = NULL;
    cached->len = 0;
    cached->offset = offset;
    if (value != NULL) {
        cached->value = malloc(len + 1);
        if (cached->value == NULL) {
            return 0;
        }
        memcpy(cached->value, value, len);
        cached->len = len;
    }
    if (offset + 1 > reader->newest_end) {
        reader->newest_end = offset + 1;
    }
    if (reader->topic == AG_CONFIG) {
        apply_config(reader->feed, cached);
    }
    else {
        apply_entry(reader->feed, cached);
    }
    return changes_end;
}

/*
 * The configuration stays in force even if a listing lacks it. An endpoint, or
 * the evacuation of a data centre, that a listing lacks has been removed.
 */
static bool
is_removable(const struct reader *reader, const struct cached *cached)
{
    char zone[Ec_NAME_MAX];
    return reader->topic == AG_ENDPOINTS ||
           reader->feed->options.codec->evacuation(cached->key,
                                                   strlen(cached->key), zone);
}

bool
fe_apply_removal(struct reader *reader, struct cached *cached, int64_t before)
{
    if (cached->value == NULL || cached->offset >= before ||
        !is_removable(reader, cached)) {
        return false;
    }
    free(cached->value);
    cached->value = NULL;
    cached->offset = before - 1;
    cached->changed = cached->offset;
    if (reader->topic == AG_ENDPOINTS) {
        Fl_Remove(reader->feed->options.fleet, cached->key);
    }
    else {
        apply_config(reader->feed, cached);
    }
    return true;
}

int64_t
fe_apply_records(struct reader *reader, const struct ag_result *result)
{
    int64_t changes_end = 0;
    for (size_t i = 0; i < result->count; i++) {
        const struct ag_record *record = &result->records[i];
        char key[Ec_NAME_MAX * 2];
        if (record->key_len >= sizeof(key)) {
            continue;
        }
        memcpy(key, record->key, record->key_len);
        key[record->key_len] = '\0';
        changes_end =
            fe_max(changes_end, fe_apply_record(reader, key, record->offset,
                                                record->value, record->len));
        struct cached *cached = fe_find(reader, key);
        if (cached != NULL) {
            cached->listed = true;
        }
    }
    return changes_end;
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

static void
on_timer(void *arg)
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

static bool
start_reader(struct fe_feed *feed, struct reader *reader, enum ag_topic topic)
{
    reader->feed = feed;
    reader->topic = topic;
    reader->next_offset = -1;
    reader->changes_end = -1;
    RB_INIT(&reader->records);
    reader->timer = Lp_TimerCreate(feed->options.loop, on_timer, reader);
    if (reader->timer == NULL) {
        return false;
    }
    Lp_TimerSet(reader->timer, 0);
    return true;
}

struct fe_feed *
Fe_Create(const struct fe_options *options)
{
    struct fe_feed *feed = calloc(1, sizeof(*feed));
    if (feed == NULL) {
        return NULL;
    }
    feed->options = *options;
    feed->started_at = Ck_Now(options->clock);
    if (!start_reader(feed, &feed->config_reader, AG_CONFIG) ||
        !start_reader(feed, &feed->entry_reader, AG_ENDPOINTS)) {
        Fe_Destroy(feed);
        return NULL;
    }
    return feed;
}

static void
stop_reader(struct reader *reader)
{
    Lp_TimerDestroy(reader->timer);
    struct cached *cached;
    struct cached *next;
    RB_FOREACH_SAFE (cached, record_tree, &reader->records, next) {
        RB_REMOVE(record_tree, &reader->records, cached);
        free(cached->key);
        free(cached->value);
        free(cached);
    }
}

/* No result of the store may be delivered after this call. */
void
Fe_Destroy(struct fe_feed *feed)
{
    if (feed != NULL) {
        stop_reader(&feed->config_reader);
        stop_reader(&feed->entry_reader);
        Ec_Unref(feed->config);
        free(feed);
    }
}

/* NULL before the first configuration. */
struct ec_config *
Fe_Config(const struct fe_feed *feed)
{
    return feed->config;
}

size_t
Fe_ConfigBytes(const struct fe_feed *feed)
{
    const struct reader *reader = &feed->config_reader;
    size_t largest = 0;
    struct cached *cached;
    RB_FOREACH (cached, record_tree, (struct record_tree *)&reader->records) {
        largest = cached->len > largest ? cached->len : largest;
    }
    return feed->config == NULL ? 0 : largest;
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

bool
Fe_IsCurrent(const struct fe_feed *feed)
{
    return Fe_Reads(feed, AG_CONFIG) ||
           feed->options.ops->peers_read(feed->options.arg, AG_CONFIG);
}

bool
Fe_Reached(const struct fe_feed *feed)
{
    return feed->reached;
}

int64_t
Fe_ChangesEnd(const struct fe_feed *feed, enum ag_topic topic)
{
    return topic == AG_CONFIG ? feed->config_reader.changes_end
                              : feed->entry_reader.changes_end;
}
