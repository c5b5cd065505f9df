#include "edge/config.h"

#include <limits.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* An empty configuration with one reference; NULL when out of memory. */
struct ec_config *
Ec_Create(void)
{
    struct ec_config *config = calloc(1, sizeof(*config));
    if (config != NULL) {
        config->refs = 1;
    }
    return config;
}

static int
compare_routes(const void *a, const void *b)
{
    const struct ec_route *left = a;
    const struct ec_route *right = b;
    int order = strcasecmp(left->host, right->host);
    if (order != 0) {
        return order;
    }
    size_t left_len = strlen(left->prefix);
    size_t right_len = strlen(right->prefix);
    return left_len > right_len ? -1 : left_len < right_len;
}

static int
compare_keys(const void *a, const void *b)
{
    return strcmp(((const struct ec_key *)a)->key,
                  ((const struct ec_key *)b)->key);
}

/* Distinct priorities that are told apart; the protocol has ten. */
#define Ec_PRIORITIES_MAX 16

/* Sets each route's rank among the distinct priorities of all routes. */
static void
rank_priorities(struct ec_config *config)
{
    int seen[Ec_PRIORITIES_MAX];
    size_t count = 0;
    for (size_t i = 0; i < config->route_count; i++) {
        int priority = config->routes[i].priority;
        size_t at = 0;
        while (at < count && seen[at] != priority) {
            at++;
        }
        if (at == count && count < Ec_PRIORITIES_MAX) {
            seen[count++] = priority;
        }
    }
    config->priority_count = count;
    for (size_t i = 0; i < config->route_count; i++) {
        struct ec_route *route = &config->routes[i];
        route->priority_rank = 0;
        for (size_t at = 0; at < count; at++) {
            route->priority_rank += seen[at] < route->priority;
        }
    }
}

static bool
routes_to(const struct ec_route *route, const struct ec_service *service)
{
    for (size_t i = 0; i < route->share_count; i++) {
        if (strcmp(route->shares[i].service, service->name) == 0) {
            return true;
        }
    }
    return false;
}

/* Summarizes the priorities and latency targets of a service's routes. */
static void
summarize_routes(const struct ec_config *config, struct ec_service *service)
{
    service->least_priority = INT_MAX;
    service->least_target_usec = INT64_MAX;
    service->slackest_target_usec = 0;
    for (size_t i = 0; i < config->route_count; i++) {
        const struct ec_route *route = &config->routes[i];
        if (!routes_to(route, service)) {
            continue;
        }
        if (route->priority < service->least_priority) {
            service->least_priority = route->priority;
        }
        if (route->latency_target_usec < service->least_target_usec) {
            service->least_target_usec = route->latency_target_usec;
        }
    }
    for (size_t i = 0; i < config->route_count; i++) {
        const struct ec_route *route = &config->routes[i];
        if (route->priority > service->least_priority &&
            route->latency_target_usec > service->slackest_target_usec &&
            routes_to(route, service)) {
            service->slackest_target_usec = route->latency_target_usec;
        }
    }
}

/*
 * Sorts routes by host, then longest prefix first; keys by their text.  Ranks
 * the priorities of the routes.
 */
void
Ec_Seal(struct ec_config *config)
{
    if (config->route_count > 0) {
        qsort(config->routes, config->route_count, sizeof(*config->routes),
              compare_routes);
    }
    if (config->key_count > 0) {
        qsort(config->keys, config->key_count, sizeof(*config->keys),
              compare_keys);
    }
    rank_priorities(config);
    for (size_t i = 0; i < config->service_count; i++) {
        summarize_routes(config, &config->services[i]);
    }
}

struct ec_config *
Ec_Ref(struct ec_config *config)
{
    config->refs++;
    return config;
}

void
Ec_Unref(struct ec_config *config)
{
    if (config == NULL || --config->refs > 0) {
        return;
    }
    for (size_t i = 0; i < config->route_count; i++) {
        free(config->routes[i].host);
        free(config->routes[i].prefix);
        free(config->routes[i].allowed_regions);
    }
    for (size_t i = 0; i < config->tenant_count; i++) {
        free(config->tenants[i].allowed_regions);
    }
    for (size_t i = 0; i < config->key_count; i++) {
        free(config->keys[i].key);
    }
    free(config->routes);
    free(config->services);
    free(config->tenants);
    free(config->keys);
    free(config);
}

static int
compare_host(const char *host, size_t len, const char *other)
{
    int order = strncasecmp(host, other, len);
    return order != 0 ? order : -(other[len] != '\0');
}

/* Index of a host's first route; route_count if it has none. */
static size_t
first_of_host(const struct ec_config *config, const char *host, size_t len)
{
    size_t low = 0;
    size_t high = config->route_count;
    while (low < high) {
        size_t middle = low + (high - low) / 2;
        if (compare_host(host, len, config->routes[middle].host) > 0) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

/* Finds the route of a request, ignoring port and query; NULL if none. */
const struct ec_route *
Ec_FindRoute(const struct ec_config *config, const char *host, size_t host_len,
             const char *target, size_t target_len)
{
    const char *port = memchr(host, ':', host_len);
    if (port != NULL) {
        host_len = (size_t)(port - host);
    }
    const char *query = memchr(target, '?', target_len);
    if (query != NULL) {
        target_len = (size_t)(query - target);
    }
    for (size_t i = first_of_host(config, host, host_len);
         i < config->route_count &&
         compare_host(host, host_len, config->routes[i].host) == 0;
         i++) {
        const char *prefix = config->routes[i].prefix;
        size_t len = strlen(prefix);
        if (len <= target_len && memcmp(prefix, target, len) == 0) {
            return &config->routes[i];
        }
    }
    return NULL;
}

const struct ec_service *
Ec_FindService(const struct ec_config *config, const char *name)
{
    for (size_t i = 0; i < config->service_count; i++) {
        if (strcmp(config->services[i].name, name) == 0) {
            return &config->services[i];
        }
    }
    return NULL;
}

/* Finds the tenant of a key; NULL if the key is unknown. */
const struct ec_tenant *
Ec_FindTenant(const struct ec_config *config, const char *key)
{
    struct ec_key pattern = {.key = (char *)key};
    const struct ec_key *found = NULL;
    if (config->key_count > 0) {
        found = bsearch(&pattern, config->keys, config->key_count,
                        sizeof(*config->keys), compare_keys);
    }
    return found == NULL ? NULL : &config->tenants[found->tenant];
}

static bool
is_allowed(const struct ec_regions *allowed, const char *region)
{
    for (size_t i = 0; allowed != NULL && i < allowed->count; i++) {
        if (strcmp(allowed->regions[i], region) == 0) {
            return true;
        }
    }
    return allowed == NULL;
}

bool
Ec_MayRunIn(const struct ec_route *route, const struct ec_tenant *tenant,
            const char *region)
{
    return is_allowed(route->allowed_regions, region) &&
           (tenant == NULL || is_allowed(tenant->allowed_regions, region));
}

/* Chooses the service of a request by weight; "unit" is in [0, 1). */
const char *
Ec_PickService(const struct ec_route *route, double unit)
{
    int total = 0;
    for (size_t i = 0; i < route->share_count; i++) {
        total += route->shares[i].weight;
    }
    double at = unit * total;
    for (size_t i = 0; i < route->share_count; i++) {
        at -= route->shares[i].weight;
        if (at < 0) {
            return route->shares[i].service;
        }
    }
    return route->shares[0].service;
}
