/*
 * Appends this daemon's records to one stream: in batches, one append in
 * flight at a time, within the budget.  An append whose answer was lost is
 * resent unchanged until it is settled, by an answer or by reading the record
 * back; readers drop the duplicate.
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
    /* the record is in the log; reading it back gives its offset */
    WR_WRITTEN,
    WR_NOT_WRITTEN, /* the record is not in the log and will not be */
    WR_UNKNOWN,     /* reported only by Wr_Destroy() */
};

typedef void (*wr_done_fn)(void *arg, enum wr_result result,
                           uint64_t sequence);

struct wr_options {
    struct pl_log *log;
    const char *stream;
    struct rc_writer self;
    const struct ck_clock *clock;
    struct bg_budget *budget;
    int64_t batch_usec; /* how long records are batched; 0: not at all */
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
