/*
 * Changes to the customers, to the peers and to the demands received from the
 * peers.
 */
#include <bsd/string.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/hash.h"
#include "policy/admit.h"
#include "policy/admit_internal.h"

#define INTERVAL_MIN_USEC (500 * Ck_USEC_PER_MSEC)
/*
 * Each daemon receives the publications of every other: at this interval 40
 * publications a second, however many daemons there are.
 */
#define INTERVAL_PER_PEER_USEC (25 * Ck_USEC_PER_MSEC)
#define JOIN_MAX_USEC (2 * Ck_USEC_PER_SEC)

/* Creates the limits of the daemon "self"; NULL when there is no memory. */
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
    limits->claimants = calloc(1, sizeof(*limits->claimants));
    limits->claimants_size = 1;
    if (limits->claimants == NULL) {
        free(limits);
        return NULL;
    }
    return limits;
}

static void
free_demands(struct am_peer *peer)
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
    free_demands(peer);
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
        free_demands(peer);
        free(peer);
    }
    struct am_customer *customer;
    while ((customer = TAILQ_FIRST(&limits->customers)) != NULL) {
        TAILQ_REMOVE(&limits->customers, customer, entry);
        free(customer);
    }
    free(limits->claimants);
    free(limits);
}

/* Finds a customer by name; NULL when it is unknown. */
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
 * Sets a customer's limits over all daemons together; 0: no limit. Requests
 * already in flight stay counted.
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
        customer->shares_computed_at = 0;
    }
    return ST_OK;
}

/* Removes a customer that is no longer configured. */
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
 * Adds a known daemon, whether or not demands have been received from it. An
 * unreachable daemon must stay added for as long as it may be serving, because
 * that keeps its even share reserved.
 */
enum st_status
Am_AddPeer(struct am_limits *limits, const char *id)
{
    if (find_peer(limits, id) != NULL || strcmp(id, limits->self) == 0) {
        return ST_OK;
    }
    size_t size = limits->peer_count + 2;
    struct am_claimant *claimants =
        reallocarray(limits->claimants, size, sizeof(*claimants));
    if (claimants == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for a peer; restart the "
                                     "daemon on a larger host");
    }
    limits->claimants = claimants;
    limits->claimants_size = size;
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

/*
 * Removes a daemon that has stopped serving; its share is divided among the
 * others.
 */
void
Am_DropPeer(struct am_limits *limits, const char *id)
{
    struct am_peer *peer = find_peer(limits, id);
    if (peer != NULL) {
        free_peer(limits, peer);
    }
}

/* Stores among how many daemons a peer divides the limits. */
void
Am_ReceiveDaemonCount(struct am_limits *limits, const char *id, size_t daemons)
{
    struct am_peer *peer = find_peer(limits, id);
    if (peer != NULL) {
        peer->daemon_count = daemons;
    }
}

/*
 * Called when this daemon starts while its peers divide the limits without it.
 * It takes no slots until the peers count it, but for JOIN_MAX_USEC at most.
 */
void
Am_Join(struct am_limits *limits, int64_t now)
{
    limits->join_until = now + JOIN_MAX_USEC;
    limits->last_peer_count = limits->peer_count;
    limits->peer_count_changed_at = now;
}

static bool
is_counted_by_all_peers(const struct am_limits *limits)
{
    const struct am_peer *peer;
    TAILQ_FOREACH (peer, &limits->peers, entry) {
        if (peer->daemon_count < Am_DaemonCount(limits)) {
            return false;
        }
    }
    return true;
}

/*
 * Whether peers may still divide the limits without this daemon. That all
 * peers divide by as many daemons as are known here proves this only once the
 * number of known peers has been stable for an interval.
 */
bool
Am_IsJoining(struct am_limits *limits, int64_t now)
{
    if (limits->join_until == 0) {
        return false;
    }
    if (limits->last_peer_count != limits->peer_count) {
        limits->last_peer_count = limits->peer_count;
        limits->peer_count_changed_at = now;
    }
    bool settled =
        limits->peer_count > 0 && is_counted_by_all_peers(limits) &&
        now - limits->peer_count_changed_at >= Am_PublishInterval(limits);
    if (settled || now >= limits->join_until) {
        limits->join_until = 0;
    }
    return limits->join_until != 0;
}

/* Number of daemons that a limit is divided among, this one included. */
size_t
Am_DaemonCount(const struct am_limits *limits)
{
    return limits->peer_count + 1;
}

/* Interval between publications; it grows with the number of daemons. */
int64_t
Am_PublishInterval(const struct am_limits *limits)
{
    int64_t interval = INTERVAL_PER_PEER_USEC * (int64_t)limits->peer_count;
    return interval > INTERVAL_MIN_USEC ? interval : INTERVAL_MIN_USEC;
}

/*
 * Replaces the demands received from a daemon; customers not listed have no
 * demand there. Adds the daemon if it is unknown.
 */
enum st_status
Am_ReceiveDemands(struct am_limits *limits, const char *id,
                  const struct am_demand *demands, size_t count, int64_t now)
{
    enum st_status status = Am_AddPeer(limits, id);
    struct am_peer *peer = find_peer(limits, id);
    if (status != ST_OK || peer == NULL) {
        return status;
    }
    free_demands(peer);
    peer->has_demands = true;
    peer->received_at = now;
    for (size_t i = 0; i < count; i++) {
        struct am_peer_demand *demand = calloc(1, sizeof(*demand));
        if (demand == NULL) {
            peer->has_demands = false;
            return St_Fail(ST_NO_MEMORY, "no memory for a demand; restart "
                                         "the daemon on a larger host");
        }
        demand->demand = demands[i];
        TAILQ_INSERT_HEAD(&peer->demands, demand, entry);
    }
    return ST_OK;
}
