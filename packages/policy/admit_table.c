/*
 * Commands on what the limits are made of: customers, peers, and the demands
 * heard from them.
 */
#include <bsd/string.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/hash.h"
#include "policy/admit.h"
#include "policy/admit_internal.h"

#define INTERVAL_MIN (500 * Ck_USEC_PER_MSEC)
/* Every daemon hears every other: 40 demands a second, however many. */
#define INTERVAL_PER_PEER (25 * Ck_USEC_PER_MSEC)
#define JOIN_MAX (2 * Ck_USEC_PER_SEC)

/* Makes the limits of the daemon named; NULL when there is no memory. */
struct am_limits *
Am_Create(const char *self)
{
    struct am_limits *limits = calloc(1, sizeof(*limits));
    if (limits == NULL) {
        return NULL;
    }
    strlcpy(limits->self, self, sizeof(limits->self));
    TAILQ_INIT(&limits->peers);
    TAILQ_INIT(&limits->customers);
    limits->rank = Hash_String(self, 0);
    limits->parts = calloc(1, sizeof(*limits->parts));
    limits->parts_size = 1;
    if (limits->parts == NULL) {
        free(limits);
        return NULL;
    }
    return limits;
}

static void
forget_demands(struct am_peer *peer)
{
    struct am_peer_demand *demand;
    while ((demand = TAILQ_FIRST(&peer->demands)) != NULL) {
        TAILQ_REMOVE(&peer->demands, demand, entry);
        free(demand);
    }
}

static void
free_peer(struct am_limits *limits, struct am_peer *peer)
{
    limits->peer_count--;
    TAILQ_REMOVE(&limits->peers, peer, entry);
    forget_demands(peer);
    free(peer);
}

/* Frees the limits; NULL is allowed. */
void
Am_Destroy(struct am_limits *limits)
{
    if (limits == NULL) {
        return;
    }
    struct am_peer *peer;
    struct am_peer *next;
    TAILQ_FOREACH_SAFE (peer, &limits->peers, entry, next) {
        forget_demands(peer);
        free(peer);
    }
    struct am_customer *customer;
    while ((customer = TAILQ_FIRST(&limits->customers)) != NULL) {
        TAILQ_REMOVE(&limits->customers, customer, entry);
        free(customer);
    }
    free(limits->parts);
    free(limits);
}

/* The entry of a customer, or NULL. */
struct am_customer *
am_find_customer(const struct am_limits *limits, const char *name)
{
    struct am_customer *customer;
    TAILQ_FOREACH (customer, &limits->customers, entry) {
        if (strcmp(customer->name, name) == 0) {
            return customer;
        }
    }
    return NULL;
}

static struct am_peer *
find_peer(const struct am_limits *limits, const char *id)
{
    struct am_peer *peer;
    TAILQ_FOREACH (peer, &limits->peers, entry) {
        if (strcmp(peer->id, id) == 0) {
            return peer;
        }
    }
    return NULL;
}

/*
 * Sets the limits of a customer over all daemons together; 0: no limit.
 * What is in flight stays counted.
 */
enum st_status
Am_SetCustomer(struct am_limits *limits, const char *name, double per_sec,
               int max_in_flight)
{
    struct am_customer *customer = am_find_customer(limits, name);
    if (customer == NULL) {
        customer = calloc(1, sizeof(*customer));
        if (customer == NULL) {
            return St_Fail(ST_NO_MEMORY, "no memory for a customer; restart "
                                         "the daemon on a larger host");
        }
        strlcpy(customer->name, name, sizeof(customer->name));
        customer->tokens = 1;
        customer->granted = -1;
        TAILQ_INSERT_HEAD(&limits->customers, customer, entry);
    }
    if (customer->per_sec != per_sec ||
        customer->max_in_flight != max_in_flight) {
        customer->per_sec = per_sec;
        customer->max_in_flight = max_in_flight;
        customer->shared_at = 0;
    }
    return ST_OK;
}

/* Forgets a customer that is no longer configured. */
void
Am_DropCustomer(struct am_limits *limits, const char *name)
{
    struct am_customer *customer = am_find_customer(limits, name);
    if (customer != NULL) {
        TAILQ_REMOVE(&limits->customers, customer, entry);
        free(customer);
    }
}

/*
 * Adds a daemon that is known, heard or not.  A daemon out of reach must stay
 * added for as long as it may be serving: its part is set aside by that.
 */
enum st_status
Am_AddPeer(struct am_limits *limits, const char *id)
{
    if (find_peer(limits, id) != NULL || strcmp(id, limits->self) == 0) {
        return ST_OK;
    }
    size_t size = limits->peer_count + 2;
    struct am_part *parts = reallocarray(limits->parts, size, sizeof(*parts));
    if (parts == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for a peer; restart the "
                                     "daemon on a larger host");
    }
    limits->parts = parts;
    limits->parts_size = size;
    struct am_peer *peer = calloc(1, sizeof(*peer));
    if (peer == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for a peer; restart the "
                                     "daemon on a larger host");
    }
    strlcpy(peer->id, id, sizeof(peer->id));
    TAILQ_INIT(&peer->demands);
    peer->rank = Hash_String(id, 0);
    TAILQ_INSERT_HEAD(&limits->peers, peer, entry);
    limits->peer_count++;
    return ST_OK;
}

/* Removes a daemon that has stopped serving; its part is shared out. */
void
Am_DropPeer(struct am_limits *limits, const char *id)
{
    struct am_peer *peer = find_peer(limits, id);
    if (peer != NULL) {
        free_peer(limits, peer);
    }
}

/* Takes in by how many daemons a peer divides the limits. */
void
Am_HearCount(struct am_limits *limits, const char *id, size_t daemons)
{
    struct am_peer *peer = find_peer(limits, id);
    if (peer != NULL) {
        peer->counts = daemons;
    }
}

/*
 * This daemon starts among others that divide the limits without it.  Until
 * they count it, and for JOIN_MAX at most, it takes no places.
 */
void
Am_Join(struct am_limits *limits, int64_t now)
{
    limits->join_until = now + JOIN_MAX;
    limits->joined_count = limits->peer_count;
    limits->joined_at = now;
}

static bool
is_counted(const struct am_limits *limits)
{
    const struct am_peer *peer;
    TAILQ_FOREACH (peer, &limits->peers, entry) {
        if (peer->counts < Am_Daemons(limits)) {
            return false;
        }
    }
    return true;
}

/*
 * Whether others may still be dividing without this daemon.  That all have
 * told as many as are known here is no proof while more become known.
 */
bool
Am_IsJoining(struct am_limits *limits, int64_t now)
{
    if (limits->join_until == 0) {
        return false;
    }
    if (limits->joined_count != limits->peer_count) {
        limits->joined_count = limits->peer_count;
        limits->joined_at = now;
    }
    bool settled = limits->peer_count > 0 && is_counted(limits) &&
                   now - limits->joined_at >= Am_Interval(limits);
    if (settled || now >= limits->join_until) {
        limits->join_until = 0;
    }
    return limits->join_until != 0;
}

/* Daemons that a limit is divided by, this one included. */
size_t
Am_Daemons(const struct am_limits *limits)
{
    return limits->peer_count + 1;
}

/* How often to publish: the more daemons, the less often. */
int64_t
Am_Interval(const struct am_limits *limits)
{
    int64_t interval = INTERVAL_PER_PEER * (int64_t)limits->peer_count;
    return interval > INTERVAL_MIN ? interval : INTERVAL_MIN;
}

/*
 * Takes in all demands of a daemon, in place of those heard before; a
 * customer not named has none.  Adds the daemon if it is not known.
 */
enum st_status
Am_Hear(struct am_limits *limits, const char *id,
        const struct am_demand *demands, size_t count, int64_t now)
{
    enum st_status status = Am_AddPeer(limits, id);
    struct am_peer *peer = find_peer(limits, id);
    if (status != ST_OK || peer == NULL) {
        return status;
    }
    forget_demands(peer);
    peer->heard = true;
    peer->heard_at = now;
    for (size_t i = 0; i < count; i++) {
        struct am_peer_demand *demand = calloc(1, sizeof(*demand));
        if (demand == NULL) {
            peer->heard = false;
            return St_Fail(ST_NO_MEMORY, "no memory for a demand; restart "
                                         "the daemon on a larger host");
        }
        demand->demand = demands[i];
        TAILQ_INSERT_HEAD(&peer->demands, demand, entry);
    }
    return ST_OK;
}
