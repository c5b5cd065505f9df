#include "policy/poison.h"

#include <stdlib.h>

#include "policy/poison_internal.h"

/* What came from an endpoint so soon after may have been under way. */
#define Pz_UNDER_WAY_USEC (50 * Ck_USEC_PER_MSEC)
/* A sign of life comes by then. */
#define Pz_UNSURE_USEC (1500 * Ck_USEC_PER_MSEC)
/* Endpoints that ended longer ago accuse nothing. */
#define Pz_CRASH_LASTS_USEC (600 * Ck_USEC_PER_SEC)

struct pz_rule
Pz_Rule(void)
{
    return (struct pz_rule){
        .begun_crashes = 3,
        .crashes = 5,
        .known_factor = 2,
        .requests = 2,
        .others_begun = 2,
        .in_order = true,
        .explains = true,
        .settle_usec = 3 * Ck_USEC_PER_SEC,
    };
}

/* Returns NULL without memory. */
struct pz_table *
Pz_Create(const struct pz_rule *rule, const struct pz_ops *ops, void *arg,
          int64_t now)
{
    struct pz_table *table = calloc(1, sizeof(*table));
    if (table != NULL) {
        table->rule = *rule;
        table->ops = ops;
        table->arg = arg;
        table->started_at = now;
        TAILQ_INIT(&table->rows);
        TAILQ_INIT(&table->spare);
        for (size_t i = 0; i < Pz_CRASHES_MAX; i++) {
            TAILQ_INSERT_TAIL(&table->spare, &table->pool[i], link);
        }
    }
    return table;
}

void
Pz_Destroy(struct pz_table *table)
{
    free(table);
}

static void
remove_row(struct pz_table *table, struct pz_row *row)
{
    TAILQ_REMOVE(&table->rows, row, link);
    TAILQ_INSERT_TAIL(&table->spare, row, link);
}

static struct pz_row *
find_row(const struct pz_table *table, const struct pz_crash *crash)
{
    struct pz_row *row;
    TAILQ_FOREACH (row, &table->rows, link) {
        if (row->crash.endpoint == crash->endpoint &&
            pz_same(&row->crash.key, &crash->key)) {
            return row;
        }
    }
    return NULL;
}

/*
 * Several requests with a part may wait at an endpoint that ends: the one
 * that was sent last counts, since it alone may have been sent after the end
 * before.
 */
void
pz_add_crash(struct pz_table *table, const struct pz_crash *crash, bool own)
{
    struct pz_row *row = find_row(table, crash);
    if (row != NULL) {
        bool later = crash->sent_at > row->crash.sent_at;
        table->changed |= later || (crash->begun && !row->crash.begun) ||
                          (!own && !row->sure);
        row->own |= own;
        row->sure |= !own;
        row->crash.begun |= crash->begun;
        if (later) {
            row->crash.sent_at = crash->sent_at;
            row->crash.request = crash->request;
        }
        return;
    }
    if (TAILQ_EMPTY(&table->spare)) {
        remove_row(table, TAILQ_FIRST(&table->rows));
    }
    row = TAILQ_FIRST(&table->spare);
    TAILQ_REMOVE(&table->spare, row, link);
    *row = (struct pz_row){0};
    row->crash = *crash;
    row->own = own;
    row->sure = !own;
    TAILQ_INSERT_TAIL(&table->rows, row, link);
    table->changed = true;
}

void
Pz_Ended(struct pz_table *table, const struct pz_request *request,
         const struct pz_crash *crash)
{
    for (size_t i = 0; i < request->count; i++) {
        struct pz_crash one = *crash;
        one.key = (struct pz_key){request->service, request->customer,
                                  request->parts[i]};
        one.request = request->id;
        one.depth = (int)i;
        pz_add_crash(table, &one, true);
    }
}

void
Pz_Began(struct pz_table *table, const struct pz_request *request, int64_t now)
{
    pz_note_begin(table, request->service, now);
    for (size_t i = 0; i < request->count; i++) {
        struct pz_key key = {request->service, request->customer,
                             request->parts[i]};
        struct pz_key any = pz_any(&key);
        pz_see(table, &key, 1, now);
        pz_see(table, &any, 1, now);
        pz_lift_cleared(table, &key);
        pz_lift_cleared(table, &any);
    }
}

void
Pz_Lives(struct pz_table *table, uint32_t endpoint, int64_t at)
{
    struct pz_row *row;
    struct pz_row *next;
    TAILQ_FOREACH_SAFE (row, &table->rows, link, next) {
        int64_t since = at - row->crash.ended_at;
        if (row->crash.endpoint == endpoint && since > Pz_UNDER_WAY_USEC &&
            since < Pz_BACK_USEC) {
            remove_row(table, row);
        }
    }
}

void
Pz_Forget(struct pz_table *table, uint32_t endpoint)
{
    struct pz_row *row;
    struct pz_row *next;
    TAILQ_FOREACH_SAFE (row, &table->rows, link, next) {
        if (row->crash.endpoint == endpoint && row->own) {
            remove_row(table, row);
        }
    }
}

void
Pz_Dead(struct pz_table *table, uint32_t endpoint)
{
    struct pz_row *row;
    TAILQ_FOREACH (row, &table->rows, link) {
        if (row->crash.endpoint == endpoint && !row->sure) {
            row->sure = true;
            table->changed = true;
        }
    }
}

bool
pz_counts(const struct pz_row *row, int64_t now)
{
    return row->sure || now - row->crash.ended_at >= Pz_UNSURE_USEC;
}

struct pz_stop *
pz_find_stop(struct pz_table *table, const struct pz_key *key)
{
    for (size_t i = 0; i < table->stop_count; i++) {
        if (pz_same(&table->stops[i].key, key)) {
            return &table->stops[i];
        }
    }
    return NULL;
}

bool
pz_add_stop(struct pz_table *table, const struct pz_stop *stop)
{
    if (table->stop_count == Pz_STOPS_MAX) {
        return false;
    }
    table->stops[table->stop_count++] = *stop;
    table->changed = true;
    return true;
}

static void
lift(struct pz_table *table, struct pz_stop *stop, const char *why)
{
    struct pz_stop lifted = *stop;
    *stop = table->stops[--table->stop_count];
    table->changed = true;
    table->ops->lifted(table->arg, &lifted, why);
}

/* Hosts that still say so are answered that it has begun. */
static void
lift_known(struct pz_table *table, const struct pz_key *key, const char *why,
           int64_t now)
{
    pz_see(table, key, 1, now);
    struct pz_stop *stop = pz_find_stop(table, key);
    if (stop != NULL) {
        lift(table, stop, why);
    }
}

void
Pz_LiftService(struct pz_table *table, uint32_t service, const char *why,
               int64_t now)
{
    for (size_t i = table->stop_count; i > 0; i--) {
        struct pz_key key = table->stops[i - 1].key;
        if (key.service == service) {
            lift_known(table, &key, why, now);
        }
    }
}

void
pz_lift_cleared(struct pz_table *table, const struct pz_key *key)
{
    struct pz_stop *stop = pz_find_stop(table, key);
    if (stop != NULL && pz_cleared_at(table, key) > stop->decided_at) {
        lift(table, stop, "began");
    }
}

const struct pz_stop *
Pz_Refuses(struct pz_table *table, const struct pz_request *request,
           int64_t now)
{
    for (size_t i = 0; i < request->count && table->stop_count > 0; i++) {
        struct pz_key key = {request->service, request->customer,
                             request->parts[i]};
        struct pz_key any = pz_any(&key);
        struct pz_stop *stop = pz_find_stop(table, &key);
        stop = stop == NULL ? pz_find_stop(table, &any) : stop;
        if (stop != NULL) {
            stop->seen_at = now;
            return stop;
        }
    }
    return NULL;
}

bool
pz_is_current(const struct pz_stop *stop, int64_t now)
{
    return now - stop->seen_at < Pz_STOP_LASTS_USEC;
}

void
pz_expire(struct pz_table *table, int64_t now)
{
    while (!TAILQ_EMPTY(&table->rows) &&
           now - TAILQ_FIRST(&table->rows)->crash.ended_at >
               Pz_CRASH_LASTS_USEC) {
        remove_row(table, TAILQ_FIRST(&table->rows));
    }
    for (size_t i = table->stop_count; i > 0; i--) {
        if (!pz_is_current(&table->stops[i - 1], now)) {
            lift(table, &table->stops[i - 1], "not asked for");
        }
    }
}
