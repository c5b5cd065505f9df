/*
 * Appends this daemon's records to one stream: in batches, one append on its
 * way at a time, within the budget.  An append whose answer was lost is
 * repeated unchanged until an answer or the record itself, read back, settles
 * it; readers drop the repeat.
 */
#ifndef STATE_WRITER_H
#define STATE_WRITER_H

#include <stdbool.h>
#include <stddef.h>

#include "base/clock.h"
#include "platform/plog.h"
#include "state/budget.h"
#include "state/record.h"

#ifdef __cplusplus
extern "C" {
#endif

enum wr_result {
    WR_WRITTEN,     /* stands in the log; its first reading gives the offset */
    WR_NOT_WRITTEN, /* surely not in the log, and never will be */
    WR_UNKNOWN,     /* only from Wr_Destroy() */
};

typedef void (*wr_done_fn)(void *arg, enum wr_result result,
                           uint64_t sequence);

struct wr_options {
    struct pl_log *log;
    const char *stream;
    struct rc_writer self;
    const struct ck_clock *clock;
    struct bg_budget *budget;
    int64_t batch_usec; /* how long a record waits for others; 0: not */
};

struct wr_writer;

enum st_status Wr_Create(const struct wr_options *options,
                         struct wr_writer **out);
void Wr_Destroy(struct wr_writer *writer);
enum st_status Wr_Put(struct wr_writer *writer, enum bg_purpose purpose,
                      const char *kind, json_t *body, int64_t deadline,
                      wr_done_fn done, void *arg);
void Wr_Observe(struct wr_writer *writer, const struct rc_record *record);
void Wr_Tick(struct wr_writer *writer);
size_t Wr_Pending(const struct wr_writer *writer);

#ifdef __cplusplus
}
#endif

#endif
