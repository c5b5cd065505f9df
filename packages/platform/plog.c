#include "platform/plog.h"

#include <string.h>

/*
 * Appends records to a stream as one batch.  ST_INVALID when a record is
 * larger than the log takes; nothing is sent then.
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

/* Reads at most "max" records of a stream, "from" being the first wanted. */
enum st_status
Pl_Read(struct pl_log *log, const char *stream, uint64_t from, size_t max,
        pl_read_fn done, void *arg)
{
    return log->ops->read(log, stream, from, max, done, arg);
}
