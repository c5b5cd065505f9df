#include "edge/fleet.h"

#include <bsd/string.h>
#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "base/line.h"

#define Fl_HASH_SEED 0x666c6565

RB_HEAD(fl_tree, fl_endpoint);

struct fl_fleet {
    const struct ck_clock *clock;
    struct fl_list endpoints;
    struct fl_tree by_hash;
    int64_t doubt_until;
    size_t evacuated_count;
    char evacuated[Fl_EVACUATED_MAX][Ec_NAME_MAX];
};

static int
compare_hashes(const struct fl_endpoint *a, const struct fl_endpoint *b)
{
    return (a->hash > b->hash) - (a->hash < b->hash);
}

RB_PROTOTYPE(fl_tree, fl_endpoint, by_hash, compare_hashes);
RB_GENERATE(fl_tree, fl_endpoint, by_hash, compare_hashes);

struct fl_fleet *
Fl_Create(const struct ck_clock *clock)
{
    struct fl_fleet *fleet = calloc(1, sizeof(*fleet));
    if (fleet != NULL) {
        fleet->clock = clock;
        TAILQ_INIT(&fleet->endpoints);
        RB_INIT(&fleet->by_hash);
    }
    return fleet;
}

bool
Fl_SameEntry(const struct fl_entry *before, const struct fl_entry *now)
{
    return strcmp(before->id, now->id) == 0 &&
           strcmp(before->service, now->service) == 0 &&
           strcmp(before->address, now->address) == 0 &&
           strcmp(before->zone, now->zone) == 0 &&
           strcmp(before->version, now->version) == 0 &&
           before->slots == now->slots && before->draining == now->draining &&
           before->spot == now->spot && before->born == now->born &&
           now->cold_usec <= before->cold_usec;
}

static void
close_idle(struct fl_endpoint *endpoint)
{
    struct fl_idle *idle;
    while ((idle = TAILQ_FIRST(&endpoint->idle)) != NULL) {
        TAILQ_REMOVE(&endpoint->idle, idle, link);
        Cn_Close(idle->channel);
        endpoint->connections--;
        free(idle);
    }
}

struct fl_endpoint *
Fl_Hold(struct fl_endpoint *endpoint)
{
    endpoint->refs++;
    return endpoint;
}

void
Fl_Drop(struct fl_endpoint *endpoint)
{
    if (endpoint != NULL && --endpoint->refs == 0) {
        close_idle(endpoint);
        free(endpoint);
    }
}

static void
log_change(const struct fl_endpoint *endpoint, const char *what)
{
    Ln_Log(LN_STATE, "endpoint.changed",
           "\"id\":\"%s\",\"to\":\"%s\",\"service\":\"%s\",\"zone\":\"%s\","
           "\"spot\":%d,\"running\":%d",
           endpoint->entry.id, what, endpoint->entry.service,
           endpoint->entry.zone, endpoint->entry.spot, endpoint->running);
}

static void
remove_now(struct fl_fleet *fleet, struct fl_endpoint *endpoint)
{
    log_change(endpoint, "gone");
    endpoint->gone = true;
    close_idle(endpoint);
    TAILQ_REMOVE(&fleet->endpoints, endpoint, link);
    RB_REMOVE(fl_tree, &fleet->by_hash, endpoint);
    Fl_Drop(endpoint);
}

void
Fl_Destroy(struct fl_fleet *fleet)
{
    if (fleet == NULL) {
        return;
    }
    struct fl_endpoint *endpoint;
    struct fl_endpoint *next;
    TAILQ_FOREACH_SAFE (endpoint, &fleet->endpoints, link, next) {
        remove_now(fleet, endpoint);
    }
    free(fleet);
}

static uint32_t
hash_of(const char *id)
{
    return (uint32_t)Hash_String(id, Fl_HASH_SEED);
}

struct fl_endpoint *
Fl_ByHash(const struct fl_fleet *fleet, uint32_t hash)
{
    struct fl_endpoint wanted = {.hash = hash};
    return RB_FIND(fl_tree, (struct fl_tree *)&fleet->by_hash, &wanted);
}

struct fl_endpoint *
Fl_Find(const struct fl_fleet *fleet, const char *id)
{
    struct fl_endpoint *endpoint = Fl_ByHash(fleet, hash_of(id));
    return endpoint != NULL && strcmp(endpoint->entry.id, id) == 0 ? endpoint
                                                                   : NULL;
}

static struct fl_endpoint *
add(struct fl_fleet *fleet, const struct fl_entry *entry)
{
    struct fl_endpoint *endpoint = calloc(1, sizeof(*endpoint));
    if (endpoint == NULL) {
        return NULL;
    }
    endpoint->refs = 1;
    endpoint->hash = hash_of(entry->id);
    endpoint->since = Ck_Now(fleet->clock);
    TAILQ_INIT(&endpoint->idle);
    if (RB_INSERT(fl_tree, &fleet->by_hash, endpoint) != NULL) {
        /* Daemons name endpoints to each other by this. */
        Ln_Log(LN_FAILURE, "endpoint.unnamable", "\"id\":\"%s\"", entry->id);
        free(endpoint);
        return NULL;
    }
    TAILQ_INSERT_TAIL(&fleet->endpoints, endpoint, link);
    return endpoint;
}

/* Takes an entry that an endpoint wrote. */
void
Fl_Apply(struct fl_fleet *fleet, const struct fl_entry *entry)
{
    struct fl_endpoint *endpoint = Fl_Find(fleet, entry->id);
    if (endpoint != NULL &&
        (endpoint->entry.born != entry->born ||
         strcmp(endpoint->entry.address, entry->address) != 0)) {
        /* Started again: another engine under the same name. */
        remove_now(fleet, endpoint);
        endpoint = NULL;
    }
    if (endpoint == NULL) {
        endpoint = add(fleet, entry);
        if (endpoint == NULL) {
            return;
        }
    }
    /* One that leaves does not come back under the same start. */
    bool was_draining = endpoint->entry.draining;
    bool draining = was_draining || entry->draining;
    bool fresh = endpoint->entry.id[0] == '\0';
    endpoint->entry = *entry;
    endpoint->entry.draining = draining;
    endpoint->vanished_at = 0;
    endpoint->refreshed_at = Ck_Now(fleet->clock);
    endpoint->evacuated = Fl_IsEvacuated(fleet, entry->zone);
    Wu_Told(&endpoint->warmup, entry->cold_usec, endpoint->refreshed_at);
    if (fresh || was_draining != draining) {
        log_change(endpoint, draining ? "draining" : "ready");
    }
    if (draining) {
        close_idle(endpoint);
    }
}

/* Takes the removal of an entry. */
void
Fl_Remove(struct fl_fleet *fleet, const char *id)
{
    struct fl_endpoint *endpoint = Fl_Find(fleet, id);
    if (endpoint == NULL) {
        return;
    }
    int64_t now = Ck_Now(fleet->clock);
    if (now < fleet->doubt_until && !endpoint->entry.draining) {
        if (endpoint->vanished_at == 0) {
            endpoint->vanished_at = now;
            log_change(endpoint, "doubted");
        }
        return;
    }
    remove_now(fleet, endpoint);
}

void
Fl_Doubt(struct fl_fleet *fleet, int64_t usec)
{
    fleet->doubt_until = Ck_Now(fleet->clock) + usec;
}

/*
 * While the store was away entries lapse though their endpoints live; they
 * are written again within two seconds of its return.  A removal told in that
 * time is believed at its end, also one told late in it: an endpoint that did
 * leave must not be sent anything past the drain bound.
 */
void
Fl_Tick(struct fl_fleet *fleet)
{
    int64_t now = Ck_Now(fleet->clock);
    struct fl_endpoint *endpoint;
    struct fl_endpoint *next;
    TAILQ_FOREACH_SAFE (endpoint, &fleet->endpoints, link, next) {
        if (endpoint->vanished_at != 0 && now >= fleet->doubt_until) {
            remove_now(fleet, endpoint);
        }
    }
}

void
Fl_ClearOthers(struct fl_fleet *fleet)
{
    struct fl_endpoint *endpoint;
    TAILQ_FOREACH (endpoint, &fleet->endpoints, link) {
        endpoint->others_running = 0;
        endpoint->others_reading = 0;
        endpoint->near_running = 0;
        endpoint->near_reading = 0;
    }
}

/* Its index; the count where it is none of them. */
static size_t
find_evacuated(const struct fl_fleet *fleet, const char *zone)
{
    size_t i = 0;
    while (i < fleet->evacuated_count &&
           strcmp(fleet->evacuated[i], zone) != 0) {
        i++;
    }
    return i;
}

bool
Fl_IsEvacuated(const struct fl_fleet *fleet, const char *zone)
{
    return find_evacuated(fleet, zone) < fleet->evacuated_count;
}

/* False: it was so before, or there are too many. */
static bool
note_evacuated(struct fl_fleet *fleet, const char *zone, bool asked)
{
    size_t at = find_evacuated(fleet, zone);
    size_t count = fleet->evacuated_count;
    if (asked == (at < count) || zone[0] == '\0') {
        return false;
    }
    if (!asked) {
        fleet->evacuated_count--;
        memmove(fleet->evacuated[at], fleet->evacuated[count - 1],
                sizeof(fleet->evacuated[at]));
        return true;
    }
    if (count == Fl_EVACUATED_MAX) {
        Ln_Log(LN_FAILURE, "evacuation.unknown", "\"zone\":\"%s\"", zone);
        return false;
    }
    fleet->evacuated_count++;
    return strlcpy(fleet->evacuated[at], zone, Ec_NAME_MAX) < Ec_NAME_MAX;
}

bool
Fl_Evacuate(struct fl_fleet *fleet, const char *zone, bool asked)
{
    if (!note_evacuated(fleet, zone, asked)) {
        return false;
    }
    int running = 0;
    size_t count = 0;
    struct fl_endpoint *endpoint;
    TAILQ_FOREACH (endpoint, &fleet->endpoints, link) {
        if (strcmp(endpoint->entry.zone, zone) != 0) {
            continue;
        }
        count++;
        running += endpoint->running;
        endpoint->evacuated = asked;
        if (asked) {
            close_idle(endpoint);
        }
        endpoint->returned_at = asked ? 0 : Ck_Now(fleet->clock);
    }
    Ln_Log(LN_STATE, asked ? "zone.evacuated" : "zone.returned",
           "\"zone\":\"%s\",\"endpoints\":%zu,\"running\":%d", zone, count,
           running);
    return true;
}

int
Fl_CountEvacuated(const struct fl_fleet *fleet)
{
    int running = 0;
    const struct fl_endpoint *endpoint;
    TAILQ_FOREACH (endpoint, &fleet->endpoints, link) {
        running += endpoint->evacuated ? endpoint->running : 0;
    }
    return running;
}

const struct fl_list *
Fl_All(const struct fl_fleet *fleet)
{
    return &fleet->endpoints;
}

/* Whether new requests may go there, its health aside. */
bool
Fl_Usable(const struct fl_endpoint *endpoint)
{
    return !endpoint->gone && !endpoint->entry.draining &&
           !endpoint->evacuated;
}

bool
Fl_Any(const struct fl_fleet *fleet)
{
    return !TAILQ_EMPTY(&fleet->endpoints);
}
