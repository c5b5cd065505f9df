#include "edge/fleet.h"

#include <bsd/string.h>
#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "base/log_line.h"
#include "edge/fleet_index.h"

#define Fl_HASH_SEED 0x666c6565

struct fl_fleet {
    const struct ck_clock *clock;
    struct fl_list endpoints;
    struct fl_array array; /* of the same endpoints */
    struct fl_index by_hash;
    uint64_t added; /* endpoints so far */
    struct fl_services services;
    int64_t hold_removals_until;
    size_t evacuated_count;
    char evacuated[Fl_EVACUATED_MAX][Ec_NAME_MAX];
};

struct fl_fleet *
Fl_Create(const struct ck_clock *clock)
{
    struct fl_fleet *fleet = calloc(1, sizeof(*fleet));
    if (fleet != NULL) {
        fleet->clock = clock;
        TAILQ_INIT(&fleet->endpoints);
        TAILQ_INIT(&fleet->services);
    }
    return fleet;
}

struct fl_service *
Fl_FindService(const struct fl_fleet *fleet, const char *name)
{
    struct fl_service *service;
    TAILQ_FOREACH (service, &fleet->services, link) {
        if (strcmp(service->name, name) == 0) {
            return service;
        }
    }
    return NULL;
}

static struct fl_service *
find_or_add_service(struct fl_fleet *fleet, const char *name)
{
    struct fl_service *service = Fl_FindService(fleet, name);
    if (service != NULL) {
        return service;
    }
    service = calloc(1, sizeof(*service));
    if (service != NULL) {
        strlcpy(service->name, name, sizeof(service->name));
        TAILQ_INSERT_TAIL(&fleet->services, service, link);
    }
    return service;
}

/* In a new service, there must be room for the endpoint. */
static void
set_service(struct fl_endpoint *endpoint, struct fl_service *service)
{
    if (endpoint->service == service) {
        return;
    }
    if (endpoint->service != NULL) {
        fl_array_remove(&endpoint->service->endpoints, endpoint);
    }
    endpoint->service = service;
    if (service != NULL) {
        fl_array_insert(&service->endpoints, endpoint);
    }
}

static void
remove_service(struct fl_fleet *fleet, struct fl_service *service)
{
    TAILQ_REMOVE(&fleet->services, service, link);
    fl_array_free(&service->endpoints);
    free(service);
}

/*
 * A service that has lost all endpoints is kept while it is brittle: the next
 * endpoint that joins it is brittle too.
 */
static void
remove_unused_services(struct fl_fleet *fleet, int64_t now)
{
    struct fl_service *service;
    struct fl_service *next;
    TAILQ_FOREACH_SAFE (service, &fleet->services, link, next) {
        if (service->endpoints.count == 0 &&
            !Br_IsBrittle(&service->brittle, now)) {
            remove_service(fleet, service);
        }
    }
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
           before->spot == now->spot &&
           before->leaves_usec == now->leaves_usec &&
           before->started_ms == now->started_ms &&
           now->warmup_left_usec <= before->warmup_left_usec;
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
Fl_Ref(struct fl_endpoint *endpoint)
{
    endpoint->refs++;
    return endpoint;
}

void
Fl_Unref(struct fl_endpoint *endpoint)
{
    if (endpoint != NULL && --endpoint->refs == 0) {
        close_idle(endpoint);
        free(endpoint);
    }
}

static void
log_change(const struct fl_endpoint *endpoint, const char *state)
{
    Ln_Log(LN_STATE, "endpoint.changed",
           "\"id\":\"%s\",\"to\":\"%s\",\"service\":\"%s\",\"zone\":\"%s\","
           "\"spot\":%d,\"running\":%d",
           endpoint->entry.id, state, endpoint->entry.service,
           endpoint->entry.zone, endpoint->entry.spot, endpoint->running);
}

static void
remove_endpoint(struct fl_fleet *fleet, struct fl_endpoint *endpoint)
{
    log_change(endpoint, "gone");
    endpoint->gone = true;
    close_idle(endpoint);
    TAILQ_REMOVE(&fleet->endpoints, endpoint, link);
    fl_array_remove(&fleet->array, endpoint);
    fl_index_remove(&fleet->by_hash, endpoint->hash);
    set_service(endpoint, NULL);
    Fl_Unref(endpoint);
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
        remove_endpoint(fleet, endpoint);
    }
    struct fl_service *service;
    struct fl_service *next_service;
    TAILQ_FOREACH_SAFE (service, &fleet->services, link, next_service) {
        remove_service(fleet, service);
    }
    fl_index_free(&fleet->by_hash);
    fl_array_free(&fleet->array);
    free(fleet);
}

static uint32_t
hash_id(const char *id)
{
    return (uint32_t)Hash_String(id, Fl_HASH_SEED);
}

struct fl_endpoint *
Fl_ByHash(const struct fl_fleet *fleet, uint32_t hash)
{
    return fl_index_find(&fleet->by_hash, hash);
}

struct fl_endpoint *
Fl_Find(const struct fl_fleet *fleet, const char *id)
{
    struct fl_endpoint *endpoint = Fl_ByHash(fleet, hash_id(id));
    return endpoint != NULL && strcmp(endpoint->entry.id, id) == 0 ? endpoint
                                                                   : NULL;
}

static struct fl_endpoint *
add_endpoint(struct fl_fleet *fleet, const struct fl_entry *entry)
{
    if (!fl_array_reserve(&fleet->array)) {
        return NULL;
    }
    struct fl_endpoint *endpoint =
        aligned_alloc(Fl_CACHE_LINE, sizeof(*endpoint));
    if (endpoint == NULL) {
        return NULL;
    }
    memset(endpoint, 0, sizeof(*endpoint));
    endpoint->refs = 1;
    endpoint->hash = hash_id(entry->id);
    endpoint->first_entry_at = Ck_Now(fleet->clock);
    endpoint->speed = 1;
    endpoint->logged_speed = 1;
    TAILQ_INIT(&endpoint->idle);
    enum fl_added added = fl_index_add(&fleet->by_hash, endpoint);
    if (added != FL_ADDED) {
        if (added == FL_HASH_IN_USE) {
            /* Daemons identify endpoints to each other by this hash. */
            Ln_Log(LN_FAILURE, "endpoint.unnamable", "\"id\":\"%s\"",
                   entry->id);
        }
        free(endpoint);
        return NULL;
    }
    endpoint->number = fleet->added++;
    TAILQ_INSERT_TAIL(&fleet->endpoints, endpoint, link);
    fl_array_insert(&fleet->array, endpoint);
    return endpoint;
}

void
Fl_NoteLeaving(struct fl_endpoint *endpoint, int64_t at)
{
    if (endpoint->leaves_at == 0 || at < endpoint->leaves_at) {
        endpoint->leaves_at = at;
    }
}

/* Applies an entry that an endpoint wrote to the store. */
void
Fl_Apply(struct fl_fleet *fleet, const struct fl_entry *entry)
{
    struct fl_endpoint *endpoint = Fl_Find(fleet, entry->id);
    struct fl_service *service = find_or_add_service(fleet, entry->service);
    if (service == NULL || !fl_array_reserve(&service->endpoints)) {
        return;
    }
    if (endpoint != NULL &&
        (endpoint->entry.started_ms != entry->started_ms ||
         strcmp(endpoint->entry.address, entry->address) != 0)) {
        /*
         * The endpoint was restarted: this is another engine with the same ID.
         */
        remove_endpoint(fleet, endpoint);
        endpoint = NULL;
    }
    if (endpoint == NULL) {
        endpoint = add_endpoint(fleet, entry);
        if (endpoint == NULL) {
            return;
        }
    }
    /* An endpoint that is draining stays so until it restarts. */
    bool was_draining = endpoint->entry.draining;
    bool draining = was_draining || entry->draining;
    bool is_first = endpoint->entry.id[0] == '\0';
    set_service(endpoint, service);
    endpoint->entry = *entry;
    endpoint->entry.draining = draining;
    endpoint->removal_held_since = 0;
    endpoint->last_entry_at = Ck_Now(fleet->clock);
    if (entry->leaves_usec > 0) {
        Fl_NoteLeaving(endpoint, endpoint->last_entry_at + entry->leaves_usec);
    }
    endpoint->evacuated = Fl_IsEvacuated(fleet, entry->zone);
    Wu_SetColdLeft(&endpoint->warmup, entry->warmup_left_usec,
                   endpoint->last_entry_at);
    if (is_first || was_draining != draining) {
        log_change(endpoint, draining ? "draining" : "ready");
    }
    if (draining) {
        close_idle(endpoint);
    }
}

uint32_t
Fl_StartHash(const struct fl_endpoint *endpoint)
{
    uint64_t identity[2] = {endpoint->hash,
                            (uint64_t)endpoint->entry.started_ms};
    return (uint32_t)Hash_Bytes(identity, sizeof(identity), 0);
}

/* Applies the removal of an entry. */
void
Fl_Remove(struct fl_fleet *fleet, const char *id)
{
    struct fl_endpoint *endpoint = Fl_Find(fleet, id);
    if (endpoint == NULL) {
        return;
    }
    int64_t now = Ck_Now(fleet->clock);
    if (now < fleet->hold_removals_until && !endpoint->entry.draining) {
        if (endpoint->removal_held_since == 0) {
            endpoint->removal_held_since = now;
            log_change(endpoint, "doubted");
        }
        return;
    }
    remove_endpoint(fleet, endpoint);
}

void
Fl_HoldRemovals(struct fl_fleet *fleet, int64_t usec)
{
    fleet->hold_removals_until = Ck_Now(fleet->clock) + usec;
}

/*
 * While the store is unreachable, entries expire although their endpoints are
 * alive; these write them again within two seconds of its return.  All
 * removals read in that time take effect at its end, even one read shortly
 * before: an endpoint that did leave must not get requests beyond the drain
 * limit.
 */
void
Fl_Tick(struct fl_fleet *fleet)
{
    int64_t now = Ck_Now(fleet->clock);
    struct fl_endpoint *endpoint;
    struct fl_endpoint *next;
    TAILQ_FOREACH_SAFE (endpoint, &fleet->endpoints, link, next) {
        if (endpoint->removal_held_since != 0 &&
            now >= fleet->hold_removals_until) {
            remove_endpoint(fleet, endpoint);
        }
    }
    remove_unused_services(fleet, now);
}

void
Fl_ClearPeerLoads(struct fl_fleet *fleet)
{
    for (size_t i = 0; i < fleet->array.count; i++) {
        struct fl_endpoint *endpoint = fleet->array.list[i];
        endpoint->peers_running = 0;
        endpoint->peers_prefill_tokens = 0;
        endpoint->peers_output_tokens = 0;
        endpoint->zone_peers_output_tokens = 0;
        endpoint->peers_speed = (struct sd_estimate){0};
        endpoint->zone_peers_speed = (struct sd_estimate){0};
        endpoint->zone_peers_running = 0;
        endpoint->zone_peers_prefill_tokens = 0;
    }
}

/* Returns a data centre's index, or the count if it is not evacuated. */
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

/* Returns false if nothing changes or the list is full. */
static bool
set_evacuated(struct fl_fleet *fleet, const char *zone, bool begin)
{
    size_t index = find_evacuated(fleet, zone);
    size_t count = fleet->evacuated_count;
    if (begin == (index < count) || zone[0] == '\0') {
        return false;
    }
    if (!begin) {
        fleet->evacuated_count--;
        memmove(fleet->evacuated[index], fleet->evacuated[count - 1],
                sizeof(fleet->evacuated[index]));
        return true;
    }
    if (count == Fl_EVACUATED_MAX) {
        Ln_Log(LN_FAILURE, "evacuation.unknown", "\"zone\":\"%s\"", zone);
        return false;
    }
    fleet->evacuated_count++;
    return strlcpy(fleet->evacuated[index], zone, Ec_NAME_MAX) < Ec_NAME_MAX;
}

bool
Fl_Evacuate(struct fl_fleet *fleet, const char *zone, bool begin)
{
    if (!set_evacuated(fleet, zone, begin)) {
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
        endpoint->evacuated = begin;
        if (begin) {
            close_idle(endpoint);
        }
        endpoint->zone_restored_at = begin ? 0 : Ck_Now(fleet->clock);
    }
    Ln_Log(LN_STATE, begin ? "zone.evacuated" : "zone.returned",
           "\"zone\":\"%s\",\"endpoints\":%zu,\"running\":%d", zone, count,
           running);
    return true;
}

int
Fl_CountEvacuatedRequests(const struct fl_fleet *fleet)
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

const struct fl_array *
Fl_Endpoints(const struct fl_fleet *fleet)
{
    return &fleet->array;
}

const struct fl_services *
Fl_Services(const struct fl_fleet *fleet)
{
    return &fleet->services;
}

/*
 * Returns whether new requests may go to the endpoint, apart from its health.
 */
bool
Fl_Usable(const struct fl_endpoint *endpoint)
{
    return !endpoint->gone && !endpoint->entry.draining &&
           !endpoint->evacuated;
}

bool
Fl_HasEndpoints(const struct fl_fleet *fleet)
{
    return !TAILQ_EMPTY(&fleet->endpoints);
}
