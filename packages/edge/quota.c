#include "edge/quota.h"

#include <bsd/string.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/hash.h"

#define Qt_HASH_SEED 0x71756f74
#define Qt_TENANTS_MAX 256
/*
 * A daemon that starts again does not know what was admitted before; with a
 * full bucket, all daemons killed in a row would admit the burst anew.
 */
#define Qt_RESTART_SHARE 0.05
/* How long a word of others may take, and over how long their rate is taken.
 */
#define Qt_FORESEE_SEC 0.7
#define Qt_OTHERS_SEC 1.5
/* How long what was left to unheard daemons waits for their word. */
#define Qt_RESERVE_SEC 3.0
#define Qt_WAIT_MIN_USEC (100 * Ck_USEC_PER_MSEC)

struct bucket {
    char tenant[Ec_NAME_MAX];
    uint32_t hash;
    double per_sec;
    double burst;
    double level;
    double reserve;  /* left to daemons that were not heard */
    double total;    /* admitted here since the start */
    double others;   /* what others admit, tokens a second */
    double foreseen; /* taken out for others before they told of it */
    int64_t told_at; /* when others last told of any */
    int64_t filled_at;
    bool seen;
};

struct qt_quota {
    const struct ck_clock *clock;
    double share;
    double part;
    double start_share;
    size_t count;
    struct bucket buckets[Qt_TENANTS_MAX];
};

/* NULL without memory. */
struct qt_quota *
Qt_Create(const struct ck_clock *clock, bool first_start)
{
    struct qt_quota *quota = calloc(1, sizeof(*quota));
    if (quota != NULL) {
        quota->clock = clock;
        quota->share = 1;
        quota->part = 1;
        quota->start_share = first_start ? 1 : Qt_RESTART_SHARE;
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

static struct bucket *
find(struct qt_quota *quota, uint32_t hash)
{
    for (size_t i = 0; i < quota->count; i++) {
        if (quota->buckets[i].hash == hash) {
            return &quota->buckets[i];
        }
    }
    return NULL;
}

/*
 * Others tell what they admitted some tenths of a second late, with many
 * daemons up to a second; until then they are taken to go on as before.  When
 * nothing more is told it is given back.
 */
static void
foresee(struct bucket *bucket, int64_t now, double seconds)
{
    if (now - bucket->told_at > Qt_FORESEE_SEC * Ck_USEC_PER_SEC) {
        bucket->level += bucket->foreseen;
        bucket->foreseen = 0;
        bucket->others = 0;
        return;
    }
    double more = bucket->others * seconds;
    double most = bucket->others * Qt_FORESEE_SEC;
    if (bucket->foreseen + more > most) {
        more = most > bucket->foreseen ? most - bucket->foreseen : 0;
    }
    bucket->foreseen += more;
    bucket->level -= more;
    bucket->others *= exp(-seconds / Qt_OTHERS_SEC);
}

static void
fill(struct qt_quota *quota, struct bucket *bucket)
{
    int64_t now = Ck_Now(quota->clock);
    double gain = bucket->per_sec * (double)(now - bucket->filled_at) /
                  (double)Ck_USEC_PER_SEC;
    double seconds =
        (double)(now - bucket->filled_at) / (double)Ck_USEC_PER_SEC;
    bucket->filled_at = now;
    foresee(bucket, now, seconds);
    double most = bucket->burst * quota->share;
    bucket->level += gain * quota->share;
    if (bucket->level > most) {
        bucket->level = most;
    }
    bucket->reserve += gain * (1 - quota->share);
    if (quota->share >= 1) {
        bucket->reserve *= exp(-seconds / Qt_RESERVE_SEC);
    }
}

void
Qt_SetPart(struct qt_quota *quota, double part)
{
    quota->part = part;
}

/* Takes the limits of a configuration; levels are kept. */
void
Qt_Configure(struct qt_quota *quota, const struct ec_config *config)
{
    for (size_t i = 0; i < config->tenant_count; i++) {
        const struct ec_tenant *tenant = &config->tenants[i];
        struct bucket *bucket = find(quota, Qt_Hash(tenant->name));
        if (bucket == NULL && quota->count < Qt_TENANTS_MAX) {
            bucket = &quota->buckets[quota->count++];
            memset(bucket, 0, sizeof(*bucket));
            strlcpy(bucket->tenant, tenant->name, sizeof(bucket->tenant));
            bucket->hash = Qt_Hash(tenant->name);
            bucket->burst = tenant->burst;
            bucket->level = tenant->burst * quota->start_share;
            bucket->filled_at = Ck_Now(quota->clock);
        }
        if (bucket == NULL) {
            continue;
        }
        fill(quota, bucket);
        bucket->per_sec = tenant->per_sec * quota->part;
        bucket->burst = tenant->burst;
    }
}

void
Qt_SetShare(struct qt_quota *quota, double share)
{
    if (share == quota->share) {
        return;
    }
    for (size_t i = 0; i < quota->count; i++) {
        struct bucket *bucket = &quota->buckets[i];
        fill(quota, bucket);
        if (share < quota->share && bucket->level > 0) {
            bucket->level *= share / quota->share;
        }
    }
    quota->share = share;
}

bool
Qt_Take(struct qt_quota *quota, const char *tenant, double cost,
        int64_t *wait_usec)
{
    struct bucket *bucket = find(quota, Qt_Hash(tenant));
    if (bucket == NULL || bucket->per_sec <= 0) {
        return true;
    }
    fill(quota, bucket);
    double level = bucket->level;
    double rate = bucket->per_sec * quota->share;
    double most = bucket->burst * quota->share;
    /*
     * One request may exceed what a bucket can ever hold; it goes through
     * when the bucket is full and is paid for afterwards.
     */
    double need = cost < most ? cost : most;
    if (level < need) {
        *wait_usec =
            (int64_t)((need - level) / rate * (double)Ck_USEC_PER_SEC);
        if (*wait_usec < Qt_WAIT_MIN_USEC) {
            *wait_usec = Qt_WAIT_MIN_USEC;
        }
        return false;
    }
    bucket->level -= cost;
    bucket->total += cost;
    return true;
}

/* Gives back what a request took that was then not run. */
void
Qt_Refund(struct qt_quota *quota, const char *tenant, double cost)
{
    struct bucket *bucket = find(quota, Qt_Hash(tenant));
    if (bucket != NULL && bucket->per_sec > 0) {
        bucket->level += cost;
    }
}

void
Qt_Each(const struct qt_quota *quota, qt_each_fn fn, void *arg)
{
    for (size_t i = 0; i < quota->count; i++) {
        if (quota->buckets[i].total > 0) {
            fn(arg, quota->buckets[i].hash, (uint64_t)quota->buckets[i].total);
        }
    }
}

void
Qt_Spent(struct qt_quota *quota, uint32_t tenant, double cost, bool apart)
{
    struct bucket *bucket = find(quota, tenant);
    if (bucket == NULL) {
        return;
    }
    fill(quota, bucket);
    if (apart) {
        double reserved = cost < bucket->reserve ? cost : bucket->reserve;
        bucket->reserve -= reserved;
        bucket->level -= cost - reserved;
        return;
    }
    bucket->told_at = bucket->filled_at;
    bucket->others += cost / Qt_OTHERS_SEC;
    double known = cost < bucket->foreseen ? cost : bucket->foreseen;
    bucket->foreseen -= known;
    bucket->level -= cost - known;
}
