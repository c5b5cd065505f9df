#include "config/field.h"

#include <bsd/string.h>
#include <stdlib.h>
#include <string.h>

#include "config/config.h"

#define Fd_SHOWN_VALUE_BYTES 64 /* of an invalid value, in messages */
#define Fd_NAME_BYTES                                                         \
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-"
/* The bytes that a path may contain unescaped (RFC 3986). */
#define Fd_PATH_BYTES Fd_NAME_BYTES "/~!$&'()*+,;=:@"

/*
 * Whether the text is a name: 1 to 47 letters, digits, dots, underscores and
 * hyphens.  Names serve as metric labels, path elements and keys of the log.
 */
bool
Cf_IsName(const char *text)
{
    size_t len = strlen(text);
    return len > 0 && len < Cf_NAME_MAX && strspn(text, Fd_NAME_BYTES) == len;
}

/* Whether the text is 32 lower-case hex digits, as Hash_Digest() writes. */
bool
Fd_IsDigest(const char *text)
{
    return strlen(text) == Hash_DIGEST_HEX - 1 &&
           strspn(text, "0123456789abcdef") == Hash_DIGEST_HEX - 1;
}

/* Whether the text is a path with a slash at both ends, not below /v1/. */
bool
Fd_IsPrefix(const char *text)
{
    size_t len = strlen(text);
    return len > 0 && len < Cf_PATH_MAX && text[0] == '/' &&
           text[len - 1] == '/' && strstr(text, "//") == NULL &&
           strspn(text, Fd_PATH_BYTES) == len && strncmp(text, "/v1/", 4) != 0;
}

static enum st_status
reject(const char *where, const struct fd_field *field, const json_t *value)
{
    char *text = json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT);
    char shown[Fd_SHOWN_VALUE_BYTES];
    strlcpy(shown, text != NULL ? text : "?", sizeof(shown));
    free(text);
    return St_Fail(ST_INVALID, "%s.%s is %s: %s", where, field->name, shown,
                   field->remedy);
}

static enum st_status
read_text(const char *where, const struct fd_field *field, const json_t *value,
          char *out)
{
    const char *text = json_string_value(value);
    if (text == NULL) {
        return reject(where, field, value);
    }
    size_t size = Cf_NAME_MAX;
    bool valid;
    if (field->type == FD_DIGEST) {
        size = Hash_DIGEST_HEX;
        valid = Fd_IsDigest(text);
    }
    else if (field->type == FD_PATH) {
        size = Cf_PATH_MAX;
        valid = Fd_IsPrefix(text);
    }
    else {
        valid = Cf_IsName(text);
    }
    if (!valid && (text[0] != '\0' || field->required)) {
        return reject(where, field, value);
    }
    strlcpy(out, text, size);
    return ST_OK;
}

static void
store_number(const struct fd_field *field, double number, char *out)
{
    switch (field->type) {
    case FD_DOUBLE:
        *(double *)(void *)out = number;
        break;
    case FD_INT:
        *(int *)(void *)out = (int)number;
        break;
    case FD_INT64:
        *(int64_t *)(void *)out = (int64_t)number;
        break;
    case FD_SIZE:
        *(size_t *)(void *)out = (size_t)number;
        break;
    default:
        break;
    }
}

static enum st_status
read_number(const char *where, const struct fd_field *field,
            const json_t *value, char *out)
{
    double number = field->default_number;
    if (value != NULL) {
        bool is_integer = field->type != FD_DOUBLE;
        if (!json_is_number(value) ||
            (is_integer && !json_is_integer(value))) {
            return reject(where, field, value);
        }
        number = json_number_value(value);
        if (!(number >= field->min && number <= field->max)) {
            return reject(where, field, value);
        }
    }
    store_number(field, number, out);
    return ST_OK;
}

static enum st_status
read_bool(const char *where, const struct fd_field *field, const json_t *value,
          char *out)
{
    if (!json_is_boolean(value)) {
        return reject(where, field, value);
    }
    *(bool *)(void *)out = json_is_true(value);
    return ST_OK;
}

static enum st_status
read_enum(const char *where, const struct fd_field *field, const json_t *value,
          char *out)
{
    static const char *const kinds[] = {
        [CF_ENGINE] = "engine", [CF_PLAIN] = "plain"};
    static const char *const roles[] = {[CF_VIEWER] = "viewer",
                                        [CF_EDITOR] = "editor",
                                        [CF_OPERATOR] = "operator"};
    bool kind = field->type == FD_KIND;
    const char *const *names = kind ? kinds : roles;
    int count = kind ? 2 : 3;
    const char *text = json_string_value(value);
    for (int i = 0; text != NULL && i < count; i++) {
        if (strcmp(text, names[i]) != 0) {
            continue;
        }
        if (kind) {
            *(enum cf_kind *)(void *)out = (enum cf_kind)i;
        }
        else {
            *(enum cf_role *)(void *)out = (enum cf_role)i;
        }
        return ST_OK;
    }
    return reject(where, field, value);
}

static enum st_status
read_regions(const char *where, const struct fd_field *field,
             const json_t *value, char *out)
{
    struct cf_regions *regions = (struct cf_regions *)(void *)out;
    size_t size = json_array_size(value);
    if (size == 0 || size > Cf_REGIONS_MAX) {
        return reject(where, field, value);
    }
    size_t i;
    const json_t *entry;
    json_array_foreach (value, i, entry) {
        const char *text = json_string_value(entry);
        if (text == NULL || !Cf_IsName(text)) {
            return reject(where, field, value);
        }
        strlcpy(regions->names[i], text, Cf_NAME_MAX);
    }
    regions->count = size;
    return ST_OK;
}

static enum st_status
read_field(const char *where, const struct fd_field *field,
           const json_t *value, char *out)
{
    switch (field->type) {
    case FD_NAME:
    case FD_DIGEST:
    case FD_PATH:
        return read_text(where, field, value, out);
    case FD_BOOL:
        return read_bool(where, field, value, out);
    case FD_KIND:
    case FD_ROLE:
        return read_enum(where, field, value, out);
    case FD_REGIONS:
        return read_regions(where, field, value, out);
    default:
        return read_number(where, field, value, out);
    }
}

static bool
is_number(enum fd_type type)
{
    return type == FD_DOUBLE || type == FD_INT || type == FD_INT64 ||
           type == FD_SIZE;
}

/*
 * Fills the zeroed struct "out" from the object.  "where" names the object in
 * messages.  With ST_INVALID the message names the field, its value and the
 * remedy.
 */
enum st_status
Fd_Read(const char *where, const json_t *object, const struct fd_field *fields,
        size_t count, void *out)
{
    for (size_t i = 0; i < count; i++) {
        const struct fd_field *field = &fields[i];
        const json_t *value = json_object_get(object, field->name);
        if (value == NULL && field->required) {
            return St_Fail(ST_INVALID, "%s.%s is missing: %s", where,
                           field->name, field->remedy);
        }
        if (value == NULL && !is_number(field->type)) {
            continue;
        }
        enum st_status status =
            read_field(where, field, value, (char *)out + field->offset);
        if (status != ST_OK) {
            return status;
        }
    }
    return ST_OK;
}
