/*
 * Changes to the endpoint table, from the hosts that probe endpoints, from
 * version rollouts and from the platform's list of endpoints.
 */
#include <bsd/string.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/hash.h"
#include "policy/choose.h"
#include "policy/choose_internal.h"

#define DEFAULT_FIRST_TOKEN_USEC (300 * Ck_USEC_PER_MSEC)
#define DEFAULT_BASE_USEC (5 * Ck_USEC_PER_MSEC)
#define DEFAULT_PER_TOKEN_USEC INT64_C(100)
#define DEFAULT_BOUND 1.25
#define DEFAULT_PANIC_SHARE 0.5
#define INITIAL_SERVICE_USEC 1e6 /* until a request has ended */

/* Fills in default settings, for endpoints of unknown performance. */
void
Ch_Defaults(struct ch_settings *settings)
{
    settings->first_token = DEFAULT_FIRST_TOKEN_USEC;
    settings->base = DEFAULT_BASE_USEC;
    settings->per_token = DEFAULT_PER_TOKEN_USEC;
    settings->load_bound = DEFAULT_BOUND;
    settings->panic_share = DEFAULT_PANIC_SHARE;
}

/*
 * Creates an empty table for a router in the given data centre; NULL if out of
 * memory.
 */
struct ch_table *
Ch_Create(const char *data_centre, const struct ch_ops *ops,
          const struct ch_settings *settings)
{
    struct ch_table *table = calloc(1, sizeof(*table));
    if (table == NULL) {
        return NULL;
    }
    strlcpy(table->data_centre, data_centre, sizeof(table->data_centre));
    table->ops = ops;
    table->settings = *settings;
    table->mean_service_usec = INITIAL_SERVICE_USEC;
    TAILQ_INIT(&table->endpoints);
    TAILQ_INIT(&table->removed);
    return table;
}

static void
free_list(struct ch_list *list)
{
    struct ch_endpoint *endpoint;
    while ((endpoint = TAILQ_FIRST(list)) != NULL) {
        TAILQ_REMOVE(list, endpoint, entry);
        free(endpoint);
    }
}

/* Frees the table; its flights must not be used afterwards. */
void
Ch_Destroy(struct ch_table *table)
{
    if (table == NULL) {
        return;
    }
    free_list(&table->endpoints);
    free_list(&table->removed);
    free(table->candidates);
    free(table);
}

/* Returns the endpoint with the id, or NULL; removed ones are not found. */
struct ch_endpoint *
Ch_Find(const struct ch_table *table, const char *id)
{
    struct ch_endpoint *endpoint;
    TAILQ_FOREACH (endpoint, &table->endpoints, entry) {
        if (strcmp(endpoint->info.id, id) == 0) {
            return endpoint;
        }
    }
    return NULL;
}

static enum st_status
not_found(const char *id)
{
    return St_Fail(ST_NOT_FOUND,
                   "endpoint %s is not in the table; add it with Ch_Put", id);
}

static enum st_status
grow_candidates(struct ch_table *table)
{
    if (table->count < table->candidates_capacity) {
        return ST_OK;
    }
    size_t size = table->candidates_capacity * 2 + 8;
    struct ch_candidate *wider =
        reallocarray(table->candidates, size, sizeof(*wider));
    if (wider == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for an endpoint; restart the "
                                     "daemon on a larger host");
    }
    table->candidates = wider;
    table->candidates_capacity = size;
    return ST_OK;
}

static void
reset_record(struct ch_endpoint *endpoint)
{
    memset(&endpoint->window, 0, sizeof(endpoint->window));
    endpoint->slowness = 1;
    endpoint->slowness_count = 0;
    endpoint->consecutive_failures = 0;
    endpoint->ejections = 0;
    endpoint->ejected_until = 0;
    endpoint->fail_streak = 0;
    endpoint->failing_until = 0;
    endpoint->answered_at = 0;
}

/*
 * Adds an endpoint or updates its description.  With a new version or address
 * the record of outcomes is reset, as it belongs to the previous process.
 */
enum st_status
Ch_Put(struct ch_table *table, const struct ch_info *info)
{
    struct ch_endpoint *endpoint = Ch_Find(table, info->id);
    if (endpoint == NULL) {
        enum st_status status = grow_candidates(table);
        if (status != ST_OK) {
            return status;
        }
        endpoint = calloc(1, sizeof(*endpoint));
        if (endpoint == NULL) {
            return St_Fail(ST_NO_MEMORY, "no memory for an endpoint; restart "
                                         "the daemon on a larger host");
        }
        endpoint->table = table;
        endpoint->id_hash = Hash_String(info->id, 0);
        endpoint->limit = info->slots > 0 ? info->slots : 1;
        reset_record(endpoint);
        TAILQ_INSERT_TAIL(&table->endpoints, endpoint, entry);
        table->count++;
    }
    else if (strcmp(endpoint->info.version, info->version) != 0 ||
             strcmp(endpoint->info.address, info->address) != 0 ||
             endpoint->info.port != info->port) {
        reset_record(endpoint);
    }
    endpoint->info = *info;
    if (endpoint->info.slots < 1) {
        endpoint->info.slots = 1;
    }
    endpoint->same_data_centre =
        strcmp(info->data_centre, table->data_centre) == 0;
    return ST_OK;
}

/*
 * Removes an endpoint.  Its flights end as usual; its memory is freed with the
 * last of them.
 */
enum st_status
Ch_Remove(struct ch_table *table, const char *id)
{
    struct ch_endpoint *endpoint = Ch_Find(table, id);
    if (endpoint == NULL) {
        return not_found(id);
    }
    TAILQ_REMOVE(&table->endpoints, endpoint, entry);
    table->count--;
    if (endpoint->in_flight == 0) {
        free(endpoint);
        return ST_OK;
    }
    endpoint->removed = true;
    TAILQ_INSERT_TAIL(&table->removed, endpoint, entry);
    return ST_OK;
}

/*
 * Records the state of an endpoint; "left" is the time until a leaving one
 * stops.  Leaving is final for an id: the platform's list lags, so an older
 * "live" that arrives after the notice must not direct new requests to a host
 * that is about to stop.
 */
enum st_status
Ch_SetState(struct ch_table *table, const char *id, enum ch_state state,
            int64_t left, int64_t now)
{
    struct ch_endpoint *endpoint = Ch_Find(table, id);
    if (endpoint == NULL) {
        return not_found(id);
    }
    if (state == CH_LEAVING) {
        int64_t gone_at = now + left;
        if (endpoint->state != CH_LEAVING || gone_at < endpoint->gone_at) {
            endpoint->gone_at = gone_at;
        }
        endpoint->state = CH_LEAVING;
    }
    else if (endpoint->state != CH_LEAVING) {
        if (state == CH_SUSPECT && endpoint->state != CH_SUSPECT) {
            endpoint->suspect_since = now;
        }
        endpoint->state = state;
    }
    return ST_OK;
}

/* Records a load report, unless it is older than the last one. */
enum st_status
Ch_Report(struct ch_table *table, const char *id,
          const struct ch_sample *sample)
{
    struct ch_endpoint *endpoint = Ch_Find(table, id);
    if (endpoint == NULL) {
        return not_found(id);
    }
    if (!endpoint->reported || sample->taken > endpoint->sample.taken) {
        endpoint->sample = *sample;
        endpoint->reported = true;
        if (sample->taken > endpoint->unreached_at) {
            endpoint->unreachable_until = 0;
        }
    }
    return ST_OK;
}

/* Replaces the version shares; without any, all trusted versions are used. */
enum st_status
Ch_SetShares(struct ch_table *table, const struct ch_share *shares,
             size_t count)
{
    if (count > Ch_VERSIONS_MAX) {
        return St_Fail(ST_INVALID,
                       "%zu versions of one service carry traffic; name at "
                       "most %d",
                       count, Ch_VERSIONS_MAX);
    }
    if (count > 0) {
        memcpy(table->shares, shares, count * sizeof(*shares));
    }
    table->share_count = count;
    return ST_OK;
}

void
Ch_SetTrial(struct ch_table *table, const char *version)
{
    strlcpy(table->trial, version != NULL ? version : "",
            sizeof(table->trial));
}

static bool
is_listed(const struct ch_table *table, const char *version)
{
    for (size_t i = 0; i < table->share_count; i++) {
        if (strcmp(table->shares[i].version, version) == 0) {
            return true;
        }
    }
    return false;
}

/*
 * Stops new requests to a version permanently.  If the list of distrusted
 * versions is full, the oldest one that is not in the list of shares is
 * dropped: it gets no requests anyway.
 */
enum st_status
Ch_Distrust(struct ch_table *table, const char *version)
{
    if (!Ch_Trusted(table, version)) {
        return ST_OK;
    }
    if (table->distrusted_count == CH_DISTRUSTED_MAX) {
        size_t victim = 0;
        for (size_t i = CH_DISTRUSTED_MAX; i > 0; i--) {
            if (!is_listed(table, table->distrusted[i - 1])) {
                victim = i - 1;
            }
        }
        table->distrusted_count--;
        memmove(table->distrusted[victim], table->distrusted[victim + 1],
                (table->distrusted_count - victim) * Ch_NAME_MAX);
    }
    strlcpy(table->distrusted[table->distrusted_count], version, Ch_NAME_MAX);
    table->distrusted_count++;
    return ST_OK;
}

void
Ch_SetWarmup(struct ch_table *table, double per_sec, int64_t cold_usec,
             const struct wu_hosts *hosts)
{
    table->cold_per_sec = hosts != NULL ? per_sec : 0;
    table->cold_usec = cold_usec;
    table->hosts = hosts;
}

void
Ch_SetCold(struct ch_table *table, const char *id, int64_t left, int64_t now)
{
    struct ch_endpoint *endpoint = Ch_Find(table, id);
    if (endpoint != NULL && now >= endpoint->cold_report_at) {
        endpoint->cold_report_at = now;
        Wu_SetColdLeft(&endpoint->warmup, left, now);
    }
}
