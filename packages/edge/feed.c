#include "edge/feed_internal.h"

#include <stdlib.h>

int64_t
fe_max(int64_t a, int64_t b)
{
    return a > b ? a : b;
}

static bool
start_reader(struct fe_feed *feed, struct reader *reader, enum ag_topic topic)
{
    reader->feed = feed;
    reader->topic = topic;
    reader->next_offset = -1;
    reader->changes_end = -1;
    RB_INIT(&reader->records);
    reader->timer = Lp_TimerCreate(feed->options.loop, fe_on_timer, reader);
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
