/* What comes in: requests, what is behind them, and refusals of both. */
#include "web/serve_internal.h"

#include <stdint.h>
#include <stdio.h>
#include <string.h>

/* By then others have been read, or had to yield. */
#define Sv_RETRY_SEC "1"

void
sv_refuse(struct sv_request *request, int status, const char *why)
{
    if (request->server->ops->refused != NULL) {
        request->server->ops->refused(request->server->arg, status, why);
    }
    const char *fields = status == 503 ? "Content-Type: application/json\r\n"
                                         "Retry-After: " Sv_RETRY_SEC "\r\n"
                                       : "Content-Type: application/json\r\n";
    char body[Sv_LINE_MAX];
    int len = snprintf(body, sizeof(body), "{\"error\":\"%s\"}\n", why);
    sv_set_phase(request, HANDLING);
    request->keep = false;
    request->have_all = false;
    Sv_Reply(request, status, fields, body, (size_t)len);
}

/* Callers that wait for leave to send their body get it. */
static void
answer_expectation(struct sv_request *request, const struct h1_head *head)
{
    static const char go_on[] = "HTTP/1.1 100 Continue\r\n\r\n";
    if (head->has_body && H1_Find(head, "expect") != NULL) {
        Sk_Write(request->sock, go_on, sizeof(go_on) - 1);
    }
}

static void
on_head(void *arg, const struct h1_head *head)
{
    struct sv_request *request = arg;
    request->have_head = true;
    request->keep = head->keep_alive;
    request->no_body = H1_Is(head->method, "HEAD");
    int64_t length = H1_Number(head, "content-length");
    request->body_most = request->server->limits.body_bytes;
    /* A number with more digits than are read is over any limit. */
    bool too_long = length < 0 && H1_Find(head, "content-length") != NULL;
    if (too_long || length > (int64_t)request->body_most) {
        request->refuse = 413;
        return;
    }
    if (length >= 0 && !head->chunked) {
        request->body_most = (size_t)length;
    }
    answer_expectation(request, head);
}

static void
on_body(void *arg, const char *data, size_t len)
{
    struct sv_request *request = arg;
    if (request->refuse != 0) {
        return;
    }
    if (request->body.len + len > request->body_most) {
        request->refuse = 413;
        return;
    }
    struct lg_holder *holder = Sk_Holder(request->sock);
    size_t more = Bf_Growth(&request->body, len, request->body_most);
    if (!Lg_MakeRoom(holder, more) ||
        !Bf_AddUpTo(&request->body, data, len, request->body_most)) {
        request->refuse = 503;
    }
    Lg_Set(holder, LG_BODY, request->body.capacity);
}

static void
on_end(void *arg)
{
    struct sv_request *request = arg;
    request->have_all = true;
}

const struct h1_ops sv_parser_ops = {
    .head = on_head,
    .body = on_body,
    .end = on_end,
};

/*
 * Keeps bytes behind the request that is being served.  Without room for them
 * the connection ends with the answer: they were not read.
 */
static void
keep_ahead(struct sv_request *request, const char *data, size_t len)
{
    size_t more = Bf_Growth(&request->ahead, len, SIZE_MAX);
    if (request->keep && Lg_MakeRoom(Sk_Holder(request->sock), more) &&
        Bf_Add(&request->ahead, data, len)) {
        if (request->ahead.len > Sv_AHEAD_MAX) {
            Sk_Pause(request->sock, true);
        }
    }
    else if (request->phase == READING) {
        sv_bury(request);
    }
    else {
        request->keep = false;
        Bf_Free(&request->ahead);
        request->ahead_used = 0;
    }
    sv_account(request);
}

static const char *
reason_for(int status)
{
    switch (status) {
    case 413:
        return "the body is over the limit";
    case 431:
        return "the header fields are over the limit";
    case 503:
        return Sv_NO_ROOM;
    default:
        return "the request is not valid HTTP/1.1";
    }
}

static bool
has_room_for_head(struct sv_request *request, size_t len)
{
    size_t most = request->server->limits.head_bytes;
    return Lg_MakeRoom(Sk_Holder(request->sock), len < most ? len : most);
}

/* Takes bytes of one request; returns how many. */
static size_t
feed(struct sv_request *request, const char *data, size_t len)
{
    if (request->head_at == 0 && len > 0) {
        request->head_at = request->moved_at;
        Lg_SetPhase(Sk_Holder(request->sock), YD_READING);
    }
    size_t used = 0;
    enum h1_error error = H1_FINE;
    Lg_NoteReceived(Sk_Holder(request->sock), len);
    if (!request->have_head && !has_room_for_head(request, len)) {
        request->refuse = 503;
    }
    else {
        error = H1_Feed(request->parser, data, len, &used);
        sv_account(request);
    }
    if (error != H1_FINE) {
        request->refuse = error == H1_TOO_LARGE ? 431 : 400;
    }
    if (request->refuse != 0) {
        sv_refuse(request, request->refuse, reason_for(request->refuse));
        return len;
    }
    if (request->have_all) {
        sv_set_phase(request, HANDLING);
        request->server->ops->request(request->server->arg, request);
    }
    return used;
}

void
sv_feed_ahead(struct sv_request *request)
{
    if (request->feeding) {
        return;
    }
    request->feeding = true;
    while (!request->dead && request->phase == READING &&
           !request->held_back && request->ahead_used < request->ahead.len) {
        const char *data = request->ahead.data + request->ahead_used;
        size_t len = request->ahead.len - request->ahead_used;
        request->ahead_used += feed(request, data, len);
    }
    request->feeding = false;
    if (!request->dead && request->ahead_used >= request->ahead.len) {
        request->ahead_used = 0;
        Bf_Free(&request->ahead);
        Sk_Pause(request->sock, request->held_back);
        sv_account(request);
    }
}

void
sv_on_data(void *arg, const char *data, size_t len)
{
    struct sv_request *request = arg;
    request->moved_at = Ck_Now(request->server->clock);
    size_t used = 0;
    if (request->phase == READING && request->ahead.len == 0 &&
        !request->held_back) {
        used = feed(request, data, len);
    }
    if (!request->dead && used < len) {
        keep_ahead(request, data + used, len - used);
        sv_feed_ahead(request);
    }
}
