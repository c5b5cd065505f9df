#include "edge/quota.h"

#include <bsd/string.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "edge/quota_internal.h"

#define Qt_HASH_SEED 0x71756f74
/*
 * A restarted daemon does not know what was admitted before. If every bucket
 * started full, the daemons would admit the whole burst again when all of them
 * are killed one after another.
 */
#define Qt_RESTART_FILL 0.05
/*
 * The bucket of a removed customer is kept for a window and this time, in
 * which all daemons apply the configuration.
 */
#define Qt_KEEP_USEC (3 * Ck_USEC_PER_SEC)
/* Assumed delay of peers' reports until Qt_SetPeers() is called. */
#define Qt_PREDICT_DEFAULT_SEC 0.7
/*
 * The record is up to a second old when all daemons die. Usage in the newer
 * half of an eight-second window grows by a quarter in that time, and by half
 * when the load is rising.
 */
#define Qt_UNRECORDED_FACTOR 1.5

struct qt_quota *
Qt_Create(const struct ck_clock *clock, bool first_start)
{
    struct qt_quota *quota = calloc(1, sizeof(*quota));
    if (quota != NULL) {
        quota->clock = clock;
        quota->share = 1;
        quota->predict_sec = Qt_PREDICT_DEFAULT_SEC;
        quota->start_fill = first_start ? 1 : Qt_RESTART_FILL;
        quota->started_at = Ck_Now(clock);
    }
    return quota;
}

void
Qt_Destroy(struct qt_quota *quota)
{
    free(quota);
}

uint32_t
Qt_Hash(const char *tenant)
{
    return (uint32_t)Hash_String(tenant, Qt_HASH_SEED);
}

struct qt_bucket *
qt_find(struct qt_quota *quota, uint32_t hash)
{
    for (size_t i = 0; i < quota->count; i++) {
        if (quota->buckets[i].hash == hash) {
            return &quota->buckets[i];
        }
    }
    return NULL;
}

void
Qt_SetWindow(struct qt_quota *quota, int64_t usec)
{
    quota->window_usec = usec;
}

static const struct qt_recent *
find_restored(const struct qt_quota *quota, uint32_t hash)
{
    for (size_t i = 0; i < quota->restored_count; i++) {
        if (quota->restored[i].tenant == hash) {
            return &quota->restored[i];
        }
    }
    return NULL;
}

/*
 * When all daemons die while a customer requests several times its limit,
 * their counters die with them. With an empty window the customer would get
 * its limit a second time. So the window before the start is filled from the
 * lease holder's last record, plus what may have been spent since that record.
 * Without a record, the window counts as full.
 */
static void
assume_past_usage(const struct qt_quota *quota, struct qt_bucket *bucket)
{
    double half = qt_window_limit(quota, bucket) / 2;
    struct wn_past past = {half, half};
    const struct qt_recent *recent = find_restored(quota, bucket->hash);
    if (recent != NULL) {
        past.older = recent->past.older;
        past.newer = recent->past.newer * Qt_UNRECORDED_FACTOR;
    }
    Wn_SetPast(&bucket->window, &past);
    if (recent != NULL) {
        double level_max = fmin(bucket->burst, qt_window_room(bucket));
        bucket->level = fmax(bucket->level, level_max);
    }
}

/* Whether requests admitted before the restart may still be in the window. */
static bool
just_restarted(const struct qt_quota *quota)
{
    return quota->start_fill < 1 &&
           Ck_Now(quota->clock) - quota->started_at < quota->window_usec;
}

static void
start_window(const struct qt_quota *quota, struct qt_bucket *bucket)
{
    if (quota->window_usec == 0 || bucket->per_sec <= 0 ||
        bucket->window.step_usec > 0) {
        return;
    }
    Wn_Start(&bucket->window, quota->window_usec, bucket->per_sec,
             bucket->burst, Ck_Now(quota->clock));
    if (just_restarted(quota)) {
        assume_past_usage(quota, bucket);
    }
}

void
Qt_RestoreUsage(struct qt_quota *quota, const struct qt_recent *rows,
                size_t count)
{
    if (quota->restored_count > 0 || !just_restarted(quota)) {
        return;
    }
    for (size_t i = 0; i < count && i < Qt_RECENT_MAX; i++) {
        quota->restored[quota->restored_count++] = rows[i];
        struct qt_bucket *bucket = qt_find(quota, rows[i].tenant);
        if (bucket != NULL && bucket->window.step_usec > 0) {
            qt_fill(quota, bucket);
            assume_past_usage(quota, bucket);
        }
    }
}

size_t
Qt_RecentUsage(struct qt_quota *quota, struct qt_recent out[Qt_RECENT_MAX])
{
    size_t count = 0;
    for (size_t i = 0; i < quota->count && count < Qt_RECENT_MAX; i++) {
        struct qt_bucket *bucket = &quota->buckets[i];
        if (bucket->window.step_usec == 0) {
            continue;
        }
        qt_fill(quota, bucket);
        struct wn_past past = Wn_Past(&bucket->window);
        bool near_limit = past.newer > qt_window_limit(quota, bucket) / 2;
        out[count++] = (struct qt_recent){past, bucket->hash, near_limit};
    }
    return count;
}

static bool
is_configured(const struct ec_config *config, uint32_t hash)
{
    for (size_t i = 0; i < config->tenant_count; i++) {
        if (Qt_Hash(config->tenants[i].name) == hash) {
            return true;
        }
    }
    return false;
}

/*
 * Frees the buckets of customers that were removed by earlier configurations.
 * One that is removed for a moment keeps its usage.
 */
static void
free_removed(struct qt_quota *quota, const struct ec_config *config)
{
    int64_t now = Ck_Now(quota->clock);
    size_t kept = 0;
    for (size_t i = 0; i < quota->count; i++) {
        struct qt_bucket *bucket = &quota->buckets[i];
        bool configured = is_configured(config, bucket->hash);
        if (!configured && bucket->removed_at != 0 &&
            now - bucket->removed_at >= quota->window_usec + Qt_KEEP_USEC) {
            continue;
        }
        if (configured) {
            bucket->removed_at = 0;
        }
        else if (bucket->removed_at == 0) {
            bucket->removed_at = now;
        }
        if (kept != i) {
            quota->buckets[kept] = *bucket;
        }
        kept++;
    }
    quota->count = kept;
}

/* Takes the limits of a configuration; bucket levels are kept. */
void
Qt_Configure(struct qt_quota *quota, const struct ec_config *config)
{
    free_removed(quota, config);
    for (size_t i = 0; i < config->tenant_count; i++) {
        const struct ec_tenant *tenant = &config->tenants[i];
        struct qt_bucket *bucket = qt_find(quota, Qt_Hash(tenant->name));
        if (bucket == NULL && quota->count < Qt_TENANTS_MAX) {
            bucket = &quota->buckets[quota->count++];
            memset(bucket, 0, sizeof(*bucket));
            strlcpy(bucket->tenant, tenant->name, sizeof(bucket->tenant));
            bucket->hash = Qt_Hash(tenant->name);
            bucket->burst = tenant->burst;
            bucket->level = tenant->burst * quota->start_fill;
            bucket->filled_at = Ck_Now(quota->clock);
            for (int rank = 0; rank < Rk_RANKS; rank++) {
                bucket->ranks[rank].credit =
                    qt_first_credit(quota, bucket->hash, rank);
            }
        }
        if (bucket == NULL) {
            continue;
        }
        qt_fill(quota, bucket);
        bool lower =
            tenant->per_sec < bucket->per_sec || tenant->burst < bucket->burst;
        bucket->per_sec = tenant->per_sec;
        bucket->burst = tenant->burst;
        if (bucket->window.step_usec > 0 && lower) {
            Wn_Lower(&bucket->window, tenant->per_sec, tenant->burst);
            qt_bound_reserve(quota, bucket);
        }
        bucket->counts_tokens = tenant->counts_tokens;
        start_window(quota, bucket);
    }
}

struct qt_usage
Qt_Usage(struct qt_quota *quota, const char *tenant)
{
    struct qt_bucket *bucket = qt_find(quota, Qt_Hash(tenant));
    if (bucket == NULL || bucket->window.step_usec == 0) {
        return (struct qt_usage){.fractions = {1, 1, 1, 1}};
    }
    qt_fill(quota, bucket);
    struct wn_past past = Wn_Past(&bucket->window);
    struct qt_division division = qt_divide(quota, bucket);
    struct qt_usage usage = {.spent = past.older + past.newer,
                             .limit = qt_window_limit(quota, bucket),
                             .sustained = division.sustained};
    memcpy(usage.fractions, division.fractions, sizeof(usage.fractions));
    return usage;
}

void
Qt_Each(const struct qt_quota *quota, qt_each_fn fn, void *arg)
{
    for (size_t i = 0; i < quota->count; i++) {
        const struct qt_bucket *bucket = &quota->buckets[i];
        if (bucket->requested > 0) {
            fn(arg, bucket->hash, (uint64_t)bucket->admitted,
               (uint64_t)bucket->requested);
        }
    }
}
