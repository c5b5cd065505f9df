/*
 * Counts what the answers of this daemon and its peers tell of the versions.
 */
#include <string.h>

#include "edge/rollout_internal.h"

/*
 * A first byte is slow if it takes longer than this many times the average
 * plus the margin.  The margin keeps short stalls from counting as slow.
 */
#define Ro_SLOW_FACTOR 3.0
#define Ro_SLOW_MARGIN_USEC 30000.0
/* Weight of the newest sample in the average time to the first byte. */
#define Ro_TYPICAL_WEIGHT 0.1
/* The lowest bits of a row's key tell its kind. */
#define Ro_KIND_MASK UINT32_C(7)

uint32_t
Ro_RowKey(const char *route, enum ro_kind kind)
{
    uint32_t hash = route == NULL ? 0 : Ro_Hash(route);
    return (hash & ~Ro_KIND_MASK) | (uint32_t)kind;
}

/* Daemons that know more kinds may send their rows. */
enum ro_kind
Ro_KindOfKey(uint32_t key)
{
    uint32_t kind = key & Ro_KIND_MASK;
    return kind < RO_KINDS ? (enum ro_kind)kind : RO_FAILED;
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
           enum ro_kind kind)
{
    struct ro_move *move = Ro_Find(table, service);
    if (move == NULL || move->state != RO_RUNNING) {
        return NULL;
    }
    return find_or_add_row(move, Ro_RowKey(route, kind));
}

static double
slow_after(const struct ro_row *row)
{
    return row->typical_usec > 0
               ? Ro_SLOW_FACTOR * row->typical_usec + Ro_SLOW_MARGIN_USEC
               : 0;
}

bool
Ro_RecordFirstByte(struct ro_table *table, const char *service,
                   const char *route, bool is_new, int64_t usec)
{
    struct ro_row *row = active_row(table, service, route, RO_SLOW);
    if (row == NULL) {
        return false;
    }
    double limit = slow_after(row);
    if (!is_new) {
        double weight = row->typical_usec > 0 ? Ro_TYPICAL_WEIGHT : 1;
        row->typical_usec += weight * ((double)usec - row->typical_usec);
    }
    return limit > 0 && (double)usec > limit;
}

int64_t
Ro_SlowAfter(struct ro_table *table, const char *service, const char *route)
{
    const struct ro_row *row = active_row(table, service, route, RO_SLOW);
    return row == NULL ? 0 : (int64_t)slow_after(row);
}

static void
count_answer(struct ro_row *row, bool is_new, bool bad)
{
    if (row != NULL) {
        struct cy_count *count = &row->own[is_new ? CY_NEW : CY_OLD];
        count->answers++;
        count->bad += bad;
    }
}

void
Ro_RecordPace(struct ro_table *table, const char *service, const char *route,
              bool is_new, const struct pa_pace *pace)
{
    struct ro_row *row = active_row(table, service, route, RO_SLOW_PACE);
    if (row == NULL) {
        return;
    }
    enum pa_verdict verdict = Pa_Judge(&row->typical_pace, is_new, pace);
    if (verdict != PA_UNKNOWN) {
        count_answer(row, is_new, verdict == PA_SLOW);
    }
}

void
Ro_RecordUnfinished(struct ro_table *table, const char *service,
                    const char *route, bool is_new, const struct pa_pace *pace)
{
    struct ro_row *row = active_row(table, service, route, RO_SLOW_PACE);
    /* Its time is not known yet, so that nothing is to be learned from it. */
    struct pa_typical typical = {0, 0};
    if (row != NULL) {
        typical = row->typical_pace;
    }
    if (Pa_Judge(&typical, is_new, pace) == PA_SLOW) {
        count_answer(row, is_new, true);
    }
}

void
Ro_RecordAnswer(struct ro_table *table, const char *service, const char *route,
                bool is_new, const struct ro_result *result)
{
    count_answer(active_row(table, service, NULL, RO_LOST), is_new,
                 result->lost);
    if (!result->lost) {
        count_answer(active_row(table, service, route, RO_FAILED), is_new,
                     result->failed);
    }
    count_answer(active_row(table, service, route, RO_SLOW), is_new,
                 result->slow);
    count_answer(active_row(table, service, NULL, RO_MUTE), is_new, false);
}

void
Ro_RecordSilence(struct ro_table *table, const char *service,
                 const char *route, bool is_new)
{
    count_answer(active_row(table, service, route, RO_SLOW), is_new, true);
}

void
Ro_RecordMute(struct ro_table *table, const char *service, bool is_new)
{
    count_answer(active_row(table, service, NULL, RO_MUTE), is_new, true);
}

void
Ro_RecordRefusal(struct ro_table *table, const char *service, bool is_new,
                 bool refused)
{
    count_answer(active_row(table, service, NULL, RO_REFUSED), is_new,
                 refused);
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

static struct ro_row *
row_of(struct ro_table *table, const struct ro_outcomes *outcomes)
{
    struct ro_move *move =
        ro_find_by_hash(table, outcomes->service, outcomes->order);
    return move == NULL ? NULL : find_or_add_row(move, outcomes->route);
}

void
Ro_AddPeerOutcomes(struct ro_table *table, const struct ro_outcomes *rows,
                   size_t count)
{
    for (size_t i = 0; i < count; i++) {
        struct ro_row *row = row_of(table, &rows[i]);
        if (row != NULL) {
            ro_add_outcomes(row->peers, &rows[i]);
        }
    }
}

void
Ro_RetireOutcomes(struct ro_table *table, const struct ro_outcomes *rows,
                  size_t count)
{
    for (size_t i = 0; i < count; i++) {
        struct ro_row *row = row_of(table, &rows[i]);
        if (row != NULL) {
            ro_add_outcomes(row->departed, &rows[i]);
        }
    }
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
                .old_version = row->own[CY_OLD],
                .new_version = row->own[CY_NEW],
            };
        }
    }
    return count;
}
