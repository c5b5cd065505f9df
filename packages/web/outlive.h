/*
 * Whether whoever sent an answer has outlived its end.  An answer without a
 * length ends with its connection, and a killed process ends its connections
 * in the same way: its kernel closes them in order.  What shows that it was no
 * kill happens after the end: bytes that were asked for then or, where nothing
 * may be asked, a connection that was made then.
 */
#ifndef WEB_OUTLIVE_H
#define WEB_OUTLIVE_H

#include "web/dial.h"
#include "web/loop.h"

#ifdef __cplusplus
extern "C" {
#endif

enum ol_result {
    OL_ANSWERED, /* bytes came or, without a path, it was connected */
    OL_CLOSED,   /* the connection was made, and ended without bytes */
    OL_REFUSED,  /* no connection could be made */
    OL_DECLINED, /* the daemon between lives, but made no connection */
    OL_SILENT,   /* nothing in time */
};

struct ol_query;

struct ol_options {
    struct lp_loop *loop;
    const struct di_way *way; /* that the answer has come by */
    const char *host;
    const char *path; /* to ask for; NULL: nothing is asked */
};

/* The end, once, never from within Ol_Start(); the query is freed after it. */
typedef void (*ol_done_fn)(void *arg, enum ol_result result);

/* NULL without memory. */
struct ol_query *Ol_Start(const struct ol_options *options, ol_done_fn done,
                          void *arg);
/* "done" is not called; NULL is allowed. */
void Ol_Cancel(struct ol_query *query);
const char *Ol_ResultName(enum ol_result result);

#ifdef __cplusplus
}
#endif

#endif
