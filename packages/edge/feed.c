#include "edge/feed.h"

#include <bsd/string.h>
#include <bsd/sys/tree.h>
#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

/*
 * Configurations are few and must be in force in two seconds: one read waits
 * for the next.  Entries change with every heartbeat, and a waiting read
 * would return for each; they are read in rounds, which leaves more than half
 * of a drain bound of two seconds.
 */
#define Fe_CONFIG_WAIT_USEC (5 * Ck_USEC_PER_SEC)
#define Fe_ENTRIES_EVERY_USEC (600 * Ck_USEC_PER_MSEC)
#define Fe_RETRY_USEC (250 * Ck_USEC_PER_MSEC)
/* How often a daemon that does not read asks whether it should. */
#define Fe_ROLE_USEC (100 * Ck_USEC_PER_MSEC)
/* After such a pause a listing is shorter than what was missed. */
#define Fe_RELIST_USEC (3 * Ck_USEC_PER_SEC)
/* Entries lapse while the store is away, and return in this time. */
#define Fe_DOUBT_USEC (2000 * Ck_USEC_PER_MSEC)
#define Fe_AWAY_USEC (1000 * Ck_USEC_PER_MSEC)
/* A read that waits says nothing meanwhile; a second more is a lost one. */
#define Fe_CURRENT_USEC (Fe_CONFIG_WAIT_USEC + 1 * Ck_USEC_PER_SEC)

struct known {
    RB_ENTRY(known) link;
    char *key;
    int64_t offset;
    int64_t changed; /* offset of the last record that said something new */
    char *value;     /* NULL: removed */
    size_t len;
    bool listed;
};

RB_HEAD(known_tree, known);

struct follow {
    struct fe_feed *feed;
    enum ag_topic topic;
    struct lp_timer *timer;
    int64_t from;    /* next offset to read; -1: list first */
    int64_t highest; /* no reading that ends before it is believed */
    int64_t changed; /* behind the last change; -1: nothing is known */
    int64_t base;    /* removals before it may be unknown */
    bool listed;     /* a whole listing was read */
    int64_t listed_at;
    int64_t listing_end;
    int64_t answered_at;
    bool waiting;      /* a read is under way */
    int64_t failed_at; /* since when it fails; 0: it does not */
    char after[Ec_NAME_MAX];
    struct known_tree known;
};

struct fe_feed {
    struct fe_options options;
    struct ec_config *config;
    struct follow config_follow;
    struct follow entry_follow;
    bool reached;
};

static int
known_compare(const struct known *a, const struct known *b)
{
    return strcmp(a->key, b->key);
}

RB_PROTOTYPE(known_tree, known, link, known_compare);
RB_GENERATE(known_tree, known, link, known_compare);

static void step(void *arg);

static struct known *
find(struct follow *follow, const char *key)
{
    struct known wanted = {.key = (char *)key};
    return RB_FIND(known_tree, &follow->known, &wanted);
}

static struct known *
find_or_add(struct follow *follow, const char *key)
{
    struct known *known = find(follow, key);
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
    RB_INSERT(known_tree, &follow->known, known);
    return known;
}

static void
take_config(struct fe_feed *feed, const struct known *known)
{
    if (known->value == NULL ||
        !feed->options.codec->is_config(known->key, strlen(known->key))) {
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
 * To a daemon that has just started every entry is new.  Its numbers would be
 * those of the last heartbeats, ahead of everybody's; all others would fetch
 * its records, and with its number pass over removals that it never saw.
 */
static bool
first_listing(const struct follow *follow)
{
    return follow->topic == AG_ENDPOINTS && !follow->listed &&
           follow->from < 0 && follow->waiting;
}

static void
take(struct follow *follow, const char *key, int64_t offset, const void *value,
     size_t len)
{
    struct known *known = find_or_add(follow, key);
    if (known == NULL) {
        return;
    }
    known->listed = true;
    if (offset <= known->offset) {
        return;
    }
    if (first_listing(follow)) {
        known->changed = 0;
    }
    else if (!says_the_same(follow, known, value, len)) {
        known->changed = offset;
        if (offset + 1 > follow->changed) {
            follow->changed = offset + 1;
        }
    }
    free(known->value);
    known->value = NULL;
    known->len = 0;
    known->offset = offset;
    if (value != NULL) {
        known->value = malloc(len + 1);
        if (known->value == NULL) {
            return;
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
}

static void
take_records(struct follow *follow, const struct ag_result *result)
{
    for (size_t i = 0; i < result->count; i++) {
        const struct ag_record *record = &result->records[i];
        char key[Ec_NAME_MAX * 2];
        if (record->key_len >= sizeof(key)) {
            continue;
        }
        memcpy(key, record->key, record->key_len);
        key[record->key_len] = '\0';
        take(follow, key, record->offset, record->value, record->len);
    }
}

static void
set_reached(struct fe_feed *feed, bool reached)
{
    if (feed->reached != reached) {
        feed->reached = reached;
        feed->options.ops->store(feed->options.arg, reached);
    }
}

static void
note_answer(struct follow *follow)
{
    struct fe_feed *feed = follow->feed;
    int64_t now = Ck_Now(feed->options.clock);
    follow->waiting = false;
    if (follow->failed_at != 0 && follow->topic == AG_ENDPOINTS &&
        now - follow->failed_at > Fe_AWAY_USEC &&
        !feed->options.ops->others_reach(feed->options.arg)) {
        Fl_Doubt(feed->options.fleet, Fe_DOUBT_USEC);
    }
    follow->failed_at = 0;
    follow->answered_at = now;
    set_reached(feed, feed->entry_follow.failed_at == 0 &&
                          feed->config_follow.failed_at == 0);
}

static void
note_failure(struct follow *follow)
{
    int64_t now = Ck_Now(follow->feed->options.clock);
    follow->waiting = false;
    if (follow->failed_at == 0) {
        follow->failed_at =
            follow->answered_at != 0 ? follow->answered_at : now;
    }
    set_reached(follow->feed, false);
    Lp_TimerSet(follow->timer, Fe_RETRY_USEC);
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
        note_failure(follow);
        return;
    }
    note_answer(follow);
    take_records(follow, result);
    if (result->count > 0) {
        follow->from = result->records[result->count - 1].offset + 1;
    }
    bool behind = follow->from < result->end && result->count > 0;
    Lp_TimerSet(follow->timer, follow->topic == AG_CONFIG || behind
                                   ? 0
                                   : Fe_ENTRIES_EVERY_USEC);
}

/* What a whole listing lacks was removed, unless it is newer than that. */
static void
end_listing(struct follow *follow)
{
    struct known *known;
    RB_FOREACH (known, known_tree, &follow->known) {
        if (!known->listed && known->value != NULL &&
            known->offset < follow->listing_end &&
            follow->topic == AG_ENDPOINTS) {
            free(known->value);
            known->value = NULL;
            known->offset = follow->listing_end - 1;
            known->changed = known->offset;
            if (follow->changed < follow->listing_end) {
                follow->changed = follow->listing_end;
            }
            Fl_Remove(follow->feed->options.fleet, known->key);
        }
    }
    follow->from = follow->listing_end;
    follow->base = follow->listing_end;
    follow->listed = true;
    follow->listed_at = Ck_Now(follow->feed->options.clock);
    if (follow->changed < 0) {
        follow->changed = 0;
    }
    follow->after[0] = '\0';
}

static void
begin_listing(struct follow *follow, int64_t end)
{
    struct known *known;
    RB_FOREACH (known, known_tree, &follow->known) {
        known->listed = false;
    }
    follow->listing_end = end;
}

static void
on_listed(void *arg, const struct ag_result *result)
{
    struct follow *follow = arg;
    if (result->status != AG_OK) {
        follow->after[0] = '\0';
        note_failure(follow);
        return;
    }
    note_answer(follow);
    follow->waiting = true;
    if (follow->after[0] == '\0') {
        if (result->end < follow->highest) {
            /* A reading from before what is known already. */
            Lp_TimerSet(follow->timer, Fe_RETRY_USEC);
            return;
        }
        begin_listing(follow, result->end);
    }
    take_records(follow, result);
    if (result->more && result->count > 0) {
        const struct ag_record *last = &result->records[result->count - 1];
        size_t len = last->key_len < sizeof(follow->after) - 1
                         ? last->key_len
                         : sizeof(follow->after) - 1;
        memcpy(follow->after, last->key, len);
        follow->after[len] = '\0';
    }
    else {
        end_listing(follow);
    }
    Lp_TimerSet(follow->timer, 0);
}

/*
 * Whoever still reads some seconds after its listing does so because nobody
 * else does: then its listing is the newest that there is.
 */
static void
number_listing(struct follow *follow, int64_t now)
{
    if (follow->from >= 0 && follow->changed < follow->base &&
        now - follow->listed_at > Fe_RELIST_USEC) {
        follow->changed = follow->base;
    }
}

static void
step(void *arg)
{
    struct follow *follow = arg;
    struct fe_feed *feed = follow->feed;
    struct ag_store *store = feed->options.store;
    int64_t now = Ck_Now(feed->options.clock);
    if (follow->from >= 0 && follow->failed_at == 0 &&
        feed->options.ops->others_read(feed->options.arg, follow->topic)) {
        Lp_TimerSet(follow->timer, Fe_ROLE_USEC);
        return;
    }
    if (now - follow->answered_at > Fe_RELIST_USEC &&
        follow->topic == AG_ENDPOINTS) {
        follow->from = -1;
    }
    number_listing(follow, now);
    follow->waiting = true;
    if (follow->from < 0) {
        store->ops->newest(store, follow->topic,
                           follow->after[0] == '\0' ? NULL : follow->after,
                           on_listed, follow);
        return;
    }
    store->ops->read(store, follow->topic, follow->from,
                     follow->topic == AG_CONFIG ? Fe_CONFIG_WAIT_USEC : 0,
                     on_read, follow);
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

bool
Fe_Reads(const struct fe_feed *feed, enum ag_topic topic)
{
    const struct follow *follow =
        topic == AG_CONFIG ? &feed->config_follow : &feed->entry_follow;
    int64_t patience =
        topic == AG_CONFIG ? Fe_CURRENT_USEC : 2 * Fe_ENTRIES_EVERY_USEC;
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

static size_t
count_known(const struct follow *follow, int64_t from)
{
    size_t count = 0;
    struct known *known;
    RB_FOREACH (known, known_tree, (struct known_tree *)&follow->known) {
        count += known->changed >= from;
    }
    return count;
}

static void
pack_follow(msgpack_packer *packer, const struct follow *follow, int64_t from)
{
    bool full = from < follow->base;
    from = full ? 0 : from;
    msgpack_pack_int64(packer, follow->changed);
    msgpack_pack_int64(packer, follow->base);
    msgpack_pack_int(packer, full);
    msgpack_pack_array(packer, count_known(follow, from));
    struct known *known;
    RB_FOREACH (known, known_tree, (struct known_tree *)&follow->known) {
        if (known->changed < from) {
            continue;
        }
        size_t key_len = strlen(known->key);
        msgpack_pack_array(packer, 3);
        msgpack_pack_str(packer, key_len);
        msgpack_pack_str_body(packer, known->key, key_len);
        msgpack_pack_int64(packer, known->changed);
        if (known->value == NULL) {
            msgpack_pack_nil(packer);
        }
        else {
            msgpack_pack_bin(packer, known->len);
            msgpack_pack_bin_body(packer, known->value, known->len);
        }
    }
}

/*
 * [changed, base, full, records] of the configuration and of the endpoints.
 * Whoever knows less than the last listing here gets all: a removal before it
 * may not be known here, and shows only by what is missing.
 */
size_t
Fe_Pack(const struct fe_feed *feed, int64_t config_from, int64_t entries_from,
        char **out)
{
    msgpack_sbuffer buffer;
    msgpack_sbuffer_init(&buffer);
    msgpack_packer packer;
    msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
    msgpack_pack_array(&packer, 8);
    pack_follow(&packer, &feed->config_follow, config_from);
    pack_follow(&packer, &feed->entry_follow, entries_from);
    size_t len = buffer.size;
    *out = msgpack_sbuffer_release(&buffer);
    return len;
}

static void
unpack_record(struct follow *follow, const msgpack_object *record)
{
    if (record->type != MSGPACK_OBJECT_ARRAY || record->via.array.size != 3) {
        return;
    }
    const msgpack_object *part = record->via.array.ptr;
    char key[Ec_NAME_MAX * 2];
    if (part[0].type != MSGPACK_OBJECT_STR ||
        part[0].via.str.size >= sizeof(key) ||
        part[1].type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
        return;
    }
    memcpy(key, part[0].via.str.ptr, part[0].via.str.size);
    key[part[0].via.str.size] = '\0';
    bool has = part[2].type == MSGPACK_OBJECT_BIN;
    take(follow, key, (int64_t)part[1].via.u64,
         has ? part[2].via.bin.ptr : NULL, has ? part[2].via.bin.size : 0);
}

static int64_t
get_number(const msgpack_object *object)
{
    return object->type == MSGPACK_OBJECT_POSITIVE_INTEGER
               ? (int64_t)object->via.u64
               : 0;
}

/* What a whole pack lacks was removed, unless it is newer than the pack. */
static void
remove_unlisted(struct follow *follow, int64_t before)
{
    struct known *known;
    RB_FOREACH (known, known_tree, &follow->known) {
        if (known->listed || known->value == NULL || known->offset >= before ||
            follow->topic != AG_ENDPOINTS) {
            continue;
        }
        free(known->value);
        known->value = NULL;
        Fl_Remove(follow->feed->options.fleet, known->key);
    }
}

static void
unpack_follow(struct follow *follow, const msgpack_object *part)
{
    int64_t changed = get_number(&part[0]);
    int64_t base = get_number(&part[1]);
    bool full = get_number(&part[2]) != 0;
    int64_t had = follow->changed;
    const msgpack_object *records = &part[3];
    if (records->type != MSGPACK_OBJECT_ARRAY) {
        return;
    }
    struct known *known;
    RB_FOREACH (known, known_tree, &follow->known) {
        known->listed = false;
    }
    for (size_t i = 0; i < records->via.array.size; i++) {
        unpack_record(follow, &records->via.array.ptr[i]);
    }
    if (full && had < base) {
        remove_unlisted(follow, base);
        follow->base = base;
    }
    if (follow->changed < changed) {
        follow->changed = changed;
    }
}

/* Takes what a peer packed; bytes that make no sense are passed over. */
void
Fe_Unpack(struct fe_feed *feed, const char *data, size_t len)
{
    msgpack_unpacked unpacked;
    msgpack_unpacked_init(&unpacked);
    if (msgpack_unpack_next(&unpacked, data, len, NULL) ==
            MSGPACK_UNPACK_SUCCESS &&
        unpacked.data.type == MSGPACK_OBJECT_ARRAY &&
        unpacked.data.via.array.size == 8) {
        const msgpack_object *part = unpacked.data.via.array.ptr;
        unpack_follow(&feed->config_follow, &part[0]);
        unpack_follow(&feed->entry_follow, &part[4]);
    }
    msgpack_unpacked_destroy(&unpacked);
}
