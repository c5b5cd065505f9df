#include "gate/endpoints.h"

#include <bsd/string.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/event.h"
#include "gate/events.h"

/* An endpoint missing from this many host lists in a row is removed. */
#define Ep_MISSING_LISTS 3
/* How long a reclaim notice is kept after the host's announced end. */
#define Ep_NOTICE_TTL_USEC (3600 * Ck_USEC_PER_SEC)

/*
 * Retry budget: successful requests earn retries, so that an outage does not
 * multiply the requests and keep the endpoints down.
 */
#define Ep_RETRY_RATIO 0.2
#define Ep_RETRY_MAX 50
/* A smaller relative change of a rate limit is not logged. */
#define Ep_LOGGED_CHANGE 0.1
/* Limit of data centres tracked as evacuated at the same time. */
#define Ep_EVACUATED_MAX 64

/* An endpoint as the host list and reclaim notices describe it. */
struct entry {
    TAILQ_ENTRY(entry) link;
    char id[Hl_NAME_MAX];
    char version[Hl_NAME_MAX];
    bool leaving;
    bool listed; /* in the current host list */
    int missing; /* host lists in a row without it */
};

TAILQ_HEAD(entry_list, entry);

struct service {
    TAILQ_ENTRY(service) link;
    char name[Cf_NAME_MAX];
    struct ch_table *table;
    struct rt_budget retries;
    struct entry_list endpoints;
    bool shares_set; /* by a version move */
};

TAILQ_HEAD(service_list, service);

/*
 * A reclaim notice.  It is kept apart from the host list, which lags: the list
 * may first name a host after its notice, or drop the host and list it again
 * as live.  Without the notice such a host would get new requests until it is
 * reclaimed.
 */
struct notice {
    TAILQ_ENTRY(notice) link;
    char host[Hl_NAME_MAX];
    int64_t leaves_at; /* the host's announced end */
};

TAILQ_HEAD(notice_list, notice);

struct ep_pool {
    struct gt_gate *gate;
    ep_leaving_fn leaving;
    struct service_list services;
    struct notice_list notices;
    struct wu_hosts hosts;
    size_t evacuated_count;
    char evacuated[Ep_EVACUATED_MAX][Cf_NAME_MAX];
};

/* Creates an empty pool; "leaving" gets the gate as its argument. */
enum st_status
Ep_Create(struct gt_gate *gate, ep_leaving_fn leaving, struct ep_pool **out)
{
    struct ep_pool *pool = calloc(1, sizeof(*pool));
    if (pool == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for the endpoints");
    }
    pool->gate = gate;
    pool->leaving = leaving;
    TAILQ_INIT(&pool->services);
    TAILQ_INIT(&pool->notices);
    *out = pool;
    return ST_OK;
}

static void
service_destroy(struct service *service)
{
    struct entry *entry;
    while ((entry = TAILQ_FIRST(&service->endpoints)) != NULL) {
        TAILQ_REMOVE(&service->endpoints, entry, link);
        free(entry);
    }
    Ch_Destroy(service->table);
    free(service);
}

/* Drops the notices of hosts whose announced end is before a time. */
static void
drop_notices(struct ep_pool *pool, int64_t before)
{
    struct notice *notice;
    struct notice *next;
    TAILQ_FOREACH_SAFE (notice, &pool->notices, link, next) {
        if (notice->leaves_at < before) {
            TAILQ_REMOVE(&pool->notices, notice, link);
            free(notice);
        }
    }
}

static struct notice *
find_notice(const struct ep_pool *pool, const char *host)
{
    struct notice *notice;
    TAILQ_FOREACH (notice, &pool->notices, link) {
        if (strcmp(notice->host, host) == 0) {
            return notice;
        }
    }
    return NULL;
}

static void
add_notice(struct ep_pool *pool, const char *host, int64_t leaves_at)
{
    if (find_notice(pool, host) != NULL) {
        return;
    }
    struct notice *notice = calloc(1, sizeof(*notice));
    if (notice == NULL) {
        return;
    }
    strlcpy(notice->host, host, sizeof(notice->host));
    notice->leaves_at = leaves_at;
    TAILQ_INSERT_TAIL(&pool->notices, notice, link);
}

/* Frees the pool; NULL is allowed. */
void
Ep_Destroy(struct ep_pool *pool)
{
    if (pool == NULL) {
        return;
    }
    struct service *service;
    while ((service = TAILQ_FIRST(&pool->services)) != NULL) {
        TAILQ_REMOVE(&pool->services, service, link);
        service_destroy(service);
    }
    drop_notices(pool, INT64_MAX);
    free(pool);
}

static struct service *
find_service(const struct ep_pool *pool, const char *name)
{
    struct service *service;
    TAILQ_FOREACH (service, &pool->services, link) {
        if (strcmp(service->name, name) == 0) {
            return service;
        }
    }
    return NULL;
}

static struct service *
add_service(struct ep_pool *pool, const char *name)
{
    struct service *service = find_service(pool, name);
    if (service != NULL) {
        return service;
    }
    service = calloc(1, sizeof(*service));
    if (service == NULL) {
        return NULL;
    }
    struct ch_settings settings;
    Ch_Defaults(&settings);
    strlcpy(service->name, name, sizeof(service->name));
    TAILQ_INIT(&service->endpoints);
    Rt_Init(&service->retries, Ep_RETRY_RATIO, Ep_RETRY_MAX);
    service->table = Ch_Create(pool->gate->options->data_centre,
                               Ch_Predictive(), &settings);
    if (service->table == NULL) {
        free(service);
        return NULL;
    }
    TAILQ_INSERT_TAIL(&pool->services, service, link);
    return service;
}

/*
 * Marks the endpoints of a data centre as cold when its evacuation ends, since
 * they have had no requests meanwhile.
 */
static void
mark_cold(struct ep_pool *pool, const struct cf_config *config,
          const char *data_centre)
{
    int64_t now = Ck_Now(pool->gate->clock);
    struct service *service;
    TAILQ_FOREACH (service, &pool->services, link) {
        const struct cf_service *wanted =
            Cf_ServiceByName(config, service->name);
        struct ch_endpoint *endpoint = Ch_First(service->table);
        for (; wanted != NULL && endpoint != NULL;
             endpoint = Ch_Next(endpoint)) {
            const struct ch_info *info = Ch_Info(endpoint);
            if (strcmp(info->data_centre, data_centre) == 0) {
                Ch_SetCold(service->table, info->id, wanted->cold_usec, now);
            }
        }
    }
}

static bool
was_evacuated(const struct ep_pool *pool, const char *data_centre)
{
    for (size_t i = 0; i < pool->evacuated_count; i++) {
        if (strcmp(pool->evacuated[i], data_centre) == 0) {
            return true;
        }
    }
    return false;
}

/*
 * Logs which data centres are newly evacuated and which are back in use, and
 * marks the endpoints of the latter as cold.
 */
static void
update_evacuated(struct ep_pool *pool, const struct cf_config *config)
{
    for (size_t i = 0; i < pool->evacuated_count; i++) {
        if (!Cf_IsEvacuated(config, pool->evacuated[i])) {
            Ev_Log(&GT_RETURNED, "data_centre=%s", pool->evacuated[i]);
            mark_cold(pool, config, pool->evacuated[i]);
        }
    }
    size_t count = 0;
    char current[Ep_EVACUATED_MAX][Cf_NAME_MAX];
    for (size_t i = 0; i < config->data_centre_count; i++) {
        const struct cf_data_centre *centre = &config->data_centres[i];
        if (!centre->evacuated || count == Ep_EVACUATED_MAX) {
            continue;
        }
        if (!was_evacuated(pool, centre->name)) {
            Ev_Log(&GT_EVACUATED, "data_centre=%s", centre->name);
        }
        strlcpy(current[count++], centre->name, Cf_NAME_MAX);
    }
    memcpy(pool->evacuated, current, sizeof(current[0]) * count);
    pool->evacuated_count = count;
}

/* The daemons among which the senders to a cold endpoint are selected. */
struct wu_hosts *
Ep_WarmupHosts(struct ep_pool *pool)
{
    return &pool->hosts;
}

/* Whether the version has an endpoint that is not leaving. */
static bool
has_live_endpoint(const struct ch_table *table, const char *version)
{
    const struct ch_endpoint *endpoint = Ch_First(table);
    for (; endpoint != NULL; endpoint = Ch_Next(endpoint)) {
        if (Ch_State(endpoint) != CH_LEAVING &&
            strcmp(Ch_Info(endpoint)->version, version) == 0) {
            return true;
        }
    }
    return false;
}

/*
 * Gives all requests to one version until a version move sets the shares.
 * During a move this is the old version: a starting daemon has the
 * configuration and the host list before it has the state of the move, and the
 * new version may have been rolled back.  The new version is used only when
 * it has an endpoint and the old one has none left.
 */
static void
set_initial_share(struct service *service, const struct cf_move *move)
{
    struct ch_share share = {.share = 1};
    if (service->shares_set || move->to[0] == '\0') {
        return;
    }
    bool moving = move->from[0] != '\0';
    bool old = moving && (has_live_endpoint(service->table, move->from) ||
                          !has_live_endpoint(service->table, move->to));
    strlcpy(share.version, old ? move->from : move->to, sizeof(share.version));
    Ch_SetShares(service->table, &share, 1);
}

/* Applies a configuration; each of its services gets a table. */
void
Ep_Configure(struct ep_pool *pool, const struct cf_config *config)
{
    for (size_t i = 0; i < config->service_count; i++) {
        const struct cf_service *wanted = &config->services[i];
        struct service *service = add_service(pool, wanted->name);
        if (service != NULL) {
            Ch_SetWarmup(service->table, wanted->cold_per_sec,
                         wanted->cold_usec, &pool->hosts);
            set_initial_share(service, &wanted->move);
        }
    }
    update_evacuated(pool, config);
}

static struct entry *
find_entry(struct service *service, const char *id)
{
    struct entry *entry;
    TAILQ_FOREACH (entry, &service->endpoints, link) {
        if (strcmp(entry->id, id) == 0) {
            return entry;
        }
    }
    return NULL;
}

static void
mark_leaving(struct ep_pool *pool, struct service *service,
             struct entry *entry, int64_t left_usec)
{
    int64_t now = Ck_Now(pool->gate->clock);
    Ch_SetState(service->table, entry->id, CH_LEAVING, left_usec, now);
    if (entry->leaving) {
        return;
    }
    entry->leaving = true;
    Ev_Log(&GT_ENDPOINT_LEAVING, "service=%s endpoint=%s left_ms=%lld",
           service->name, entry->id,
           (long long)(left_usec / Ck_USEC_PER_MSEC));
    pool->leaving(pool->gate, service->name, entry->id, left_usec);
}

static void
put_endpoint(struct ep_pool *pool, const struct hl_host *host)
{
    struct service *service = add_service(pool, host->service);
    if (service == NULL) {
        return;
    }
    struct entry *entry = find_entry(service, host->id);
    bool fresh = entry == NULL;
    if (fresh) {
        entry = calloc(1, sizeof(*entry));
        if (entry == NULL) {
            return;
        }
        strlcpy(entry->id, host->id, sizeof(entry->id));
        TAILQ_INSERT_TAIL(&service->endpoints, entry, link);
    }
    entry->listed = true;
    entry->missing = 0;
    struct ch_info info = {
        .port = host->port,
        .price = host->price,
        .slots = host->slots,
        .reclaimable = host->reclaimable,
    };
    strlcpy(info.id, host->id, sizeof(info.id));
    strlcpy(info.address, host->address, sizeof(info.address));
    strlcpy(info.data_centre, host->data_centre, sizeof(info.data_centre));
    strlcpy(info.region, host->region, sizeof(info.region));
    strlcpy(info.version, host->version, sizeof(info.version));
    strlcpy(info.host_class, host->host_class, sizeof(info.host_class));
    Ch_Put(service->table, &info);
    if (fresh) {
        /* The list lags, so its warm-up time only counts the first time. */
        Ch_SetCold(service->table, host->id, host->warmup_left_usec,
                   Ck_Now(pool->gate->clock));
    }
    /*
     * The list lags and may still say "live" after a reclaim notice, so an
     * endpoint that is leaving never becomes live again.
     */
    const struct notice *notice = find_notice(pool, host->id);
    if (notice != NULL && !entry->leaving) {
        int64_t left = notice->leaves_at - Ck_Now(pool->gate->clock);
        mark_leaving(pool, service, entry, left > 0 ? left : 0);
    }
    else if (host->state == HL_LEAVING && !entry->leaving) {
        mark_leaving(pool, service, entry, 0);
    }
}

static void
remove_missing(struct service *service)
{
    struct entry *entry;
    struct entry *next;
    TAILQ_FOREACH_SAFE (entry, &service->endpoints, link, next) {
        if (entry->listed) {
            entry->listed = false;
            continue;
        }
        entry->missing++;
        if (entry->missing >= Ep_MISSING_LISTS) {
            Ch_Remove(service->table, entry->id);
            TAILQ_REMOVE(&service->endpoints, entry, link);
            free(entry);
        }
    }
}

/* Applies a host list: adds, updates and removes endpoints. */
void
Ep_ApplyHostList(struct ep_pool *pool, const struct hl_host *hosts,
                 size_t count)
{
    for (size_t i = 0; i < count; i++) {
        if (hosts[i].role == HL_ENDPOINT && hosts[i].service[0] != '\0') {
            put_endpoint(pool, &hosts[i]);
        }
    }
    const struct cf_config *config = pool->gate->config;
    struct service *service;
    TAILQ_FOREACH (service, &pool->services, link) {
        remove_missing(service);
        const struct cf_service *wanted =
            config != NULL ? Cf_ServiceByName(config, service->name) : NULL;
        if (wanted != NULL) {
            set_initial_share(service, &wanted->move);
        }
    }
    drop_notices(pool, Ck_Now(pool->gate->clock) - Ep_NOTICE_TTL_USEC);
}

/* Marks a host, which will be reclaimed in left_usec, as leaving. */
void
Ep_SetLeaving(struct ep_pool *pool, const char *host, int64_t left_usec)
{
    struct service *service;
    add_notice(pool, host, Ck_Now(pool->gate->clock) + left_usec);
    TAILQ_FOREACH (service, &pool->services, link) {
        struct entry *entry = find_entry(service, host);
        if (entry != NULL) {
            mark_leaving(pool, service, entry, left_usec);
        }
    }
}

/* Makes an endpoint that was suspect live again after a load report. */
static void
clear_suspicion(struct ep_pool *pool, struct service *service, const char *id)
{
    const struct ch_endpoint *endpoint = Ch_Find(service->table, id);
    if (endpoint != NULL && Ch_State(endpoint) == CH_SUSPECT) {
        Ch_SetState(service->table, id, CH_LIVE, 0, Ck_Now(pool->gate->clock));
    }
}

/* Applies a load report; "service" may be NULL when it is unknown. */
void
Ep_SetLoad(struct ep_pool *pool, const char *service, const char *endpoint,
           const struct ch_sample *sample)
{
    struct service *at;
    TAILQ_FOREACH (at, &pool->services, link) {
        if ((service == NULL || strcmp(at->name, service) == 0) &&
            find_entry(at, endpoint) != NULL) {
            Ch_Report(at->table, endpoint, sample);
            clear_suspicion(pool, at, endpoint);
        }
    }
}

static void
set_refusal_limit(struct ep_pool *pool, struct service *service,
                  const char *endpoint, int refusal_limit, int64_t taken)
{
    int64_t now = Ck_Now(pool->gate->clock);
    const struct ch_endpoint *found = Ch_Find(service->table, endpoint);
    if (found == NULL) {
        return;
    }
    bool before = Ch_IsBrittle(found, now);
    if (Ch_SetRefusalLimit(service->table, endpoint, refusal_limit, taken) ==
            ST_OK &&
        before != Ch_IsBrittle(found, now)) {
        Ev_Log(&GT_BRITTLE, "service=%s most=%d", service->name,
               refusal_limit);
    }
}

void
Ep_SetRefusalLimit(struct ep_pool *pool, const char *service,
                   const char *endpoint, int refusal_limit, int64_t taken)
{
    struct service *at;
    TAILQ_FOREACH (at, &pool->services, link) {
        if (service == NULL || strcmp(at->name, service) == 0) {
            set_refusal_limit(pool, at, endpoint, refusal_limit, taken);
        }
    }
}

/* A smaller change of the limit is not logged. */
static bool
is_change_logged(double before, double now)
{
    return (before > 0) != (now > 0) ||
           fabs(now - before) > Ep_LOGGED_CHANGE * before;
}

static void
set_rate_limit(struct ep_pool *pool, struct service *service,
               const char *endpoint, double per_sec, int64_t taken)
{
    const struct ch_endpoint *found = Ch_Find(service->table, endpoint);
    if (found == NULL) {
        return;
    }
    double before = Ch_RateLimit(found);
    (void)Ch_SetRateLimit(service->table, endpoint, per_sec, taken,
                          Ck_Now(pool->gate->clock));
    if (is_change_logged(before, Ch_RateLimit(found))) {
        Ev_Log(&GT_RATE_LIMIT, "service=%s endpoint=%s per_sec=%.2f",
               service->name, endpoint, Ch_RateLimit(found));
    }
}

void
Ep_SetRateLimit(struct ep_pool *pool, const char *service,
                const char *endpoint, double per_sec, int64_t taken)
{
    struct service *at;
    TAILQ_FOREACH (at, &pool->services, link) {
        if (service == NULL || strcmp(at->name, service) == 0) {
            set_rate_limit(pool, at, endpoint, per_sec, taken);
        }
    }
}

void
Ep_SetColdLeft(struct ep_pool *pool, const char *service, const char *endpoint,
               int64_t left_usec, int64_t taken)
{
    struct service *at;
    TAILQ_FOREACH (at, &pool->services, link) {
        if (service == NULL || strcmp(at->name, service) == 0) {
            Ch_SetCold(at->table, endpoint, left_usec, taken);
        }
    }
}

/*
 * Stops sending new requests to a version.  The service is created if it is
 * missing: a starting daemon may learn this before the configuration that
 * names the service, and learns it only once.
 */
void
Ep_Distrust(struct ep_pool *pool, const char *service, const char *version)
{
    struct service *found = add_service(pool, service);
    if (found != NULL) {
        Ch_Distrust(found->table, version);
    }
}

/* Sets the traffic shares of a service's versions during a version move. */
void
Ep_SetShares(struct ep_pool *pool, const char *service,
             const struct ch_share *shares, size_t count)
{
    struct service *found = find_service(pool, service);
    if (found != NULL) {
        found->shares_set = true;
        Ch_SetShares(found->table, shares, count);
    }
}

/* Sets the version of a service that is on trial; NULL for none. */
void
Ep_SetTrial(struct ep_pool *pool, const char *service, const char *version)
{
    struct service *found = find_service(pool, service);
    if (found != NULL) {
        Ch_SetTrial(found->table, version);
    }
}

/* The table of a service, or NULL when the service is unknown. */
struct ch_table *
Ep_Table(const struct ep_pool *pool, const char *service)
{
    struct service *found = find_service(pool, service);
    return found != NULL ? found->table : NULL;
}

/* The retry budget of a service, or NULL when the service is unknown. */
struct rt_budget *
Ep_RetryBudget(const struct ep_pool *pool, const char *service)
{
    struct service *found = find_service(pool, service);
    return found != NULL ? &found->retries : NULL;
}

bool
Ep_Address(const struct ep_pool *pool, const char *id, char *out, size_t size)
{
    const struct service *service;
    TAILQ_FOREACH (service, &pool->services, link) {
        const struct ch_endpoint *endpoint = Ch_Find(service->table, id);
        if (endpoint != NULL) {
            const struct ch_info *info = Ch_Info(endpoint);
            return (size_t)snprintf(out, size, "%s:%d", info->address,
                                    info->port) < size;
        }
    }
    return false;
}
