#include "edge/store.h"

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

const char *
Ag_TopicName(enum ag_topic topic)
{
    static const char *const names[AG_TOPICS] = {
        [AG_CONFIG] = "config", [AG_ENDPOINTS] = "endpoints",
        [AG_HOSTS] = "hosts",   [AG_STATUS] = "status",
        [AG_DUTY] = "duty",
    };
    return names[topic];
}

const char *
Ag_CallName(enum ag_call call)
{
    static const char *const names[AG_CALLS] = {
        [AG_READ] = "read",
        [AG_NEWEST] = "newest",
        [AG_APPEND] = "append",
    };
    return names[call];
}
