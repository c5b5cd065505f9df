/* The commands that show what the daemons report: status, watch. */
#include <stdio.h>
#include <string.h>

#include "admin.h"
#include "changes.h"

#define Ct_WATCH_INTERVAL_USEC Ck_USEC_PER_SEC

static void
print_scalar(const char *name, const json_t *value)
{
    if (json_is_string(value)) {
        printf(" %s=%s", name, json_string_value(value));
    }
    else if (json_is_integer(value)) {
        printf(" %s=%lld", name, json_integer_value(value));
    }
    else if (json_is_real(value)) {
        printf(" %s=%.6g", name, json_real_value(value));
    }
    else if (json_is_boolean(value)) {
        printf(" %s=%s", name, json_is_true(value) ? "yes" : "no");
    }
}

/* Prints scalar members on one line and nested objects indented below. */
static void
print_object(const char *title, const json_t *object, int depth)
{
    const char *name;
    json_t *value;
    printf("%*s%s:", 2 * depth, "", title);
    json_object_foreach ((json_t *)object, name, value) {
        print_scalar(name, value);
    }
    putchar('\n');
    json_object_foreach ((json_t *)object, name, value) {
        if (json_is_object(value)) {
            print_object(name, value, depth + 1);
        }
        size_t i;
        json_t *entry;
        json_array_foreach (value, i, entry) {
            if (json_is_object(entry)) {
                print_object(name, entry, depth + 1);
            }
        }
    }
}

/* cornelctl status --admin LIST [--json] */
int
Ct_Status(const struct ct_options *options)
{
    struct am_session session;
    json_t *document = NULL;
    enum st_status status = Am_Open(options, &session);
    if (status == ST_OK) {
        status = Am_Get(&session, "/admin/v1/status", &document);
    }
    if (status == ST_OK && options->json) {
        json_dumpf(document, stdout, JSON_INDENT(2));
        putchar('\n');
    }
    else if (status == ST_OK) {
        print_object("status", document, 0);
    }
    json_decref(document);
    return Ct_Report(status);
}

/* Selects the members that "watch" compares; the others report load. */
static json_t *
select_watched(const json_t *document)
{
    static const char *const names[] = {"config", "daemons", "moves"};
    json_t *out = json_object();
    for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
        json_t *value = json_object_get(document, names[i]);
        if (value != NULL) {
            json_object_set(out, names[i], value);
        }
    }
    return out;
}

/* cornelctl watch --admin LIST [--count N] */
int
Ct_Watch(const struct ct_options *options)
{
    struct am_session session;
    enum st_status status = Am_Open(options, &session);
    json_t *before = NULL;
    for (int i = 0; status == ST_OK; i++) {
        json_t *document;
        status = Am_Get(&session, "/admin/v1/status", &document);
        if (status != ST_OK) {
            break;
        }
        json_t *after = select_watched(document);
        Ch_Print(stdout, "", before, after);
        fflush(stdout);
        json_decref(document);
        json_decref(before);
        before = after;
        if (options->count > 0 && i + 1 >= options->count) {
            break;
        }
        Am_Sleep(Ct_WATCH_INTERVAL_USEC);
    }
    json_decref(before);
    return Ct_Report(status);
}
