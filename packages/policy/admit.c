/*
 * Admission per customer: a token bucket and slots for requests in flight,
 * both sized by this daemon's share of the customer's limits.
 */
#include "policy/admit.h"

#include <bsd/string.h>
#include <math.h>
#include <string.h>

#include "base/clock.h"
#include "policy/admit_internal.h"

/* A peer without a publication for this many intervals is unresponsive. */
#define UNRESPONSIVE_INTERVALS 4
/* A raised share takes effect after this many publication intervals. */
#define RAISE_WINDOW_INTERVALS 3
/* Time constant of the exponential decay of demands. */
#define DEMAND_DECAY_USEC 4e6
#define DEMAND_MIN 0.01 /* requests a second, or in flight */
#define BURST_SEC 1.0

static int
min_int(int value, int limit)
{
    return value < limit ? value : limit;
}

static double
decay(double value, int64_t since, int64_t now)
{
    return now > since
               ? value * exp(-(double)(now - since) / DEMAND_DECAY_USEC)
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
list_claimants(struct am_limits *limits, const struct am_customer *customer,
               bool by_rate, int64_t now)
{
    int64_t oldest = now - UNRESPONSIVE_INTERVALS * Am_PublishInterval(limits);
    const struct am_demand *own = &customer->published;
    size_t count = 0;
    limits->claimants[count++] = (struct am_claimant){
        .rank = limits->rank,
        .demand = by_rate ? own->per_sec : own->in_flight,
        .self = true,
    };
    struct am_peer *peer;
    TAILQ_FOREACH (peer, &limits->peers, entry) {
        struct am_claimant *claimant = &limits->claimants[count++];
        const struct am_demand *demand = demand_of(peer, customer->name);
        *claimant = (struct am_claimant){.rank = peer->rank, .slots = -1};
        claimant->unresponsive =
            !peer->has_demands || peer->received_at < oldest;
        if (demand != NULL) {
            claimant->demand = by_rate ? demand->per_sec : demand->in_flight;
            claimant->slots = demand->slots;
        }
    }
    return count;
}

static void
update_window_min(struct am_window_min *min, double value, bool new_window,
                  bool first)
{
    if (first) {
        min->previous = value;
        min->current = value;
    }
    else if (new_window) {
        min->previous = min->current;
        min->current = value;
    }
    min->current = fmin(min->current, value);
}

static double
window_min(const struct am_window_min *min)
{
    return fmin(min->previous, min->current);
}

/*
 * Recomputes the shares. A smaller share takes effect at once, a larger one
 * only after it has lasted RAISE_WINDOW_INTERVALS: by then the daemons whose
 * shares shrink have received the same demands and lowered theirs.
 */
static void
renew_shares(struct am_limits *limits, struct am_customer *customer,
             int64_t now)
{
    int64_t interval = Am_PublishInterval(limits);
    if (customer->shares_computed_at > 0 &&
        now - customer->shares_computed_at < interval / 4) {
        return;
    }
    bool first = customer->window_started_at == 0;
    bool next =
        now - customer->window_started_at >= RAISE_WINDOW_INTERVALS * interval;
    if (first || next) {
        customer->window_started_at = now;
    }
    size_t count = list_claimants(limits, customer, true, now);
    update_window_min(&customer->rate_share,
                      am_divide(customer->per_sec, limits->claimants, count),
                      next, first);
    count = list_claimants(limits, customer, false, now);
    update_window_min(
        &customer->flight_share,
        am_divide_whole(customer->max_in_flight, limits->claimants, count),
        next, first);
    customer->shares_computed_at = now;
}

/*
 * Whether a peer has published a demand for the customer, as each peer does
 * that uses its slots.
 */
static bool
is_demanded_by_peer(const struct am_limits *limits,
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
 * Sets the slots that may be used until the next publication, and returns the
 * number to publish; "listed" says whether it will be published. A larger
 * share counts only up to the slots that the peers have published as free: a
 * peer that should use fewer by now may not have received the newer demands,
 * for seconds on a busy host, and the customer would have more requests
 * running than its limit.
 */
static int
grant_slots(struct am_limits *limits, struct am_customer *customer,
            bool listed, int64_t now)
{
    if (customer->max_in_flight <= 0) {
        customer->granted = -1;
        return -1;
    }
    renew_shares(limits, customer, now);
    size_t count = list_claimants(limits, customer, false, now);
    struct am_free_slots slots =
        am_count_free_slots(customer->max_in_flight, limits->claimants, count);
    int max_slots = listed ? slots.free : min_int(slots.free, slots.even);
    if (Am_IsJoining(limits, now)) {
        max_slots = 0;
    }
    customer->granted =
        min_int((int)window_min(&customer->flight_share), max_slots);
    return customer->granted > customer->in_flight ? customer->granted
                                                   : customer->in_flight;
}

/*
 * Fills in the demand of this daemon's callers for a customer; false when the
 * demand is negligible.
 */
static bool
fill_demand(const struct am_customer *customer, int64_t now,
            struct am_demand *demand)
{
    *demand = (struct am_demand){.slots = -1};
    strlcpy(demand->customer, customer->name, sizeof(demand->customer));
    demand->per_sec = decay(customer->rate, customer->rate_updated_at, now);
    demand->in_flight =
        fmax(decay(customer->peak_in_flight, customer->peak_updated_at, now),
             customer->in_flight);
    return demand->per_sec >= DEMAND_MIN || demand->in_flight >= DEMAND_MIN;
}

/*
 * Writes this daemon's demands for its peers: the significant ones, and those
 * for customers that peers have published demand for. From now on this daemon
 * computes its shares with these demands: if it used a newer demand while its
 * peers use the older one, it would take a share that they do not leave free.
 */
size_t
Am_Publish(struct am_limits *limits, int64_t now, struct am_demand *out,
           size_t size)
{
    size_t count = 0;
    struct am_customer *customer;
    TAILQ_FOREACH (customer, &limits->customers, entry) {
        struct am_demand demand;
        bool significant = fill_demand(customer, now, &demand);
        bool contended = customer->max_in_flight > 0 &&
                         is_demanded_by_peer(limits, customer);
        bool listed = (significant || contended) && count < size;
        if (!significant || !listed) {
            demand.per_sec = 0;
            demand.in_flight = 0;
        }
        customer->published = demand;
        customer->shares_computed_at = 0;
        demand.slots = grant_slots(limits, customer, listed, now);
        if (listed) {
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

/*
 * Before the first publication, peers assume that this daemon uses no more
 * than its even share.
 */
static int
granted_slots(struct am_limits *limits, const struct am_customer *customer,
              int64_t now)
{
    if (Am_IsJoining(limits, now)) {
        return 0;
    }
    if (customer->granted >= 0) {
        return customer->granted;
    }
    size_t count = list_claimants(limits, customer, false, now);
    return am_count_free_slots(customer->max_in_flight, limits->claimants,
                               count)
        .even;
}

static void
get_share(struct am_limits *limits, struct am_customer *customer, int64_t now,
          struct am_share *out)
{
    renew_shares(limits, customer, now);
    out->per_sec =
        customer->per_sec > 0 ? window_min(&customer->rate_share) : -1;
    out->in_flight = -1;
    if (customer->max_in_flight > 0) {
        out->in_flight = min_int((int)window_min(&customer->flight_share),
                                 granted_slots(limits, customer, now));
    }
}

/* Returns in *out this daemon's current share of a customer's limits. */
enum st_status
Am_Share(struct am_limits *limits, const char *name, int64_t now,
         struct am_share *out)
{
    struct am_customer *customer = am_find_customer(limits, name);
    if (customer == NULL) {
        return unknown_customer(name);
    }
    get_share(limits, customer, now, out);
    return ST_OK;
}

/*
 * Requests of a customer admitted here and not yet finished; 0 when the
 * customer is unknown.
 */
int
Am_InFlight(const struct am_limits *limits, const char *name)
{
    const struct am_customer *customer = am_find_customer(limits, name);
    return customer != NULL ? customer->in_flight : 0;
}

static void
record_demand(struct am_customer *customer, int64_t now)
{
    customer->rate = decay(customer->rate, customer->rate_updated_at, now) +
                     1e6 / DEMAND_DECAY_USEC;
    customer->rate_updated_at = now;
    double peak_in_flight =
        decay(customer->peak_in_flight, customer->peak_updated_at, now);
    customer->peak_in_flight = fmax(peak_in_flight, customer->in_flight + 1);
    customer->peak_updated_at = now;
}

static void
fill_bucket(struct am_customer *customer, double per_sec, int64_t now)
{
    double burst = fmax(1, per_sec * BURST_SEC);
    if (now > customer->bucket_filled_at && customer->bucket_filled_at > 0) {
        double sec = (double)(now - customer->bucket_filled_at) / 1e6;
        customer->tokens += per_sec * sec;
    }
    customer->bucket_filled_at = now;
    customer->tokens = fmin(customer->tokens, burst);
}

/*
 * Admits a request or refuses it; an admitted one counts as in flight until
 * Am_Release(). On ST_OVERLOAD the request was not run, and *retry_after is
 * the time after which another request could be admitted.
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
    record_demand(customer, now);
    get_share(limits, customer, now, &share);
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
            double missing = 1 - customer->tokens;
            double rate = fmax(share.per_sec, 0.01);
            *retry_after = (int64_t)(missing / rate * 1e6);
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

/* Releases the slot of an admitted request that has ended. */
void
Am_Release(struct am_limits *limits, const char *name, int64_t now)
{
    struct am_customer *customer = am_find_customer(limits, name);
    if (customer != NULL && customer->in_flight > 0) {
        customer->in_flight--;
    }
}
