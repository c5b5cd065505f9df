/*
 * HTTP/1.1 client.  Each call uses a connection of its own: a connection
 * kept alive can die under a request, and then it cannot be known whether
 * the request ran.
 */
#ifndef WEB_CLIENT_H
#define WEB_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/status.h"
#include "web/header.h"
#include "web/loop.h"

#ifdef __cplusplus
extern "C" {
#endif

struct hc_call;

/* How far a call got; decides whether the other side may have run it. */
enum hc_stage {
    HC_CONNECTING, /* no byte of the request has left */
    HC_SENT,       /* the request may have left */
    HC_ANSWERED,   /* the headers of the answer have come */
    HC_COMPLETE,   /* the whole answer has come */
};

struct hc_result {
    /* ST_OK, ST_TIMEOUT or ST_UNAVAILABLE. */
    enum st_status status;
    enum hc_stage stage;
    int code; /* HTTP status, 0 before the headers */
};

struct hc_ops {
    /* Headers of the answer; Hc_Header() is valid until "done". May be NULL.
     */
    void (*headers)(void *arg, struct hc_call *call, int code);
    /* Bytes of the body.  May be NULL: then the body is collected. */
    void (*data)(void *arg, struct hc_call *call, const void *data,
                 size_t len);
    /*
     * The end, exactly once, never from within Hc_Start(), not after
     * Hc_Cancel().  The call is freed when this returns.
     */
    void (*done)(void *arg, struct hc_call *call,
                 const struct hc_result *result);
};

/* How a daemon is asked to connect (see through.h). */
struct hc_through {
    const char *daemon; /* "USER:SECRET@IP:PORT" */
    const char *id;     /* of the endpoint */
};

struct hc_request {
    const char *address; /* IP number */
    int port;
    const char *method;
    const char *path;
    const char *type; /* content type, NULL without a body */
    const struct web_header *headers;
    size_t header_count;
    const void *body;
    size_t body_len;
    struct lg_ledger *ledger; /* accounts for the answer; NULL: none does */
    int64_t connect_usec;     /* limit until the request has left; 0: 2 s */
    int64_t idle_usec;        /* limit between bytes of the answer; 0: none */
    int64_t total_usec;       /* limit for everything; 0: none */
    size_t collect_max;       /* limit when the body is collected; 0: 4 MiB */
    bool tls;
    /* A daemon that connects for this one; NULL: the address is reached. */
    const struct hc_through *through;
};

enum st_status Hc_Start(struct lp_loop *loop, const struct hc_request *request,
                        const struct hc_ops *ops, void *arg,
                        struct hc_call **out);
void Hc_Cancel(struct hc_call *call);
void Hc_Pause(struct hc_call *call, bool pause);
enum hc_stage Hc_Stage(const struct hc_call *call);
const char *Hc_Header(const struct hc_call *call, const char *name);
const char *Hc_Body(const struct hc_call *call, size_t *len);
/* Whether only the end of the connection ends the answer. */
bool Hc_EndsByClosing(const struct hc_call *call);
/* The same as Hc_Body(), which has none from then on; to be freed. */
char *Hc_TakeBody(struct hc_call *call, size_t *len);

#ifdef __cplusplus
}
#endif

#endif
