/* Endpoints: what each service should have, and the orders for it. */
#include <bsd/string.h>
#include <math.h>
#include <string.h>

#include "edge/plan.h"
#include "edge/work_internal.h"

/* Heartbeats without a new endpoint after which none is missing. */
#define Wo_SETTLE_BEATS 2
#define Wo_PLAN_EVERY_USEC (500 * Ck_USEC_PER_MSEC)
/* An endpoint that has started says so some time later. */
#define Wo_BOOT_USEC (2 * Ck_USEC_PER_SEC)
/* A kind refused in a data centre is asked for again after this. */
#define Wo_DRY_USEC (3 * Ck_USEC_PER_SEC)
/* An order that was answered is repeated, should it have been undone. */
#define Wo_REPEAT_USEC (10 * Ck_USEC_PER_SEC)
/*
 * Data centres are reclaimed one after the other: those seen followed each
 * other within ten seconds.
 */
#define Wo_RECLAIMED_USEC (30 * Ck_USEC_PER_SEC)

/* What is there in each data centre that is not evacuated. */
struct look {
    struct pn_zone zones[Ec_ZONES_MAX];
    size_t count;
    int reclaimed; /* data centres */
};

static struct order *
find_order(struct wo_work *work, const char *service, const char *zone,
           bool spot)
{
    for (size_t i = 0; i < work->order_count; i++) {
        struct order *order = &work->orders[i];
        if (order->spot == spot && strcmp(order->service, service) == 0 &&
            strcmp(order->zone, zone) == 0) {
            return order;
        }
    }
    if (work->order_count == Wo_ORDERS_MAX) {
        return NULL;
    }
    struct order *order = &work->orders[work->order_count++];
    strlcpy(order->service, service, sizeof(order->service));
    strlcpy(order->zone, zone, sizeof(order->zone));
    order->spot = spot;
    order->confirmed = -1;
    order->work = work;
    return order;
}

static void
on_ordered(void *arg, enum cl_status status)
{
    struct order *order = arg;
    struct ga_gate *gate = order->work->gate;
    int64_t now = Ga_Now(gate);
    order->busy = false;
    Ln_Log(LN_STATE, "order.answered",
           "\"service\":\"%s\",\"zone\":\"%s\",\"spot\":%d,\"count\":%d,"
           "\"status\":%d",
           order->service, order->zone, order->spot, order->wanted,
           (int)status);
    if (status == CL_DONE) {
        if (order->wanted > order->confirmed) {
            order->raised_at = now;
        }
        order->confirmed = order->wanted;
    }
    else if (status == CL_FENCED && order->spot) {
        /* None to be had, most likely: a lost fence shows elsewhere too. */
        order->dry_until = now + Wo_DRY_USEC;
        /* What stands in for them takes seconds to start. */
        order->work->planned_at = 0;
    }
    else if (status == CL_FENCED) {
        Du_Refused(gate->duty);
    }
}

static void
place_order(struct wo_work *work, struct order *order, int wanted,
            int64_t boot_usec)
{
    struct ga_gate *gate = work->gate;
    int64_t now = Ga_Now(gate);
    int64_t patience =
        order->present < wanted ? boot_usec + Wo_BOOT_USEC : Wo_REPEAT_USEC;
    if (order->busy || now - order->asked_at < Wo_RETRY_USEC ||
        (order->confirmed == wanted && now - order->asked_at < patience)) {
        return;
    }
    if (order->spot && now < order->dry_until && wanted > 0) {
        return;
    }
    order->wanted = wanted;
    order->asked_at = now;
    order->busy = true;
    struct cl_order request = {order->service, order->zone, order->spot,
                               wanted};
    gate->options.cloud->ops->order(gate->options.cloud, Du_Fence(gate->duty),
                                    &request, on_ordered, order);
}

/* Usable endpoints of a kind in a data centre. */
static int
count_usable(const struct ga_gate *gate, const char *service, const char *zone,
             bool spot)
{
    int count = 0;
    const struct fl_endpoint *endpoint;
    TAILQ_FOREACH (endpoint, Fl_All(gate->fleet), link) {
        count += Fl_Usable(endpoint) && endpoint->entry.spot == spot &&
                 strcmp(endpoint->entry.service, service) == 0 &&
                 strcmp(endpoint->entry.zone, zone) == 0;
    }
    return count;
}

/* The load of all daemons, and the reading rates that they have seen. */
struct sum {
    struct de_load load;
    double rates;
    int rate_count;
};

static void
add_rates(struct sum *sum, uint32_t service, const struct de_rate *rates,
          size_t count)
{
    for (size_t i = 0; i < count; i++) {
        if (rates[i].service != service) {
            continue;
        }
        sum->load.prompt_tokens_per_sec += rates[i].reading;
        sum->load.concurrency += rates[i].running;
        if (rates[i].read_rate > 0) {
            sum->rates += rates[i].read_rate;
            sum->rate_count++;
        }
    }
}

/*
 * The mean of what daemons see; what the last holder saw where none has seen
 * any, as after a restart of all under a load that leaves no endpoint idle.
 */
static double
read_rate(const struct wo_work *work, const struct sum *sum, uint32_t service)
{
    const struct du_need *need = Du_Need(work->gate->duty, service);
    if (sum->rate_count > 0) {
        return sum->rates / sum->rate_count;
    }
    return need == NULL ? 0 : need->read_rate;
}

/* Endpoints that the load of all daemons needs; 0: not known. */
static int
needed_now(const struct wo_work *work, const struct ec_service *service)
{
    struct ga_gate *gate = work->gate;
    uint32_t hash = De_Hash(service->name);
    struct sum sum = {.load.slots = service->slots};
    struct de_rate own[De_SERVICES_MAX];
    add_rates(&sum, hash, own, De_Own(gate->demand, own));
    const struct ms_peer *peer;
    TAILQ_FOREACH (peer, Ms_Peers(gate->mesh), link) {
        if (Ms_Alive(gate->mesh, peer)) {
            add_rates(&sum, hash, peer->rates, peer->rate_count);
        }
    }
    sum.load.prefill_rate = read_rate(work, &sum, hash);
    if (sum.load.prefill_rate <= 0) {
        return 0;
    }
    int needed = De_EndpointsNeeded(&sum.load);
    Ln_Log(LN_ORDINARY, "load",
           "\"service\":\"%s\",\"reading_per_sec\":%.0f,\"running\":%.1f,"
           "\"read_rate\":%.0f,\"needed\":%d",
           service->name, sum.load.prompt_tokens_per_sec, sum.load.concurrency,
           sum.load.prefill_rate, needed);
    return needed;
}

/* A successor that has seen no load yet starts from what was needed. */
static void
hand_on(struct wo_work *work, const struct ec_service *service, int wanted)
{
    uint32_t hash = De_Hash(service->name);
    const struct du_need *before = Du_Need(work->gate->duty, hash);
    struct du_need need = {hash, wanted,
                           before == NULL ? 0 : before->read_rate};
    double seen = De_ReadRate(work->gate->demand, service->name);
    if (seen > 0) {
        need.read_rate = seen;
    }
    Du_SetNeed(work->gate->duty, &need);
}

static int
more_of(int a, int b)
{
    return a > b ? a : b;
}

static struct base *
find_base(struct wo_work *work, const struct ec_service *service)
{
    for (size_t i = 0; i < work->base_count; i++) {
        if (strcmp(work->bases[i].service, service->name) == 0) {
            return &work->bases[i];
        }
    }
    if (work->base_count == Wo_SERVICES_MAX) {
        return NULL;
    }
    struct base *base = &work->bases[work->base_count++];
    strlcpy(base->service, service->name, sizeof(base->service));
    const struct du_need *need =
        Du_Need(work->gate->duty, De_Hash(service->name));
    base->settled = false;
    Pn_StartEstimate(&base->found, need == NULL ? 0 : need->endpoints,
                     Ga_Now(work->gate));
    return base;
}

/*
 * Whether all endpoints of a service are known.  Each writes its entry about
 * every heartbeat, so just after their start, or ours, some are missing; an
 * order for the number that is seen would end those that are not.
 */
static bool
is_settled(const struct ga_gate *gate, struct base *base)
{
    if (base->settled) {
        return true;
    }
    int64_t now = Ga_Now(gate);
    const struct fl_endpoint *endpoint;
    TAILQ_FOREACH (endpoint, Fl_All(gate->fleet), link) {
        if (!endpoint->entry.spot &&
            strcmp(endpoint->entry.service, base->service) == 0 &&
            now - endpoint->since <
                Wo_SETTLE_BEATS * gate->options.node->heartbeat_usec) {
            return false;
        }
    }
    base->settled = true;
    return true;
}

static void
log_plan(const struct pn_service *wants, const struct ec_service *service,
         const struct look *look, const struct pn_target *targets)
{
    const struct pn_zone *zones = look->zones;
    int lasting = 0;
    int spot = 0;
    int coming = 0;
    int dry = 0;
    int wish_lasting = 0;
    int wish_spot = 0;
    for (size_t i = 0; i < look->count; i++) {
        lasting += zones[i].on_demand;
        spot += zones[i].spot;
        coming += zones[i].spot_starting;
        dry += zones[i].spot_unavailable;
        wish_lasting += targets[i].on_demand;
        wish_spot += targets[i].spot;
    }
    Ln_Log(LN_ORDINARY, "plan",
           "\"service\":\"%s\",\"wanted\":%d,\"steady\":%d,\"lasting\":%d,"
           "\"spot\":%d,"
           "\"coming\":%d,\"dry_zones\":%d,\"wish_lasting\":%d,"
           "\"wish_spot\":%d",
           service->name, wants->peak, wants->baseline, lasting, spot, coming,
           dry, wish_lasting, wish_spot);
}

/*
 * Fewer than before although none were given back: they are reclaimed, and
 * what was ordered there is not coming.  Asking again tells whether others
 * are to be had.
 */
static void
note_present(struct order *order, int present, int64_t now)
{
    if (present == 0 && order->most > 1 && order->wanted > 0) {
        order->reclaimed_at = now;
    }
    order->most = present == 0 ? 0 : more_of(order->most, present);
    if (present < order->present && order->confirmed >= order->present) {
        order->confirmed = -1;
    }
    order->present = present;
}

/* Reclaimable endpoints of a data centre; whether they were just reclaimed. */
static bool
look_at_spot(const struct ec_service *service, struct order *order,
             struct pn_zone *zone, int64_t now)
{
    if (order == NULL) {
        return false;
    }
    note_present(order, zone->spot, now);
    zone->spot_unavailable = now < order->dry_until;
    if (order->confirmed > zone->spot &&
        now - order->raised_at < service->boot_usec + Wo_BOOT_USEC) {
        zone->spot_starting = order->confirmed - zone->spot;
    }
    return order->reclaimed_at > 0 &&
           now - order->reclaimed_at < Wo_RECLAIMED_USEC;
}

static void
look_at_lasting(struct order *order, struct pn_zone *zone)
{
    if (order != NULL) {
        order->present = zone->on_demand;
        zone->on_demand_ordered = more_of(order->confirmed, 0);
    }
}

/*
 * An evacuated data centre is left as it is: what serves there comes back
 * with it, sooner than what would have to be ordered.
 */
static void
look_at_zones(struct wo_work *work, const struct ec_service *service,
              struct look *look)
{
    struct ga_gate *gate = work->gate;
    int64_t now = Ga_Now(gate);
    for (size_t i = 0; i < service->zone_count; i++) {
        if (Fl_IsEvacuated(gate->fleet, service->zones[i].zone)) {
            continue;
        }
        struct pn_zone *zone = &look->zones[look->count++];
        strlcpy(zone->zone, service->zones[i].zone, sizeof(zone->zone));
        zone->price = service->zones[i].price;
        zone->on_demand = count_usable(gate, service->name, zone->zone, false);
        zone->spot = count_usable(gate, service->name, zone->zone, true);
        struct order *spot = find_order(work, service->name, zone->zone, true);
        look->reclaimed += look_at_spot(service, spot, zone, now);
        look_at_lasting(find_order(work, service->name, zone->zone, false),
                        zone);
    }
}

/* All that are there, of the kind of which there are more. */
static int
present_of(const struct pn_zone *zones, size_t count)
{
    int lasting = 0;
    int spot = 0;
    for (size_t i = 0; i < count; i++) {
        lasting += zones[i].on_demand;
        spot += zones[i].spot;
    }
    return more_of(lasting, spot);
}

static void
place_orders(struct wo_work *work, const struct ec_service *service,
             const struct look *look, const struct pn_target *targets,
             bool settled)
{
    const struct pn_zone *zones = look->zones;
    for (size_t i = 0; i < look->count; i++) {
        for (int spot = 0; spot <= 1; spot++) {
            struct order *order =
                find_order(work, service->name, zones[i].zone, spot);
            int wish = spot ? targets[i].spot : targets[i].on_demand;
            bool known = order != NULL && order->confirmed >= 0;
            int have = spot ? zones[i].spot : zones[i].on_demand;
            if (order != NULL && (known || wish != have) &&
                (spot || settled)) {
                place_order(work, order, wish, service->boot_usec);
            }
        }
    }
}

static void
plan_service(struct wo_work *work, const struct ec_service *service)
{
    struct ga_gate *gate = work->gate;
    struct base *base = find_base(work, service);
    if (base == NULL) {
        return;
    }
    struct look look = {0};
    struct pn_target targets[Ec_ZONES_MAX];
    look_at_zones(work, service, &look);
    Pn_UpdateEstimate(&base->found, needed_now(work, service),
                      present_of(look.zones, look.count), Ga_Now(gate));
    hand_on(work, service, base->found.peak);
    struct pn_service wants = {
        .min = service->min,
        .max = service->max,
        .spot_price = service->spot_price,
        .peak = base->found.peak,
        .baseline = (int)ceil(base->found.baseline.endpoints),
        .zones_reclaimed = look.reclaimed,
    };
    Pn_Plan(&wants, look.zones, look.count, targets);
    log_plan(&wants, service, &look, targets);
    place_orders(work, service, &look, targets, is_settled(gate, base));
}

void
Wo_PlanSoon(struct wo_work *work)
{
    if (work != NULL) {
        work->planned_at = 0;
    }
}

void
wo_tick_orders(struct wo_work *work)
{
    struct ga_gate *gate = work->gate;
    int64_t now = Ga_Now(gate);
    const struct ec_config *config = Fe_Config(gate->feed);
    if (config == NULL || !Fl_Any(gate->fleet) ||
        now - work->planned_at < Wo_PLAN_EVERY_USEC) {
        return;
    }
    work->planned_at = now;
    for (size_t i = 0; i < config->service_count; i++) {
        const struct ro_move *move =
            Ro_Find(gate->moves, config->services[i].name);
        /* Endpoints of two versions cannot be told apart in an order. */
        bool moving = move != NULL && move->state == RO_RUNNING;
        if (config->services[i].ordered && !moving) {
            plan_service(work, &config->services[i]);
        }
    }
}
