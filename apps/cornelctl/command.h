/*
 * The commands of cornelctl.  Each returns the program's exit status and, if
 * it fails, prints the cause and a remedy to standard error.
 */
#ifndef CORNELCTL_COMMAND_H
#define CORNELCTL_COMMAND_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include "base/status.h"

/* Exit statuses; docs/man/cornelctl.1 lists them. */
enum ct_exit {
    CT_DONE = 0,
    CT_FAILED = 1,
    CT_INVALID = 2,     /* invalid questionnaire, operand or request */
    CT_CONFLICT = 3,    /* the section was changed meanwhile */
    CT_DENIED = 4,      /* the key is unknown or lacks the permission */
    CT_UNAVAILABLE = 5, /* no daemon responded, or the outcome is unknown */
    CT_LAGGING = 6,     /* published, but not in force on every daemon */
    CT_DIFFERENT = 7,   /* diff: there are differences */
    CT_USAGE = 64,
};

struct ct_options {
    const char *operand; /* FILE, NAME or DATA-CENTRE; the first of several */
    char **files;        /* explain: all FILE operands */
    size_t file_count;
    const char *svg;    /* explain: file for the timeline; NULL: none */
    const char *admins; /* IP:PORT[,IP:PORT...] */
    const char *out_dir;
    const char *key; /* the team's API key */
    int64_t wait_usec;
    int count; /* watch: number of polls; 0: no limit */
    bool json;
    bool back; /* evacuate: return the data centre to service */
    bool tls;
};

int Ct_Check(const struct ct_options *options);
int Ct_Generate(const struct ct_options *options);
int Ct_Explain(const struct ct_options *options);
int Ct_Key(const struct ct_options *options);
int Ct_Diff(const struct ct_options *options);
int Ct_Publish(const struct ct_options *options);
int Ct_Status(const struct ct_options *options);
int Ct_Watch(const struct ct_options *options);

int Ct_Evacuate(const struct ct_options *options);

struct am_session;
/*
 * Waits until every serving daemon has applied the configuration at the
 * offset.  "began" is the start of the duration that is printed.
 */
int Ct_WaitEverywhere(struct am_session *session, int64_t began,
                      int64_t deadline, uint64_t offset);

int Ct_Report(enum st_status status);

/* Writes to an open file; false: the data was not written completely. */
typedef bool (*ct_write_fn)(const void *data, FILE *out);
/*
 * Creates or truncates a file and writes it.  ST_INVALID: the file cannot be
 * opened, and the error message ends with "remedy"; ST_INTERNAL: the data was
 * not written completely.
 */
enum st_status Ct_WriteFile(const char *path, const char *remedy,
                            ct_write_fn write, const void *data);

#endif
