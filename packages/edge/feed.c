#include "edge/feed_internal.h"

#include <bsd/string.h>
#include <stdlib.h>
#include <string.h>

/*
 * Configurations are few: one read waits for the next, for this part of the
 * time in which it must be in force.  A store that falls silent under a read
 * is noticed when the read and its answer are overdue; what is left is for
 * asking again.  Entries change with every heartbeat, and a waiting read
 * would return for each; they are read in rounds, this part of the time in
 * which an endpoint that leaves must be known everywhere: after a round comes
 * a word to the others, a fetch, and one of each again where a host that was
 * to pass it on has frozen.
 */
#define Fe_CONFIG_PARTS 4
#define Fe_CONFIG_WAIT_USEC (500 * Ck_USEC_PER_MSEC)
#define Fe_ENTRIES_ROUNDS 5
#define Fe_ENTRIES_MOST_USEC (600 * Ck_USEC_PER_MSEC)
#define Fe_ENTRIES_LEAST_USEC (200 * Ck_USEC_PER_MSEC)
/* A store that is away is asked again after at most so many doublings. */
#define Fe_RETRY_DOUBLINGS 3
/*
 * A read because of a peer's word is answered within this; a store that then
 * still tells of something older lags behind.
 */
#define Fe_REFRESH_USEC (700 * Ck_USEC_PER_MSEC)
/* How often a daemon that does not read asks whether it should. */
#define Fe_ROLE_USEC (100 * Ck_USEC_PER_MSEC)
/* Within this it has read which others there are. */
#define Fe_MEET_USEC (100 * Ck_USEC_PER_MSEC)
/* Within this a daemon that starts among others has heard of them. */
#define Fe_JOIN_USEC (1 * Ck_USEC_PER_SEC)
/* How long the second page of a first listing waits for a peer's pack. */
#define Fe_PACK_USEC (400 * Ck_USEC_PER_MSEC)
/* Entries lapse while the store is away, and return in this time. */
#define Fe_DOUBT_USEC (2000 * Ck_USEC_PER_MSEC)
#define Fe_AWAY_USEC (1000 * Ck_USEC_PER_MSEC)
/* A store that nobody reached so lately was away, and entries have lapsed. */
#define Fe_DARK_USEC                                                          \
    ((Fe_RETRY_USEC << Fe_RETRY_DOUBLINGS) + 500 * Ck_USEC_PER_MSEC)
/* A read that waits says nothing meanwhile; so much more is a lost one. */
#define Fe_OVERDUE_USEC (1 * Ck_USEC_PER_SEC)

int
fe_compare(const struct known *a, const struct known *b)
{
    return strcmp(a->key, b->key);
}

RB_GENERATE(known_tree, known, link, fe_compare);

static void step(void *arg);

struct known *
fe_find(struct follow *follow, const char *key)
{
    struct known wanted = {.key = (char *)key};
    return RB_FIND(known_tree, &follow->known, &wanted);
}

int64_t
fe_later_of(int64_t a, int64_t b)
{
    return a > b ? a : b;
}

static int64_t
entries_every(const struct fe_feed *feed)
{
    int64_t every = feed->options.drain_usec / Fe_ENTRIES_ROUNDS;
    if (every <= 0 || every > Fe_ENTRIES_MOST_USEC) {
        return Fe_ENTRIES_MOST_USEC;
    }
    return fe_later_of(every, Fe_ENTRIES_LEAST_USEC);
}

static int64_t
config_wait(const struct fe_feed *feed)
{
    int64_t wait = feed->options.config_apply_usec / Fe_CONFIG_PARTS;
    return wait > 0 ? wait : Fe_CONFIG_WAIT_USEC;
}

static struct known *
find_or_add(struct follow *follow, const char *key)
{
    struct known *known = fe_find(follow, key);
    if (known != NULL) {
        return known;
    }
    known = calloc(1, sizeof(*known));
    if (known == NULL) {
        return NULL;
    }
    known->key = strdup(key);
    known->offset = -1;
    if (known->key == NULL) {
        free(known);
        return NULL;
    }
    struct known *other = RB_INSERT(known_tree, &follow->known, known);
    if (other != NULL) {
        free(known->key);
        free(known);
        return other;
    }
    return known;
}

static void
take_order(struct fe_feed *feed, const struct known *known)
{
    struct ro_order order;
    if (feed->options.codec->order(known->key, strlen(known->key),
                                   known->value, known->len, &order)) {
        order.number = known->offset;
        feed->options.ops->order(feed->options.arg, &order);
    }
}

static void
take_config(struct fe_feed *feed, const struct known *known)
{
    char zone[Ec_NAME_MAX];
    if (feed->options.codec->evacuation(known->key, strlen(known->key),
                                        zone)) {
        feed->options.ops->evacuation(feed->options.arg, zone,
                                      known->value != NULL);
        return;
    }
    if (known->value == NULL) {
        return;
    }
    if (!feed->options.codec->is_config(known->key, strlen(known->key))) {
        take_order(feed, known);
        return;
    }
    struct ec_config *config =
        feed->options.codec->config(known->value, known->len);
    if (config == NULL) {
        return;
    }
    if (feed->config != NULL && config->version <= feed->config->version) {
        Ec_Release(config);
        return;
    }
    Ec_Release(feed->config);
    feed->config = config;
    feed->options.ops->config(feed->options.arg, config);
}

static void
take_entry(struct fe_feed *feed, const struct known *known)
{
    struct fl_entry entry;
    if (known->value == NULL) {
        Fl_Remove(feed->options.fleet, known->key);
    }
    else if (feed->options.codec->entry(known->key, strlen(known->key),
                                        known->value, known->len, &entry)) {
        Fl_Apply(feed->options.fleet, &entry);
    }
}

/* Whether a record says the same as the one before it. */
static bool
says_the_same(const struct follow *follow, const struct known *known,
              const void *value, size_t len)
{
    if (known->value == NULL || value == NULL) {
        return known->value == NULL && value == NULL && known->offset >= 0;
    }
    if (follow->topic == AG_CONFIG) {
        return false;
    }
    const struct ag_codec *codec = follow->feed->options.codec;
    size_t key_len = strlen(known->key);
    struct fl_entry before;
    struct fl_entry after;
    bool was =
        codec->entry(known->key, key_len, known->value, known->len, &before);
    bool is = codec->entry(known->key, key_len, value, len, &after);
    if (!was || !is) {
        return was == is;
    }
    return Fl_SameEntry(&before, &after);
}

/*
 * To a daemon that has just started every entry is new.  Its number would be
 * that of the last heartbeat, ahead of everybody's; all others would fetch its
 * records, and with its number pass over removals that it never saw.  When an
 * entry last changed is not known, only that it was not after the record that
 * is listed: with an older number others would take it for what they have.
 */
static bool
first_listing(const struct follow *follow)
{
    return follow->topic == AG_ENDPOINTS && !follow->listed &&
           follow->from < 0 && follow->waiting;
}

int64_t
fe_take(struct follow *follow, const char *key, int64_t offset,
        const void *value, size_t len)
{
    struct known *known = find_or_add(follow, key);
    if (known == NULL) {
        return 0;
    }
    if (offset <= known->offset) {
        /* A change that a listing, or a peer, showed before its turn. */
        bool in_turn = offset == known->offset && offset == known->changed;
        return in_turn ? offset + 1 : 0;
    }
    int64_t news = 0;
    if (first_listing(follow)) {
        known->changed = offset;
    }
    else if (!says_the_same(follow, known, value, len)) {
        known->changed = offset;
        news = offset + 1;
    }
    free(known->value);
    known->value = NULL;
    known->len = 0;
    known->offset = offset;
    if (value != NULL) {
        known->value = malloc(len + 1);
        if (known->value == NULL) {
            return 0;
        }
        memcpy(known->value, value, len);
        known->len = len;
    }
    if (offset + 1 > follow->highest) {
        follow->highest = offset + 1;
    }
    if (follow->topic == AG_CONFIG) {
        take_config(follow->feed, known);
    }
    else {
        take_entry(follow->feed, known);
    }
    return news;
}

/*
 * A configuration stays in force whatever a listing lacks; an endpoint, or the
 * evacuation of a data centre, that it lacks has been taken back.
 */
static bool
may_vanish(const struct follow *follow, const struct known *known)
{
    char zone[Ec_NAME_MAX];
    return follow->topic == AG_ENDPOINTS ||
           follow->feed->options.codec->evacuation(known->key,
                                                   strlen(known->key), zone);
}

bool
fe_forget(struct follow *follow, struct known *known, int64_t before)
{
    if (known->value == NULL || known->offset >= before ||
        !may_vanish(follow, known)) {
        return false;
    }
    free(known->value);
    known->value = NULL;
    known->offset = before - 1;
    known->changed = known->offset;
    if (follow->topic == AG_ENDPOINTS) {
        Fl_Remove(follow->feed->options.fleet, known->key);
    }
    else {
        take_config(follow->feed, known);
    }
    return true;
}

/* Returns the offset behind the last record that says something new, or 0. */
int64_t
fe_take_records(struct follow *follow, const struct ag_result *result)
{
    int64_t news = 0;
    for (size_t i = 0; i < result->count; i++) {
        const struct ag_record *record = &result->records[i];
        char key[Ec_NAME_MAX * 2];
        if (record->key_len >= sizeof(key)) {
            continue;
        }
        memcpy(key, record->key, record->key_len);
        key[record->key_len] = '\0';
        news = fe_later_of(news, fe_take(follow, key, record->offset,
                                         record->value, record->len));
        struct known *known = fe_find(follow, key);
        if (known != NULL) {
            known->listed = true;
        }
    }
    return news;
}

static void
set_reached(struct fe_feed *feed, bool reached)
{
    if (feed->reached != reached) {
        feed->reached = reached;
        feed->options.ops->store(feed->options.arg, reached);
    }
}

/* The store answers again, here or at a daemon that reads for this one. */
void
fe_end_failure(struct follow *follow)
{
    struct fe_feed *feed = follow->feed;
    int64_t now = Ck_Now(feed->options.clock);
    if (follow->failed_at != 0 && follow->topic == AG_ENDPOINTS &&
        now - follow->failed_at > Fe_AWAY_USEC && follow->dark_at != 0 &&
        now - follow->dark_at < Fe_DARK_USEC) {
        Fl_Doubt(feed->options.fleet, Fe_DOUBT_USEC);
    }
    follow->failed_at = 0;
    follow->failures = 0;
}

void
fe_note_answer(struct follow *follow)
{
    struct fe_feed *feed = follow->feed;
    follow->waiting = false;
    fe_end_failure(follow);
    follow->answered_at = Ck_Now(feed->options.clock);
    set_reached(feed, feed->entry_follow.failed_at == 0 &&
                          feed->config_follow.failed_at == 0);
}

void
fe_note_failure(struct follow *follow)
{
    int64_t now = Ck_Now(follow->feed->options.clock);
    follow->waiting = false;
    if (follow->failed_at == 0) {
        follow->failed_at =
            follow->answered_at != 0 ? follow->answered_at : now;
    }
    if (!follow->feed->options.ops->others_reach(follow->feed->options.arg)) {
        follow->dark_at = now;
    }
    set_reached(follow->feed, false);
    Lp_TimerSet(follow->timer, Fe_RETRY_USEC << follow->failures);
    if (follow->failures < Fe_RETRY_DOUBLINGS) {
        follow->failures++;
    }
}

static void
on_read(void *arg, const struct ag_result *result)
{
    struct follow *follow = arg;
    if (result->status == AG_EXPIRED) {
        follow->waiting = false;
        follow->from = -1;
        Lp_TimerSet(follow->timer, 0);
        return;
    }
    if (result->status != AG_OK) {
        fe_note_failure(follow);
        return;
    }
    fe_note_answer(follow);
    follow->changed =
        fe_later_of(follow->changed, fe_take_records(follow, result));
    if (result->count > 0) {
        follow->from = result->records[result->count - 1].offset + 1;
    }
    bool behind = follow->from < result->end && result->count > 0;
    Lp_TimerSet(follow->timer, follow->topic == AG_CONFIG || behind
                                   ? 0
                                   : entries_every(follow->feed));
}

/*
 * A daemon that starts among others gets from one of them, in one piece, what
 * the store lists in many pages.  From then on it stands where that peer did:
 * should it have to read, what came later is still to be read.
 */
static void
take_pack_for_listing(struct follow *follow, int64_t now)
{
    const struct fe_options *options = &follow->feed->options;
    if (follow->listed || !follow->packed || follow->topic != AG_ENDPOINTS ||
        !options->ops->others_read(options->arg, follow->topic)) {
        return;
    }
    follow->from = follow->changed;
    follow->listed = true;
    follow->listed_at = now;
    follow->after[0] = '\0';
}

/* With the first page a daemon can serve; others may be about to be heard. */
static bool
awaits_pack(const struct follow *follow, int64_t now)
{
    const struct fe_options *options = &follow->feed->options;
    return !follow->listed && follow->after[0] != '\0' &&
           follow->topic == AG_ENDPOINTS &&
           now - follow->paged_at < Fe_PACK_USEC &&
           options->ops->others_known(options->arg);
}

/*
 * Enough others read; or this daemon has just started and has yet to hear of
 * those who do.
 */
static bool
leaves_reading(const struct follow *follow, int64_t now)
{
    const struct fe_options *options = &follow->feed->options;
    int64_t up = now - follow->feed->started_at;
    return options->ops->others_read(options->arg, follow->topic) ||
           up < Fe_MEET_USEC ||
           (up < Fe_JOIN_USEC && options->ops->others_known(options->arg));
}

static void
step(void *arg)
{
    struct follow *follow = arg;
    struct fe_feed *feed = follow->feed;
    struct ag_store *store = feed->options.store;
    int64_t now = Ck_Now(feed->options.clock);
    take_pack_for_listing(follow, now);
    if (awaits_pack(follow, now)) {
        Lp_TimerSet(follow->timer, Fe_ROLE_USEC);
        return;
    }
    if (follow->from >= 0 && leaves_reading(follow, now)) {
        fe_end_failure(follow);
        follow->waiting = false;
        Lp_TimerSet(follow->timer, Fe_ROLE_USEC);
        return;
    }
    if (now - follow->answered_at > Fe_RELIST_USEC &&
        follow->topic == AG_ENDPOINTS) {
        follow->from = -1;
    }
    fe_number_listing(follow, now);
    follow->waiting = true;
    if (follow->from < 0) {
        Ag_Newest(store, follow->topic,
                  follow->after[0] == '\0' ? NULL : follow->after,
                  fe_on_listed, follow);
        return;
    }
    Ag_Read(store, follow->topic, follow->from,
            follow->topic == AG_CONFIG ? config_wait(feed) : 0, on_read,
            follow);
}

/*
 * A configuration may be hundreds of kilobytes, and the daemon that read it
 * first is one of hundreds: fetched from there by all others at once it takes
 * seconds, in which requests are served by the older one, and removals of
 * endpoints wait behind it.  The store has the bandwidth, for one call each.
 */
bool
Fe_Refresh(struct fe_feed *feed)
{
    struct follow *follow = &feed->config_follow;
    int64_t now = Ck_Now(feed->options.clock);
    bool lately = now - follow->refreshed_at < Fe_REFRESH_USEC;
    if (follow->failed_at != 0) {
        return false;
    }
    if (follow->waiting || (lately && follow->from < 0)) {
        return lately;
    }
    if (lately) {
        return false;
    }
    follow->refreshed_at = now;
    follow->from = -1;
    follow->after[0] = '\0';
    Lp_TimerSet(follow->timer, 0);
    return true;
}

static bool
follow_start(struct fe_feed *feed, struct follow *follow, enum ag_topic topic)
{
    follow->feed = feed;
    follow->topic = topic;
    follow->from = -1;
    follow->changed = -1;
    RB_INIT(&follow->known);
    follow->timer = Lp_TimerCreate(feed->options.loop, step, follow);
    if (follow->timer == NULL) {
        return false;
    }
    Lp_TimerSet(follow->timer, 0);
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
    if (!follow_start(feed, &feed->config_follow, AG_CONFIG) ||
        !follow_start(feed, &feed->entry_follow, AG_ENDPOINTS)) {
        Fe_Destroy(feed);
        return NULL;
    }
    return feed;
}

static void
follow_stop(struct follow *follow)
{
    Lp_TimerDestroy(follow->timer);
    struct known *known;
    struct known *next;
    RB_FOREACH_SAFE (known, known_tree, &follow->known, next) {
        RB_REMOVE(known_tree, &follow->known, known);
        free(known->key);
        free(known->value);
        free(known);
    }
}

/* Answers of the store must not come any more. */
void
Fe_Destroy(struct fe_feed *feed)
{
    if (feed != NULL) {
        follow_stop(&feed->config_follow);
        follow_stop(&feed->entry_follow);
        Ec_Release(feed->config);
        free(feed);
    }
}

/* The configuration in force; NULL before the first. */
struct ec_config *
Fe_Config(const struct fe_feed *feed)
{
    return feed->config;
}

size_t
Fe_ConfigBytes(const struct fe_feed *feed)
{
    const struct follow *follow = &feed->config_follow;
    size_t most = 0;
    struct known *known;
    RB_FOREACH (known, known_tree, (struct known_tree *)&follow->known) {
        most = known->len > most ? known->len : most;
    }
    return feed->config == NULL ? 0 : most;
}

bool
Fe_Reads(const struct fe_feed *feed, enum ag_topic topic)
{
    const struct follow *follow =
        topic == AG_CONFIG ? &feed->config_follow : &feed->entry_follow;
    int64_t patience = topic == AG_CONFIG ? config_wait(feed) + Fe_OVERDUE_USEC
                                          : 2 * Fe_ENTRIES_MOST_USEC;
    return follow->failed_at == 0 && follow->answered_at != 0 &&
           Ck_Now(feed->options.clock) - follow->answered_at < patience;
}

bool
Fe_Current(const struct fe_feed *feed)
{
    return Fe_Reads(feed, AG_CONFIG) ||
           feed->options.ops->others_read(feed->options.arg, AG_CONFIG);
}

bool
Fe_Reached(const struct fe_feed *feed)
{
    return feed->reached;
}

int64_t
Fe_Changed(const struct fe_feed *feed, enum ag_topic topic)
{
    return topic == AG_CONFIG ? feed->config_follow.changed
                              : feed->entry_follow.changed;
}
