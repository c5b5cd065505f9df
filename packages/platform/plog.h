/*
 * The platform's append-only log behind a table of function pointers, and
 * its HTTP form (section 2 of docs/INTERFACES.md).  What the rest of the
 * system must know of an append is only which of three things is certain:
 * it was written, it was surely not written, or neither.
 */
#ifndef PLATFORM_PLOG_H
#define PLATFORM_PLOG_H

#include <stddef.h>
#include <stdint.h>

#include "base/status.h"

#ifdef __cplusplus
extern "C" {
#endif

#define Pl_STREAM_MAX 32
#define Pl_RECORD_MAX ((size_t)64 << 10) /* bytes of one record */
#define Pl_FIRST_OFFSET UINT64_C(1)
#define Pl_LIMIT_USEC INT64_C(2000000) /* for an answer of the log's */

enum pl_append_kind {
    PL_WRITTEN, /* the records stand at offset to offset + count - 1 */
    PL_REFUSED, /* surely not written: over the rate, outage, never sent */
    PL_UNKNOWN, /* the answer was lost: written, or not, or not yet */
};

struct pl_append {
    enum pl_append_kind kind;
    uint64_t offset;
    size_t count;
};

enum pl_read_kind {
    PL_READ,    /* records from the offset asked for, perhaps none */
    PL_EXPIRED, /* the offset is below the oldest record kept */
    PL_FAILED,  /* no usable answer; ask again later */
};

struct pl_record {
    uint64_t offset;
    const char *text;
};

struct pl_read {
    enum pl_read_kind kind;
    uint64_t oldest;
    uint64_t next; /* offset the next append gets, as far as this answer */
    const struct pl_record *records; /* valid during the callback */
    size_t count;
};

typedef void (*pl_append_fn)(void *arg, const struct pl_append *result);
typedef void (*pl_read_fn)(void *arg, const struct pl_read *result);

struct pl_log;

/*
 * "done" is called exactly once and never from within the call; when the
 * call itself fails (without memory) nothing was sent and "done" is not
 * called.  The texts are copied.
 */
struct pl_ops {
    enum st_status (*append)(struct pl_log *log, const char *stream,
                             const char *const *texts, size_t count,
                             pl_append_fn done, void *arg);
    enum st_status (*read)(struct pl_log *log, const char *stream,
                           uint64_t from, size_t max, pl_read_fn done,
                           void *arg);
};

struct pl_log {
    const struct pl_ops *ops;
    void *context;
};

enum st_status Pl_Append(struct pl_log *log, const char *stream,
                         const char *const *texts, size_t count,
                         pl_append_fn done, void *arg);
enum st_status Pl_Read(struct pl_log *log, const char *stream, uint64_t from,
                       size_t max, pl_read_fn done, void *arg);

struct lp_loop;

struct pl_http_options {
    const char *address; /* IP number of the log service */
    int port;
    int64_t append_usec; /* limit for an append; 0: Pl_LIMIT_USEC */
    int64_t read_usec;   /* limit for a read; 0: Pl_LIMIT_USEC */
};

enum st_status Pl_HttpCreate(struct lp_loop *loop,
                             const struct pl_http_options *options,
                             struct pl_log **out);
void Pl_HttpDestroy(struct pl_log *log);

#ifdef __cplusplus
}
#endif

#endif
