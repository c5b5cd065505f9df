/*
 * Keeps the configuration and the endpoints up to date, from the store while
 * the store answers and from peers otherwise. A record is never replaced by an
 * older one, whichever source that comes from.
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
    /* The evacuation of a data centre begins ("evacuate") or ends. */
    void (*evacuation)(void *arg, const char *zone, bool evacuate);
    void (*store)(void *arg, bool reached);
    /*
     * Whether another daemon reaches the store. The store was then not down,
     * so no entries have expired.
     */
    bool (*peers_reach)(void *arg);
    /*
     * Whether enough other daemons read the topic. Each read is a call to the
     * store, and all daemons get from their peers what one of them has read.
     */
    bool (*peers_read)(void *arg, enum ag_topic topic);
    /*
     * Whether enough other daemons are known, or may be within a moment, that
     * a message from one of them is likely to arrive soon.
     */
    bool (*peers_known)(void *arg);
};

struct fe_options {
    struct lp_loop *loop;
    const struct ck_clock *clock;
    struct ag_store *store;
    const struct ag_codec *codec;
    struct fl_fleet *fleet;
    /*
     * No request may be sent to an endpoint this long after the endpoint
     * announced its stop; 0: unknown.
     */
    int64_t drain_usec;
    /* A new configuration must be in force within this time; 0: unknown. */
    int64_t config_apply_usec;
    const struct fe_ops *ops;
    void *arg;
};

struct fe_feed *Fe_Create(const struct fe_options *options);
void Fe_Destroy(struct fe_feed *feed);
struct ec_config *Fe_Config(const struct fe_feed *feed);
/*
 * Whether the configuration is read from the store, by this daemon or by
 * peers, so that no newer one can have been missed.
 */
bool Fe_IsCurrent(const struct fe_feed *feed);
bool Fe_Reached(const struct fe_feed *feed);
/*
 * To be called when a peer has a newer configuration. True: it is being read
 * from the store. False: it has to be fetched from the peer.
 */
bool Fe_Refresh(struct fe_feed *feed);
/*
 * Size of the largest configuration record; 0: no configuration is in force.
 */
size_t Fe_ConfigBytes(const struct fe_feed *feed);
/* Whether this daemon reads the topic itself and the store answers. */
bool Fe_Reads(const struct fe_feed *feed, enum ag_topic topic);
/*
 * Offset behind the last known change of the topic. A heartbeat that changes
 * nothing is no change.
 */
int64_t Fe_ChangesEnd(const struct fe_feed *feed, enum ag_topic topic);

/*
 * Packs the records that changed at or after the given offsets, for a peer
 * that has the records before them.
 */
size_t Fe_PackState(const struct fe_feed *feed, int64_t config_from,
                    int64_t entries_from, char **out);
/* Whether the bytes are a packed state that is not compressed. */
bool Fe_IsPackedState(const char *data, size_t len);
void Fe_ApplyState(struct fe_feed *feed, const char *data, size_t len);

#ifdef __cplusplus
}
#endif

#endif
