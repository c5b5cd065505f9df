/*
 * Admission by customer: token bucket and places in flight, both sized by
 * this daemon's share.
 */
#include "policy/admit.h"

#include <bsd/string.h>
#include <bsd/sys/queue.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/hash.h"
#include "policy/admit_internal.h"

#define INTERVAL_MIN (500 * Ck_USEC_PER_MSEC)
#define INTERVAL_PER_PEER (10 * Ck_USEC_PER_MSEC)
#define SILENT_INTERVALS 4
#define HOLD_INTERVALS 3 /* a share is raised only after so many */
#define DEMAND_FADE 4e6  /* time constant of the demand, usec */
#define DEMAND_LEAST 0.01
#define BURST_SEC 1.0

struct peer_demand {
    TAILQ_ENTRY(peer_demand) entry;
    struct am_demand demand;
};

struct peer {
    TAILQ_ENTRY(peer) entry;
    char id[Am_NAME_MAX];
    uint64_t rank;
    bool heard;
    int64_t heard_at;
    TAILQ_HEAD(demand_list, peer_demand) demands;
};

/* The least value computed of late; a raise counts only when it has held. */
struct held {
    double last;
    double current;
};

struct customer {
    TAILQ_ENTRY(customer) entry;
    char name[Am_NAME_MAX];
    double per_sec;
    int max_in_flight;
    int in_flight;
    double tokens;
    int64_t filled_at;
    double rate; /* demand, fading */
    int64_t rate_at;
    double wanted; /* in flight, fading peak */
    int64_t wanted_at;
    struct am_demand published;
    struct held rate_share;
    struct held flight_share;
    int64_t shared_at; /* 0: never computed */
    int64_t window_at;
};

struct am_limits {
    char self[Am_NAME_MAX];
    uint64_t rank;
    TAILQ_HEAD(peer_list, peer) peers;
    size_t peer_count;
    TAILQ_HEAD(customer_list, customer) customers;
    struct am_part *parts; /* scratch, peer_count + 1 long */
    size_t parts_size;
};

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
forget_demands(struct peer *peer)
{
    struct peer_demand *demand;
    while ((demand = TAILQ_FIRST(&peer->demands)) != NULL) {
        TAILQ_REMOVE(&peer->demands, demand, entry);
        free(demand);
    }
}

static void
free_peer(struct am_limits *limits, struct peer *peer)
{
    limits->peer_count--;
    TAILQ_REMOVE(&limits->peers, peer, entry);
    forget_demands(peer);
    free(peer);
}

void
Am_Destroy(struct am_limits *limits)
{
    if (limits == NULL) {
        return;
    }
    struct peer *peer;
    struct peer *next;
    TAILQ_FOREACH_SAFE (peer, &limits->peers, entry, next) {
        forget_demands(peer);
        free(peer);
    }
    struct customer *customer;
    while ((customer = TAILQ_FIRST(&limits->customers)) != NULL) {
        TAILQ_REMOVE(&limits->customers, customer, entry);
        free(customer);
    }
    free(limits->parts);
    free(limits);
}

static struct customer *
find_customer(const struct am_limits *limits, const char *name)
{
    struct customer *customer;
    TAILQ_FOREACH (customer, &limits->customers, entry) {
        if (strcmp(customer->name, name) == 0) {
            return customer;
        }
    }
    return NULL;
}

static struct peer *
find_peer(const struct am_limits *limits, const char *id)
{
    struct peer *peer;
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
    struct customer *customer = find_customer(limits, name);
    if (customer == NULL) {
        customer = calloc(1, sizeof(*customer));
        if (customer == NULL) {
            return St_Fail(ST_NO_MEMORY, "no memory for a customer; restart "
                                         "the daemon on a larger host");
        }
        strlcpy(customer->name, name, sizeof(customer->name));
        customer->tokens = 1;
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
    struct customer *customer = find_customer(limits, name);
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
    struct peer *peer = calloc(1, sizeof(*peer));
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
    struct peer *peer = find_peer(limits, id);
    if (peer != NULL) {
        free_peer(limits, peer);
    }
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
    struct peer *peer = find_peer(limits, id);
    if (status != ST_OK || peer == NULL) {
        return status;
    }
    forget_demands(peer);
    peer->heard = true;
    peer->heard_at = now;
    for (size_t i = 0; i < count; i++) {
        struct peer_demand *demand = calloc(1, sizeof(*demand));
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

static double
fade(double value, int64_t since, int64_t now)
{
    return now > since ? value * exp(-(double)(now - since) / DEMAND_FADE)
                       : value;
}

/*
 * Writes this daemon's demands, those of note only, for the others, and
 * computes with them from now on: a daemon that counted its newer demand
 * while the others count the older one would take a part they do not leave.
 */
size_t
Am_Publish(struct am_limits *limits, int64_t now, struct am_demand *out,
           size_t size)
{
    size_t count = 0;
    struct customer *customer;
    TAILQ_FOREACH (customer, &limits->customers, entry) {
        struct am_demand demand = {0};
        strlcpy(demand.customer, customer->name, sizeof(demand.customer));
        demand.per_sec = fade(customer->rate, customer->rate_at, now);
        demand.in_flight =
            fmax(fade(customer->wanted, customer->wanted_at, now),
                 customer->in_flight);
        bool of_note =
            demand.per_sec >= DEMAND_LEAST || demand.in_flight >= DEMAND_LEAST;
        if (!of_note || count == size) {
            demand.per_sec = 0;
            demand.in_flight = 0;
        }
        else {
            out[count++] = demand;
        }
        customer->published = demand;
        customer->shared_at = 0;
    }
    return count;
}

static const struct am_demand *
demand_of(const struct peer *peer, const char *name)
{
    struct peer_demand *demand;
    TAILQ_FOREACH (demand, &peer->demands, entry) {
        if (strcmp(demand->demand.customer, name) == 0) {
            return &demand->demand;
        }
    }
    return NULL;
}

static size_t
list_parts(struct am_limits *limits, const struct customer *customer,
           bool of_rate, int64_t now)
{
    int64_t oldest = now - SILENT_INTERVALS * Am_Interval(limits);
    const struct am_demand *own = &customer->published;
    size_t count = 0;
    limits->parts[count++] = (struct am_part){
        .rank = limits->rank,
        .demand = of_rate ? own->per_sec : own->in_flight,
        .self = true,
    };
    struct peer *peer;
    TAILQ_FOREACH (peer, &limits->peers, entry) {
        struct am_part *part = &limits->parts[count++];
        const struct am_demand *demand = demand_of(peer, customer->name);
        *part = (struct am_part){.rank = peer->rank};
        part->silent = !peer->heard || peer->heard_at < oldest;
        if (demand != NULL) {
            part->demand = of_rate ? demand->per_sec : demand->in_flight;
        }
    }
    return count;
}

static void
hold(struct held *held, double value, bool next_window, bool first)
{
    if (first) {
        held->last = value;
        held->current = value;
    }
    else if (next_window) {
        held->last = held->current;
        held->current = value;
    }
    held->current = fmin(held->current, value);
}

static double
held_value(const struct held *held)
{
    return fmin(held->last, held->current);
}

/*
 * Computes the shares anew.  A smaller one counts at once, a larger one only
 * when it has held for HOLD_INTERVALS: by then the daemon that gives way has
 * heard the same demands and has lowered its own.
 */
static void
renew_shares(struct am_limits *limits, struct customer *customer, int64_t now)
{
    int64_t interval = Am_Interval(limits);
    if (customer->shared_at > 0 && now - customer->shared_at < interval / 4) {
        return;
    }
    bool first = customer->window_at == 0;
    bool next = now - customer->window_at >= HOLD_INTERVALS * interval;
    if (first || next) {
        customer->window_at = now;
    }
    size_t count = list_parts(limits, customer, true, now);
    hold(&customer->rate_share,
         am_divide(customer->per_sec, limits->parts, count), next, first);
    count = list_parts(limits, customer, false, now);
    hold(&customer->flight_share,
         am_divide_whole(customer->max_in_flight, limits->parts, count), next,
         first);
    customer->shared_at = now;
}

static enum st_status
unknown_customer(const char *name)
{
    return St_Fail(ST_NOT_FOUND,
                   "customer %s has no limits here; add it with "
                   "Am_SetCustomer",
                   name);
}

static void
tell_share(struct am_limits *limits, struct customer *customer, int64_t now,
           struct am_share *out)
{
    renew_shares(limits, customer, now);
    out->per_sec =
        customer->per_sec > 0 ? held_value(&customer->rate_share) : -1;
    out->in_flight = customer->max_in_flight > 0
                         ? (int)held_value(&customer->flight_share)
                         : -1;
}

/* Tells this daemon's present part of a customer's limits. */
enum st_status
Am_Share(struct am_limits *limits, const char *name, int64_t now,
         struct am_share *out)
{
    struct customer *customer = find_customer(limits, name);
    if (customer == NULL) {
        return unknown_customer(name);
    }
    tell_share(limits, customer, now, out);
    return ST_OK;
}

/* Requests of a customer admitted here and not done; 0 when unknown. */
int
Am_InFlight(const struct am_limits *limits, const char *name)
{
    const struct customer *customer = find_customer(limits, name);
    return customer != NULL ? customer->in_flight : 0;
}

static void
note_demand(struct customer *customer, int64_t now)
{
    customer->rate =
        fade(customer->rate, customer->rate_at, now) + 1e6 / DEMAND_FADE;
    customer->rate_at = now;
    double wanted = fade(customer->wanted, customer->wanted_at, now);
    customer->wanted = fmax(wanted, customer->in_flight + 1);
    customer->wanted_at = now;
}

static void
fill_bucket(struct customer *customer, double per_sec, int64_t now)
{
    double burst = fmax(1, per_sec * BURST_SEC);
    if (now > customer->filled_at && customer->filled_at > 0) {
        double sec = (double)(now - customer->filled_at) / 1e6;
        customer->tokens += per_sec * sec;
    }
    customer->filled_at = now;
    customer->tokens = fmin(customer->tokens, burst);
}

/*
 * Admits a request or refuses it; an admitted one counts as in flight until
 * Am_Done().  On ST_OVERLOAD the request was not run, and retry_after is the
 * time after which one more could be admitted.
 */
enum st_status
Am_Admit(struct am_limits *limits, const char *name, int64_t now,
         int64_t *retry_after)
{
    struct customer *customer = find_customer(limits, name);
    struct am_share share;
    *retry_after = 0;
    if (customer == NULL) {
        return unknown_customer(name);
    }
    note_demand(customer, now);
    tell_share(limits, customer, now, &share);
    if (share.in_flight >= 0 && customer->in_flight >= share.in_flight) {
        *retry_after = Ck_USEC_PER_SEC;
        return St_Fail(ST_OVERLOAD,
                       "customer %s has %d requests in flight, its part of "
                       "the limit of %d; wait for one to end",
                       name, customer->in_flight, customer->max_in_flight);
    }
    if (share.per_sec >= 0) {
        fill_bucket(customer, share.per_sec, now);
        if (customer->tokens < 1) {
            double lacking = 1 - customer->tokens;
            double rate = fmax(share.per_sec, 0.01);
            *retry_after = (int64_t)(lacking / rate * 1e6);
            return St_Fail(ST_OVERLOAD,
                           "customer %s is over its limit of %g requests a "
                           "second; send fewer or ask for a higher limit",
                           name, customer->per_sec);
        }
        customer->tokens -= 1;
    }
    customer->in_flight++;
    return ST_OK;
}

/* Ends a request that was admitted. */
void
Am_Done(struct am_limits *limits, const char *name, int64_t now)
{
    struct customer *customer = find_customer(limits, name);
    if (customer != NULL && customer->in_flight > 0) {
        customer->in_flight--;
    }
}
