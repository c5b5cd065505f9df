/* What goes out: whole answers, streams, and what follows on a connection. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "web/serve_internal.h"

/* Bytes of answers that a caller may leave before the next request is read. */
#define Sv_UNREAD_MAX 65536

static bool
will_keep(const struct sv_request *request)
{
    return request->keep && request->have_all && !request->server->draining;
}

static bool
bodiless(const struct sv_request *request, int status)
{
    return request->no_body || status == 204 || status == 304;
}

static void
write_head(struct sv_request *request, int status, const char *fields,
           int64_t length)
{
    size_t size = strlen(fields) + Sv_LINE_MAX;
    char *head = malloc(size);
    if (head == NULL) {
        Sv_Abort(request);
        return;
    }
    size_t at = (size_t)snprintf(head, size, "HTTP/1.1 %d %s\r\n%s", status,
                                 H1_Reason(status), fields);
    if (length >= 0 && status != 204) {
        at += (size_t)sprintf(head + at, "Content-Length: %lld\r\n",
                              (long long)length);
    }
    else if (length == Sv_CHUNKED) {
        at += (size_t)sprintf(head + at, "Transfer-Encoding: chunked\r\n");
    }
    at += will_keep(request)
              ? (size_t)sprintf(head + at, "Keep-Alive: timeout=%lld\r\n\r\n",
                                (long long)(request->server->limits.idle_usec /
                                            Ck_USEC_PER_SEC))
              : (size_t)sprintf(head + at, "Connection: close\r\n\r\n");
    Sk_Write(request->sock, head, at);
    free(head);
}

/* The answer is whole: the next request of the connection, or its end. */
static void
next(struct sv_request *request)
{
    if (!will_keep(request)) {
        sv_finish(request);
        return;
    }
    sv_set_phase(request, READING);
    request->have_head = false;
    request->have_all = false;
    request->head_at = 0;
    request->moved_at = Ck_Now(request->server->clock);
    request->user = NULL;
    Bf_Free(&request->body);
    H1_Reset(request->parser);
    H1_SetHeadMax(request->parser, request->server->limits.head_bytes);
    Lg_SetServed(Sk_Holder(request->sock));
    Lg_SetPhase(Sk_Holder(request->sock), YD_IDLE);
    sv_account(request);
    /* A caller that asks on and reads no answer would pile them up here. */
    if (Sk_Pending(request->sock) > Sv_UNREAD_MAX) {
        request->held_back = true;
        Sk_Pause(request->sock, true);
    }
    if (request->ahead.len > 0) {
        sv_feed_ahead(request);
    }
}

void
Sv_Reply(struct sv_request *request, int status, const char *fields,
         const void *body, size_t len)
{
    write_head(request, status, fields, (int64_t)len);
    if (!request->dead) {
        if (!bodiless(request, status)) {
            Sk_Write(request->sock, body, len);
        }
        next(request);
    }
}

void
Sv_Begin(struct sv_request *request, int status, const char *fields,
         int64_t length)
{
    sv_set_phase(request, STREAMING);
    request->chunked = length == Sv_CHUNKED;
    request->keep = request->keep && length != Sv_TO_CLOSE;
    write_head(request, status, fields, length);
}

void
Sv_Write(struct sv_request *request, const void *data, size_t len)
{
    if (len == 0 || request->dead || request->no_body) {
        return;
    }
    if (!request->chunked) {
        Sk_Write(request->sock, data, len);
        return;
    }
    char *chunk = malloc(len + 32);
    if (chunk == NULL) {
        Sv_Abort(request);
        return;
    }
    size_t at = (size_t)sprintf(chunk, "%zx\r\n", len);
    memcpy(chunk + at, data, len);
    chunk[at + len] = '\r';
    chunk[at + len + 1] = '\n';
    Sk_Write(request->sock, chunk, at + len + 2);
    free(chunk);
}

void
Sv_End(struct sv_request *request)
{
    if (request->dead) {
        return;
    }
    if (request->chunked && !request->no_body) {
        Sk_Write(request->sock, "0\r\n\r\n", 5);
    }
    next(request);
}

size_t
Sv_Pending(const struct sv_request *request)
{
    return request->dead ? 0 : Sk_Pending(request->sock);
}

void
Sv_Abort(struct sv_request *request)
{
    if (request->phase == STREAMING) {
        /* What was passed on still arrives; the end is missing. */
        sv_finish(request);
    }
    else {
        sv_set_phase(request, OVER);
        sv_bury(request);
    }
}
