#include "platform/plog.h"

#include <string.h>

/*
 * Appends records to a stream as one batch.  Returns ST_INVALID and sends
 * nothing when a record exceeds Pl_RECORD_MAX.
 */
enum st_status
Pl_Append(struct pl_log *log, const char *stream, const char *const *texts,
          size_t count, pl_append_fn done, void *arg)
{
    for (size_t i = 0; i < count; i++) {
        if (strlen(texts[i]) > Pl_RECORD_MAX) {
            return St_Fail(ST_INVALID,
                           "record of %zu bytes on %s; split it, the log "
                           "takes %zu",
                           strlen(texts[i]), stream, Pl_RECORD_MAX);
        }
    }
    return log->ops->append(log, stream, texts, count, done, arg);
}

/* Reads at most "max" records of a stream, starting at offset "from". */
enum st_status
Pl_Read(struct pl_log *log, const char *stream, uint64_t from, size_t max,
        pl_read_fn done, void *arg)
{
    return log->ops->read(log, stream, from, max, done, arg);
}
