/* Decides how many endpoints each service should have and orders them. */
#include <bsd/string.h>
#include <math.h>
#include <string.h>

#include "edge/controller_internal.h"
#include "edge/plan.h"

/*
 * All endpoints of a service count as discovered after this many heartbeats
 * without a new one.
 */
#define Co_DISCOVERY_HEARTBEATS 2
#define Co_PLAN_INTERVAL_USEC (500 * Ck_USEC_PER_MSEC)
/* Allows for the time from an endpoint's start to its first store entry. */
#define Co_READY_MARGIN_USEC (2 * Ck_USEC_PER_SEC)
/*
 * Delay before spot endpoints are ordered again in a data centre that had none
 * available.
 */
#define Co_UNAVAILABLE_USEC (3 * Ck_USEC_PER_SEC)
/* A confirmed order is repeated after this time, in case it was undone. */
#define Co_REPEAT_USEC (10 * Ck_USEC_PER_SEC)
/* Measurements of the same rate differ by less than this factor. */
#define Co_RATE_MIN_FRACTION 0.6
/* The median of more rates would be no better. */
#define Co_RATES_MAX 512
/*
 * How long a reclaimed data centre counts as recently reclaimed.  Data centres
 * are reclaimed one after another; those observed followed each other within
 * ten seconds.
 */
#define Co_RECLAIM_MEMORY_USEC (30 * Ck_USEC_PER_SEC)

/* Endpoints in each data centre that is not evacuated. */
struct zone_survey {
    struct pn_zone zones[Ec_ZONES_MAX];
    size_t count;
    int reclaimed; /* data centres recently reclaimed */
};

static struct order *
find_order(struct co_controller *controller, const char *service,
           const char *zone, bool spot)
{
    for (size_t i = 0; i < controller->order_count; i++) {
        struct order *order = &controller->orders[i];
        if (order->spot == spot && strcmp(order->service, service) == 0 &&
            strcmp(order->zone, zone) == 0) {
            return order;
        }
    }
    if (controller->order_count == Co_ORDERS_MAX) {
        return NULL;
    }
    struct order *order = &controller->orders[controller->order_count++];
    strlcpy(order->service, service, sizeof(order->service));
    strlcpy(order->zone, zone, sizeof(order->zone));
    order->spot = spot;
    order->confirmed = -1;
    order->controller = controller;
    return order;
}

static void
on_ordered(void *arg, enum cl_status status)
{
    struct order *order = arg;
    struct ga_gate *gate = order->controller->gate;
    int64_t now = Ga_Now(gate);
    order->in_flight = false;
    Ln_Log(LN_STATE, "order.answered",
           "\"service\":\"%s\",\"zone\":\"%s\",\"spot\":%d,\"count\":%d,"
           "\"status\":%d",
           order->service, order->zone, order->spot, order->requested,
           (int)status);
    if (status == CL_DONE) {
        if (order->requested > order->confirmed) {
            order->increased_at = now;
        }
        order->confirmed = order->requested;
    }
    else if (status == CL_FENCED && order->spot) {
        /*
         * The platform most likely has no spot capacity.  If the fence was
         * rejected, the other calls will show it too.
         */
        order->unavailable_until = now + Co_UNAVAILABLE_USEC;
        /* Plan at once: on-demand substitutes take seconds to start. */
        order->controller->planned_at = 0;
    }
    else if (status == CL_FENCED) {
        Lr_FenceRefused(gate->lease);
    }
}

static void
place_order(struct co_controller *controller, struct order *order, int target,
            int64_t boot_usec)
{
    struct ga_gate *gate = controller->gate;
    int64_t now = Ga_Now(gate);
    int64_t repeat_after = order->usable < target
                               ? boot_usec + Co_READY_MARGIN_USEC
                               : Co_REPEAT_USEC;
    if (order->in_flight || now - order->sent_at < Co_RETRY_USEC ||
        (order->confirmed == target && now - order->sent_at < repeat_after)) {
        return;
    }
    if (order->spot && now < order->unavailable_until && target > 0) {
        return;
    }
    order->requested = target;
    order->sent_at = now;
    order->in_flight = true;
    struct cl_order request = {order->service, order->zone, order->spot,
                               target};
    gate->options.cloud->ops->order(gate->options.cloud, Lr_Fence(gate->lease),
                                    &request, on_ordered, order);
}

/* Counts the usable endpoints of a kind in a data centre. */
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

/* Load and measured prefill rates, summed over all daemons. */
struct load_sum {
    struct de_load load;
    double requests_per_sec;
    double rate_min; /* lower rates are left out */
    size_t rate_count;
    double rates[Co_RATES_MAX];
};

static void
add_rates(struct load_sum *sum, uint32_t service, const struct de_rate *rates,
          size_t count)
{
    for (size_t i = 0; i < count; i++) {
        if (rates[i].service != service) {
            continue;
        }
        sum->requests_per_sec += rates[i].requests_per_sec;
        sum->load.prompt_tokens_per_sec += rates[i].prompt_tokens_per_sec;
        sum->load.concurrency += rates[i].concurrency;
        if (rates[i].prefill_rate > sum->rate_min &&
            sum->rate_count < Co_RATES_MAX) {
            sum->rates[sum->rate_count++] = rates[i].prefill_rate;
        }
    }
}

/*
 * Where this daemon knows the fixed time before the first token, a rate that
 * is much lower than its own is of a daemon that has not separated the two
 * yet.
 */
static double
least_prefill_rate(const struct ga_gate *gate, const char *service)
{
    return De_FixedUsec(gate->demand, service) > 0
               ? De_SustainedPrefillRate(gate->demand, service) *
                     Co_RATE_MIN_FRACTION
               : 0;
}

/*
 * Returns the median of the prefill rates that daemons measured; a few that
 * are wrong by a large factor do not move it.  If none has measured it, as
 * after a restart of all under a load that leaves no endpoint idle, returns
 * the rate that the previous lease holder recorded.
 */
static double
prefill_rate(const struct co_controller *controller, struct load_sum *sum,
             uint32_t service)
{
    const struct lr_need *need = Lr_FindNeed(controller->gate->lease, service);
    if (sum->rate_count > 0) {
        return De_MedianRate(sum->rates, sum->rate_count);
    }
    return need == NULL ? 0 : need->prefill_rate;
}

/* Endpoints that make up for what those with a rate limit do not carry. */
static int
missing_for_limits(const struct ga_gate *gate,
                   const struct ec_service *service, double requests_per_sec,
                   int needed)
{
    double missing = 0;
    const struct fl_endpoint *endpoint;
    TAILQ_FOREACH (endpoint, Fl_All(gate->fleet), link) {
        if (Fl_Usable(endpoint) && Rs_IsLimited(&endpoint->rate_limit) &&
            strcmp(endpoint->entry.service, service->name) == 0) {
            missing += De_MissingForLimit(requests_per_sec, needed,
                                          endpoint->rate_limit.per_sec);
        }
    }
    return (int)ceil(missing);
}

/* Endpoints that the load of all daemons needs. */
struct need {
    int endpoints;       /* 0: not known */
    double min_fraction; /* of these; with fewer, answers come late */
};

/*
 * Sums the load of all daemons.  Only where the prefill rate is known apart
 * from a fixed time does the minimum differ from the usual one.
 */
static struct need
find_need(const struct co_controller *controller,
          const struct ec_service *service)
{
    struct ga_gate *gate = controller->gate;
    uint32_t hash = De_Hash(service->name);
    struct load_sum sum = {
        .load.slots = service->slots,
        .rate_min = least_prefill_rate(gate, service->name),
    };
    struct de_rate own[De_SERVICES_MAX];
    add_rates(&sum, hash, own, De_LocalRates(gate->demand, own));
    const struct ms_peer *peer;
    TAILQ_FOREACH (peer, Ms_Peers(gate->mesh), link) {
        if (Ms_Alive(gate->mesh, peer)) {
            add_rates(&sum, hash, peer->rates, peer->rate_count);
        }
    }
    struct need need = {0, Pn_MIN_FRACTION};
    sum.load.prefill_rate = prefill_rate(controller, &sum, hash);
    if (sum.load.prefill_rate <= 0) {
        return need;
    }
    int needed = De_EndpointsNeeded(&sum.load);
    if (De_FixedUsec(gate->demand, service->name) > 0) {
        need.min_fraction = De_MinFraction(&sum.load, Pn_MIN_FRACTION);
    }
    int missing =
        missing_for_limits(gate, service, sum.requests_per_sec, needed);
    Ln_Log(LN_ORDINARY, "load",
           "\"service\":\"%s\",\"reading_per_sec\":%.0f,\"running\":%.1f,"
           "\"read_rate\":%.0f,\"fixed_ms\":%lld,\"needed\":%d,"
           "\"limits_miss\":%d,\"min_fraction\":%.2f",
           service->name, sum.load.prompt_tokens_per_sec, sum.load.concurrency,
           sum.load.prefill_rate,
           (long long)(De_FixedUsec(gate->demand, service->name) /
                       Ck_USEC_PER_MSEC),
           needed, missing, need.min_fraction);
    need.endpoints = needed + missing;
    return need;
}

/*
 * Records the need, from which the next lease holder starts while it has seen
 * no load.
 */
static void
record_need(struct co_controller *controller, const struct ec_service *service,
            int endpoints)
{
    uint32_t hash = De_Hash(service->name);
    const struct lr_need *recorded =
        Lr_FindNeed(controller->gate->lease, hash);
    struct lr_need need = {hash, endpoints,
                           recorded == NULL ? 0 : recorded->prefill_rate};
    double measured =
        De_SustainedPrefillRate(controller->gate->demand, service->name);
    if (measured > 0) {
        need.prefill_rate = measured;
    }
    Lr_SetNeed(controller->gate->lease, &need);
}

static int
max_int(int a, int b)
{
    return a > b ? a : b;
}

static struct service_estimate *
find_estimate(struct co_controller *controller,
              const struct ec_service *service)
{
    for (size_t i = 0; i < controller->estimate_count; i++) {
        if (strcmp(controller->estimates[i].service, service->name) == 0) {
            return &controller->estimates[i];
        }
    }
    if (controller->estimate_count == Co_SERVICES_MAX) {
        return NULL;
    }
    struct service_estimate *estimate =
        &controller->estimates[controller->estimate_count++];
    strlcpy(estimate->service, service->name, sizeof(estimate->service));
    const struct lr_need *need =
        Lr_FindNeed(controller->gate->lease, De_Hash(service->name));
    estimate->complete = false;
    Pn_StartEstimate(&estimate->estimate, need == NULL ? 0 : need->endpoints,
                     Ga_Now(controller->gate));
    return estimate;
}

/*
 * Returns whether all endpoints of a service have been discovered.  Each
 * writes its entry about once per heartbeat, so some are missing just after
 * they or this daemon started; an order for the number seen would stop the
 * endpoints that are still missing.
 */
static bool
is_complete(const struct ga_gate *gate, struct service_estimate *estimate)
{
    if (estimate->complete) {
        return true;
    }
    int64_t now = Ga_Now(gate);
    const struct fl_endpoint *endpoint;
    TAILQ_FOREACH (endpoint, Fl_All(gate->fleet), link) {
        if (!endpoint->entry.spot &&
            strcmp(endpoint->entry.service, estimate->service) == 0 &&
            now - endpoint->first_entry_at <
                Co_DISCOVERY_HEARTBEATS * gate->options.node->heartbeat_usec) {
            return false;
        }
    }
    estimate->complete = true;
    return true;
}

static void
log_plan(const struct pn_service *need, const struct ec_service *service,
         const struct zone_survey *survey, const struct pn_target *targets)
{
    const struct pn_zone *zones = survey->zones;
    int on_demand = 0;
    int spot = 0;
    int starting = 0;
    int unavailable = 0;
    int target_on_demand = 0;
    int target_spot = 0;
    for (size_t i = 0; i < survey->count; i++) {
        on_demand += zones[i].on_demand;
        spot += zones[i].spot;
        starting += zones[i].spot_starting;
        unavailable += zones[i].spot_unavailable;
        target_on_demand += targets[i].on_demand;
        target_spot += targets[i].spot;
    }
    Ln_Log(LN_ORDINARY, "plan",
           "\"service\":\"%s\",\"wanted\":%d,\"steady\":%d,\"lasting\":%d,"
           "\"spot\":%d,"
           "\"coming\":%d,\"dry_zones\":%d,\"wish_lasting\":%d,"
           "\"wish_spot\":%d",
           service->name, need->peak, need->baseline, on_demand, spot,
           starting, unavailable, target_on_demand, target_spot);
}

/*
 * If endpoints disappeared although no smaller number was ordered, they were
 * reclaimed, and the confirmed order will not bring them back.  Clearing the
 * confirmation makes the order go out again, which shows whether others are
 * available.
 */
static void
update_usable(struct order *order, int usable, int64_t now)
{
    if (usable == 0 && order->max_usable > 1 && order->requested > 0) {
        order->reclaimed_at = now;
    }
    order->max_usable = usable == 0 ? 0 : max_int(order->max_usable, usable);
    if (usable < order->usable && order->confirmed >= order->usable) {
        order->confirmed = -1;
    }
    order->usable = usable;
}

/*
 * Fills in the spot endpoints of a data centre; returns whether it was
 * recently reclaimed.
 */
static bool
survey_spot(const struct ec_service *service, struct order *order,
            struct pn_zone *zone, int64_t now)
{
    if (order == NULL) {
        return false;
    }
    update_usable(order, zone->spot, now);
    zone->spot_unavailable = now < order->unavailable_until;
    if (order->confirmed > zone->spot &&
        now - order->increased_at <
            service->boot_usec + Co_READY_MARGIN_USEC) {
        zone->spot_starting = order->confirmed - zone->spot;
    }
    return order->reclaimed_at > 0 &&
           now - order->reclaimed_at < Co_RECLAIM_MEMORY_USEC;
}

static void
survey_on_demand(struct order *order, struct pn_zone *zone)
{
    if (order != NULL) {
        order->usable = zone->on_demand;
        zone->on_demand_ordered = order->confirmed;
    }
}

/*
 * An evacuated data centre is skipped: its endpoints can serve again when the
 * evacuation ends, sooner than newly ordered ones could start.
 */
static void
survey_zones(struct co_controller *controller,
             const struct ec_service *service, struct zone_survey *survey)
{
    struct ga_gate *gate = controller->gate;
    int64_t now = Ga_Now(gate);
    for (size_t i = 0; i < service->zone_count; i++) {
        if (Fl_IsEvacuated(gate->fleet, service->zones[i].zone)) {
            continue;
        }
        struct pn_zone *zone = &survey->zones[survey->count++];
        strlcpy(zone->zone, service->zones[i].zone, sizeof(zone->zone));
        zone->price = service->zones[i].price;
        zone->on_demand = count_usable(gate, service->name, zone->zone, false);
        zone->spot = count_usable(gate, service->name, zone->zone, true);
        struct order *spot =
            find_order(controller, service->name, zone->zone, true);
        survey->reclaimed += survey_spot(service, spot, zone, now);
        survey_on_demand(
            find_order(controller, service->name, zone->zone, false), zone);
    }
}

/* Returns the usable endpoints of the kind of which there are more. */
static int
usable_of_larger_kind(const struct pn_zone *zones, size_t count)
{
    int on_demand = 0;
    int spot = 0;
    for (size_t i = 0; i < count; i++) {
        on_demand += zones[i].on_demand;
        spot += zones[i].spot;
    }
    return max_int(on_demand, spot);
}

static void
place_orders(struct co_controller *controller,
             const struct ec_service *service,
             const struct zone_survey *survey, const struct pn_target *targets,
             bool complete)
{
    const struct pn_zone *zones = survey->zones;
    for (size_t i = 0; i < survey->count; i++) {
        for (int spot = 0; spot <= 1; spot++) {
            struct order *order =
                find_order(controller, service->name, zones[i].zone, spot);
            int target = spot ? Pn_SpotOrder(&zones[i], service->endpoints_max,
                                             targets[i].spot)
                              : targets[i].on_demand;
            bool confirmed = order != NULL && order->confirmed >= 0;
            int usable = spot ? zones[i].spot : zones[i].on_demand;
            if (order != NULL && (confirmed || target != usable) &&
                (spot || complete)) {
                place_order(controller, order, target, service->boot_usec);
            }
        }
    }
}

static void
plan_service(struct co_controller *controller,
             const struct ec_service *service)
{
    struct ga_gate *gate = controller->gate;
    struct service_estimate *estimate = find_estimate(controller, service);
    if (estimate == NULL) {
        return;
    }
    struct zone_survey survey = {0};
    struct pn_target targets[Ec_ZONES_MAX];
    survey_zones(controller, service, &survey);
    struct need need = find_need(controller, service);
    Pn_UpdateEstimate(&estimate->estimate, need.endpoints,
                      usable_of_larger_kind(survey.zones, survey.count),
                      Ga_Now(gate));
    record_need(controller, service, estimate->estimate.peak);
    struct pn_service planned = {
        .min = service->endpoints_min,
        .max = service->endpoints_max,
        .spot_price = service->spot_price,
        .peak = estimate->estimate.peak,
        .baseline = (int)ceil(estimate->estimate.baseline.endpoints),
        .zones_reclaimed = survey.reclaimed,
        .min_fraction = need.min_fraction,
    };
    Pn_Plan(&planned, survey.zones, survey.count, targets);
    log_plan(&planned, service, &survey, targets);
    place_orders(controller, service, &survey, targets,
                 is_complete(gate, estimate));
}

void
Co_PlanSoon(struct co_controller *controller)
{
    if (controller != NULL) {
        controller->planned_at = 0;
    }
}

void
co_tick_orders(struct co_controller *controller)
{
    struct ga_gate *gate = controller->gate;
    int64_t now = Ga_Now(gate);
    const struct ec_config *config = Fe_Config(gate->feed);
    if (config == NULL || !Fl_HasEndpoints(gate->fleet) ||
        now - controller->planned_at < Co_PLAN_INTERVAL_USEC) {
        return;
    }
    controller->planned_at = now;
    for (size_t i = 0; i < config->service_count; i++) {
        const struct ro_move *move =
            Ro_Find(gate->moves, config->services[i].name);
        /* An order cannot name a version, so none is sent during a move. */
        bool moving = move != NULL && move->state == RO_RUNNING;
        if (config->services[i].scalable && !moving) {
            plan_service(controller, &config->services[i]);
        }
    }
}
