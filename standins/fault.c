#include "standins/fault.h"

#include <bsd/string.h>
#include <bsd/sys/queue.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"

struct entry {
    TAILQ_ENTRY(entry) link;
    struct fl_fault fault;
    int hits;
};

struct fl_table {
    TAILQ_HEAD(entries, entry) entries;
};

static const struct {
    const char *name;
    enum fl_mode mode;
} modes[] = {
    {"refuse", FL_REFUSE},
    {"reset_before", FL_RESET_BEFORE},
    {"reset_after", FL_RESET_AFTER},
    {"lost_answer", FL_LOST_ANSWER},
    {"delay", FL_DELAY},
    {"garbage", FL_GARBAGE},
    {"truncate", FL_TRUNCATE},
    {"stale_read", FL_STALE_READ},
    {"short_tail", FL_SHORT_TAIL},
    {"slow_bytes", FL_SLOW_BYTES},
    {"error_500", FL_ERROR_500},
    {"crossed", FL_CROSSED},
    {"slow", FL_SLOW},
    {"fail", FL_FAIL},
};

#define MODE_COUNT (sizeof(modes) / sizeof(modes[0]))

static enum fl_mode
mode_by_name(const char *name)
{
    for (size_t i = 0; i < MODE_COUNT; i++) {
        if (strcmp(modes[i].name, name) == 0) {
            return modes[i].mode;
        }
    }
    return FL_NONE;
}

static const char *
mode_name(enum fl_mode mode)
{
    for (size_t i = 0; i < MODE_COUNT; i++) {
        if (modes[i].mode == mode) {
            return modes[i].name;
        }
    }
    return "none";
}

/* Creates an empty table; NULL without memory. */
struct fl_table *
Fl_Create(void)
{
    struct fl_table *table = calloc(1, sizeof(*table));
    if (table != NULL) {
        TAILQ_INIT(&table->entries);
    }
    return table;
}

/* Frees the table with its faults. */
void
Fl_Destroy(struct fl_table *table)
{
    Fl_Clear(table);
    free(table);
}

/* Forgets every fault; requests already hit keep theirs. */
void
Fl_Clear(struct fl_table *table)
{
    struct entry *entry;
    struct entry *next;
    TAILQ_FOREACH_SAFE (entry, &table->entries, link, next) {
        free(entry);
    }
    TAILQ_INIT(&table->entries);
}

static void
copy_text(const json_t *spec, const char *name, char out[Fl_NAME_MAX])
{
    const char *text = json_string_value(json_object_get(spec, name));
    strlcpy(out, text != NULL ? text : "", Fl_NAME_MAX);
}

static int
copy_int(const json_t *spec, const char *name, int fallback)
{
    const json_t *value = json_object_get(spec, name);
    return json_is_integer(value) ? (int)json_integer_value(value) : fallback;
}

/*
 * Adds the fault that a JSON object describes.  Fails with ST_INVALID when
 * its mode is not known.
 */
enum st_status
Fl_Add(struct fl_table *table, const json_t *spec)
{
    const char *mode = json_string_value(json_object_get(spec, "mode"));
    if (mode == NULL || mode_by_name(mode) == FL_NONE) {
        return St_Fail(ST_INVALID, "name a known fault as \"mode\"");
    }
    struct entry *entry = calloc(1, sizeof(*entry));
    if (entry == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for a fault");
    }
    struct fl_fault *fault = &entry->fault;
    fault->mode = mode_by_name(mode);
    copy_text(spec, "target", fault->target);
    copy_text(spec, "path", fault->path);
    if (fault->path[0] == '\0') {
        copy_text(spec, "route", fault->path);
    }
    copy_text(spec, "stream", fault->stream);
    fault->count = copy_int(spec, "count", -1);
    fault->after = copy_int(spec, "after", 0);
    fault->when_running_over = copy_int(spec, "when_running_over", -1);
    fault->delay_usec = copy_int(spec, "delay_ms", 0) * Ck_USEC_PER_MSEC;
    fault->tokens = copy_int(spec, "tokens", -1);
    fault->records = copy_int(spec, "records", 1);
    const json_t *factor = json_object_get(spec, "factor");
    fault->factor = json_is_number(factor) ? json_number_value(factor) : 1;
    TAILQ_INSERT_TAIL(&table->entries, entry, link);
    return ST_OK;
}

static bool
matches(const struct fl_fault *fault, const struct fl_query *query)
{
    if (fault->target[0] != '\0' && strcmp(fault->target, "all") != 0 &&
        strcmp(fault->target, query->target) != 0) {
        return false;
    }
    if (strncmp(fault->path, query->path, strlen(fault->path)) != 0) {
        return false;
    }
    if (fault->stream[0] != '\0' &&
        strcmp(fault->stream, query->stream) != 0) {
        return false;
    }
    return query->running > fault->when_running_over;
}

/* The fault that hits this request, counted; FL_NONE when there is none. */
struct fl_fault
Fl_Take(struct fl_table *table, const struct fl_query *query)
{
    struct entry *entry;
    TAILQ_FOREACH (entry, &table->entries, link) {
        struct fl_fault *fault = &entry->fault;
        if (fault->count == 0 || !matches(fault, query)) {
            continue;
        }
        if (fault->after > 0) {
            fault->after--;
            continue;
        }
        if (fault->count > 0) {
            fault->count--;
        }
        entry->hits++;
        return *fault;
    }
    struct fl_fault none = {.mode = FL_NONE, .factor = 1, .tokens = -1};
    return none;
}

/* A JSON array of the faults with their hits, for tests. */
json_t *
Fl_List(const struct fl_table *table)
{
    json_t *list = json_array();
    const struct entry *entry;
    TAILQ_FOREACH (entry, &table->entries, link) {
        json_array_append_new(list, json_pack("{s:s, s:s, s:i, s:i}", "mode",
                                              mode_name(entry->fault.mode),
                                              "target", entry->fault.target,
                                              "left", entry->fault.count,
                                              "hits", entry->hits));
    }
    return list;
}
