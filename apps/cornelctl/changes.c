#include "changes.h"

#include <stdlib.h>

#define Ch_PATH_MAX 512

/* Fields that identify an entry of a list; the first one present is used. */
static const char *const name_fields[] = {"name", "node", "service", "id"};

static const char *
entry_name(const json_t *entry)
{
    for (size_t i = 0; i < sizeof(name_fields) / sizeof(*name_fields); i++) {
        const char *name =
            json_string_value(json_object_get(entry, name_fields[i]));
        if (name != NULL) {
            return name;
        }
    }
    return NULL;
}

/*
 * Returns a new reference: an object unchanged, or a list of named objects as
 * an object that maps each name to its entry.  NULL for any other value.
 */
static json_t *
to_object(const json_t *value)
{
    if (json_is_object(value)) {
        return json_incref((json_t *)value);
    }
    if (!json_is_array(value)) {
        return NULL;
    }
    json_t *object = json_object();
    size_t i;
    json_t *entry;
    json_array_foreach (value, i, entry) {
        const char *name = entry_name(entry);
        if (name == NULL) {
            json_decref(object);
            return NULL;
        }
        json_object_set(object, name, entry);
    }
    return object;
}

static void
print_value(FILE *out, const json_t *value)
{
    char *text = json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT |
                                       JSON_REAL_PRECISION(6));
    fputs(text != NULL ? text : "?", out);
    free(text);
}

static void
print_line(FILE *out, const char *path, const json_t *before,
           const json_t *after)
{
    fprintf(out, "%c %s: ", before == NULL ? '+' : (after == NULL ? '-' : '~'),
            path);
    if (before != NULL) {
        print_value(out, before);
    }
    if (before != NULL && after != NULL) {
        fputs(" -> ", out);
    }
    if (after != NULL) {
        print_value(out, after);
    }
    fputc('\n', out);
}

static size_t
print_member(FILE *out, const char *path, const char *name,
             const json_t *before, const json_t *after)
{
    char inner[Ch_PATH_MAX];
    snprintf(inner, sizeof(inner), "%s%s%s", path, path[0] != '\0' ? "." : "",
             name);
    return Ch_Print(out, inner, json_object_get(before, name),
                    json_object_get(after, name));
}

static size_t
print_members(FILE *out, const char *path, const json_t *before,
              const json_t *after)
{
    size_t count = 0;
    const char *name;
    json_t *member;
    json_object_foreach ((json_t *)before, name, member) {
        count += print_member(out, path, name, before, after);
    }
    json_object_foreach ((json_t *)after, name, member) {
        if (json_object_get(before, name) == NULL) {
            count += print_member(out, path, name, before, after);
        }
    }
    return count;
}

/*
 * Prints each value that was added (+), removed (-) or changed (~) under the
 * path, and returns the number of lines.  Either document may be NULL.
 */
size_t
Ch_Print(FILE *out, const char *path, const json_t *before,
         const json_t *after)
{
    if (before == after ||
        (before != NULL && after != NULL && json_equal(before, after))) {
        return 0;
    }
    json_t *old = to_object(before);
    json_t *new = to_object(after);
    size_t count = 0;
    if ((old != NULL || before == NULL) && (new != NULL || after == NULL)) {
        count = print_members(out, path, old, new);
    }
    if (count == 0) {
        print_line(out, path, before, after);
        count = 1;
    }
    json_decref(old);
    json_decref(new);
    return count;
}
