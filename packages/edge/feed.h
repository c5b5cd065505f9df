/*
 * Keeps the configuration and the endpoints up to date: from the store while
 * it answers, from peers while it does not.  What was learned is never
 * unlearned by an older reading, wherever it comes from.
 */
#ifndef EDGE_FEED_H
#define EDGE_FEED_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "edge/config.h"
#include "edge/fleet.h"
#include "edge/store.h"
#include "web/loop.h"

#ifdef __cplusplus
extern "C" {
#endif

struct fe_feed;

struct fe_ops {
    void (*config)(void *arg, struct ec_config *config);
    void (*order)(void *arg, const struct ro_order *order);
    /* A data centre is to be sent nothing more, or that is taken back. */
    void (*evacuation)(void *arg, const char *zone, bool asked);
    void (*store)(void *arg, bool reached);
    /*
     * Whether another daemon reaches the store.  Then it was not the store
     * that was away, and no entries have lapsed.
     */
    bool (*others_reach)(void *arg);
    /*
     * Whether enough other daemons read the topic.  Every read is a call to
     * the store; what one daemon has read all others learn from it.
     */
    bool (*others_read)(void *arg, enum ag_topic topic);
    /* Whether there are so many daemons that some may soon be heard. */
    bool (*others_known)(void *arg);
};

struct fe_options {
    struct lp_loop *loop;
    const struct ck_clock *clock;
    struct ag_store *store;
    const struct ag_codec *codec;
    struct fl_fleet *fleet;
    /* Within this of its word nothing may be sent to an endpoint that leaves;
       0: not known. */
    int64_t drain_usec;
    /* Within this a configuration must be in force; 0: not known. */
    int64_t config_apply_usec;
    const struct fe_ops *ops;
    void *arg;
};

struct fe_feed *Fe_Create(const struct fe_options *options);
void Fe_Destroy(struct fe_feed *feed);
struct ec_config *Fe_Config(const struct fe_feed *feed);
/* Whether the store was reached so recently that nothing newer is unread. */
bool Fe_Current(const struct fe_feed *feed);
bool Fe_Reached(const struct fe_feed *feed);
/*
 * Somebody knows a newer configuration.  True: it is being read from the
 * store; false: it has to come from whoever knows it.
 */
bool Fe_Refresh(struct fe_feed *feed);
/* Bytes of the largest record of the configuration; 0: none is in force. */
size_t Fe_ConfigBytes(const struct fe_feed *feed);
/* Whether this daemon reads the topic itself, and is answered. */
bool Fe_Reads(const struct fe_feed *feed, enum ag_topic topic);
/*
 * Offset behind the last change that is known; heartbeats that change
 * nothing do not count.
 */
int64_t Fe_Changed(const struct fe_feed *feed, enum ag_topic topic);

/* What has changed since, packed for a peer that has less. */
size_t Fe_Pack(const struct fe_feed *feed, int64_t config_from,
               int64_t entries_from, char **out);
/* Whether bytes look like a pack as it is, not deflated. */
bool Fe_IsPack(const char *data, size_t len);
void Fe_Unpack(struct fe_feed *feed, const char *data, size_t len);

#ifdef __cplusplus
}
#endif

#endif
