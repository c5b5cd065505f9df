/* Applies records from the store or from peers. */
#include <stdlib.h>
#include <string.h>

#include "edge/feed_internal.h"

int
fe_compare(const struct cached *a, const struct cached *b)
{
    return strcmp(a->key, b->key);
}

RB_GENERATE(record_tree, cached, link, fe_compare);

struct cached *
fe_find(struct reader *reader, const char *key)
{
    struct cached wanted = {.key = (char *)key};
    return RB_FIND(record_tree, &reader->records, &wanted);
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
