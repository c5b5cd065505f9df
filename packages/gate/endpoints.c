#include "gate/endpoints.h"

#include <bsd/string.h>
#include <stdlib.h>
#include <string.h>

#include "base/event.h"
#include "gate/events.h"

/* An endpoint missing from this many lists in a row is forgotten. */
#define Ep_MISSING_LISTS 3
/* How long a notice is kept after its host was to go. */
#define Ep_NOTICE_TTL_USEC (3600 * Ck_USEC_PER_SEC)

/*
 * Retries are paid for by successes, so that an outage does not turn each
 * request into several and keep the endpoints down.
 */
#define Ep_RETRY_RATIO 0.2
#define Ep_RETRY_MAX 50
/* Data centres evacuated at the same time that are remembered. */
#define Ep_EVACUATED_MAX 64

struct entry {
    TAILQ_ENTRY(entry) link;
    char id[Hl_NAME_MAX];
    char version[Hl_NAME_MAX];
    bool leaving;
    bool listed;
    int missing;
};

TAILQ_HEAD(entry_list, entry);

struct service {
    TAILQ_ENTRY(service) link;
    char name[Cf_NAME_MAX];
    struct ch_table *table;
    struct rt_budget retries;
    struct entry_list endpoints;
    bool shares_set;
};

TAILQ_HEAD(service_list, service);

/*
 * A notice, kept beyond the host list.  The list lags: it may name a host
 * only after its notice, or lose it and bring it back as live, and then the
 * host would get new work until it dies.
 */
struct notice {
    TAILQ_ENTRY(notice) link;
    char host[Hl_NAME_MAX];
    int64_t leaves_at;
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

/* Forgets the notices of hosts that were to go before a moment. */
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
 * Endpoints that were sent nothing for a while are cold when their data
 * centre is taken back.
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
                Ch_Cold(service->table, info->id, wanted->cold_usec, now);
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

/* Notes which data centres get nothing new, and which do so again. */
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
    char now[Ep_EVACUATED_MAX][Cf_NAME_MAX];
    for (size_t i = 0; i < config->data_centre_count; i++) {
        const struct cf_data_centre *centre = &config->data_centres[i];
        if (!centre->evacuated || count == Ep_EVACUATED_MAX) {
            continue;
        }
        if (!was_evacuated(pool, centre->name)) {
            Ev_Log(&GT_EVACUATED, "data_centre=%s", centre->name);
        }
        strlcpy(now[count++], centre->name, Cf_NAME_MAX);
    }
    memcpy(pool->evacuated, now, sizeof(now[0]) * count);
    pool->evacuated_count = count;
}

/* Who the other hosts are; decides which of them serve a cold endpoint. */
struct wu_hosts *
Ep_Hosts(struct ep_pool *pool)
{
    return &pool->hosts;
}

/* Whether an endpoint of the version is listed that does not leave. */
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
 * The version that carries everything until shares are set.  With a move that
 * is the old one: a daemon that starts has read the configuration and the
 * hosts before it knows how the move stands, and the new version may have been
 * taken back.  That one serves only where nothing of the old one is left.
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

/* Makes a table for each service of a configuration. */
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
        /* The list lags: only its first word of a warm-up is news. */
        Ch_Cold(service->table, host->id, host->cold_usec,
                Ck_Now(pool->gate->clock));
    }
    /*
     * A list that lags may still say "live" after a notice has come: an
     * endpoint once known to leave stays leaving.
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

/* Takes a host list in: new endpoints, changed ones, missing ones. */
void
Ep_Sync(struct ep_pool *pool, const struct hl_host *hosts, size_t count)
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

/* A reclaim notice or a report says that a host leaves in left_usec. */
void
Ep_Leaving(struct ep_pool *pool, const char *host, int64_t left_usec)
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

/* An endpoint that was silent and reports again may get work again. */
static void
clear_suspicion(struct ep_pool *pool, struct service *service, const char *id)
{
    const struct ch_endpoint *endpoint = Ch_Find(service->table, id);
    if (endpoint != NULL && Ch_State(endpoint) == CH_SUSPECT) {
        Ch_SetState(service->table, id, CH_LIVE, 0, Ck_Now(pool->gate->clock));
    }
}

/* Takes a load report in; "service" may be NULL when it is not known. */
void
Ep_Report(struct ep_pool *pool, const char *service, const char *endpoint,
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
set_brittle(struct ep_pool *pool, struct service *service,
            const char *endpoint, int most, int64_t taken)
{
    int64_t now = Ck_Now(pool->gate->clock);
    const struct ch_endpoint *found = Ch_Find(service->table, endpoint);
    if (found == NULL) {
        return;
    }
    bool before = Ch_IsBrittle(found, now);
    if (Ch_Brittle(service->table, endpoint, most, taken) == ST_OK &&
        before != Ch_IsBrittle(found, now)) {
        Ev_Log(&GT_BRITTLE, "service=%s most=%d", service->name, most);
    }
}

void
Ep_Brittle(struct ep_pool *pool, const char *service, const char *endpoint,
           int most, int64_t taken)
{
    struct service *at;
    TAILQ_FOREACH (at, &pool->services, link) {
        if (service == NULL || strcmp(at->name, service) == 0) {
            set_brittle(pool, at, endpoint, most, taken);
        }
    }
}

void
Ep_Cold(struct ep_pool *pool, const char *service, const char *endpoint,
        int64_t left_usec, int64_t taken)
{
    struct service *at;
    TAILQ_FOREACH (at, &pool->services, link) {
        if (service == NULL || strcmp(at->name, service) == 0) {
            Ch_Cold(at->table, endpoint, left_usec, taken);
        }
    }
}

/*
 * A version gets no new work from now on.  A daemon that starts may hear so
 * before it has read of the service, and hears it once.
 */
void
Ep_Distrust(struct ep_pool *pool, const char *service, const char *version)
{
    struct service *found = add_service(pool, service);
    if (found != NULL) {
        Ch_Distrust(found->table, version);
    }
}

/* Shares of the versions of a service while a move is in flight. */
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

/* The version of a service that is on trial, or NULL. */
void
Ep_SetTrial(struct ep_pool *pool, const char *service, const char *version)
{
    struct service *found = find_service(pool, service);
    if (found != NULL) {
        Ch_SetTrial(found->table, version);
    }
}

/* The table of a service, or NULL when none of its endpoints is known. */
struct ch_table *
Ep_Table(const struct ep_pool *pool, const char *service)
{
    struct service *found = find_service(pool, service);
    return found != NULL ? found->table : NULL;
}

/* The retries a service may still make, or NULL when it is not known. */
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
