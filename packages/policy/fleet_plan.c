/* Plans which hosts to buy, drain and release. */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "policy/fleet.h"

#define DATA_CENTRES_MAX 32
#define BUYS_PER_PLAN_MAX 32
/*
 * A host may be drained when the rest meet the need at this multiple of the
 * predicted load.
 */
#define DRAIN_LOAD_FACTOR 1.1
/* Weight of the loss of the other data centres beside the worst one. */
#define OTHER_LOSSES_WEIGHT 0.01
/*
 * A host is replaced when its price is at least this multiple of the
 * replacement's.
 */
#define REPLACE_PRICE_RATIO 1.3

/* Totals over the hosts that run or start. */
struct sum {
    int hosts;
    double capacity;
    double reclaimable;
    const char *centres[DATA_CENTRES_MAX];
    double in_centre[DATA_CENTRES_MAX]; /* reclaimable capacity */
    size_t centre_count;
};

static void
add(struct sum *sum, const struct ft_offer *offer, double sign)
{
    sum->hosts += sign > 0 ? 1 : -1;
    sum->capacity += sign * offer->capacity;
    if (!offer->reclaimable) {
        return;
    }
    sum->reclaimable += sign * offer->capacity;
    size_t i = 0;
    while (i < sum->centre_count &&
           strcmp(sum->centres[i], offer->data_centre) != 0) {
        i++;
    }
    if (i == DATA_CENTRES_MAX) {
        return;
    }
    if (i == sum->centre_count) {
        sum->centres[i] = offer->data_centre;
        sum->in_centre[i] = 0;
        sum->centre_count++;
    }
    sum->in_centre[i] += sign * offer->capacity;
}

static bool
is_usable(const struct ft_host *host)
{
    return host->state == FT_RUNNING || host->state == FT_STARTING;
}

static struct sum
sum_hosts(const struct ft_host *hosts, size_t count)
{
    struct sum sum = {0};
    for (size_t i = 0; i < count; i++) {
        if (is_usable(&hosts[i])) {
            add(&sum, &hosts[i].offer, 1);
        }
    }
    return sum;
}

/*
 * Capacity missing after the loss of the worst data centre. The losses of the
 * other data centres count with a small weight: where two data centres are
 * equally large, no single host reduces the worst loss, but a host that
 * reduces either one is a step towards it.
 */
static double
loss_shortfall(const struct sum *sum, double load)
{
    double worst = fmax(0, load - sum->capacity);
    double others = 0;
    for (size_t i = 0; i < sum->centre_count; i++) {
        double gap = fmax(0, load - (sum->capacity - sum->in_centre[i]));
        worst = fmax(worst, gap);
        others += gap;
    }
    return worst + OTHER_LOSSES_WEIGHT * others;
}

/*
 * Total capacity missing: below the predicted load with headroom; after the
 * data centre with the most reclaimable capacity has lost all of it at once
 * (the headroom may then be used up); of the capacity that must not be
 * reclaimable; and, with a small weight, below the least number of hosts. 0:
 * the need is met.
 */
static double
shortfall(const struct sum *sum, const struct ft_need *need,
          double load_factor)
{
    double target = load_factor * need->per_sec / (1 - need->headroom);
    double missing = fmax(0, target - sum->capacity);
    if (need->survive_dc_loss) {
        missing += loss_shortfall(sum, load_factor * need->per_sec);
    }
    if (need->reclaimable_max < 1) {
        double on_demand = (1 - need->reclaimable_max) * target;
        missing += fmax(0, on_demand - (sum->capacity - sum->reclaimable));
    }
    if (sum->hosts < need->hosts_min) {
        missing += 1e-3 * (need->hosts_min - sum->hosts);
    }
    return missing < 1e-9 ? 0 : missing;
}

/* Whether the running and starting hosts meet the need. */
bool
Ft_Meets(const struct ft_host *hosts, size_t count, const struct ft_need *need)
{
    struct sum sum = sum_hosts(hosts, count);
    return shortfall(&sum, need, 1) <= 0;
}

/*
 * Returns the offer that closes most of the gap for its price, or offer_count
 * when none closes any of it; an on-demand offer only when no reclaimable one
 * does. The gap includes the loss of the largest data centre, so buying more
 * hosts there closes little and the hosts spread over the data centres.
 */
static size_t
best_offer(const struct ft_inputs *in, const struct sum *sum)
{
    size_t best = in->offer_count;
    double best_gap_per_price = 0;
    bool best_reclaimable = false;
    double gap = shortfall(sum, in->need, 1);
    for (size_t i = 0; i < in->offer_count; i++) {
        const struct ft_offer *offer = &in->offers[i];
        if (!Ft_MayTry(in->refusals, offer, in->now)) {
            continue;
        }
        struct sum with = *sum;
        add(&with, offer, 1);
        double gap_closed = gap - shortfall(&with, in->need, 1);
        double gap_per_price = gap_closed / fmax(offer->price, 1e-6);
        if (gap_closed <= 1e-9 || (best_reclaimable && !offer->reclaimable)) {
            continue;
        }
        if (gap_per_price > best_gap_per_price + 1e-12 ||
            (offer->reclaimable && !best_reclaimable)) {
            best = i;
            best_gap_per_price = gap_per_price;
            best_reclaimable = offer->reclaimable;
        }
    }
    return best;
}

static size_t
plan_buys(const struct ft_inputs *in, struct sum *sum, struct ft_step *out,
          size_t size)
{
    size_t n = 0;
    while (n < size && n < BUYS_PER_PLAN_MAX &&
           sum->hosts < in->need->hosts_max &&
           shortfall(sum, in->need, 1) > 0) {
        size_t best = best_offer(in, sum);
        if (best == in->offer_count) {
            break;
        }
        add(sum, &in->offers[best], 1);
        out[n++] = (struct ft_step){FT_BUY, best};
    }
    return n;
}

static bool
is_spare(const struct ft_inputs *in, const struct sum *sum,
         const struct ft_host *host, double load_factor)
{
    struct sum without = *sum;
    add(&without, &host->offer, -1);
    return shortfall(&without, in->need, load_factor) <= 0;
}

static bool
has_cheaper_offer(const struct ft_inputs *in, const struct ft_host *host)
{
    for (size_t i = 0; i < in->offer_count; i++) {
        if (in->offers[i].price * REPLACE_PRICE_RATIO <= host->offer.price &&
            Ft_MayTry(in->refusals, &in->offers[i], in->now)) {
            return true;
        }
    }
    return false;
}

/*
 * Returns the most expensive running host that is not needed, among equal
 * prices the one with the fewest requests in flight; host_count when there is
 * none.
 */
static size_t
find_spare(const struct ft_inputs *in, const struct sum *sum)
{
    size_t best = in->host_count;
    for (size_t i = 0; i < in->host_count; i++) {
        const struct ft_host *host = &in->hosts[i];
        double load_factor =
            has_cheaper_offer(in, host) ? 1 : DRAIN_LOAD_FACTOR;
        if (host->state != FT_RUNNING ||
            !is_spare(in, sum, host, load_factor)) {
            continue;
        }
        const struct ft_host *dearest =
            best < in->host_count ? &in->hosts[best] : NULL;
        if (dearest == NULL || host->offer.price > dearest->offer.price ||
            (host->offer.price == dearest->offer.price &&
             host->in_flight < dearest->in_flight)) {
            best = i;
        }
    }
    return best;
}

static bool
is_starting(const struct ft_inputs *in)
{
    for (size_t i = 0; i < in->host_count; i++) {
        if (in->hosts[i].state == FT_STARTING) {
            return true;
        }
    }
    return false;
}

/*
 * Returns an offer to replace a more expensive running host, which becomes
 * spare once the new host runs; offer_count when there is none. Without this,
 * on-demand hosts bought in a shortage would be kept for good.
 */
static size_t
find_cheaper(const struct ft_inputs *in, const struct sum *sum)
{
    size_t best = in->offer_count;
    for (size_t h = 0; h < in->host_count; h++) {
        const struct ft_host *host = &in->hosts[h];
        if (host->state != FT_RUNNING) {
            continue;
        }
        for (size_t i = 0; i < in->offer_count; i++) {
            const struct ft_offer *offer = &in->offers[i];
            if (offer->price * REPLACE_PRICE_RATIO > host->offer.price ||
                !Ft_MayTry(in->refusals, offer, in->now) ||
                (best < in->offer_count &&
                 in->offers[best].price <= offer->price)) {
                continue;
            }
            struct sum swapped = *sum;
            add(&swapped, offer, 1);
            if (is_spare(in, &swapped, host, 1)) {
                best = i;
            }
        }
    }
    return best;
}

/*
 * Releases drained hosts without requests in flight. A host with requests in
 * flight is never released, however long they take.
 */
static size_t
plan_releases(const struct ft_inputs *in, struct ft_step *out, size_t size)
{
    size_t n = 0;
    for (size_t i = 0; i < in->host_count && n < size; i++) {
        if (in->hosts[i].state == FT_DRAINING && in->hosts[i].in_flight == 0) {
            out[n++] = (struct ft_step){FT_RELEASE, i};
        }
    }
    return n;
}

/*
 * Spreads the hosts over the data centres, takes the cheapest offers first and
 * on-demand ones last. No host is drained while hosts start, because a start
 * may still be refused or fail. One host is drained or replaced at a time.
 */
static size_t
plan_spread(const struct ft_inputs *in, struct ft_step *out, size_t size)
{
    struct sum sum = sum_hosts(in->hosts, in->host_count);
    size_t n = plan_releases(in, out, size);
    size_t bought = plan_buys(in, &sum, out + n, size - n);
    n += bought;
    if (bought > 0 || n == size || is_starting(in)) {
        return n;
    }
    size_t spare = find_spare(in, &sum);
    if (spare < in->host_count) {
        out[n++] = (struct ft_step){FT_DRAIN, spare};
        return n;
    }
    size_t cheaper = find_cheaper(in, &sum);
    if (cheaper < in->offer_count && sum.hosts < in->need->hosts_max) {
        out[n++] = (struct ft_step){FT_BUY, cheaper};
    }
    return n;
}

static size_t
plan_one_kind(const struct ft_inputs *in, bool reclaimable,
              struct ft_step *out, size_t size)
{
    struct sum sum = sum_hosts(in->hosts, in->host_count);
    struct ft_need need = *in->need;
    size_t n = plan_releases(in, out, size);
    need.survive_dc_loss = false;
    need.reclaimable_max = 1;
    size_t best = in->offer_count;
    for (size_t i = 0; i < in->offer_count; i++) {
        if (in->offers[i].reclaimable == reclaimable &&
            Ft_MayTry(in->refusals, &in->offers[i], in->now) &&
            (best == in->offer_count ||
             in->offers[i].price / in->offers[i].capacity <
                 in->offers[best].price / in->offers[best].capacity)) {
            best = i;
        }
    }
    while (best < in->offer_count && n < size &&
           shortfall(&sum, &need, 1) > 0) {
        add(&sum, &in->offers[best], 1);
        out[n++] = (struct ft_step){FT_BUY, best};
    }
    struct ft_inputs relaxed_inputs = *in;
    relaxed_inputs.need = &need;
    size_t spare = find_spare(&relaxed_inputs, &sum);
    if (spare < in->host_count && n < size && !is_starting(in)) {
        out[n++] = (struct ft_step){FT_DRAIN, spare};
    }
    return n;
}

static size_t
plan_on_demand(const struct ft_inputs *in, struct ft_step *out, size_t size)
{
    return plan_one_kind(in, false, out, size);
}

static size_t
plan_cheapest(const struct ft_inputs *in, struct ft_step *out, size_t size)
{
    return plan_one_kind(in, true, out, size);
}

static const struct ft_ops spread_ops = {"spread", plan_spread};
static const struct ft_ops on_demand_ops = {"all on-demand", plan_on_demand};
static const struct ft_ops cheapest_ops = {"cheapest only", plan_cheapest};

/* The planner in use. */
const struct ft_ops *
Ft_Spread(void)
{
    return &spread_ops;
}

/* Baseline: on-demand hosts only. */
const struct ft_ops *
Ft_AllOnDemand(void)
{
    return &on_demand_ops;
}

/* Baseline: the cheapest reclaimable offer, wherever it is. */
const struct ft_ops *
Ft_CheapestOnly(void)
{
    return &cheapest_ops;
}
