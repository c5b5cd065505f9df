/*
 * The leases of all jobs, kept on the control stream.  They are part of the
 * state of that stream's replica (snapshot.h).  This module also appends the
 * lease records that are due for this host.
 */
#ifndef STATE_LEASES_H
#define STATE_LEASES_H

#include <stdbool.h>
#include <stddef.h>

#include "base/clock.h"
#include "state/lease.h"
#include "state/writer.h"

#ifdef __cplusplus
extern "C" {
#endif

struct le_options {
    const struct ck_clock *clock;
    struct rc_writer self;    /* the same as that of the writer */
    struct wr_writer *writer; /* writer of the control stream */
    int64_t term_usec;        /* length of a lease; 0: 15 s */
    int64_t margin_usec;      /* safety margin; 0: 1 s */
};

struct le_table;

enum st_status Le_Create(const struct le_options *options,
                         struct le_table **out);
void Le_Destroy(struct le_table *table);
enum st_status Le_Want(struct le_table *table, const char *job, bool wanted,
                       int64_t order_usec);
void Le_Tick(struct le_table *table, bool ready, int64_t tail_read_at);

/* Callbacks for struct sn_ops; Le_Apply() ignores other kinds of record. */
void Le_Reset(struct le_table *table);
void Le_Apply(struct le_table *table, const struct rc_record *record);
void Le_Load(struct le_table *table, const json_t *entry);
void Le_Save(const struct le_table *table, json_t *list);

bool Le_MayAct(const struct le_table *table, const char *job,
               struct ls_permit *out);
bool Le_Holds(const struct le_table *table, const char *job);
bool Le_Get(const struct le_table *table, const char *job,
            struct ls_lease *out);
size_t Le_Held(const struct le_table *table);

#ifdef __cplusplus
}
#endif

#endif
