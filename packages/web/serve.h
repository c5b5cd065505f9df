/*
 * HTTP/1.1 server that keeps a request's bytes as they came.  Connections are
 * kept; one request of a connection is handled at a time.
 */
#ifndef WEB_SERVE_H
#define WEB_SERVE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "web/http1.h"
#include "web/ledger.h"
#include "web/listening.h"
#include "web/loop.h"

#ifdef __cplusplus
extern "C" {
#endif

struct sv_server;
struct sv_request;

struct sv_ops {
    /* A whole request.  Answer it now or later. */
    void (*request)(void *arg, struct sv_request *request);
    /* The caller left before its answer ended; the request is freed next. */
    void (*gone)(void *arg, struct sv_request *request);
    /* All written bytes of a stream have left.  May be NULL. */
    void (*drained)(void *arg, struct sv_request *request);
    /* A request that was refused by the server itself.  May be NULL. */
    void (*refused)(void *arg, int status, const char *why);
    /* Whether a connection may be taken; else it is closed unread.  May be
       NULL. */
    bool (*takes)(void *arg);
};

struct sv_limits {
    size_t head_bytes;
    size_t body_bytes;
    int64_t head_usec; /* from the first byte of a request to its head's end */
    int64_t idle_usec; /* without a byte, between requests or in a body */
};

enum st_status Sv_Create(struct lp_loop *loop, const struct ck_clock *clock,
                         const char *address, const struct sv_ops *ops,
                         void *arg, struct sv_server **out);
void Sv_SetLimits(struct sv_server *server, const struct sv_limits *limits);
/* From now on connections are taken and held within the bound of a ledger. */
void Sv_SetLedger(struct sv_server *server, struct lg_ledger *ledger,
                  const char *name);
/* The account of the request's connection. */
struct lg_holder *Sv_Holder(struct sv_request *request);
int Sv_Port(const struct sv_server *server);
size_t Sv_Connections(const struct sv_server *server);
size_t Sv_Open(const struct sv_server *server);
/* From now on every answer ends its connection. */
void Sv_Drain(struct sv_server *server);
void Sv_CloseIdle(struct sv_server *server, int64_t idle_usec);
void Sv_Tick(struct sv_server *server);
bool Sv_StopListening(struct sv_server *server, struct ls_ending *ending);
void Sv_Destroy(struct sv_server *server);

const struct h1_head *Sv_Head(const struct sv_request *request);
const char *Sv_Body(const struct sv_request *request, size_t *len);
void Sv_SetUser(struct sv_request *request, void *user);
void *Sv_User(const struct sv_request *request);

/* "fields" are whole lines, each ended by CRLF; may be empty. */
void Sv_Reply(struct sv_request *request, int status, const char *fields,
              const void *body, size_t len);
/* "length" of the body, or -1 for chunks. */
/* Lengths of a body that is not known yet. */
#define Sv_CHUNKED (-1)
#define Sv_TO_CLOSE (-2) /* it ends with its connection */
void Sv_Begin(struct sv_request *request, int status, const char *fields,
              int64_t length);
void Sv_Write(struct sv_request *request, const void *data, size_t len);
void Sv_End(struct sv_request *request);
size_t Sv_Pending(const struct sv_request *request);
/* Breaks the connection off, so that an answer does not look whole. */
void Sv_Abort(struct sv_request *request);

#ifdef __cplusplus
}
#endif

#endif
