/* Prints the statistics as text tables and as JSON. */
#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <time.h>

#include "loss/loss_internal.h"

/* Rows printed of a table; of the others only the number is printed. */
#define Ls_PRINTED_MAX 12
#define Ls_PER_CENT 100.0

static double
percent(uint64_t part, uint64_t of)
{
    return of == 0 ? 0 : Ls_PER_CENT * (double)part / (double)of;
}

static void
print_name(const struct ls_table *table, const struct ls_row *row, FILE *out)
{
    if (!table->by_number) {
        fprintf(out, "%-44s", row->name);
        return;
    }
    char text[32];
    time_t second = (time_t)row->number;
    struct tm tm;
    gmtime_r(&second, &tm);
    strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%SZ", &tm);
    fprintf(out, "%-44s", text);
}

/* Rows without late or lost requests are left out of the text. */
static bool
is_shown(const struct ls_row *row)
{
    return row->lost + row->late > 0;
}

static void
print_table(const struct ls_table *table, FILE *out)
{
    const struct ls_row **rows = ls_table_sorted(table);
    fprintf(out, "\n%-44s %9s %9s %9s %7s\n", table->title, "requests", "late",
            "lost", "in 100");
    size_t printed = 0;
    size_t omitted = 0;
    for (size_t i = 0; rows != NULL && i < table->count; i++) {
        const struct ls_row *row = rows[i];
        if (!is_shown(row)) {
            continue;
        }
        if (!table->by_number && printed == Ls_PRINTED_MAX) {
            omitted++;
            continue;
        }
        printed++;
        print_name(table, row, out);
        fprintf(out, " %9" PRIu64 " %9" PRIu64 " %9" PRIu64 " %7.1f\n",
                row->total, row->late, row->lost,
                percent(row->late + row->lost, row->total));
    }
    if (omitted > 0) {
        fprintf(out, "and %zu more\n", omitted);
    }
    free(rows);
}

bool
Ls_PrintText(const struct ls_losses *losses, FILE *out)
{
    fprintf(out,
            "%" PRIu64 " requests: %" PRIu64 " served in time, %" PRIu64
            " late, %" PRIu64 " lost\n"
            "%" PRIu64 " lines: %" PRIu64 " broken, %" PRIu64
            " of something else, %" PRIu64 " left out by daemons; %" PRIu64
            " requests forgotten\n",
            losses->requests, losses->served, losses->late, losses->lost,
            losses->lines, losses->malformed, losses->other,
            losses->suppressed, losses->discarded);
    for (int i = 0; i < LS_TABLES; i++) {
        print_table(&losses->tables[i], out);
    }
    return ferror(out) == 0;
}

static json_t *
json_of_table(const struct ls_table *table)
{
    json_t *list = json_array();
    const struct ls_row **rows = ls_table_sorted(table);
    for (size_t i = 0; rows != NULL && i < table->count; i++) {
        const struct ls_row *row = rows[i];
        json_t *object = json_object();
        if (table->by_number) {
            json_object_set_new(object, "second", json_integer(row->number));
        }
        else {
            json_object_set_new(object, "name", json_string(row->name));
        }
        json_object_set_new(object, "requests",
                            json_integer((json_int_t)row->total));
        json_object_set_new(object, "late",
                            json_integer((json_int_t)row->late));
        json_object_set_new(object, "lost",
                            json_integer((json_int_t)row->lost));
        json_array_append_new(list, object);
    }
    free(rows);
    return list;
}

bool
Ls_PrintJson(const struct ls_losses *losses, FILE *out)
{
    json_t *document = json_pack(
        "{s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I}", "requests",
        (json_int_t)losses->requests, "served", (json_int_t)losses->served,
        "late", (json_int_t)losses->late, "lost", (json_int_t)losses->lost,
        "lines", (json_int_t)losses->lines, "broken_lines",
        (json_int_t)losses->malformed, "other_lines",
        (json_int_t)losses->other, "lines_left_out",
        (json_int_t)losses->suppressed, "forgotten",
        (json_int_t)losses->discarded);
    if (document == NULL) {
        return false;
    }
    for (int i = 0; i < LS_TABLES; i++) {
        json_object_set_new(document, losses->tables[i].title,
                            json_of_table(&losses->tables[i]));
    }
    bool written = json_dumpf(document, out, JSON_INDENT(2)) == 0;
    json_decref(document);
    return written && fputc('\n', out) != EOF;
}
