#include "edge/rollout.h"

#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "base/log_line.h"

#define Ro_HASH_SEED 0x726f6c6c
/*
 * A first byte is slow if it takes longer than this many times the average
 * plus the margin.  The margin keeps short stalls from counting as slow.
 */
#define Ro_SLOW_FACTOR 3.0
#define Ro_SLOW_MARGIN_USEC 30000.0
/* Weight of the newest sample in the average time to the first byte. */
#define Ro_TYPICAL_WEIGHT 0.1
/*
 * Share of the new version in thousandths, by the elapsed fraction of the
 * move's duration.  A bad version may get at most a tenth of all requests:
 * half of the duration at 50, an eighth at 150 and half a second of a short
 * move at all requests stay below that.
 */
#define Ro_CANARY_SHARE 50
#define Ro_RAISED_SHARE 150
#define Ro_RAISE_AFTER 0.5
#define Ro_FULL_AFTER 0.625
/*
 * The share is not raised before the new version has given this many answers.
 */
#define Ro_RAISE_MIN_ANSWERS 12
/*
 * The old endpoints count as drained after they have been idle for this long,
 * because the counts of other daemons are some tenths of a second old.
 */
#define Ro_DRAINED_USEC (1200 * Ck_USEC_PER_MSEC)

/* A pause of an endpoint or host is shorter than a window. */
#define Ro_WINDOW_USEC (2 * Ck_USEC_PER_SEC)

enum { OLD_VERSION, NEW_VERSION };

struct ro_table {
    const struct ck_clock *clock;
    size_t count;
    struct ro_move moves[Ro_MOVES_MAX];
};

struct ro_table *
Ro_Create(const struct ck_clock *clock)
{
    struct ro_table *table = calloc(1, sizeof(*table));
    if (table != NULL) {
        table->clock = clock;
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

/*
 * The lowest bit tells rows of slow answers from rows of failures.  Daemons
 * that do not know the bit take such a row for one more route.
 */
uint32_t
Ro_RowKey(const char *route, bool slow)
{
    return (Ro_Hash(route) & ~UINT32_C(1)) | slow;
}

bool
Ro_IsSlowKey(uint32_t key)
{
    return (key & 1) != 0;
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

static struct ro_move *
find_by_hash(struct ro_table *table, uint32_t service, int64_t order)
{
    for (size_t i = 0; i < table->count; i++) {
        struct ro_move *move = &table->moves[i];
        if (move->hash == service && move->order.number == order) {
            return move;
        }
    }
    return NULL;
}

static struct ro_row *
find_or_add_row(struct ro_move *move, uint32_t key)
{
    for (size_t i = 0; i < move->row_count; i++) {
        if (move->rows[i].key == key) {
            return &move->rows[i];
        }
    }
    if (move->row_count == Ro_ROWS_MAX) {
        return NULL;
    }
    struct ro_row *added = &move->rows[move->row_count++];
    memset(added, 0, sizeof(*added));
    added->key = key;
    return added;
}

/*
 * Returns the counts of a route while its service is being moved, else NULL.
 */
static struct ro_row *
active_row(struct ro_table *table, const char *service, const char *route,
           bool slow)
{
    struct ro_move *move = Ro_Find(table, service);
    if (move == NULL || move->state != RO_RUNNING) {
        return NULL;
    }
    return find_or_add_row(move, Ro_RowKey(route, slow));
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
add_count(struct ro_count *to, const struct ro_count *addend)
{
    to->answers += addend->answers;
    to->bad += addend->bad;
}

static void
sum_row(const struct ro_row *row, struct ro_count sums[2])
{
    for (int version = OLD_VERSION; version <= NEW_VERSION; version++) {
        add_count(&sums[version], &row->own[version]);
        add_count(&sums[version], &row->peers[version]);
    }
}

/* Adds up the answers of all routes, and how many of them failed. */
static void
sum_failures(const struct ro_move *move, struct ro_count sums[2])
{
    for (size_t i = 0; i < move->row_count; i++) {
        if (!Ro_IsSlowKey(move->rows[i].key)) {
            sum_row(&move->rows[i], sums);
        }
    }
}

static void
set_share(struct ro_move *move, int share)
{
    if (share == move->share) {
        return;
    }
    struct ro_count all[2] = {{0, 0}, {0, 0}};
    sum_failures(move, all);
    Ln_Log(LN_STATE, "move.share",
           "\"service\":\"%s\",\"target\":\"%s\",\"order\":%lld,"
           "\"before\":%d,\"share\":%d,\"answers\":%u,\"bad\":%u,"
           "\"old_answers\":%u,\"old_bad\":%u",
           move->order.service, move->order.target,
           (long long)move->order.number, move->share, share,
           all[NEW_VERSION].answers, all[NEW_VERSION].bad,
           all[OLD_VERSION].answers, all[OLD_VERSION].bad);
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
    Ln_Log(LN_STATE, "move.ordered",
           "\"service\":\"%s\",\"target\":\"%s\",\"order\":%lld,"
           "\"seconds\":%lld",
           order->service, order->target, (long long)order->number,
           (long long)(order->duration_usec / Ck_USEC_PER_SEC));
}

bool
Ro_RecordFirstByte(struct ro_table *table, const char *service,
                   const char *route, bool is_new, int64_t usec)
{
    struct ro_row *row = active_row(table, service, route, true);
    if (row == NULL) {
        return false;
    }
    bool is_slow = row->typical_usec > 0 &&
                   (double)usec > Ro_SLOW_FACTOR * row->typical_usec +
                                      Ro_SLOW_MARGIN_USEC;
    if (!is_new) {
        double weight = row->typical_usec > 0 ? Ro_TYPICAL_WEIGHT : 1;
        row->typical_usec += weight * ((double)usec - row->typical_usec);
    }
    return is_slow;
}

static void
count_answer(struct ro_row *row, bool is_new, bool bad)
{
    if (row != NULL) {
        row->own[is_new ? NEW_VERSION : OLD_VERSION].answers++;
        row->own[is_new ? NEW_VERSION : OLD_VERSION].bad += bad;
    }
}

void
Ro_RecordAnswer(struct ro_table *table, const char *service, const char *route,
                bool is_new, bool failed, bool slow)
{
    count_answer(active_row(table, service, route, false), is_new, failed);
    count_answer(active_row(table, service, route, true), is_new, slow);
}

void
Ro_ClearPeerOutcomes(struct ro_table *table)
{
    for (size_t i = 0; i < table->count; i++) {
        for (size_t j = 0; j < table->moves[i].row_count; j++) {
            struct ro_row *row = &table->moves[i].rows[j];
            memset(row->peers, 0, sizeof(row->peers));
        }
    }
}

void
Ro_AddPeerOutcomes(struct ro_table *table, const struct ro_outcomes *rows,
                   size_t count)
{
    for (size_t i = 0; i < count; i++) {
        struct ro_move *move =
            find_by_hash(table, rows[i].service, rows[i].order);
        struct ro_row *row =
            move == NULL ? NULL : find_or_add_row(move, rows[i].route);
        if (row != NULL) {
            add_count(&row->peers[OLD_VERSION], &rows[i].old_version);
            add_count(&row->peers[NEW_VERSION], &rows[i].new_version);
        }
    }
}

void
Ro_ApplyStatus(struct ro_table *table, const struct ro_status *status,
               bool from_holder)
{
    struct ro_move *move = find_by_hash(table, status->service, status->order);
    if (move == NULL) {
        return;
    }
    if (from_holder) {
        set_share(move, status->share);
    }
    set_state(move, status->state, "told");
}

static void
roll_back(struct ro_move *move, const struct ro_count sums[2])
{
    Ln_Log(LN_FAILURE, "move.tripped",
           "\"service\":\"%s\",\"target\":\"%s\",\"order\":%lld,"
           "\"answers\":%u,\"bad\":%u,\"old_answers\":%u,\"old_bad\":%u",
           move->order.service, move->order.target,
           (long long)move->order.number, sums[NEW_VERSION].answers,
           sums[NEW_VERSION].bad, sums[OLD_VERSION].answers,
           sums[OLD_VERSION].bad);
    set_state(move, RO_ROLLED_BACK, "worse than the version in use");
}

/*
 * Compares the failures on each route, to detect a fault on one route, and on
 * all routes together, to detect a fault that is rare on each.
 */
static void
check_failures(struct ro_move *move)
{
    struct ro_count all[2] = {{0, 0}, {0, 0}};
    for (size_t i = 0; i < move->row_count; i++) {
        if (Ro_IsSlowKey(move->rows[i].key)) {
            continue;
        }
        struct ro_count sums[2] = {{0, 0}, {0, 0}};
        sum_row(&move->rows[i], sums);
        sum_row(&move->rows[i], all);
        if (Ro_IsWorse(&sums[OLD_VERSION], &sums[NEW_VERSION])) {
            roll_back(move, sums);
            return;
        }
    }
    if (Ro_IsWorse(&all[OLD_VERSION], &all[NEW_VERSION])) {
        roll_back(move, all);
    }
}

static void
add_weight(struct ro_weighted_count *to,
           const struct ro_weighted_count *addend)
{
    to->answers += addend->answers;
    to->bad += addend->bad;
}

/*
 * Compares the slow answers in the same way as the failures, at the end of a
 * window.
 */
static void
check_slowness(struct ro_move *move)
{
    struct ro_count all[2] = {{0, 0}, {0, 0}};
    struct ro_weighted_count weighted[2] = {{0, 0}, {0, 0}};
    bool worse = false;
    for (size_t i = 0; i < move->row_count; i++) {
        struct ro_row *row = &move->rows[i];
        if (!Ro_IsSlowKey(row->key)) {
            continue;
        }
        struct ro_count sums[2] = {{0, 0}, {0, 0}};
        sum_row(row, sums);
        sum_row(row, all);
        Ro_CloseWindow(&row->slow_counts, sums);
        add_weight(&weighted[OLD_VERSION],
                   &row->slow_counts.weighted[OLD_VERSION]);
        add_weight(&weighted[NEW_VERSION],
                   &row->slow_counts.weighted[NEW_VERSION]);
        worse |= Ro_IsWorseWeighted(&row->slow_counts.weighted[OLD_VERSION],
                                    &row->slow_counts.weighted[NEW_VERSION]);
    }
    if (worse ||
        Ro_IsWorseWeighted(&weighted[OLD_VERSION], &weighted[NEW_VERSION])) {
        roll_back(move, all);
    }
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
        check_failures(move);
        if (now - move->window_since >= Ro_WINDOW_USEC) {
            move->window_since = now;
            check_slowness(move);
        }
    }
}

static uint32_t
new_version_answers(const struct ro_move *move)
{
    struct ro_count all[2] = {{0, 0}, {0, 0}};
    sum_failures(move, all);
    return all[NEW_VERSION].answers;
}

/*
 * Limits the share by the usable endpoints of the new version; half as many as
 * of the old version are enough for all requests.
 */
static int
next_share(const struct ro_table *table, const struct ro_move *move,
           const struct ro_endpoint_counts *counts)
{
    if (counts->new_usable == 0) {
        return 0;
    }
    double elapsed = (double)(Ck_Now(table->clock) - move->started_at) /
                     (double)move->order.duration_usec;
    int share = Ro_CANARY_SHARE;
    if (elapsed >= Ro_RAISE_AFTER &&
        new_version_answers(move) >= Ro_RAISE_MIN_ANSWERS) {
        share = Ro_RAISED_SHARE;
    }
    if (elapsed >= Ro_FULL_AFTER) {
        share = Ro_FULL_SHARE;
    }
    int limit =
        counts->old_usable == 0
            ? Ro_FULL_SHARE
            : 2 * Ro_FULL_SHARE * counts->new_usable / counts->old_usable;
    return share < limit ? share : limit;
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
}

enum ro_pick
Ro_Pick(const struct ro_move *move, bool retry, double random)
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
    return !retry && random * Ro_FULL_SHARE < move->share ? RO_NEW_FIRST
                                                          : RO_OLD;
}

size_t
Ro_LocalOutcomes(const struct ro_table *table, struct ro_outcomes *out,
                 size_t size)
{
    size_t count = 0;
    for (size_t i = 0; i < table->count; i++) {
        const struct ro_move *move = &table->moves[i];
        if (move->state != RO_RUNNING) {
            continue;
        }
        for (size_t j = 0; j < move->row_count && count < size; j++) {
            const struct ro_row *row = &move->rows[j];
            out[count++] = (struct ro_outcomes){
                .service = move->hash,
                .route = row->key,
                .order = move->order.number,
                .old_version = row->own[OLD_VERSION],
                .new_version = row->own[NEW_VERSION],
            };
        }
    }
    return count;
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
