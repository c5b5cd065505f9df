#include "edge/zones.h"

#include <bsd/string.h>
#include <stdlib.h>
#include <string.h>

/* One that stopped, and the one that stands in for it. */
#define Zn_REPORTERS 2
/* A reporter not heard for this long has stopped. */
#define Zn_SILENT_USEC (1500 * Ck_USEC_PER_MSEC)

struct spent_rows {
    size_t count;
    struct ms_spent rows[Ms_SPENT_MAX];
};

struct reporter {
    uint64_t run;    /* 0: none */
    int64_t up_usec; /* of the process, as it last said */
    int64_t heard_at;
    struct spent_rows told;    /* last */
    struct spent_rows counted; /* what of that has been counted */
    size_t load_count;
    struct ms_load loads[Ms_SUMMARY_LOADS_MAX];
};

struct zone {
    TAILQ_ENTRY(zone) link;
    char name[Nd_NAME_MAX];
    size_t current; /* the reporter whose word counts */
    struct reporter reporters[Zn_REPORTERS];
};

TAILQ_HEAD(zone_list, zone);

struct zn_zones {
    const struct ck_clock *clock;
    size_t near_count;
    struct ms_spent near[Ms_SPENT_MAX]; /* of the others here */
    struct zone_list zones;
};

/* NULL without memory. */
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

/* NULL where there is neither one nor room for one. */
static struct ms_spent *
find_spent(struct ms_spent *rows, size_t *count, uint32_t tenant)
{
    for (size_t i = 0; i < *count; i++) {
        if (rows[i].tenant == tenant) {
            return &rows[i];
        }
    }
    if (*count == Ms_SPENT_MAX) {
        return NULL;
    }
    rows[*count] = (struct ms_spent){tenant, 0, 0};
    return &rows[(*count)++];
}

static void
add_spent(struct ms_spent *rows, size_t *count, const struct ms_spent *more)
{
    struct ms_spent *row = find_spent(rows, count, more->tenant);
    if (row != NULL) {
        row->total += more->total;
        row->asked += more->asked;
    }
}

void
Zn_AddNear(struct zn_zones *zones, const struct ms_spent *more)
{
    add_spent(zones->near, &zones->near_count, more);
}

void
Zn_Summarize(const struct zn_zones *zones, struct ms_word *word)
{
    for (size_t i = 0; i < zones->near_count; i++) {
        add_spent(word->spent, &word->spent_count, &zones->near[i]);
    }
}

static bool
is_heard(const struct zn_zones *zones, const struct reporter *reporter)
{
    return reporter->run != 0 &&
           Ck_Now(zones->clock) - reporter->heard_at < Zn_SILENT_USEC;
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

/* The entry of a reporter; a new one takes that of one whose word does not
   count. */
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

/* Counts what the reporter has told and was not counted yet. */
static void
count_more(struct reporter *reporter, zn_spent_fn fn, void *arg)
{
    const struct spent_rows *counted = &reporter->counted;
    for (size_t i = 0; i < reporter->told.count; i++) {
        struct ms_spent more = Ms_SpentMore(&reporter->told.rows[i],
                                            counted->rows, counted->count);
        fn(arg, &more);
    }
    reporter->counted = reporter->told;
}

static void
keep(struct reporter *reporter, const struct ms_word *summary, int64_t now)
{
    reporter->told.count = summary->spent_count;
    memcpy(reporter->told.rows, summary->spent, sizeof(summary->spent));
    if (reporter->run != summary->run) {
        reporter->counted = reporter->told;
    }
    reporter->run = summary->run;
    reporter->up_usec = summary->up_usec;
    reporter->heard_at = now;
    reporter->load_count = summary->load_count;
    memcpy(reporter->loads, summary->loads, sizeof(reporter->loads));
}

/*
 * Two reporters have counted from different moments on, so one counts at a
 * time.  What a new one says first is where it stands; only then is it known
 * what is more.  What one that stands in has told since the other was last
 * heard counts when it is believed, a second and a half later: a customer at
 * its limit would get that much of a data centre again.
 */
void
Zn_Take(struct zn_zones *zones, const struct ms_word *summary, zn_spent_fn fn,
        void *arg)
{
    struct zone *zone = find_or_add_zone(zones, summary->zone);
    if (zone == NULL || summary->run == 0) {
        return;
    }
    struct reporter *reporter = find_reporter(zone, summary->run);
    size_t index = (size_t)(reporter - zone->reporters);
    if (reporter->run == summary->run &&
        reporter->up_usec > summary->up_usec) {
        /* It was overtaken on the way. */
        return;
    }
    if (!is_heard(zones, &zone->reporters[zone->current])) {
        zone->current = index;
    }
    keep(reporter, summary, Ck_Now(zones->clock));
    if (zone->current != index) {
        return;
    }
    count_more(reporter, fn, arg);
    for (size_t i = 0; i < Zn_REPORTERS; i++) {
        zone->reporters[i].counted = zone->reporters[i].told;
    }
}

bool
Zn_IsReported(const struct zn_zones *zones, const char *name)
{
    const struct zone *zone = find_zone(zones, name);
    return zone != NULL && is_heard(zones, &zone->reporters[zone->current]);
}

void
Zn_EachLoad(const struct zn_zones *zones, zn_load_fn fn, void *arg)
{
    const struct zone *zone;
    TAILQ_FOREACH (zone, &zones->zones, link) {
        const struct reporter *reporter = &zone->reporters[zone->current];
        if (!is_heard(zones, reporter)) {
            continue;
        }
        int64_t age = Ck_Now(zones->clock) - reporter->heard_at;
        for (size_t i = 0; i < reporter->load_count; i++) {
            fn(arg, &reporter->loads[i], age);
        }
    }
}
