/* Tables of rows by name, and requests in flight by id. */
#include <stdlib.h>
#include <string.h>

#include "loss/loss_internal.h"

RB_PROTOTYPE(ls_rows, ls_row, link, compare_rows);
RB_PROTOTYPE(ls_pending_tree, ls_pending, link, compare_pending);

static int
compare_rows(const struct ls_row *a, const struct ls_row *b)
{
    if (a->number != b->number) {
        return a->number < b->number ? -1 : 1;
    }
    return strcmp(a->name, b->name);
}

static int
compare_pending(const struct ls_pending *a, const struct ls_pending *b)
{
    return strcmp(a->id, b->id);
}

RB_GENERATE(ls_rows, ls_row, link, compare_rows);
RB_GENERATE(ls_pending_tree, ls_pending, link, compare_pending);

void
ls_table_init(struct ls_table *table, const char *title, bool by_number)
{
    table->title = title;
    table->by_number = by_number;
    table->count = 0;
    RB_INIT(&table->rows);
}

void
ls_table_clear(struct ls_table *table)
{
    struct ls_row *row;
    struct ls_row *next;
    RB_FOREACH_SAFE (row, ls_rows, &table->rows, next) {
        RB_REMOVE(ls_rows, &table->rows, row);
        free(row->name);
        free(row);
    }
    table->count = 0;
}

struct ls_row *
ls_table_row(struct ls_table *table, const char *name, int64_t number)
{
    struct ls_row wanted = {.name = (char *)name, .number = number};
    struct ls_row *row = RB_FIND(ls_rows, &table->rows, &wanted);
    if (row != NULL) {
        return row;
    }
    if (table->count >= Ls_ROWS_MAX && strcmp(name, "others") != 0) {
        return ls_table_row(table, "others", 0);
    }
    row = calloc(1, sizeof(*row));
    if (row == NULL) {
        return NULL;
    }
    row->name = strdup(name);
    row->number = number;
    if (row->name == NULL) {
        free(row);
        return NULL;
    }
    RB_INSERT(ls_rows, &table->rows, row);
    table->count++;
    return row;
}

static int
compare_lost(const void *a, const void *b)
{
    const struct ls_row *x = *(const struct ls_row *const *)a;
    const struct ls_row *y = *(const struct ls_row *const *)b;
    uint64_t lost_x = x->lost + x->late;
    uint64_t lost_y = y->lost + y->late;
    if (lost_x != lost_y) {
        return lost_x < lost_y ? 1 : -1;
    }
    return strcmp(x->name, y->name);
}

const struct ls_row **
ls_table_sorted(const struct ls_table *table)
{
    if (table->count == 0) {
        return NULL;
    }
    const struct ls_row **rows = calloc(table->count, sizeof(*rows));
    if (rows == NULL) {
        return NULL;
    }
    size_t count = 0;
    struct ls_row *row;
    RB_FOREACH (row, ls_rows, (struct ls_rows *)&table->rows) {
        rows[count++] = row;
    }
    if (!table->by_number) {
        qsort(rows, count, sizeof(*rows), compare_lost);
    }
    return rows;
}

void
ls_pending_free(struct ls_pending *request)
{
    if (request != NULL) {
        free(request->id);
        free(request->customer);
        free(request->endpoint);
        free(request);
    }
}

static void
remove_pending(struct ls_losses *losses, struct ls_pending *request)
{
    RB_REMOVE(ls_pending_tree, &losses->pending, request);
    TAILQ_REMOVE(&losses->pending_by_age, request, age_link);
    losses->pending_count--;
}

struct ls_pending *
ls_pending_take(struct ls_losses *losses, const char *id)
{
    struct ls_pending wanted = {.id = (char *)id};
    struct ls_pending *request =
        RB_FIND(ls_pending_tree, &losses->pending, &wanted);
    if (request != NULL) {
        remove_pending(losses, request);
    }
    return request;
}

/* If the request was sent before (a retry), the new attempt replaces it. */
void
ls_pending_add(struct ls_losses *losses, const char *id, const char *customer,
               const char *endpoint, double at)
{
    ls_pending_free(ls_pending_take(losses, id));
    if (losses->pending_count >= Ls_PENDING_MAX) {
        struct ls_pending *oldest = TAILQ_FIRST(&losses->pending_by_age);
        remove_pending(losses, oldest);
        ls_pending_free(oldest);
        losses->discarded++;
    }
    struct ls_pending *request = calloc(1, sizeof(*request));
    if (request == NULL) {
        losses->discarded++;
        return;
    }
    request->id = strdup(id);
    request->customer = strdup(customer);
    request->endpoint = strdup(endpoint);
    request->sent_at = at;
    if (request->id == NULL || request->customer == NULL ||
        request->endpoint == NULL) {
        ls_pending_free(request);
        losses->discarded++;
        return;
    }
    RB_INSERT(ls_pending_tree, &losses->pending, request);
    TAILQ_INSERT_TAIL(&losses->pending_by_age, request, age_link);
    losses->pending_count++;
}
