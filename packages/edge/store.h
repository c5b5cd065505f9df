/*
 * The store that daemons agree through, as the product needs it: topics of
 * ordered records, appended under a condition, and the newest record of each
 * key.  An adapter provides it; answers come later, never from the call.
 */
#ifndef EDGE_STORE_H
#define EDGE_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/metric.h"
#include "edge/config.h"
#include "edge/fleet.h"
#include "edge/rollout.h"

#ifdef __cplusplus
extern "C" {
#endif

enum ag_topic {
    AG_CONFIG,    /* keyed; what the operator wrote */
    AG_ENDPOINTS, /* keyed; what endpoints wrote */
    AG_HOSTS,     /* keyed; daemons by name */
    AG_STATUS,    /* keyed; what operators are told */
    AG_DUTY,      /* a log; leases and agreed usage */
    AG_STOPS,     /* keyed; parts of prompts that are not to be sent */
    AG_TOPICS,
};

enum ag_status {
    AG_OK,
    AG_CONFLICT,    /* the topic does not end where the condition says */
    AG_EXPIRED,     /* the records asked for are gone */
    AG_UNAVAILABLE, /* nothing was done */
    AG_UNKNOWN,     /* it may be done, now or later */
};

struct ag_record {
    int64_t offset;
    const char *key; /* keyed topics; not terminated */
    size_t key_len;
    const void *value; /* NULL in a keyed topic: the key was removed */
    size_t len;
};

struct ag_result {
    enum ag_status status;
    int64_t end;    /* offset of the next record */
    int64_t offset; /* of the record appended */
    const struct ag_record *records;
    size_t count;
    bool more; /* a listing goes on after its last key */
};

typedef void (*ag_fn)(void *arg, const struct ag_result *result);

struct ag_store;

/*
 * A call is answered, or given up by the adapter, within this and the time
 * that a read waits.  The store answers in a few milliseconds; slowed
 * sixty-fold, in a quarter of a second.
 */
#define Ag_ANSWER_USEC (1200 * Ck_USEC_PER_MSEC)

struct ag_ops {
    /* Records from an offset on; waits for one up to "wait_usec". */
    void (*read)(struct ag_store *store, enum ag_topic topic, int64_t from,
                 int64_t wait_usec, ag_fn fn, void *arg);
    /* The newest record of each key, after a key (NULL: from the first). */
    void (*newest)(struct ag_store *store, enum ag_topic topic,
                   const char *after, ag_fn fn, void *arg);
    /* Appends if the topic ends at "at"; -1: in any case. */
    void (*append)(struct ag_store *store, enum ag_topic topic, int64_t at,
                   const char *key, const void *value, size_t len, ag_fn fn,
                   void *arg);
};

enum ag_call {
    AG_READ,
    AG_NEWEST,
    AG_APPEND,
    AG_CALLS,
};

struct ag_store {
    const struct ag_ops *ops;
    int64_t calls[AG_TOPICS][AG_CALLS]; /* made so far */
};

/* The calls of "ops", counted. */
void Ag_Read(struct ag_store *store, enum ag_topic topic, int64_t from,
             int64_t wait_usec, ag_fn fn, void *arg);
void Ag_Newest(struct ag_store *store, enum ag_topic topic, const char *after,
               ag_fn fn, void *arg);
void Ag_Append(struct ag_store *store, enum ag_topic topic, int64_t at,
               const char *key, const void *value, size_t len, ag_fn fn,
               void *arg);
/* How many there were, as metrics and as a line of the log. */
void Ag_ShowCalls(const struct ag_store *store, struct mt_registry *registry);
void Ag_LogCalls(const struct ag_store *store);

/* A record for operators. */
struct ag_told {
    char key[Ec_NAME_MAX * 2];
    char value[Ec_NAME_MAX * 4];
};

/* What the records of others mean; the adapter knows their form. */
struct ag_codec {
    /* NULL: not a configuration. */
    struct ec_config *(*config)(const void *data, size_t len);
    bool (*is_config)(const char *key, size_t key_len);
    /* False: not an order to move a service; "number" is not filled in. */
    bool (*order)(const char *key, size_t key_len, const void *data,
                  size_t len, struct ro_order *out);
    /* Whether the key is that of a data centre's evacuation, and of which. */
    bool (*evacuation)(const char *key, size_t key_len,
                       char zone[Ec_NAME_MAX]);
    /* The record that tells operators of a move; false: it does not fit. */
    bool (*tell_move)(const struct ro_move *move, struct ag_told *out);
    /* False: names no endpoint to use. */
    bool (*entry)(const char *key, size_t key_len, const void *data,
                  size_t len, struct fl_entry *out);
};

#ifdef __cplusplus
}
#endif

#endif
