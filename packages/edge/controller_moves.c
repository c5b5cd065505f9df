/*
 * Version moves as driven by the lease holder: it sets their shares and
 * publishes their states to operators.
 */
#include <string.h>

#include "edge/controller_internal.h"

static bool
uses_service(const struct ec_route *route, const char *service)
{
    for (size_t i = 0; i < route->share_count; i++) {
        if (strcmp(route->shares[i].service, service) == 0) {
            return true;
        }
    }
    return false;
}

/* The longest time that a request of the service may take. */
static int64_t
longest_timeout(const struct ga_gate *gate, const char *service)
{
    const struct ec_config *config = Fe_Config(gate->feed);
    int64_t longest = 0;
    for (size_t i = 0; config != NULL && i < config->route_count; i++) {
        const struct ec_route *route = &config->routes[i];
        if (route->timeout_usec > longest && uses_service(route, service)) {
            longest = route->timeout_usec;
        }
    }
    return longest;
}

static struct ro_endpoint_counts
count_endpoints(const struct ga_gate *gate, const struct ro_move *move)
{
    struct ro_endpoint_counts counts = {
        .drain_usec = longest_timeout(gate, move->order.service)};
    const struct fl_endpoint *endpoint;
    TAILQ_FOREACH (endpoint, Fl_All(gate->fleet), link) {
        if (strcmp(endpoint->entry.service, move->order.service) != 0) {
            continue;
        }
        if (Ga_HasTargetVersion(move, endpoint)) {
            counts.new_usable += Fl_Usable(endpoint);
            continue;
        }
        counts.old_usable += Fl_Usable(endpoint);
        counts.old_running += endpoint->running + endpoint->peers_running;
    }
    return counts;
}

/*
 * The append names the offset at which the record must stand, so that a late
 * append of an earlier holder cannot replace it.
 */
static void
on_published(void *arg, const struct ag_result *result)
{
    struct co_controller *controller = arg;
    controller->publishing = false;
    struct reported_move *reported =
        &controller->reported[controller->publishing_index];
    if (result->status == AG_OK) {
        reported->order = controller->publishing_order;
        reported->state = controller->publishing_state;
        reported->published = true;
        controller->status_end = result->offset + 1;
        Ln_Log(LN_STATE, "move.told", "\"order\":%lld,\"state\":\"%s\"",
               (long long)reported->order, Ro_StateName(reported->state));
        return;
    }
    controller->status_end = -1;
    controller->publish_at = Ga_Now(controller->gate) + Co_RETRY_USEC;
}

static void
on_status_end(void *arg, const struct ag_result *result)
{
    struct co_controller *controller = arg;
    controller->publishing = false;
    if (result->status == AG_OK) {
        controller->status_end = result->end;
    }
    else {
        controller->publish_at = Ga_Now(controller->gate) + Co_RETRY_USEC;
    }
}

static void
publish_state(struct co_controller *controller, size_t index,
              const struct ro_move *move)
{
    struct ag_store *store = controller->gate->options.store;
    struct ag_status_record record;
    if (controller->publishing ||
        Ga_Now(controller->gate) < controller->publish_at) {
        return;
    }
    if (controller->status_end < 0) {
        controller->publishing = true;
        Ag_Newest(store, AG_STATUS, NULL, on_status_end, controller);
        return;
    }
    if (!controller->gate->options.codec->move_status(move, &record)) {
        return;
    }
    controller->publishing = true;
    controller->publishing_index = index;
    controller->publishing_order = move->order.number;
    controller->publishing_state = move->state;
    Ag_Append(store, AG_STATUS, controller->status_end, record.key,
              record.value, strlen(record.value), on_published, controller);
}

/*
 * A state is recorded in the lease log before it is published to operators:
 * when they read "succeeded", they stop the old endpoints, and the next holder
 * must not revert that state.
 */
void
co_tick_moves(struct co_controller *controller)
{
    struct ga_gate *gate = controller->gate;
    struct ro_move *move;
    for (size_t i = 0; (move = Ro_At(gate->moves, i)) != NULL; i++) {
        struct ro_endpoint_counts counts = count_endpoints(gate, move);
        Ro_Advance(gate->moves, move, &counts);
        struct ro_status status = Ro_Status(move);
        if (!Lr_SetMove(gate->lease, &status)) {
            continue;
        }
        const struct reported_move *reported = &controller->reported[i];
        if (!reported->published || reported->order != move->order.number ||
            reported->state != move->state) {
            publish_state(controller, i, move);
        }
    }
}

/*
 * Restores the states that the previous holder recorded.  All of them are
 * published again.
 */
void
co_restore_moves(struct co_controller *controller)
{
    struct ga_gate *gate = controller->gate;
    const struct ro_status *statuses;
    size_t count = Lr_Moves(gate->lease, &statuses);
    for (size_t i = 0; i < count; i++) {
        Ro_ApplyStatus(gate->moves, &statuses[i], false);
    }
    memset(controller->reported, 0, sizeof(controller->reported));
    controller->status_end = -1;
}
