/*
 * The operator's configuration in force, as typed values.  A snapshot is
 * immutable and counted, so that a request is finished under the version it
 * was admitted with.
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
#define Ec_HOMES_MAX 16

enum ec_kind {
    EC_SAFE,   /* may run any number of times */
    EC_UNSAFE, /* may run once at most */
    EC_STREAM, /* events; once at most unless it may be resumed */
};

/* Regions that a route or a tenant is bound to. */
struct ec_homes {
    size_t count;
    char regions[Ec_HOMES_MAX][Ec_NAME_MAX];
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
    bool open; /* needs no key */
    bool resumable;
    int attempts; /* endpoints one caller attempt may run on */
    int rank;     /* 0 is the most urgent */
    int64_t timeout_usec;
    int64_t aim_usec;
    int64_t gap_usec; /* longest pause between events that is on time */
    struct ec_share shares[Ec_SPLIT_MAX];
    size_t share_count;
    struct ec_homes *homes; /* NULL: any region will do */
};

struct ec_zone_price {
    char zone[Ec_NAME_MAX];
    double price;
};

struct ec_service {
    char name[Ec_NAME_MAX];
    int conn_max; /* connections an endpoint takes from all hosts together */
    bool engine;
    int slots;
    int64_t kv_tokens;
    int64_t cold_usec;   /* an endpoint is cold after its start; 0: none is */
    double cold_per_sec; /* requests a cold one bears; 0: as many as others */
    bool ordered;        /* endpoints of it may be ordered */
    int min;             /* a data centre */
    int max;
    int64_t boot_usec;
    double spot_price; /* 0: none are offered */
    struct ec_zone_price zones[Ec_ZONES_MAX];
    size_t zone_count;
};

struct ec_tenant {
    char name[Ec_NAME_MAX];
    int rank;       /* -1: the route's */
    bool in_tokens; /* the quota counts tokens, not requests */
    int64_t plain;  /* tokens a request without counts stands for */
    double per_sec; /* 0: no limit */
    double burst;
    struct ec_homes *homes; /* NULL: any region will do */
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
    struct ec_service *services;
    size_t service_count;
    struct ec_tenant *tenants;
    size_t tenant_count;
    struct ec_key *keys;
    size_t key_count;
};

struct ec_config *Ec_Create(void);
/* Orders the tables for look-ups; to be called once they are filled. */
void Ec_Seal(struct ec_config *config);
struct ec_config *Ec_Hold(struct ec_config *config);
void Ec_Release(struct ec_config *config);
const struct ec_route *Ec_Match(const struct ec_config *config,
                                const char *host, size_t host_len,
                                const char *target, size_t target_len);
const struct ec_service *Ec_Service(const struct ec_config *config,
                                    const char *name);
const struct ec_tenant *Ec_Holder(const struct ec_config *config,
                                  const char *key);
/*
 * Whether a request may run in a region; where route and tenant both have
 * homes, both bind.  "tenant": NULL where the route needs none.
 */
bool Ec_MayRunIn(const struct ec_route *route, const struct ec_tenant *tenant,
                 const char *region);
const char *Ec_Pick(const struct ec_route *route, double unit);

#ifdef __cplusplus
}
#endif

#endif
