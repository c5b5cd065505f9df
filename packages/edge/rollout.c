#include "edge/rollout.h"

#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "base/line.h"

#define Ro_HASH_SEED 0x726f6c6c
/* Several times as long as usual, and more than a hiccup. */
#define Ro_SLOW_TIMES 3.0
#define Ro_SLOW_USEC 30000.0
/* Weight of the newest first byte in what is usual. */
#define Ro_USUAL_WEIGHT 0.1
/*
 * The new version's part of the requests in thousandths, by the part of the
 * time that is over.  The bound on what a bad version may get is a tenth of
 * all requests: half of the time at 50, an eighth at 150 and half a second of
 * a short move at all of them stay below it.
 */
#define Ro_TRY_SHARE 50
#define Ro_GROW_SHARE 150
#define Ro_GROW_AFTER 0.5
#define Ro_ALL_AFTER 0.625
/* Answers of the new version without which its share does not grow. */
#define Ro_GROW_ANSWERS 12
/* The old endpoints are empty when they have been so for this long: counts of
   other daemons are some tenths of a second old. */
#define Ro_EMPTY_USEC (1200 * Ck_USEC_PER_MSEC)

/* A pause of an endpoint or host is over within a window. */
#define Ro_WINDOW_USEC (2 * Ck_USEC_PER_SEC)

enum { OLD, NEXT };

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

/* Lateness has keys of its own: a row more to those that know of none. */
uint32_t
Ro_RowKey(const char *route, bool late)
{
    return (Ro_Hash(route) & ~UINT32_C(1)) | late;
}

bool
Ro_IsLate(uint32_t key)
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

static struct ro_move *
find_hash(struct ro_table *table, uint32_t service, int64_t order)
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
row_of(struct ro_move *move, uint32_t key)
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

/* The counts of a route while its service moves; NULL: it does not. */
static struct ro_row *
judged_row(struct ro_table *table, const char *service, const char *route,
           bool late)
{
    struct ro_move *move = Ro_Find(table, service);
    if (move == NULL || move->state != RO_RUNNING) {
        return NULL;
    }
    return row_of(move, Ro_RowKey(route, late));
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
    Ln_Log(LN_STATE, "move.share",
           "\"service\":\"%s\",\"target\":\"%s\",\"order\":%lld,"
           "\"before\":%d,\"share\":%d",
           move->order.service, move->order.target,
           (long long)move->order.number, move->share, share);
    move->share = share;
}

/* A newer order for a service starts anew, whatever became of the last. */
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
    move->seen_at = Ck_Now(table->clock);
    move->window_at = move->seen_at;
    Ln_Log(LN_STATE, "move.ordered",
           "\"service\":\"%s\",\"target\":\"%s\",\"order\":%lld,"
           "\"seconds\":%lld",
           order->service, order->target, (long long)order->number,
           (long long)(order->duration_usec / Ck_USEC_PER_SEC));
}

bool
Ro_First(struct ro_table *table, const char *service, const char *route,
         bool next, int64_t usec)
{
    struct ro_row *row = judged_row(table, service, route, true);
    if (row == NULL) {
        return false;
    }
    bool slow = row->usual_usec > 0 &&
                (double)usec > Ro_SLOW_TIMES * row->usual_usec + Ro_SLOW_USEC;
    if (!next) {
        double weight = row->usual_usec > 0 ? Ro_USUAL_WEIGHT : 1;
        row->usual_usec += weight * ((double)usec - row->usual_usec);
    }
    return slow;
}

static void
count_answer(struct ro_row *row, bool next, bool bad)
{
    if (row != NULL) {
        row->own[next ? NEXT : OLD].answers++;
        row->own[next ? NEXT : OLD].bad += bad;
    }
}

void
Ro_Answered(struct ro_table *table, const char *service, const char *route,
            bool next, bool failed, bool late)
{
    count_answer(judged_row(table, service, route, false), next, failed);
    count_answer(judged_row(table, service, route, true), next, late);
}

void
Ro_ClearOthers(struct ro_table *table)
{
    for (size_t i = 0; i < table->count; i++) {
        for (size_t j = 0; j < table->moves[i].row_count; j++) {
            struct ro_row *row = &table->moves[i].rows[j];
            memset(row->others, 0, sizeof(row->others));
        }
    }
}

static void
add(struct ro_count *to, const struct ro_count *more)
{
    to->answers += more->answers;
    to->bad += more->bad;
}

void
Ro_AddOthers(struct ro_table *table, const struct ro_evidence *rows,
             size_t count)
{
    for (size_t i = 0; i < count; i++) {
        struct ro_move *move =
            find_hash(table, rows[i].service, rows[i].order);
        struct ro_row *row = move == NULL ? NULL : row_of(move, rows[i].route);
        if (row != NULL) {
            add(&row->others[OLD], &rows[i].old);
            add(&row->others[NEXT], &rows[i].next);
        }
    }
}

void
Ro_Heard(struct ro_table *table, const struct ro_standing *standing,
         bool from_holder)
{
    struct ro_move *move =
        find_hash(table, standing->service, standing->order);
    if (move == NULL) {
        return;
    }
    if (from_holder) {
        set_share(move, standing->share);
    }
    set_state(move, standing->state, "told");
}

static void
sum_row(const struct ro_row *row, struct ro_count sums[2])
{
    for (int version = OLD; version <= NEXT; version++) {
        add(&sums[version], &row->own[version]);
        add(&sums[version], &row->others[version]);
    }
}

static void
trip(struct ro_move *move, const struct ro_count sums[2])
{
    Ln_Log(LN_FAILURE, "move.tripped",
           "\"service\":\"%s\",\"target\":\"%s\",\"order\":%lld,"
           "\"answers\":%u,\"bad\":%u,\"old_answers\":%u,\"old_bad\":%u",
           move->order.service, move->order.target,
           (long long)move->order.number, sums[NEXT].answers, sums[NEXT].bad,
           sums[OLD].answers, sums[OLD].bad);
    set_state(move, RO_ROLLED_BACK, "worse than the version in use");
}

/*
 * Each route by itself, for a fault that only one of them meets; all
 * together, for one that is rare on each.
 */
static void
judge_failures(struct ro_move *move)
{
    struct ro_count all[2] = {{0, 0}, {0, 0}};
    for (size_t i = 0; i < move->row_count; i++) {
        if (Ro_IsLate(move->rows[i].key)) {
            continue;
        }
        struct ro_count sums[2] = {{0, 0}, {0, 0}};
        sum_row(&move->rows[i], sums);
        sum_row(&move->rows[i], all);
        if (Ro_IsWorse(&sums[OLD], &sums[NEXT])) {
            trip(move, sums);
            return;
        }
    }
    if (Ro_IsWorse(&all[OLD], &all[NEXT])) {
        trip(move, all);
    }
}

static void
add_weight(struct ro_weight *to, const struct ro_weight *more)
{
    to->answers += more->answers;
    to->bad += more->bad;
}

/* The same of what is late, at the end of a window. */
static void
judge_lateness(struct ro_move *move)
{
    struct ro_count all[2] = {{0, 0}, {0, 0}};
    struct ro_weight judged[2] = {{0, 0}, {0, 0}};
    bool later = false;
    for (size_t i = 0; i < move->row_count; i++) {
        struct ro_row *row = &move->rows[i];
        if (!Ro_IsLate(row->key)) {
            continue;
        }
        struct ro_count sums[2] = {{0, 0}, {0, 0}};
        sum_row(row, sums);
        sum_row(row, all);
        Ro_CloseWindow(&row->late, sums);
        add_weight(&judged[OLD], &row->late.judged[OLD]);
        add_weight(&judged[NEXT], &row->late.judged[NEXT]);
        later |= Ro_IsLater(&row->late.judged[OLD], &row->late.judged[NEXT]);
    }
    if (later || Ro_IsLater(&judged[OLD], &judged[NEXT])) {
        trip(move, all);
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
        judge_failures(move);
        if (now - move->window_at >= Ro_WINDOW_USEC) {
            move->window_at = now;
            judge_lateness(move);
        }
    }
}

static uint32_t
answers_of(const struct ro_move *move)
{
    struct ro_count all[2] = {{0, 0}, {0, 0}};
    for (size_t i = 0; i < move->row_count; i++) {
        if (!Ro_IsLate(move->rows[i].key)) {
            sum_row(&move->rows[i], all);
        }
    }
    return all[NEXT].answers;
}

/*
 * Requests are moved no faster than there are endpoints for them, but where
 * there are half as many as before they are enough.
 */
static int
share_now(const struct ro_table *table, const struct ro_move *move,
          const struct ro_scene *scene)
{
    if (scene->next_usable == 0) {
        return 0;
    }
    double over = (double)(Ck_Now(table->clock) - move->seen_at) /
                  (double)move->order.duration_usec;
    int share = Ro_TRY_SHARE;
    if (over >= Ro_GROW_AFTER && answers_of(move) >= Ro_GROW_ANSWERS) {
        share = Ro_GROW_SHARE;
    }
    if (over >= Ro_ALL_AFTER) {
        share = Ro_ALL;
    }
    int most = scene->old_usable == 0
                   ? Ro_ALL
                   : 2 * Ro_ALL * scene->next_usable / scene->old_usable;
    return share < most ? share : most;
}

void
Ro_Lead(struct ro_table *table, struct ro_move *move,
        const struct ro_scene *scene)
{
    int64_t now = Ck_Now(table->clock);
    if (move->state != RO_RUNNING) {
        return;
    }
    set_share(move, share_now(table, move, scene));
    if (move->share < Ro_ALL) {
        move->all_at = 0;
    }
    else if (move->all_at == 0) {
        move->all_at = now;
    }
    if (move->all_at == 0 || scene->old_running > 0) {
        move->empty_at = 0;
    }
    else if (move->empty_at == 0) {
        move->empty_at = now;
    }
    bool over = now - move->seen_at > move->order.duration_usec;
    if (move->empty_at != 0 && now - move->empty_at > Ro_EMPTY_USEC) {
        set_state(move, RO_SUCCEEDED, "nothing runs at the old version");
    }
    else if (over && scene->next_usable == 0) {
        set_state(move, RO_ROLLED_BACK, "no endpoint of it by the deadline");
    }
}

enum ro_pick
Ro_Pick(const struct ro_move *move, bool repeat, double unit)
{
    if (move == NULL) {
        return RO_ANY;
    }
    switch (move->state) {
    case RO_ROLLED_BACK:
        return RO_OLD_ONLY;
    case RO_SUCCEEDED:
        return RO_NEXT_FIRST;
    default:
        break;
    }
    if (move->share >= Ro_ALL) {
        return repeat ? RO_OLD_FIRST : RO_NEXT_FIRST;
    }
    /* A repeat is to be served; it proves nothing. */
    return !repeat && unit * Ro_ALL < move->share ? RO_NEXT_FIRST : RO_OLD;
}

size_t
Ro_Own(const struct ro_table *table, struct ro_evidence *out, size_t size)
{
    size_t count = 0;
    for (size_t i = 0; i < table->count; i++) {
        const struct ro_move *move = &table->moves[i];
        if (move->state != RO_RUNNING) {
            continue;
        }
        for (size_t j = 0; j < move->row_count && count < size; j++) {
            const struct ro_row *row = &move->rows[j];
            out[count++] = (struct ro_evidence){
                .service = move->hash,
                .route = row->key,
                .order = move->order.number,
                .old = row->own[OLD],
                .next = row->own[NEXT],
            };
        }
    }
    return count;
}

struct ro_standing
Ro_Standing(const struct ro_move *move)
{
    return (struct ro_standing){move->hash, move->order.number, move->state,
                                move->share};
}

size_t
Ro_Standings(const struct ro_table *table, struct ro_standing *out,
             size_t size)
{
    size_t count = 0;
    for (size_t i = 0; i < table->count && count < size; i++) {
        out[count++] = Ro_Standing(&table->moves[i]);
    }
    return count;
}
