/*
 * The commands of cornelctl.  Each returns the program's exit status and has
 * said on standard error what went wrong and what to do.
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
    CT_INVALID = 2,     /* wrong answers, or refused as such */
    CT_CONFLICT = 3,    /* another change came first */
    CT_DENIED = 4,      /* the key is unknown or may not do this */
    CT_UNAVAILABLE = 5, /* no daemon answered, or the outcome is unknown */
    CT_LAGGING = 6,     /* published, not yet in force on every daemon */
    CT_DIFFERENT = 7,   /* diff: there are differences */
    CT_USAGE = 64,
};

struct ct_options {
    const char *operand; /* FILE or NAME; of several, the first */
    char **files;        /* explain: all of them */
    size_t file_count;
    const char *svg;    /* explain: where the timeline goes; NULL: nowhere */
    const char *admins; /* HOST:PORT[,HOST:PORT...] */
    const char *out_dir;
    const char *key; /* of the team */
    int64_t wait_usec;
    int count; /* watch: how often to look; 0: for ever */
    bool json;
    bool back; /* evacuate: take it back */
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
/* Waits until every daemon that serves has read the offset. */
int Ct_WaitEverywhere(struct am_session *session, int64_t began,
                      int64_t deadline, uint64_t offset);

int Ct_Report(enum st_status status);

/* Writes to an open file; false: it took not all. */
typedef bool (*ct_write_fn)(const void *what, FILE *out);
/*
 * Writes a file anew.  ST_INVALID: it cannot be opened, and "remedy" says what
 * to name instead; ST_INTERNAL: it took not all.
 */
enum st_status Ct_WriteFile(const char *path, const char *remedy,
                            ct_write_fn write, const void *what);

#endif
