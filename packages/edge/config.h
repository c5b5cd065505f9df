/*
 * The operator's configuration in force, as typed values.  A snapshot is
 * immutable and reference-counted, so that a request is finished under the
 * version that it was admitted with.
 */
#ifndef EDGE_CONFIG_H
#define EDGE_CONFIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/status.h"

#ifdef __cplusplus
extern "C" {
#endif

#define Ec_NAME_MAX 96
#define Ec_ZONES_MAX 16
#define Ec_SPLIT_MAX 8
#define Ec_REGIONS_MAX 16

enum ec_kind {
    EC_SAFE,   /* idempotent: may run any number of times */
    EC_UNSAFE, /* may run at most once */
    EC_STREAM, /* event stream; may run at most once unless resumable */
};

/* Regions in which a route's or a tenant's requests may run. */
struct ec_regions {
    size_t count;
    char regions[Ec_REGIONS_MAX][Ec_NAME_MAX];
};

struct ec_share {
    char service[Ec_NAME_MAX];
    int weight;
};

struct ec_route {
    char name[Ec_NAME_MAX];
    char *host;
    char *prefix;
    enum ec_kind kind;
    bool keyless; /* needs no key */
    bool resumable;
    int attempts; /* most endpoints that one caller's request may run on */
    int priority; /* 0 is the most urgent */
    /* position of its priority among those of all routes, from 0; set by
       Ec_Seal() */
    int priority_rank;
    int64_t timeout_usec;
    int64_t latency_target_usec; /* time to the first byte */
    int64_t gap_target_usec;     /* time between two events */
    struct ec_share shares[Ec_SPLIT_MAX];
    size_t share_count;
    struct ec_regions *allowed_regions; /* NULL: any region */
};

struct ec_zone_price {
    char zone[Ec_NAME_MAX];
    double price;
};

struct ec_service {
    char name[Ec_NAME_MAX];
    int conn_max; /* most connections to an endpoint from all hosts */
    bool engine;
    /* target of requests that ask an endpoint whether it lives */
    char check_path[Ec_NAME_MAX];
    /* Of the routes to it, set by Ec_Seal(). */
    int least_priority;           /* the most urgent one */
    int64_t least_target_usec;    /* the tightest latency target */
    int64_t slackest_target_usec; /* of less urgent routes; 0: none */
    int slots;
    int64_t kv_tokens;
    int64_t cold_usec; /* cold time of an endpoint after its start; 0: none */
    double cold_per_sec; /* rate limit of a cold endpoint; 0: none */
    bool scalable;       /* the number of endpoints is scaled by orders */
    int endpoints_min;   /* endpoints per data centre */
    int endpoints_max;
    int64_t boot_usec;
    double spot_price;  /* 0: no spot endpoints are offered */
    int event_tokens;   /* output tokens in an event of a stream; at least 1 */
    bool moves_allowed; /* the KV cache of a run may be moved */
    double kv_bytes;    /* of the KV cache, per token */
    double kv_link_mbps;
    int64_t kv_handle_usec; /* how long a moved KV cache is kept */
    struct ec_zone_price zones[Ec_ZONES_MAX];
    size_t zone_count;
};

struct ec_tenant {
    char name[Ec_NAME_MAX];
    int priority;           /* -1: that of the route */
    bool counts_tokens;     /* the quota counts tokens, not requests */
    int64_t default_tokens; /* charged if a request gives no token counts */
    double per_sec;         /* 0: no limit */
    double burst;
    struct ec_regions *allowed_regions; /* NULL: any region */
};

struct ec_key {
    char *key;
    size_t tenant;
};

struct ec_limits {
    size_t head_bytes;
    size_t body_bytes;
    int64_t head_usec;
    int64_t idle_usec;
};

struct ec_config {
    int refs;
    int64_t version;
    struct ec_limits limits;
    struct ec_route *routes;
    size_t route_count;
    size_t priority_count; /* distinct ones of the routes; set by Ec_Seal() */
    struct ec_service *services;
    size_t service_count;
    struct ec_tenant *tenants;
    size_t tenant_count;
    struct ec_key *keys;
    size_t key_count;
};

struct ec_config *Ec_Create(void);
/* Sorts the tables for lookups; to be called when they are filled. */
void Ec_Seal(struct ec_config *config);
struct ec_config *Ec_Ref(struct ec_config *config);
void Ec_Unref(struct ec_config *config);
const struct ec_route *Ec_FindRoute(const struct ec_config *config,
                                    const char *host, size_t host_len,
                                    const char *target, size_t target_len);
const struct ec_service *Ec_FindService(const struct ec_config *config,
                                        const char *name);
const struct ec_tenant *Ec_FindTenant(const struct ec_config *config,
                                      const char *key);
/*
 * Whether a request may run in a region: both route and tenant must allow it.
 * "tenant" is NULL if the route needs no key.
 */
bool Ec_MayRunIn(const struct ec_route *route, const struct ec_tenant *tenant,
                 const char *region);
const char *Ec_PickService(const struct ec_route *route, double unit);

#ifdef __cplusplus
}
#endif

#endif
