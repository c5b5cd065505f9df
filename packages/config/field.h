/*
 * Reads the fields of a JSON object into a struct.  A table gives the type,
 * the bounds and the remedy of each field.  Private to this package.
 */
#ifndef CONFIG_FIELD_H
#define CONFIG_FIELD_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>

#include "base/status.h"

enum fd_type {
    FD_NAME,   /* char[Cf_NAME_MAX] */
    FD_DIGEST, /* char[Hash_DIGEST_HEX] */
    FD_PATH,   /* char[Cf_PATH_MAX] */
    FD_DOUBLE,
    FD_INT,
    FD_INT64,
    FD_SIZE,
    FD_BOOL,
    FD_KIND,    /* enum cf_kind */
    FD_ROLE,    /* enum cf_role */
    FD_REGIONS, /* struct cf_regions */
};

struct fd_field {
    const char *name;
    size_t offset;
    double min; /* numbers: lowest and highest valid value */
    double max;
    double default_number; /* numbers: used when the field is absent */
    const char *remedy;    /* what a user should write */
    enum fd_type type;
    bool required;
};

enum st_status Fd_Read(const char *where, const json_t *object,
                       const struct fd_field *fields, size_t count, void *out);
bool Fd_IsDigest(const char *text);
bool Fd_IsPrefix(const char *text);

#endif
