#include "state/writer.h"

#include <bsd/string.h>
#include <bsd/sys/queue.h>
#include <stdlib.h>
#include <string.h>

#define Wr_BATCH_RECORDS 256
#define Wr_BATCH_BYTES ((size_t)256 << 10)
#define Wr_RETRY_USEC (50 * Ck_USEC_PER_MSEC)
#define Wr_RETRY_MOST (2 * Ck_USEC_PER_SEC)

struct wr_item {
    TAILQ_ENTRY(wr_item) link;
    enum bg_purpose purpose;
    char kind[Rc_KIND_MAX];
    json_t *body;
    char *text; /* set once the sequence is */
    uint64_t sequence;
    int64_t deadline;
    wr_done_fn done;
    void *arg;
};

TAILQ_HEAD(wr_items, wr_item);

/* Outlives the writer when that is destroyed under an append. */
struct wr_flight {
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
    struct wr_flight *flight;
    bool maybe_written; /* an append of this batch ended unknown */
    uint64_t sequence;  /* the last one given out */
    int64_t first_put;
    int64_t retry_at;
    int64_t retry_usec;
    size_t pending;
};

/* Makes a writer of one stream. */
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
    writer->retry_usec = Wr_RETRY_USEC;
    TAILQ_INIT(&writer->waiting);
    TAILQ_INIT(&writer->batch);
    *out = writer;
    return ST_OK;
}

/* Frees an item that is in no list any longer and reports its end. */
static void
item_end(struct wr_writer *writer, struct wr_item *item, enum wr_result result)
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
end_all(struct wr_writer *writer, struct wr_items *items,
        enum wr_result result)
{
    /* A callback may queue more records: these are not to be ended. */
    struct wr_items ending = TAILQ_HEAD_INITIALIZER(ending);
    TAILQ_CONCAT(&ending, items, link);
    struct wr_item *item;
    struct wr_item *next;
    TAILQ_FOREACH_SAFE (item, &ending, link, next) {
        item_end(writer, item, result);
    }
}

/* Ends every record: not written, or unknown when it may be on its way. */
void
Wr_Destroy(struct wr_writer *writer)
{
    if (writer == NULL) {
        return;
    }
    if (writer->flight != NULL) {
        writer->flight->writer = NULL;
    }
    end_all(writer, &writer->batch, WR_UNKNOWN);
    end_all(writer, &writer->waiting, WR_NOT_WRITTEN);
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
 * Queues a record; "body" is taken over.  A record that could not be sent by
 * "deadline" (boot clock; 0: none) ends as not written; once it may have left
 * it is settled however long that takes.  "done" may be NULL and is not
 * called when this fails.
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
        writer->first_put = Ck_Now(writer->clock);
    }
    insert_by_purpose(&writer->waiting, item);
    writer->pending++;
    return ST_OK;
}

static void
drop_late(struct wr_writer *writer, int64_t now)
{
    struct wr_item *item;
    struct wr_item *next;
    struct wr_items late = TAILQ_HEAD_INITIALIZER(late);
    TAILQ_FOREACH_SAFE (item, &writer->waiting, link, next) {
        if (item->deadline != 0 && item->deadline <= now) {
            TAILQ_REMOVE(&writer->waiting, item, link);
            TAILQ_INSERT_TAIL(&late, item, link);
        }
    }
    end_all(writer, &late, WR_NOT_WRITTEN);
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
    writer->first_put = Ck_Now(writer->clock);
}

/*
 * Takes a batch that surely was not written back into the queue.  Its
 * sequences are given out again: no reader has seen them.
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
    writer->retry_at = Ck_Now(writer->clock) + writer->retry_usec;
    writer->retry_usec *= 2;
    if (writer->retry_usec > Wr_RETRY_MOST) {
        writer->retry_usec = Wr_RETRY_MOST;
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
    struct wr_flight *flight = arg;
    struct wr_writer *writer = flight->writer;
    free(flight);
    if (writer == NULL) {
        return;
    }
    writer->flight = NULL;
    switch (result->kind) {
    case PL_WRITTEN:
        writer->retry_usec = Wr_RETRY_USEC;
        end_all(writer, &writer->batch, WR_WRITTEN);
        break;
    case PL_REFUSED:
        batch_refused(writer);
        break;
    case PL_UNKNOWN:
        /*
         * The batch may be in the log, or come into it later.  Under the
         * same sequences it can be sent again: whichever copy stands first
         * counts and readers drop the other.  A copy that arrives after
         * later records of this writer is dropped as well.
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
    struct wr_flight *flight = malloc(sizeof(*flight));
    enum st_status status = ST_NO_MEMORY;
    if (flight != NULL && count > 0) {
        flight->writer = writer;
        status = Pl_Append(writer->log, writer->stream, texts, count,
                           append_done, flight);
    }
    if (status == ST_OK) {
        writer->flight = flight;
        return;
    }
    free(flight);
    if (status == ST_INVALID && !writer->maybe_written) {
        /* A record is too large: it would block the stream for ever. */
        end_all(writer, &writer->batch, WR_NOT_WRITTEN);
        return;
    }
    batch_refused(writer);
}

/* Sends what is due.  Call it at least every few milliseconds. */
void
Wr_Tick(struct wr_writer *writer)
{
    int64_t now = Ck_Now(writer->clock);
    drop_late(writer, now);
    if (writer->flight != NULL || now < writer->retry_at) {
        return;
    }
    const struct wr_item *first = TAILQ_FIRST(&writer->batch);
    if (first == NULL) {
        first = TAILQ_FIRST(&writer->waiting);
        if (first == NULL || now - writer->first_put < writer->batch_usec) {
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
 * Takes note of a record read back from the stream; call it for each record
 * in order, repeats dropped.  One of our own settles itself.
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
    end_all(writer, &settled, WR_WRITTEN);
}

/* Records queued or on their way. */
size_t
Wr_Pending(const struct wr_writer *writer)
{
    return writer->pending;
}
