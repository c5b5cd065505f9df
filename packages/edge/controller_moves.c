/*
 * Version moves as driven by the lease holder: it sets their shares and
 * publishes their states to operators.
 */
#include <string.h>

#include "edge/controller_internal.h"

static struct ro_endpoint_counts
count_endpoints(const struct ga_gate *gate, const struct ro_move *move)
{
    struct ro_endpoint_counts counts = {0, 0, 0};
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
    struct co_controller *work = arg;
    work->publishing = false;
    struct reported_move *reported = &work->reported[work->publishing_index];
    if (result->status == AG_OK) {
        reported->order = work->publishing_order;
        reported->state = work->publishing_state;
        reported->published = true;
        work->status_end = result->offset + 1;
        Ln_Log(LN_STATE, "move.told", "\"order\":%lld,\"state\":\"%s\"",
               (long long)reported->order, Ro_StateName(reported->state));
        return;
    }
    work->status_end = -1;
    work->publish_at = Ga_Now(work->gate) + Co_RETRY_USEC;
}

static void
on_status_end(void *arg, const struct ag_result *result)
{
    struct co_controller *work = arg;
    work->publishing = false;
    if (result->status == AG_OK) {
        work->status_end = result->end;
    }
    else {
        work->publish_at = Ga_Now(work->gate) + Co_RETRY_USEC;
    }
}

static void
publish_state(struct co_controller *work, size_t index,
              const struct ro_move *move)
{
    struct ag_store *store = work->gate->options.store;
    struct ag_status_record record;
    if (work->publishing || Ga_Now(work->gate) < work->publish_at) {
        return;
    }
    if (work->status_end < 0) {
        work->publishing = true;
        Ag_Newest(store, AG_STATUS, NULL, on_status_end, work);
        return;
    }
    if (!work->gate->options.codec->move_status(move, &record)) {
        return;
    }
    work->publishing = true;
    work->publishing_index = index;
    work->publishing_order = move->order.number;
    work->publishing_state = move->state;
    Ag_Append(store, AG_STATUS, work->status_end, record.key, record.value,
              strlen(record.value), on_published, work);
}

/*
 * A state is recorded in the lease log before operators are told of it: when
 * they read "succeeded", they stop the old endpoints, and the next holder must
 * not revert that state.
 */
void
co_tick_moves(struct co_controller *work)
{
    struct ga_gate *gate = work->gate;
    struct ro_move *move;
    for (size_t i = 0; (move = Ro_At(gate->moves, i)) != NULL; i++) {
        struct ro_endpoint_counts counts = count_endpoints(gate, move);
        Ro_Advance(gate->moves, move, &counts);
        struct ro_status standing = Ro_Status(move);
        if (!Lr_SetMove(gate->duty, &standing)) {
            continue;
        }
        const struct reported_move *reported = &work->reported[i];
        if (!reported->published || reported->order != move->order.number ||
            reported->state != move->state) {
            publish_state(work, i, move);
        }
    }
}

/*
 * Restores the states that the previous holder recorded.  All of them are
 * published again.
 */
void
co_restore_moves(struct co_controller *work)
{
    struct ga_gate *gate = work->gate;
    const struct ro_status *standings;
    size_t count = Lr_Moves(gate->duty, &standings);
    for (size_t i = 0; i < count; i++) {
        Ro_ApplyStatus(gate->moves, &standings[i], false);
    }
    memset(work->reported, 0, sizeof(work->reported));
    work->status_end = -1;
}
