/* Version moves: how far each may go, and what operators are told of it. */
#include <string.h>

#include "edge/work_internal.h"

static struct ro_endpoint_counts
look(const struct ga_gate *gate, const struct ro_move *move)
{
    struct ro_endpoint_counts scene = {0, 0, 0};
    const struct fl_endpoint *endpoint;
    TAILQ_FOREACH (endpoint, Fl_All(gate->fleet), link) {
        if (strcmp(endpoint->entry.service, move->order.service) != 0) {
            continue;
        }
        if (Ga_IsNext(move, endpoint)) {
            scene.next_usable += Fl_Usable(endpoint);
            continue;
        }
        scene.old_usable += Fl_Usable(endpoint);
        scene.old_running += endpoint->running + endpoint->others_running;
    }
    return scene;
}

/*
 * The record says where it must stand, so that one of an earlier holder that
 * comes late cannot replace it.
 */
static void
on_told(void *arg, const struct ag_result *result)
{
    struct wo_work *work = arg;
    work->telling = false;
    struct told_move *told = &work->told[work->telling_move];
    if (result->status == AG_OK) {
        told->order = work->telling_order;
        told->state = work->telling_state;
        told->known = true;
        work->status_end = result->offset + 1;
        Ln_Log(LN_STATE, "move.told", "\"order\":%lld,\"state\":\"%s\"",
               (long long)told->order, Ro_StateName(told->state));
        return;
    }
    work->status_end = -1;
    work->tell_at = Ga_Now(work->gate) + Wo_RETRY_USEC;
}

static void
on_status_end(void *arg, const struct ag_result *result)
{
    struct wo_work *work = arg;
    work->telling = false;
    if (result->status == AG_OK) {
        work->status_end = result->end;
    }
    else {
        work->tell_at = Ga_Now(work->gate) + Wo_RETRY_USEC;
    }
}

static void
tell(struct wo_work *work, size_t index, const struct ro_move *move)
{
    struct ag_store *store = work->gate->options.store;
    struct ag_told told;
    if (work->telling || Ga_Now(work->gate) < work->tell_at) {
        return;
    }
    if (work->status_end < 0) {
        work->telling = true;
        Ag_Newest(store, AG_STATUS, NULL, on_status_end, work);
        return;
    }
    if (!work->gate->options.codec->tell_move(move, &told)) {
        return;
    }
    work->telling = true;
    work->telling_move = index;
    work->telling_order = move->order.number;
    work->telling_state = move->state;
    Ag_Append(store, AG_STATUS, work->status_end, told.key, told.value,
              strlen(told.value), on_told, work);
}

/*
 * A state is recorded before operators are told of it: at the word "succeeded"
 * the old endpoints are stopped, and a successor must not take it back.
 */
void
wo_tick_moves(struct wo_work *work)
{
    struct ga_gate *gate = work->gate;
    struct ro_move *move;
    for (size_t i = 0; (move = Ro_At(gate->moves, i)) != NULL; i++) {
        struct ro_endpoint_counts scene = look(gate, move);
        Ro_Advance(gate->moves, move, &scene);
        struct ro_standing standing = Ro_Standing(move);
        if (!Du_SetMove(gate->duty, &standing)) {
            continue;
        }
        const struct told_move *told = &work->told[i];
        if (!told->known || told->order != move->order.number ||
            told->state != move->state) {
            tell(work, i, move);
        }
    }
}

/* What the last holder recorded, and nothing told yet. */
void
wo_begin_moves(struct wo_work *work)
{
    struct ga_gate *gate = work->gate;
    const struct ro_standing *standings;
    size_t count = Du_Moves(gate->duty, &standings);
    for (size_t i = 0; i < count; i++) {
        Ro_Heard(gate->moves, &standings[i], false);
    }
    memset(work->told, 0, sizeof(work->told));
    work->status_end = -1;
}
