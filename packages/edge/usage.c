#include "edge/usage.h"

#include <bsd/sys/queue.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

struct tally {
    int64_t window;
    size_t count;
    struct us_count counts[Us_TENANTS_MAX];
};

struct daemon {
    SLIST_ENTRY(daemon) link;
    uint64_t id; /* 0: this daemon */
    struct tally tallies[Us_WINDOWS];
};

struct us_usage {
    SLIST_HEAD(daemon_list, daemon) daemons;
};

struct us_usage *
Us_Create(void)
{
    struct us_usage *usage = calloc(1, sizeof(*usage));
    if (usage != NULL) {
        SLIST_INIT(&usage->daemons);
    }
    return usage;
}

void
Us_Destroy(struct us_usage *usage)
{
    if (usage == NULL) {
        return;
    }
    struct daemon *daemon;
    while ((daemon = SLIST_FIRST(&usage->daemons)) != NULL) {
        SLIST_REMOVE_HEAD(&usage->daemons, link);
        free(daemon);
    }
    free(usage);
}

static bool
is_expired(const struct daemon *daemon, int64_t window)
{
    for (size_t i = 0; i < Us_WINDOWS; i++) {
        if (daemon->tallies[i].window > window - Us_WINDOWS) {
            return false;
        }
    }
    return daemon->id != 0;
}

/* Finds or adds a daemon; reuses the row of one whose windows are all past. */
static struct daemon *
find(struct us_usage *usage, uint64_t id, int64_t window)
{
    struct daemon *daemon;
    struct daemon *old = NULL;
    SLIST_FOREACH (daemon, &usage->daemons, link) {
        if (daemon->id == id) {
            return daemon;
        }
        if (is_expired(daemon, window)) {
            old = daemon;
        }
    }
    if (old != NULL) {
        memset(old->tallies, 0, sizeof(old->tallies));
        old->id = id;
        return old;
    }
    daemon = calloc(1, sizeof(*daemon));
    if (daemon != NULL) {
        daemon->id = id;
        SLIST_INSERT_HEAD(&usage->daemons, daemon, link);
    }
    return daemon;
}

static struct us_count *
find_count(struct us_usage *usage, uint64_t id, int64_t window,
           uint32_t tenant)
{
    struct daemon *daemon = find(usage, id, window);
    if (daemon == NULL) {
        return NULL;
    }
    struct tally *tally = &daemon->tallies[(uint64_t)window % Us_WINDOWS];
    if (tally->window > window) {
        return NULL;
    }
    if (tally->window < window) {
        tally->window = window;
        tally->count = 0;
    }
    for (size_t i = 0; i < tally->count; i++) {
        if (tally->counts[i].tenant == tenant) {
            return &tally->counts[i];
        }
    }
    if (tally->count == Us_TENANTS_MAX) {
        return NULL;
    }
    struct us_count *count = &tally->counts[tally->count++];
    *count = (struct us_count){tenant, 0};
    return count;
}

void
Us_CountBegun(struct us_usage *usage, int64_t window, uint32_t tenant)
{
    struct us_count *count = find_count(usage, 0, window, tenant);
    if (count != NULL) {
        count->count++;
    }
}

void
Us_TakePeerCount(struct us_usage *usage, uint64_t daemon, int64_t window,
                 uint32_t tenant, uint32_t value)
{
    struct us_count *count = find_count(usage, daemon, window, tenant);
    if (count != NULL && count->count < value) {
        count->count = value;
    }
}

static void
add(struct us_count *out, size_t *count, const struct us_count *more)
{
    for (size_t i = 0; i < *count; i++) {
        if (out[i].tenant == more->tenant) {
            out[i].count += more->count;
            return;
        }
    }
    if (*count < Us_TENANTS_MAX) {
        out[(*count)++] = *more;
    }
}

static size_t
sum(const struct us_usage *usage, int64_t window, bool own,
    struct us_count out[Us_TENANTS_MAX])
{
    size_t count = 0;
    const struct daemon *daemon;
    SLIST_FOREACH (daemon, &usage->daemons, link) {
        const struct tally *tally =
            &daemon->tallies[(uint64_t)window % Us_WINDOWS];
        if (tally->window != window || (own && daemon->id != 0)) {
            continue;
        }
        for (size_t i = 0; i < tally->count; i++) {
            add(out, &count, &tally->counts[i]);
        }
    }
    return count;
}

size_t
Us_Own(const struct us_usage *usage, int64_t window,
       struct us_count out[Us_TENANTS_MAX])
{
    return sum(usage, window, true, out);
}

size_t
Us_Total(const struct us_usage *usage, int64_t window,
         struct us_count out[Us_TENANTS_MAX])
{
    return sum(usage, window, false, out);
}
