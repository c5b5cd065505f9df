/*
 * Admission by customer: token bucket and places in flight, both sized by
 * this daemon's share.
 */
#include "policy/admit.h"

#include <bsd/string.h>
#include <math.h>
#include <string.h>

#include "base/clock.h"
#include "policy/admit_internal.h"

#define SILENT_INTERVALS 4
#define HOLD_INTERVALS 3 /* a share is raised only after so many */
#define DEMAND_FADE 4e6  /* time constant of the demand, usec */
#define DEMAND_LEAST 0.01
#define BURST_SEC 1.0

static int
at_most(int value, int limit)
{
    return value < limit ? value : limit;
}

static double
fade(double value, int64_t since, int64_t now)
{
    return now > since ? value * exp(-(double)(now - since) / DEMAND_FADE)
                       : value;
}

static const struct am_demand *
demand_of(const struct am_peer *peer, const char *name)
{
    struct am_peer_demand *demand;
    TAILQ_FOREACH (demand, &peer->demands, entry) {
        if (strcmp(demand->demand.customer, name) == 0) {
            return &demand->demand;
        }
    }
    return NULL;
}

static size_t
list_parts(struct am_limits *limits, const struct am_customer *customer,
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
    struct am_peer *peer;
    TAILQ_FOREACH (peer, &limits->peers, entry) {
        struct am_part *part = &limits->parts[count++];
        const struct am_demand *demand = demand_of(peer, customer->name);
        *part = (struct am_part){.rank = peer->rank, .places = -1};
        part->silent = !peer->heard || peer->heard_at < oldest;
        if (demand != NULL) {
            part->demand = of_rate ? demand->per_sec : demand->in_flight;
            part->places = demand->places;
        }
    }
    return count;
}

static void
hold(struct am_held *held, double value, bool next_window, bool first)
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
held_value(const struct am_held *held)
{
    return fmin(held->last, held->current);
}

/*
 * Computes the shares anew.  A smaller one counts at once, a larger one only
 * when it has held for HOLD_INTERVALS: by then the daemon that gives way has
 * heard the same demands and has lowered its own.
 */
static void
renew_shares(struct am_limits *limits, struct am_customer *customer,
             int64_t now)
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

/* Whether another daemon says that it wants, or uses, what the customer has.
 */
static bool
is_contended(const struct am_limits *limits,
             const struct am_customer *customer)
{
    const struct am_peer *peer;
    TAILQ_FOREACH (peer, &limits->peers, entry) {
        if (demand_of(peer, customer->name) != NULL) {
            return true;
        }
    }
    return false;
}

/*
 * Fixes the places that may be used until the next word.  A share larger than
 * before counts only as far as the others have said that they use less: what
 * they are taken to do by now they may not have heard of, on a busy host for
 * seconds, and a customer would have more running than it is allowed.
 */
static int
grant_places(struct am_limits *limits, struct am_customer *customer, bool told,
             int64_t now)
{
    if (customer->max_in_flight <= 0) {
        customer->granted = -1;
        return -1;
    }
    renew_shares(limits, customer, now);
    size_t count = list_parts(limits, customer, false, now);
    struct am_left left =
        am_leave(customer->max_in_flight, limits->parts, count);
    int most = told ? left.free : at_most(left.free, left.even);
    if (Am_IsJoining(limits, now)) {
        most = 0;
    }
    customer->granted =
        at_most((int)held_value(&customer->flight_share), most);
    return customer->granted > customer->in_flight ? customer->granted
                                                   : customer->in_flight;
}

/* Fills what is asked of a customer here; false when it is nothing of note. */
static bool
fill_demand(const struct am_customer *customer, int64_t now,
            struct am_demand *demand)
{
    *demand = (struct am_demand){.places = -1};
    strlcpy(demand->customer, customer->name, sizeof(demand->customer));
    demand->per_sec = fade(customer->rate, customer->rate_at, now);
    demand->in_flight = fmax(fade(customer->wanted, customer->wanted_at, now),
                             customer->in_flight);
    return demand->per_sec >= DEMAND_LEAST ||
           demand->in_flight >= DEMAND_LEAST;
}

/*
 * Writes this daemon's demands for the others, those of note and those for
 * which others have asked, and computes with them from now on: a daemon that
 * counted its newer demand while the others count the older one would take a
 * part they do not leave.
 */
size_t
Am_Publish(struct am_limits *limits, int64_t now, struct am_demand *out,
           size_t size)
{
    size_t count = 0;
    struct am_customer *customer;
    TAILQ_FOREACH (customer, &limits->customers, entry) {
        struct am_demand demand;
        bool of_note = fill_demand(customer, now, &demand);
        bool contended =
            customer->max_in_flight > 0 && is_contended(limits, customer);
        bool told = (of_note || contended) && count < size;
        if (!of_note || !told) {
            demand.per_sec = 0;
            demand.in_flight = 0;
        }
        customer->published = demand;
        customer->shared_at = 0;
        demand.places = grant_places(limits, customer, told, now);
        if (told) {
            out[count++] = demand;
        }
    }
    return count;
}

static enum st_status
unknown_customer(const char *name)
{
    return St_Fail(ST_NOT_FOUND,
                   "customer %s has no limits here; add it with "
                   "Am_SetCustomer",
                   name);
}

/* Before the first word nobody can have been told of more than the even part.
 */
static int
granted_places(struct am_limits *limits, const struct am_customer *customer,
               int64_t now)
{
    if (Am_IsJoining(limits, now)) {
        return 0;
    }
    if (customer->granted >= 0) {
        return customer->granted;
    }
    size_t count = list_parts(limits, customer, false, now);
    return am_leave(customer->max_in_flight, limits->parts, count).even;
}

static void
tell_share(struct am_limits *limits, struct am_customer *customer, int64_t now,
           struct am_share *out)
{
    renew_shares(limits, customer, now);
    out->per_sec =
        customer->per_sec > 0 ? held_value(&customer->rate_share) : -1;
    out->in_flight = -1;
    if (customer->max_in_flight > 0) {
        out->in_flight = at_most((int)held_value(&customer->flight_share),
                                 granted_places(limits, customer, now));
    }
}

/* Tells this daemon's present part of a customer's limits. */
enum st_status
Am_Share(struct am_limits *limits, const char *name, int64_t now,
         struct am_share *out)
{
    struct am_customer *customer = am_find_customer(limits, name);
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
    const struct am_customer *customer = am_find_customer(limits, name);
    return customer != NULL ? customer->in_flight : 0;
}

static void
note_demand(struct am_customer *customer, int64_t now)
{
    customer->rate =
        fade(customer->rate, customer->rate_at, now) + 1e6 / DEMAND_FADE;
    customer->rate_at = now;
    double wanted = fade(customer->wanted, customer->wanted_at, now);
    customer->wanted = fmax(wanted, customer->in_flight + 1);
    customer->wanted_at = now;
}

static void
fill_bucket(struct am_customer *customer, double per_sec, int64_t now)
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
    struct am_customer *customer = am_find_customer(limits, name);
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
    struct am_customer *customer = am_find_customer(limits, name);
    if (customer != NULL && customer->in_flight > 0) {
        customer->in_flight--;
    }
}
