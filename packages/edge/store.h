/*
 * Interface to the shared store: topics of ordered records, conditional
 * appends, and listings of the newest record of each key. An adapter
 * implements it; results are delivered later, never from within the call.
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
    AG_CONFIG,      /* keyed; written by operators */
    AG_ENDPOINTS,   /* keyed; written by endpoints */
    AG_HOSTS,       /* keyed; addresses of daemons, by name */
    AG_STATUS,      /* keyed; written for operators */
    AG_LEASE,       /* a log; leases and recorded usage */
    AG_QUARANTINES, /* keyed; prompt prefixes that are blocked */
    AG_TOPICS,
};

enum ag_status {
    AG_OK,
    AG_CONFLICT,    /* the topic does not end at the expected offset */
    AG_EXPIRED,     /* the requested records were dropped */
    AG_UNAVAILABLE, /* the call had no effect */
    AG_UNKNOWN,     /* may have taken effect, or still will */
};

struct ag_record {
    int64_t offset;
    const char *key; /* keyed topics only; not null-terminated */
    size_t key_len;
    const void *value; /* NULL in a keyed topic: the key was removed */
    size_t len;
};

struct ag_result {
    enum ag_status status;
    int64_t end;    /* offset of the next record */
    int64_t offset; /* of the appended record */
    const struct ag_record *records;
    size_t count;
    bool more; /* the listing continues after its last key */
};

typedef void (*ag_fn)(void *arg, const struct ag_result *result);

struct ag_store;

/*
 * The adapter reports a result, or gives up, within this time plus the time
 * that a read waits. The store answers in a few milliseconds, or in a quarter
 * of a second when slowed sixty-fold.
 */
#define Ag_ANSWER_USEC (1200 * Ck_USEC_PER_MSEC)

struct ag_ops {
    /* Reads records from an offset on; waits for one up to "wait_usec". */
    void (*read)(struct ag_store *store, enum ag_topic topic, int64_t from,
                 int64_t wait_usec, ag_fn fn, void *arg);
    /*
     * Lists the newest record of each key after "after"; NULL: from the first
     * key on.
     */
    void (*newest)(struct ag_store *store, enum ag_topic topic,
                   const char *after, ag_fn fn, void *arg);
    /* Appends if the topic ends at "at"; -1: unconditionally. */
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
    int64_t calls[AG_TOPICS][AG_CALLS]; /* number made so far */
};

/* Call "ops" and count the calls. */
void Ag_Read(struct ag_store *store, enum ag_topic topic, int64_t from,
             int64_t wait_usec, ag_fn fn, void *arg);
void Ag_Newest(struct ag_store *store, enum ag_topic topic, const char *after,
               ag_fn fn, void *arg);
void Ag_Append(struct ag_store *store, enum ag_topic topic, int64_t at,
               const char *key, const void *value, size_t len, ag_fn fn,
               void *arg);
/* Exports the counts as metrics, and as a log line. */
void Ag_ExportCalls(const struct ag_store *store,
                    struct mt_registry *registry);
void Ag_LogCalls(const struct ag_store *store);

/* A record for operators. */
struct ag_status_record {
    char key[Ec_NAME_MAX * 2];
    char value[Ec_NAME_MAX * 4];
};

/* Decodes records of other programs, whose format the adapter knows. */
struct ag_codec {
    /* NULL: not a valid configuration. */
    struct ec_config *(*config)(const void *data, size_t len);
    bool (*is_config)(const char *key, size_t key_len);
    /* False: not an order to move a service. "number" is left unset. */
    bool (*order)(const char *key, size_t key_len, const void *data,
                  size_t len, struct ro_order *out);
    /*
     * Whether the key orders the evacuation of a data centre, and of which
     * one.
     */
    bool (*evacuation)(const char *key, size_t key_len,
                       char zone[Ec_NAME_MAX]);
    /* The record that shows a move to operators; false: it does not fit. */
    bool (*move_status)(const struct ro_move *move,
                        struct ag_status_record *out);
    /* False: not a valid endpoint entry. */
    bool (*entry)(const char *key, size_t key_len, const void *data,
                  size_t len, struct fl_entry *out);
};

#ifdef __cplusplus
}
#endif

#endif
