#include "edge/rollout_internal.h"

#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "base/log_line.h"
#include "base/random.h"

#define Ro_HASH_SEED 0x726f6c6c
/*
 * The old endpoints count as drained after they have been idle for this long,
 * because the counts of other daemons are some tenths of a second old.
 */
#define Ro_DRAINED_USEC (1200 * Ck_USEC_PER_MSEC)

/* Length of a window of evidence. */
#define Ro_WINDOW_USEC (1 * Ck_USEC_PER_SEC)

struct ro_table *
Ro_Create(const struct ck_clock *clock, uint64_t seed)
{
    struct ro_table *table = calloc(1, sizeof(*table));
    if (table != NULL) {
        table->clock = clock;
        Rn_Seed(&table->random, seed);
    }
    return table;
}

void
Ro_Destroy(struct ro_table *table)
{
    free(table);
}

uint32_t
Ro_Hash(const char *name)
{
    return (uint32_t)Hash_String(name, Ro_HASH_SEED);
}

const char *
Ro_StateName(enum ro_state state)
{
    switch (state) {
    case RO_ROLLED_BACK:
        return "rolled_back";
    case RO_SUCCEEDED:
        return "succeeded";
    default:
        return "running";
    }
}

struct ro_move *
Ro_At(struct ro_table *table, size_t index)
{
    return index < table->count ? &table->moves[index] : NULL;
}

struct ro_move *
Ro_Find(struct ro_table *table, const char *service)
{
    for (size_t i = 0; i < table->count; i++) {
        if (strcmp(table->moves[i].order.service, service) == 0) {
            return &table->moves[i];
        }
    }
    return NULL;
}

bool
Ro_IsRunning(struct ro_table *table, const char *service)
{
    const struct ro_move *move = Ro_Find(table, service);
    return move != NULL && move->state == RO_RUNNING;
}

struct ro_move *
ro_find_by_hash(struct ro_table *table, uint32_t service, int64_t order)
{
    for (size_t i = 0; i < table->count; i++) {
        struct ro_move *move = &table->moves[i];
        if (move->hash == service && move->order.number == order) {
            return move;
        }
    }
    return NULL;
}

static void
set_state(struct ro_move *move, enum ro_state state, const char *why)
{
    if (state <= move->state) {
        return;
    }
    move->state = state;
    Ln_Log(LN_STATE, "move.ended",
           "\"service\":\"%s\",\"target\":\"%s\",\"order\":%lld,"
           "\"state\":\"%s\",\"why\":\"%s\"",
           move->order.service, move->order.target,
           (long long)move->order.number, Ro_StateName(state), why);
}

static void
set_share(struct ro_move *move, int share)
{
    if (share == move->share) {
        return;
    }
    struct cy_count all[CY_SIDES] = {{0, 0}, {0, 0}};
    ro_sum_failures(move, all);
    Ln_Log(LN_STATE, "move.share",
           "\"service\":\"%s\",\"target\":\"%s\",\"order\":%lld,"
           "\"before\":%d,\"share\":%d,\"answers\":%u,\"bad\":%u,"
           "\"old_answers\":%u,\"old_bad\":%u",
           move->order.service, move->order.target,
           (long long)move->order.number, move->share, share,
           all[CY_NEW].answers, all[CY_NEW].bad, all[CY_OLD].answers,
           all[CY_OLD].bad);
    move->share = share;
}

/* A newer order for a service replaces the move in any state. */
void
Ro_Order(struct ro_table *table, const struct ro_order *order)
{
    struct ro_move *move = Ro_Find(table, order->service);
    if (move == NULL) {
        if (table->count == Ro_MOVES_MAX) {
            Ln_Log(LN_FAILURE, "move.refused", "\"service\":\"%s\"",
                   order->service);
            return;
        }
        move = &table->moves[table->count++];
    }
    else if (move->order.number >= order->number) {
        return;
    }
    memset(move, 0, sizeof(*move));
    move->order = *order;
    move->hash = Ro_Hash(order->service);
    move->started_at = Ck_Now(table->clock);
    move->window_since = move->started_at;
    Cy_PaceStart(&move->pacer, Rn_Unit(&table->random));
    Ln_Log(LN_STATE, "move.ordered",
           "\"service\":\"%s\",\"target\":\"%s\",\"order\":%lld,"
           "\"seconds\":%lld",
           order->service, order->target, (long long)order->number,
           (long long)(order->duration_usec / Ck_USEC_PER_SEC));
}

void
Ro_NoteSent(struct ro_table *table, const char *service, bool is_new)
{
    struct ro_move *move = Ro_Find(table, service);
    if (move != NULL) {
        Cy_PaceSent(&move->pacer, move->share, is_new);
    }
}

void
Ro_ApplyStatus(struct ro_table *table, const struct ro_status *status,
               bool from_holder)
{
    struct ro_move *move =
        ro_find_by_hash(table, status->service, status->order);
    if (move == NULL) {
        return;
    }
    if (from_holder) {
        set_share(move, status->share);
    }
    set_state(move, status->state, "told");
}

static void
roll_back(struct ro_move *move, const struct cy_count sums[CY_SIDES])
{
    Ln_Log(LN_FAILURE, "move.tripped",
           "\"service\":\"%s\",\"target\":\"%s\",\"order\":%lld,"
           "\"answers\":%u,\"bad\":%u,\"old_answers\":%u,\"old_bad\":%u",
           move->order.service, move->order.target,
           (long long)move->order.number, sums[CY_NEW].answers,
           sums[CY_NEW].bad, sums[CY_OLD].answers, sums[CY_OLD].bad);
    set_state(move, RO_ROLLED_BACK, "worse than the version in use");
}

void
Ro_Tick(struct ro_table *table)
{
    int64_t now = Ck_Now(table->clock);
    for (size_t i = 0; i < table->count; i++) {
        struct ro_move *move = &table->moves[i];
        if (move->state != RO_RUNNING) {
            continue;
        }
        struct cy_count worst[CY_SIDES];
        if (ro_judge(move, worst)) {
            roll_back(move, worst);
        }
        /* Judged first: a window that is over may be left out as a pause. */
        if (now - move->window_since >= Ro_WINDOW_USEC) {
            move->window_since = now;
            ro_close_windows(move);
        }
    }
}

static int
next_share(const struct ro_table *table, struct ro_move *move,
           const struct ro_endpoint_counts *counts)
{
    struct cy_count all[CY_SIDES] = {{0, 0}, {0, 0}};
    ro_sum_failures(move, all);
    uint32_t good_answers = ro_sum_good(move);
    bool unsure = move->suspect || move->doubtful;
    move->relapsed |= unsure && move->share >= Ro_FULL_SHARE;
    if (unsure) {
        move->good_answers = good_answers;
    }
    struct cy_progress progress = {
        .elapsed_usec = Ck_Now(table->clock) - move->started_at,
        .duration_usec = move->order.duration_usec,
        .drain_usec = counts->drain_usec,
        .answers = all[CY_NEW].answers,
        .all_answers = all[CY_OLD].answers + all[CY_NEW].answers,
        .relapsed = move->relapsed,
        .answers_since_relapse = good_answers > move->good_answers
                                     ? good_answers - move->good_answers
                                     : 0,
        .suspect = move->suspect,
        .doubtful = move->doubtful,
        .old_usable = counts->old_usable,
        .new_usable = counts->new_usable,
    };
    return Cy_Share(&progress);
}

void
Ro_Advance(struct ro_table *table, struct ro_move *move,
           const struct ro_endpoint_counts *counts)
{
    int64_t now = Ck_Now(table->clock);
    if (move->state != RO_RUNNING) {
        return;
    }
    set_share(move, next_share(table, move, counts));
    if (move->share < Ro_FULL_SHARE) {
        move->full_since = 0;
    }
    else if (move->full_since == 0) {
        move->full_since = now;
    }
    if (move->full_since == 0 || counts->old_running > 0) {
        move->drained_since = 0;
    }
    else if (move->drained_since == 0) {
        move->drained_since = now;
    }
    bool deadline_passed = now - move->started_at > move->order.duration_usec;
    if (move->drained_since != 0 &&
        now - move->drained_since > Ro_DRAINED_USEC) {
        set_state(move, RO_SUCCEEDED, "nothing runs at the old version");
    }
    else if (deadline_passed && counts->new_usable == 0) {
        set_state(move, RO_ROLLED_BACK, "no endpoint of it by the deadline");
    }
    else if (deadline_passed && move->suspect) {
        set_state(move, RO_ROLLED_BACK, "a suspect at the deadline");
    }
}

enum ro_pick
Ro_Pick(const struct ro_move *move, bool retry)
{
    if (move == NULL) {
        return RO_ANY;
    }
    switch (move->state) {
    case RO_ROLLED_BACK:
        return RO_OLD_ONLY;
    case RO_SUCCEEDED:
        return RO_NEW_FIRST;
    default:
        break;
    }
    if (move->share >= Ro_FULL_SHARE) {
        return retry ? RO_OLD_FIRST : RO_NEW_FIRST;
    }
    /*
     * A retry goes to the old version: it must succeed and is not used to test
     * the new version.
     */
    return !retry && Cy_PaceNew(&move->pacer, move->share) ? RO_NEW_FIRST
                                                           : RO_OLD;
}

bool
Ro_MayStandIn(const struct ro_move *move)
{
    return !move->suspect;
}

struct ro_status
Ro_Status(const struct ro_move *move)
{
    return (struct ro_status){move->hash, move->order.number, move->state,
                              move->share};
}

size_t
Ro_Statuses(const struct ro_table *table, struct ro_status *out, size_t size)
{
    size_t count = 0;
    for (size_t i = 0; i < table->count && count < size; i++) {
        out[count++] = Ro_Status(&table->moves[i]);
    }
    return count;
}
