#include "edge/zones.h"

#include <bsd/string.h>
#include <stdlib.h>
#include <string.h>

/* The current reporter, and the one that takes over from it. */
#define Zn_REPORTERS 2
/* A reporter that has sent no summary for this long has stopped. */
#define Zn_REPORTER_TIMEOUT_USEC (1500 * Ck_USEC_PER_MSEC)

struct usage_rows {
    size_t count;
    struct ms_usage rows[Ms_USAGE_MAX];
};

struct reporter {
    uint64_t run;    /* 0: unused entry */
    int64_t up_usec; /* age of the process in its last summary */
    int64_t last_summary_at;
    struct usage_rows received; /* from its last summary */
    struct usage_rows charged;  /* the part of "received" that was charged */
    size_t rank_demand_count;
    struct ms_rank_demand rank_demands[Ms_RANK_DEMANDS_MAX];
    size_t load_count;
    struct ms_load loads[Ms_SUMMARY_LOADS_MAX];
};

struct zone {
    TAILQ_ENTRY(zone) link;
    char name[Nd_NAME_MAX];
    size_t current; /* index of the reporter whose summaries are used */
    struct reporter reporters[Zn_REPORTERS];
};

TAILQ_HEAD(zone_list, zone);

struct zn_zones {
    const struct ck_clock *clock;
    size_t peer_usage_count;
    /* of the other daemons in this data centre */
    struct ms_usage peer_usage[Ms_USAGE_MAX];
    int64_t peer_usage_at[Ms_USAGE_MAX]; /* time of the last increase */
    struct zone_list zones;
};

/* NULL: out of memory. */
struct zn_zones *
Zn_Create(const struct ck_clock *clock)
{
    struct zn_zones *zones = calloc(1, sizeof(*zones));
    if (zones != NULL) {
        zones->clock = clock;
        TAILQ_INIT(&zones->zones);
    }
    return zones;
}

void
Zn_Destroy(struct zn_zones *zones)
{
    if (zones == NULL) {
        return;
    }
    struct zone *zone;
    while ((zone = TAILQ_FIRST(&zones->zones)) != NULL) {
        TAILQ_REMOVE(&zones->zones, zone, link);
        free(zone);
    }
    free(zones);
}

/*
 * The sums of customers that have sent nothing for this long may be removed.
 * Most of these customers are no longer configured.
 */
#define Zn_UNUSED_USEC (60 * Ck_USEC_PER_SEC)

/* NULL: the tenant has no row and the table is full. */
static struct ms_usage *
find_or_add_usage(struct ms_usage *rows, size_t *count, uint32_t tenant)
{
    for (size_t i = 0; i < *count; i++) {
        if (rows[i].tenant == tenant) {
            return &rows[i];
        }
    }
    if (*count == Ms_USAGE_MAX) {
        return NULL;
    }
    rows[*count] = (struct ms_usage){tenant, 0, 0};
    return &rows[(*count)++];
}

static void
add_usage(struct ms_usage *rows, size_t *count, const struct ms_usage *more)
{
    struct ms_usage *row = find_or_add_usage(rows, count, more->tenant);
    if (row != NULL) {
        row->total += more->total;
        row->requested += more->requested;
    }
}

/* Removes the rows that are not used any more. */
static void
free_unused(struct zn_zones *zones, int64_t now)
{
    size_t kept = 0;
    for (size_t i = 0; i < zones->peer_usage_count; i++) {
        if (now - zones->peer_usage_at[i] < Zn_UNUSED_USEC) {
            zones->peer_usage[kept] = zones->peer_usage[i];
            zones->peer_usage_at[kept++] = zones->peer_usage_at[i];
        }
    }
    zones->peer_usage_count = kept;
}

void
Zn_AddLocalUsage(struct zn_zones *zones, const struct ms_usage *more)
{
    if (more->total == 0 && more->requested == 0) {
        return;
    }
    int64_t now = Ck_Now(zones->clock);
    if (zones->peer_usage_count == Ms_USAGE_MAX) {
        free_unused(zones, now);
    }
    struct ms_usage *row = find_or_add_usage(
        zones->peer_usage, &zones->peer_usage_count, more->tenant);
    if (row != NULL) {
        row->total += more->total;
        row->requested += more->requested;
        zones->peer_usage_at[row - zones->peer_usage] = now;
    }
}

void
Zn_Summarize(const struct zn_zones *zones, struct ms_message *message)
{
    for (size_t i = 0; i < zones->peer_usage_count; i++) {
        add_usage(message->usage, &message->usage_count,
                  &zones->peer_usage[i]);
    }
}

void
Zn_AddRankDemand(struct ms_message *summary, const struct ms_rank_demand *more)
{
    size_t i = 0;
    while (i < summary->rank_demand_count &&
           summary->rank_demands[i].tenant != more->tenant) {
        i++;
    }
    if (i == Ms_RANK_DEMANDS_MAX) {
        return;
    }
    struct ms_rank_demand *row = &summary->rank_demands[i];
    if (i == summary->rank_demand_count) {
        *row = (struct ms_rank_demand){.tenant = more->tenant};
        summary->rank_demand_count++;
    }
    for (int rank = 0; rank < Rk_RANKS; rank++) {
        uint32_t left = UINT32_MAX - row->per_sec[rank];
        row->per_sec[rank] +=
            more->per_sec[rank] < left ? more->per_sec[rank] : left;
    }
}

static bool
is_active(const struct zn_zones *zones, const struct reporter *reporter)
{
    return reporter->run != 0 &&
           Ck_Now(zones->clock) - reporter->last_summary_at <
               Zn_REPORTER_TIMEOUT_USEC;
}

static struct zone *
find_zone(const struct zn_zones *zones, const char *name)
{
    struct zone *zone;
    TAILQ_FOREACH (zone, &zones->zones, link) {
        if (strcmp(zone->name, name) == 0) {
            return zone;
        }
    }
    return NULL;
}

static struct zone *
find_or_add_zone(struct zn_zones *zones, const char *name)
{
    struct zone *zone = find_zone(zones, name);
    if (zone == NULL) {
        zone = calloc(1, sizeof(*zone));
    }
    if (zone != NULL && zone->name[0] == '\0') {
        strlcpy(zone->name, name, sizeof(zone->name));
        TAILQ_INSERT_TAIL(&zones->zones, zone, link);
    }
    return zone;
}

/* The entry of a reporter. A new reporter replaces one that is not current. */
static struct reporter *
find_reporter(struct zone *zone, uint64_t run)
{
    for (size_t i = 0; i < Zn_REPORTERS; i++) {
        if (zone->reporters[i].run == run) {
            return &zone->reporters[i];
        }
    }
    return &zone->reporters[(zone->current + 1) % Zn_REPORTERS];
}

/* Calls "fn" for the usage in the last summary that was not charged yet. */
static void
charge_increase(struct reporter *reporter, zn_usage_fn fn, void *arg)
{
    const struct usage_rows *charged = &reporter->charged;
    for (size_t i = 0; i < reporter->received.count; i++) {
        struct ms_usage more = Ms_UsageIncrease(&reporter->received.rows[i],
                                                charged->rows, charged->count);
        fn(arg, &more);
    }
    reporter->charged = reporter->received;
}

static void
store_summary(struct reporter *reporter, const struct ms_message *summary,
              int64_t now)
{
    reporter->received.count = summary->usage_count;
    memcpy(reporter->received.rows, summary->usage, sizeof(summary->usage));
    if (reporter->run != summary->run) {
        reporter->charged = reporter->received;
    }
    reporter->run = summary->run;
    reporter->up_usec = summary->up_usec;
    reporter->last_summary_at = now;
    reporter->rank_demand_count = summary->rank_demand_count;
    memcpy(reporter->rank_demands, summary->rank_demands,
           sizeof(reporter->rank_demands));
    reporter->load_count = summary->load_count;
    memcpy(reporter->loads, summary->loads, sizeof(reporter->loads));
}

/*
 * Two reporters have counted since different times, so only one is used at a
 * time. The first summary of a new reporter is its baseline; only the increase
 * from there on is charged. When the current reporter stops, the other takes
 * over a second and a half later. What the other reported in that time is
 * then charged; otherwise a customer at its limit would get that much of the
 * data centre's usage again.
 */
void
Zn_ApplySummary(struct zn_zones *zones, const struct ms_message *summary,
                zn_usage_fn fn, void *arg)
{
    struct zone *zone = find_or_add_zone(zones, summary->zone);
    if (zone == NULL || summary->run == 0) {
        return;
    }
    struct reporter *reporter = find_reporter(zone, summary->run);
    size_t index = (size_t)(reporter - zone->reporters);
    if (reporter->run == summary->run &&
        reporter->up_usec > summary->up_usec) {
        /* A newer summary has arrived before this one. */
        return;
    }
    if (!is_active(zones, &zone->reporters[zone->current])) {
        zone->current = index;
    }
    store_summary(reporter, summary, Ck_Now(zones->clock));
    if (zone->current != index) {
        return;
    }
    charge_increase(reporter, fn, arg);
    for (size_t i = 0; i < Zn_REPORTERS; i++) {
        zone->reporters[i].charged = zone->reporters[i].received;
    }
}

/*
 * The sums of a reporter that was silent during a partition contain what the
 * daemons on its side spent meanwhile.  The messages of those daemons are
 * charged already, so its sums would be charged a second time.
 */
void
Zn_DropSilentReporters(struct zn_zones *zones, const char *name)
{
    struct zone *zone = find_zone(zones, name);
    for (size_t i = 0; zone != NULL && i < Zn_REPORTERS; i++) {
        struct reporter *reporter = &zone->reporters[i];
        if (!is_active(zones, reporter)) {
            reporter->run = 0;
        }
        else if (i != zone->current) {
            reporter->charged = reporter->received;
        }
    }
}

bool
Zn_IsReported(const struct zn_zones *zones, const char *name)
{
    const struct zone *zone = find_zone(zones, name);
    return zone != NULL && is_active(zones, &zone->reporters[zone->current]);
}

void
Zn_EachLoad(const struct zn_zones *zones, zn_load_fn fn, void *arg)
{
    const struct zone *zone;
    TAILQ_FOREACH (zone, &zones->zones, link) {
        const struct reporter *reporter = &zone->reporters[zone->current];
        if (!is_active(zones, reporter)) {
            continue;
        }
        int64_t age = Ck_Now(zones->clock) - reporter->last_summary_at;
        for (size_t i = 0; i < reporter->load_count; i++) {
            fn(arg, &reporter->loads[i], age);
        }
    }
}

void
Zn_EachRankDemand(const struct zn_zones *zones, zn_rank_demand_fn fn,
                  void *arg)
{
    const struct zone *zone;
    TAILQ_FOREACH (zone, &zones->zones, link) {
        const struct reporter *reporter = &zone->reporters[zone->current];
        if (!is_active(zones, reporter)) {
            continue;
        }
        int64_t age = Ck_Now(zones->clock) - reporter->last_summary_at;
        for (size_t i = 0; i < reporter->rank_demand_count; i++) {
            fn(arg, &reporter->rank_demands[i], age);
        }
    }
}
