/* The choice of an endpoint for an attempt of a request. */
#include <stdlib.h>
#include <string.h>

#include "base/event.h"
#include "gate/endpoints.h"
#include "gate/events.h"
#include "gate/request_internal.h"

/* Forgets the endpoints that were tried. */
void
Rq_ClearTried(struct rq_request *request)
{
    for (size_t i = 0; i < request->tried_count; i++) {
        free((char *)request->tried[i]);
    }
    request->tried_count = 0;
}

static void
add_tried(struct rq_request *request, const char *endpoint)
{
    if (request->tried_count < Rq_TRIED_MAX) {
        request->tried[request->tried_count] = strdup(endpoint);
        request->tried_count++;
    }
}

/*
 * Whether the endpoint is in an allowed region of the service and customer,
 * and outside of evacuated data centres.
 */
bool
Rq_MayRunAt(const void *arg, const struct ch_info *info)
{
    const struct rq_request *request = arg;
    return !Cf_IsEvacuated(request->gate->config, info->data_centre) &&
           Cf_AllowsRegion(&request->service->regions, info->region) &&
           Cf_AllowsRegion(&request->customer->regions, info->region);
}

/* Restricts the choice to the endpoints that the request may run at. */
void
Rq_Constrain(const struct rq_request *request, struct ch_request *criteria)
{
    criteria->allowed = Rq_MayRunAt;
    criteria->allowed_arg = request;
}

/* Returns why no endpoint was chosen; logs it if none is allowed. */
const char *
Rq_WhyUnavailable(const struct rq_request *request,
                  const struct ch_table *table)
{
    struct ch_request criteria = {0};
    Rq_Constrain(request, &criteria);
    if (table == NULL || Ch_First(table) == NULL ||
        Ch_AnyAllowed(table, &criteria)) {
        return "is free";
    }
    Ev_Log(&GT_NOWHERE, "request=%s service=%s customer=%s", request->id,
           request->service->name, request->customer->name);
    return "is in an allowed region outside of evacuated data centres";
}

static enum st_status
choose(struct rq_request *request, struct ch_table *table,
       struct ch_request *criteria, struct ch_flight *flight)
{
    struct gt_gate *gate = request->gate;
    if (table == NULL) {
        flight->endpoint = NULL;
        return St_Fail(ST_UNAVAILABLE, "the service has no endpoint yet");
    }
    Rq_Constrain(request, criteria);
    criteria->tried = request->tried;
    criteria->tried_count = request->tried_count;
    return Ch_Choose(table, criteria, Ck_Now(gate->clock), &gate->random,
                     flight);
}

static void
start_flight(struct rq_request *request, struct ch_table *table,
             struct ch_flight *flight)
{
    struct gt_gate *gate = request->gate;
    Ch_Start(table, flight, Ck_Now(gate->clock));
    Rt_RaiseCapacity(Ep_RetryBudget(gate->endpoints, request->service->name),
                     Ch_AllInFlight(table));
    add_tried(request, Ch_Info(flight->endpoint)->id);
    Rq_RecordDispatch(request, Ch_Info(flight->endpoint)->id);
}

/*
 * Chooses an endpoint for the next attempt and starts a flight on it.  An
 * endpoint that was tried is chosen again only when no other is left: with few
 * replicas a second try is better than a refusal.  Returns ST_OVERLOAD when
 * others are left but are busy.
 */
enum st_status
Rq_Choose(struct rq_request *request, struct ch_table *table,
          struct ch_request *criteria, struct ch_flight *flight)
{
    enum st_status status = choose(request, table, criteria, flight);
    if (status == ST_OVERLOAD) {
        return status;
    }
    if (status != ST_OK && request->tried_count > 0) {
        return Rq_ChooseAny(request, table, criteria, flight);
    }
    if (status == ST_OK) {
        start_flight(request, table, flight);
    }
    return status;
}

/* Like Rq_Choose(), but allows the endpoints that were tried as well. */
enum st_status
Rq_ChooseAny(struct rq_request *request, struct ch_table *table,
             struct ch_request *criteria, struct ch_flight *flight)
{
    Rq_ClearTried(request);
    enum st_status status = choose(request, table, criteria, flight);
    if (status == ST_OK) {
        start_flight(request, table, flight);
    }
    return status;
}
