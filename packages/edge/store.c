#include "edge/store.h"

#include <stdio.h>

#include "base/log_line.h"

#define Ag_LABELS_MAX 64

void
Ag_Read(struct ag_store *store, enum ag_topic topic, int64_t from,
        int64_t wait_usec, ag_fn fn, void *arg)
{
    store->calls[topic][AG_READ]++;
    store->ops->read(store, topic, from, wait_usec, fn, arg);
}

void
Ag_Newest(struct ag_store *store, enum ag_topic topic, const char *after,
          ag_fn fn, void *arg)
{
    store->calls[topic][AG_NEWEST]++;
    store->ops->newest(store, topic, after, fn, arg);
}

void
Ag_Append(struct ag_store *store, enum ag_topic topic, int64_t at,
          const char *key, const void *value, size_t len, ag_fn fn, void *arg)
{
    store->calls[topic][AG_APPEND]++;
    store->ops->append(store, topic, at, key, value, len, fn, arg);
}

static const char *
topic_name(enum ag_topic topic)
{
    static const char *const names[AG_TOPICS] = {
        [AG_CONFIG] = "config", [AG_ENDPOINTS] = "endpoints",
        [AG_HOSTS] = "hosts",   [AG_STATUS] = "status",
        [AG_LEASE] = "duty",    [AG_QUARANTINES] = "stops",
    };
    return names[topic];
}

static const char *
call_name(enum ag_call call)
{
    static const char *const names[AG_CALLS] = {
        [AG_READ] = "read",
        [AG_NEWEST] = "newest",
        [AG_APPEND] = "append",
    };
    return names[call];
}

void
Ag_ExportCalls(const struct ag_store *store, struct mt_registry *registry)
{
    for (enum ag_topic topic = 0; topic < AG_TOPICS; topic++) {
        for (enum ag_call call = 0; call < AG_CALLS; call++) {
            char labels[Ag_LABELS_MAX];
            snprintf(labels, sizeof(labels), "topic=\"%s\",call=\"%s\"",
                     topic_name(topic), call_name(call));
            Mt_Set(Mt_Get(registry, MT_COUNTER, "cornelgate_store_calls_total",
                          labels),
                   store->calls[topic][call]);
        }
    }
}

static long long
sum_calls(const struct ag_store *store, enum ag_topic topic)
{
    int64_t sum = 0;
    for (enum ag_call call = 0; call < AG_CALLS; call++) {
        sum += store->calls[topic][call];
    }
    return sum;
}

void
Ag_LogCalls(const struct ag_store *store)
{
    Ln_Log(LN_STATE, "store.calls",
           "\"config\":%lld,\"endpoints_listed\":%lld,"
           "\"endpoints_read\":%lld,\"hosts\":%lld,\"duty\":%lld,"
           "\"status\":%lld",
           sum_calls(store, AG_CONFIG),
           (long long)store->calls[AG_ENDPOINTS][AG_NEWEST],
           (long long)store->calls[AG_ENDPOINTS][AG_READ],
           sum_calls(store, AG_HOSTS), sum_calls(store, AG_LEASE),
           sum_calls(store, AG_STATUS));
}
