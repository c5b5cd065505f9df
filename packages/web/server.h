/*
 * HTTP/1.1 server.  A request is handed over once its headers and body are
 * complete; it is answered whole or as a stream, now or later.
 */
#ifndef WEB_SERVER_H
#define WEB_SERVER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/status.h"
#include "web/header.h"
#include "web/ledger.h"
#include "web/listening.h"
#include "web/loop.h"

#ifdef __cplusplus
extern "C" {
#endif

struct hs_server;
struct hs_request;

struct hs_ops {
    /* A complete request.  Answer it now or keep it for later. */
    void (*request)(void *arg, struct hs_request *request);
    /*
     * The caller went away before the answer ended.  The request is freed
     * after this returns.  Not called once the answer has ended.
     */
    void (*gone)(void *arg, struct hs_request *request);
    /* All bytes of a stream were written; more may be sent.  May be NULL. */
    void (*drained)(void *arg, struct hs_request *request);
};

struct hs_options {
    const char *address;       /* IP number to listen on */
    int port;                  /* 0 picks a free one; see Hs_Port() */
    const char *tls_cert_file; /* NULL: plain */
    const char *tls_key_file;
    size_t body_max;            /* larger bodies get 413 */
    const char *const *headers; /* names to keep, NULL-terminated */
    struct lg_ledger *ledger;   /* NULL: nothing is accounted for */
    const char *account;        /* name in the ledger */
    const struct hs_ops *ops;
    void *arg;
};

enum st_status Hs_Create(struct lp_loop *loop,
                         const struct hs_options *options,
                         struct hs_server **out);
int Hs_Port(const struct hs_server *server);
void Hs_CloseConnections(struct hs_server *server);
bool Hs_StopListening(struct hs_server *server, int64_t now,
                      struct ls_ending *ending);
size_t Hs_Fresh(const struct hs_server *server);
size_t Hs_OpenRequests(const struct hs_server *server);
void Hs_Destroy(struct hs_server *server);

const char *Hs_Method(const struct hs_request *request);
const char *Hs_Path(const struct hs_request *request);
bool Hs_Target(const struct hs_request *request, char *out, size_t size);
const char *Hs_Header(const struct hs_request *request, const char *name);
bool Hs_Query(const struct hs_request *request, const char *name, char *out,
              size_t size);
const char *Hs_Body(const struct hs_request *request, size_t *len);
void Hs_SetUser(struct hs_request *request, void *user);
void *Hs_User(const struct hs_request *request);

void Hs_Reply(struct hs_request *request, int code, const char *type,
              const struct web_header *headers, size_t header_count,
              const void *body, size_t len);
/*
 * The same; "body", which is the request's own from then on, is not copied.
 */
void Hs_ReplyOwned(struct hs_request *request, int code, const char *type,
                   const struct web_header *headers, size_t header_count,
                   char *body, size_t len);
/* Accounts for an answer that is held until Hs_ReplyOwned(). */
void Hs_HoldAnswer(struct hs_request *request, size_t len);
void Hs_StreamBegin(struct hs_request *request, int code, const char *type,
                    const struct web_header *headers, size_t header_count);
void Hs_StreamWrite(struct hs_request *request, const void *data, size_t len);
void Hs_StreamEnd(struct hs_request *request);
size_t Hs_Pending(const struct hs_request *request);
void Hs_Abort(struct hs_request *request);

#ifdef __cplusplus
}
#endif

#endif
