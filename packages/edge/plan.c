#include "edge/plan.h"

#include <math.h>

/*
 * Number of steps in which spot endpoints replace on-demand endpoints in data
 * centres that are at their limit.  In each step a quarter of the serving
 * endpoints is missing for the duration of one start.
 */
#define Pn_REPLACE_STEPS 4

/*
 * How long the estimate holds a peak before it falls.  Endpoints take seconds
 * to start, and load comes in waves that last tens of seconds.
 */
#define Pn_PEAK_HOLD_USEC (25 * Ck_USEC_PER_SEC)

/*
 * Time constant of the moving average that filters short peaks out of the
 * load.
 */
#define Pn_BASELINE_USEC (12 * Ck_USEC_PER_SEC)

/*
 * Starts the average at a known value.  A new lease holder has seen no load
 * yet, and after a restart of all hosts callers come back one by one, so the
 * first load that the holder sees is too small.
 */
void
Pn_StartBaseline(struct pn_baseline *baseline, int endpoints, int64_t now)
{
    baseline->endpoints = endpoints;
    baseline->updated_at = now;
}

/*
 * Retries and queues inflate the load for the seconds in which it is served
 * badly.  On-demand endpoints ordered for such a peak start after it is over
 * and cost the most, so the average filters it out.
 */
void
Pn_UpdateBaseline(struct pn_baseline *baseline, int needed, int64_t now)
{
    if (baseline->updated_at == 0) {
        Pn_StartBaseline(baseline, needed, now);
    }
    double decay =
        exp(-(double)(now - baseline->updated_at) / (double)Pn_BASELINE_USEC);
    baseline->updated_at = now;
    baseline->endpoints = decay * baseline->endpoints + (1 - decay) * needed;
}

void
Pn_StartEstimate(struct pn_estimate *estimate, int inherited, int64_t now)
{
    *estimate = (struct pn_estimate){.peak = inherited, .peak_at = now};
    if (inherited > 0) {
        Pn_StartBaseline(&estimate->baseline, inherited, now);
    }
}

/*
 * While no load is known, the estimate is the number of usable endpoints,
 * because that many were ordered earlier.  While one kind replaces the other,
 * both kinds are usable, so only the larger kind counts.  Afterwards the
 * estimate follows the load up at once and down only after Pn_PEAK_HOLD_USEC.
 */
void
Pn_UpdateEstimate(struct pn_estimate *estimate, int needed, int observed,
                  int64_t now)
{
    if (needed == 0) {
        needed = observed > estimate->peak ? observed : estimate->peak;
        Pn_StartBaseline(&estimate->baseline, needed, now);
    }
    if (needed >= estimate->peak ||
        now - estimate->peak_at > Pn_PEAK_HOLD_USEC) {
        estimate->peak = needed;
        estimate->peak_at = now;
    }
    Pn_UpdateBaseline(&estimate->baseline, needed, now);
}

static int
min_int(int value, int limit)
{
    return value < limit ? value : limit;
}

static int
max_int(int a, int b)
{
    return a > b ? a : b;
}

/*
 * Returns the data centre with the fewest target endpoints, and among equals
 * the cheapest; "count" if none can take another spot endpoint.
 */
static size_t
next_spot_zone(const struct pn_service *service, const struct pn_zone *zones,
               const struct pn_target *targets, size_t count)
{
    size_t best = count;
    for (size_t i = 0; i < count; i++) {
        int current = targets[i].spot + targets[i].on_demand;
        if (current >= service->max || zones[i].spot_unavailable) {
            continue;
        }
        if (best == count) {
            best = i;
            continue;
        }
        int other = targets[best].spot + targets[best].on_demand;
        if (current < other ||
            (current == other && zones[i].price < zones[best].price)) {
            best = i;
        }
    }
    return best;
}

static int
total_targets(const struct pn_target *targets, size_t count)
{
    int sum = 0;
    for (size_t i = 0; i < count; i++) {
        sum += targets[i].spot + targets[i].on_demand;
    }
    return sum;
}

/*
 * Spreads spot endpoints evenly, so that the loss of a data centre costs only
 * a fraction of them.
 */
static void
spread_spot(const struct pn_service *service, const struct pn_zone *zones,
            struct pn_target *targets, size_t count)
{
    while (total_targets(targets, count) < service->peak) {
        size_t zone = next_spot_zone(service, zones, targets, count);
        if (zone == count) {
            return;
        }
        targets[zone].spot++;
    }
}

/* On-demand endpoints that are usable or still starting. */
static int
on_demand_present(const struct pn_zone *zone)
{
    return max_int(zone->on_demand, zone->on_demand_ordered);
}

/*
 * Chooses the data centre for one more on-demand endpoint: first where an
 * existing or starting endpoint can be kept, then the cheapest.  Returns
 * "count" if no data centre has room.
 */
static size_t
next_on_demand_zone(const struct pn_service *service,
                    const struct pn_zone *zones,
                    const struct pn_target *targets, size_t count, int largest)
{
    size_t best = count;
    bool best_existing = false;
    for (size_t i = 0; i < count; i++) {
        bool existing = targets[i].on_demand < on_demand_present(&zones[i]);
        if (targets[i].spot + targets[i].on_demand >= service->max ||
            (!existing && targets[i].on_demand >= largest)) {
            continue;
        }
        if (best == count || existing > best_existing ||
            (existing == best_existing &&
             zones[i].price < zones[best].price)) {
            best = i;
            best_existing = existing;
        }
    }
    return best;
}

/*
 * On-demand endpoints are not reclaimed, so they go to the cheapest data
 * centres, but at most half of them to one as long as others have room.  This
 * costs 14 % less than an even spread over four data centres.
 */
static void
add_on_demand(const struct pn_service *service, const struct pn_zone *zones,
              struct pn_target *targets, size_t count, int extra)
{
    int sum = extra;
    for (size_t i = 0; i < count; i++) {
        sum += targets[i].on_demand;
    }
    for (; extra > 0; extra--) {
        size_t zone =
            next_on_demand_zone(service, zones, targets, count, (sum + 1) / 2);
        if (zone == count) {
            zone = next_on_demand_zone(service, zones, targets, count,
                                       service->max);
        }
        if (zone == count) {
            return;
        }
        targets[zone].on_demand++;
    }
}

/* The number of endpoints below which answers come late. */
static int
min_on_time(const struct pn_service *service)
{
    return (int)ceil(service->baseline * service->min_fraction);
}

/*
 * Spot endpoints that the next reclaim may take.  While no spot capacity is
 * available, spot endpoints that are reclaimed cannot be replaced by others,
 * and on-demand endpoints take seconds to start, so they are ordered before
 * the reclaim.  If several data centres were reclaimed, as many more may
 * follow: the reclaim of two, and of two more within eight seconds, left a
 * service with 5 of 30 endpoints until on-demand endpoints had started.
 */
static int
spot_at_risk(const struct pn_service *service, const struct pn_zone *zones,
             size_t count)
{
    bool unavailable = false;
    bool counted[Ec_ZONES_MAX] = {false};
    for (size_t i = 0; i < count; i++) {
        unavailable |= zones[i].spot_unavailable;
    }
    int risk = 0;
    for (int left = max_int(service->zones_reclaimed, 1);
         unavailable && left > 0; left--) {
        size_t largest = count;
        for (size_t i = 0; i < count; i++) {
            if (!counted[i] &&
                (largest == count || zones[i].spot > zones[largest].spot)) {
                largest = i;
            }
        }
        if (largest == count) {
            break;
        }
        counted[largest] = true;
        risk += zones[largest].spot;
    }
    return risk;
}

/*
 * On-demand endpoints substitute for missing spot endpoints.  They cost
 * several times as much, so they only fill up to the number below which
 * answers come late.
 */
static int
on_demand_substitutes(const struct pn_service *service,
                      const struct pn_zone *zones, size_t count)
{
    int existing = -spot_at_risk(service, zones, count);
    for (size_t i = 0; i < count; i++) {
        existing += zones[i].spot + zones[i].spot_starting;
    }
    int minimum = min_on_time(service);
    return minimum > existing ? minimum - existing : 0;
}

/*
 * Returns the on-demand endpoints that all data centres together have beyond
 * their targets.  One whose target is now in another data centre is not spare:
 * keeping it as well would order it twice.
 */
static int
on_demand_spare(const struct pn_zone *zones, const struct pn_target *targets,
                size_t count)
{
    int spare = 0;
    for (size_t i = 0; i < count; i++) {
        spare += on_demand_present(&zones[i]) - targets[i].on_demand;
    }
    return max_int(spare, 0);
}

/*
 * Keeps endpoints that serve or are starting until enough of their
 * replacements are usable.  If orders were withdrawn while endpoints start, a
 * service would be left without either kind each time spot capacity comes and
 * goes.
 */
static void
keep_until_replaced(const struct pn_service *service,
                    const struct pn_zone *zones, struct pn_target *targets,
                    size_t count)
{
    int usable = 0;
    for (size_t i = 0; i < count; i++) {
        usable += min_int(zones[i].spot, targets[i].spot) +
                  min_int(zones[i].on_demand, targets[i].on_demand);
    }
    int missing = service->peak - usable;
    for (size_t i = 0; i < count && missing > 0; i++) {
        int room = service->max - targets[i].on_demand - targets[i].spot;
        int extra = min_int(max_int(zones[i].spot - targets[i].spot, 0),
                            min_int(missing, max_int(room, 0)));
        targets[i].spot += extra;
        missing -= extra;
    }
    missing -= service->peak - service->baseline;
    missing = min_int(missing, on_demand_spare(zones, targets, count));
    for (size_t i = 0; i < count && missing > 0; i++) {
        int current = on_demand_present(&zones[i]);
        int keep =
            min_int(max_int(current - targets[i].on_demand, 0), missing);
        targets[i].on_demand += keep;
        missing -= keep;
        if (targets[i].on_demand + targets[i].spot > service->max) {
            targets[i].spot =
                max_int(service->max - targets[i].on_demand, zones[i].spot);
        }
    }
}

/* Returns whether no data centre has room for one more spot endpoint. */
static bool
all_full(const struct pn_service *service, const struct pn_zone *zones,
         const struct pn_target *targets, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        if (targets[i].on_demand + zones[i].spot < service->max) {
            return false;
        }
    }
    return true;
}

/*
 * On-demand endpoints that fill every data centre to its limit would
 * permanently block the spot endpoints that should replace them.  They are
 * replaced step by step, so that the number of serving endpoints falls by at
 * most one step at a time.
 */
static void
make_spot_room(const struct pn_service *service, const struct pn_zone *zones,
               struct pn_target *targets, size_t count)
{
    int step = (service->max + Pn_REPLACE_STEPS - 1) / Pn_REPLACE_STEPS;
    if (!all_full(service, zones, targets, count)) {
        return;
    }
    for (size_t i = 0; i < count; i++) {
        if (zones[i].spot_unavailable || targets[i].on_demand == 0) {
            continue;
        }
        int spot = zones[i].spot + step;
        spot = min_int(spot, service->max);
        targets[i].on_demand =
            min_int(targets[i].on_demand, service->max - spot);
        targets[i].spot = max_int(targets[i].spot, spot);
    }
}

/*
 * Keeps all spot endpoints while on-demand endpoints substitute for others:
 * they cost a fraction of these, and more may be reclaimed.
 */
static void
keep_spot_beside_on_demand(const struct pn_service *service,
                           const struct pn_zone *zones,
                           struct pn_target *targets, size_t count)
{
    int on_demand = 0;
    for (size_t i = 0; i < count; i++) {
        on_demand += targets[i].on_demand;
    }
    for (size_t i = 0; i < count && on_demand > 0; i++) {
        int room = max_int(service->max - targets[i].on_demand, 0);
        int kept = min_int(zones[i].spot, room);
        targets[i].spot = max_int(targets[i].spot, kept);
    }
}

/* The most endpoints that all data centres together may have. */
static int
capacity_limit(const struct pn_service *service, size_t count)
{
    return service->max * (int)count;
}

void
Pn_Plan(const struct pn_service *service_in, const struct pn_zone *zones,
        size_t count, struct pn_target *targets)
{
    struct pn_service limited = *service_in;
    const struct pn_service *service = &limited;
    limited.peak =
        min_int(service_in->peak, capacity_limit(service_in, count));
    limited.baseline = min_int(service_in->baseline, limited.peak);
    bool offered = service->spot_price > 0 && service->spot_price < 1;
    int on_demand =
        offered ? on_demand_substitutes(service, zones, count) : service->peak;
    for (size_t i = 0; i < count; i++) {
        targets[i] = (struct pn_target){0, 0};
        if (offered) {
            /* An order for fewer would stop running spot endpoints. */
            targets[i].spot =
                zones[i].spot_unavailable ? zones[i].spot : service->min;
        }
        targets[i].on_demand = max_int(service->min - targets[i].spot, 0);
        on_demand -= targets[i].on_demand;
    }
    if (offered) {
        spread_spot(service, zones, targets, count);
    }
    add_on_demand(service, zones, targets, count, on_demand);
    keep_until_replaced(service, zones, targets, count);
    if (offered) {
        keep_spot_beside_on_demand(service, zones, targets, count);
        make_spot_room(service, zones, targets, count);
    }
}

/*
 * The platform limits both kinds of a data centre together, and silently cuts
 * an order beyond that limit.
 */
int
Pn_SpotOrder(const struct pn_zone *zone, int max, int target)
{
    int taken = zone->on_demand_ordered >= 0 ? zone->on_demand_ordered
                                             : zone->on_demand;
    return min_int(target, max_int(max - taken, zone->spot));
}
