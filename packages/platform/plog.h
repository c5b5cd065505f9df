/*
 * The platform's append-only log as a table of operations, and its HTTP
 * client (docs/INTERFACES.md section 2).  An append has one of three
 * outcomes: the records are certainly written, they are certainly not
 * written, or the outcome is unknown.
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
#define Pl_TIMEOUT_USEC INT64_C(2000000) /* default timeout of a call */

enum pl_append_kind {
    PL_WRITTEN, /* the records have offset to offset + count - 1 */
    PL_REFUSED, /* certainly not written: rate limit, outage or not sent */
    PL_UNKNOWN, /* no clear answer: written, not written, or not yet */
};

struct pl_append {
    enum pl_append_kind kind;
    uint64_t offset;
    size_t count;
};

enum pl_read_kind {
    PL_READ,    /* records from the requested offset on, perhaps none */
    PL_EXPIRED, /* the offset is below the oldest record kept */
    PL_FAILED,  /* no usable answer; try again later */
};

struct pl_record {
    uint64_t offset;
    const char *text;
};

struct pl_read {
    enum pl_read_kind kind;
    uint64_t oldest;
    uint64_t next; /* offset of the next append as of this answer */
    const struct pl_record *records; /* valid during the callback */
    size_t count;
};

typedef void (*pl_append_fn)(void *arg, const struct pl_append *result);
typedef void (*pl_read_fn)(void *arg, const struct pl_read *result);

struct pl_log;

/*
 * "done" is called exactly once, after the operation has returned.  When the
 * operation itself fails, for example without memory, nothing was sent and
 * "done" is not called.  The texts are copied.
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
    const char *address; /* IP address of the log service */
    int port;
    int64_t append_usec; /* timeout of an append; 0: Pl_TIMEOUT_USEC */
    int64_t read_usec;   /* timeout of a read; 0: Pl_TIMEOUT_USEC */
};

enum st_status Pl_HttpCreate(struct lp_loop *loop,
                             const struct pl_http_options *options,
                             struct pl_log **out);
void Pl_HttpDestroy(struct pl_log *log);

#ifdef __cplusplus
}
#endif

#endif
