#include "state/writer.h"

#include <bsd/string.h>
#include <bsd/sys/queue.h>
#include <stdlib.h>
#include <string.h>

#define Wr_BATCH_RECORDS 256
#define Wr_BATCH_BYTES ((size_t)256 << 10)
#define Wr_RETRY_MIN_USEC (50 * Ck_USEC_PER_MSEC)
#define Wr_RETRY_MAX_USEC (2 * Ck_USEC_PER_SEC)

struct wr_item {
    TAILQ_ENTRY(wr_item) link;
    enum bg_purpose purpose;
    char kind[Rc_KIND_MAX];
    json_t *body;
    char *text; /* NULL until a sequence number is assigned */
    uint64_t sequence;
    int64_t deadline;
    wr_done_fn done;
    void *arg;
};

TAILQ_HEAD(wr_items, wr_item);

/*
 * Context of an append in flight; outlives a writer that is destroyed
 * meanwhile.
 */
struct wr_pending_append {
    struct wr_writer *writer;
};

struct wr_writer {
    struct pl_log *log;
    char stream[Pl_STREAM_MAX];
    struct rc_writer self;
    const struct ck_clock *clock;
    struct bg_budget *budget;
    int64_t batch_usec;
    struct wr_items waiting;
    struct wr_items batch;
    struct wr_pending_append *pending_append;
    bool maybe_written; /* an append of this batch had no definite answer */
    uint64_t sequence;  /* last sequence number assigned */
    int64_t first_queued_at;
    int64_t retry_at;
    int64_t retry_delay_usec;
    size_t pending;
};

enum st_status
Wr_Create(const struct wr_options *options, struct wr_writer **out)
{
    struct wr_writer *writer = calloc(1, sizeof(*writer));
    if (writer == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for a writer");
    }
    writer->log = options->log;
    strlcpy(writer->stream, options->stream, sizeof(writer->stream));
    writer->self = options->self;
    writer->clock = options->clock;
    writer->budget = options->budget;
    writer->batch_usec = options->batch_usec;
    writer->retry_delay_usec = Wr_RETRY_MIN_USEC;
    TAILQ_INIT(&writer->waiting);
    TAILQ_INIT(&writer->batch);
    *out = writer;
    return ST_OK;
}

/* Frees an item that is in no list and reports its result. */
static void
finish_item(struct wr_writer *writer, struct wr_item *item,
            enum wr_result result)
{
    wr_done_fn done = item->done;
    void *arg = item->arg;
    uint64_t sequence = item->sequence;
    writer->pending--;
    json_decref(item->body);
    free(item->text);
    free(item);
    if (done != NULL) {
        done(arg, result, sequence);
    }
}

static void
finish_all(struct wr_writer *writer, struct wr_items *items,
           enum wr_result result)
{
    /* A callback may queue more records, which must not be finished here. */
    struct wr_items finishing = TAILQ_HEAD_INITIALIZER(finishing);
    TAILQ_CONCAT(&finishing, items, link);
    struct wr_item *item;
    struct wr_item *next;
    TAILQ_FOREACH_SAFE (item, &finishing, link, next) {
        finish_item(writer, item, result);
    }
}

/*
 * Destroys a writer.  Records of an append that may be in flight end as
 * WR_UNKNOWN, all others as WR_NOT_WRITTEN.
 */
void
Wr_Destroy(struct wr_writer *writer)
{
    if (writer == NULL) {
        return;
    }
    if (writer->pending_append != NULL) {
        writer->pending_append->writer = NULL;
    }
    finish_all(writer, &writer->batch, WR_UNKNOWN);
    finish_all(writer, &writer->waiting, WR_NOT_WRITTEN);
    free(writer);
}

static void
insert_by_purpose(struct wr_items *items, struct wr_item *item)
{
    struct wr_item *other;
    TAILQ_FOREACH_REVERSE(other, items, wr_items, link)
    {
        if (other->purpose <= item->purpose) {
            TAILQ_INSERT_AFTER(items, other, item, link);
            return;
        }
    }
    TAILQ_INSERT_HEAD(items, item, link);
}

/*
 * Queues a record; takes ownership of "body".  A record that could not be sent
 * by "deadline" (boot clock; 0: none) ends as not written.  A record that may
 * have been sent is retried until it is settled, even past its deadline.
 * "done" may be NULL and is not called if this function fails.
 */
enum st_status
Wr_Put(struct wr_writer *writer, enum bg_purpose purpose, const char *kind,
       json_t *body, int64_t deadline, wr_done_fn done, void *arg)
{
    struct wr_item *item = calloc(1, sizeof(*item));
    if (item == NULL || body == NULL) {
        free(item);
        json_decref(body);
        return St_Fail(ST_NO_MEMORY, "no memory for a record");
    }
    item->purpose = purpose;
    strlcpy(item->kind, kind, sizeof(item->kind));
    item->body = body;
    item->deadline = deadline;
    item->done = done;
    item->arg = arg;
    if (TAILQ_EMPTY(&writer->waiting)) {
        writer->first_queued_at = Ck_Now(writer->clock);
    }
    insert_by_purpose(&writer->waiting, item);
    writer->pending++;
    return ST_OK;
}

static void
expire_waiting(struct wr_writer *writer, int64_t now)
{
    struct wr_item *item;
    struct wr_item *next;
    struct wr_items expired = TAILQ_HEAD_INITIALIZER(expired);
    TAILQ_FOREACH_SAFE (item, &writer->waiting, link, next) {
        if (item->deadline != 0 && item->deadline <= now) {
            TAILQ_REMOVE(&writer->waiting, item, link);
            TAILQ_INSERT_TAIL(&expired, item, link);
        }
    }
    finish_all(writer, &expired, WR_NOT_WRITTEN);
}

static enum st_status
item_format(struct wr_writer *writer, struct wr_item *item)
{
    struct rc_record record = {
        .writer = writer->self,
        .sequence = writer->sequence + 1,
        .wall_ms = Ck_Wall(writer->clock) / Ck_USEC_PER_MSEC,
        .body = item->body,
    };
    strlcpy(record.kind, item->kind, sizeof(record.kind));
    enum st_status status = Rc_Format(&record, &item->text);
    if (status == ST_OK) {
        item->sequence = ++writer->sequence;
    }
    return status;
}

static void
fill_batch(struct wr_writer *writer)
{
    size_t count = 0;
    size_t bytes = 0;
    struct wr_item *item;
    while ((item = TAILQ_FIRST(&writer->waiting)) != NULL &&
           count < Wr_BATCH_RECORDS && bytes < Wr_BATCH_BYTES &&
           item_format(writer, item) == ST_OK) {
        TAILQ_REMOVE(&writer->waiting, item, link);
        TAILQ_INSERT_TAIL(&writer->batch, item, link);
        count++;
        bytes += strlen(item->text);
    }
    writer->maybe_written = false;
    writer->first_queued_at = Ck_Now(writer->clock);
}

/*
 * Moves a batch that was not written back into the queue.  Its sequence
 * numbers are assigned again, since no reader has seen them.
 */
static void
return_batch(struct wr_writer *writer)
{
    struct wr_item *item;
    while ((item = TAILQ_LAST(&writer->batch, wr_items)) != NULL) {
        TAILQ_REMOVE(&writer->batch, item, link);
        TAILQ_INSERT_HEAD(&writer->waiting, item, link);
        writer->sequence = item->sequence - 1;
        free(item->text);
        item->text = NULL;
    }
}

static void
back_off(struct wr_writer *writer)
{
    writer->retry_at = Ck_Now(writer->clock) + writer->retry_delay_usec;
    writer->retry_delay_usec *= 2;
    if (writer->retry_delay_usec > Wr_RETRY_MAX_USEC) {
        writer->retry_delay_usec = Wr_RETRY_MAX_USEC;
    }
}

static void
batch_refused(struct wr_writer *writer)
{
    if (!writer->maybe_written) {
        return_batch(writer);
    }
    back_off(writer);
}

static void
append_done(void *arg, const struct pl_append *result)
{
    struct wr_pending_append *pending = arg;
    struct wr_writer *writer = pending->writer;
    free(pending);
    if (writer == NULL) {
        return;
    }
    writer->pending_append = NULL;
    switch (result->kind) {
    case PL_WRITTEN:
        writer->retry_delay_usec = Wr_RETRY_MIN_USEC;
        finish_all(writer, &writer->batch, WR_WRITTEN);
        break;
    case PL_REFUSED:
        batch_refused(writer);
        break;
    case PL_UNKNOWN:
        /*
         * The batch may be in the log already or be written later.  It can be
         * resent with the same sequence numbers: the copy that comes first in
         * the log counts, and readers drop the other one.  They also drop a
         * copy that comes after later records of this writer.
         */
        writer->maybe_written = true;
        back_off(writer);
        break;
    }
}

static void
send_batch(struct wr_writer *writer)
{
    const char *texts[Wr_BATCH_RECORDS];
    size_t count = 0;
    struct wr_item *item;
    TAILQ_FOREACH (item, &writer->batch, link) {
        texts[count++] = item->text;
    }
    struct wr_pending_append *pending = malloc(sizeof(*pending));
    enum st_status status = ST_NO_MEMORY;
    if (pending != NULL && count > 0) {
        pending->writer = writer;
        status = Pl_Append(writer->log, writer->stream, texts, count,
                           append_done, pending);
    }
    if (status == ST_OK) {
        writer->pending_append = pending;
        return;
    }
    free(pending);
    if (status == ST_INVALID && !writer->maybe_written) {
        /* A record is too large and would block the stream. */
        finish_all(writer, &writer->batch, WR_NOT_WRITTEN);
        return;
    }
    batch_refused(writer);
}

/* Sends the batch that is due.  Call it at least every few milliseconds. */
void
Wr_Tick(struct wr_writer *writer)
{
    int64_t now = Ck_Now(writer->clock);
    expire_waiting(writer, now);
    if (writer->pending_append != NULL || now < writer->retry_at) {
        return;
    }
    const struct wr_item *first = TAILQ_FIRST(&writer->batch);
    if (first == NULL) {
        first = TAILQ_FIRST(&writer->waiting);
        if (first == NULL ||
            now - writer->first_queued_at < writer->batch_usec) {
            return;
        }
    }
    if (!Bg_Take(writer->budget, first->purpose)) {
        return;
    }
    if (TAILQ_EMPTY(&writer->batch)) {
        fill_batch(writer);
    }
    send_batch(writer);
}

/*
 * Processes a record read back from the stream; call it for each record in
 * order, without duplicates.  A record of this writer settles the items of the
 * batch up to its sequence number.
 */
void
Wr_Observe(struct wr_writer *writer, const struct rc_record *record)
{
    if (Rc_CompareWriters(&record->writer, &writer->self) != 0) {
        return;
    }
    struct wr_items settled = TAILQ_HEAD_INITIALIZER(settled);
    struct wr_item *item;
    struct wr_item *next;
    TAILQ_FOREACH_SAFE (item, &writer->batch, link, next) {
        if (item->sequence <= record->sequence) {
            TAILQ_REMOVE(&writer->batch, item, link);
            TAILQ_INSERT_TAIL(&settled, item, link);
        }
    }
    finish_all(writer, &settled, WR_WRITTEN);
}

/* Number of records that are queued or in flight. */
size_t
Wr_Pending(const struct wr_writer *writer)
{
    return writer->pending;
}
