#include "web/client.h"

#include <bsd/string.h>
#include <libwebsockets.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/buffer.h"
#include "base/clock.h"
#include "web/internal.h"
#include "web/ledger.h"

#define Hc_CONNECT_USEC (2 * Ck_USEC_PER_SEC)
#define Hc_COLLECT_MAX ((size_t)4 << 20)
#define Hc_READ_BYTES 8192
#define Hc_LIFT_USEC (1 * Ck_USEC_PER_SEC)
#define Hc_WRITE_BYTES 16384
#define Hc_NAME_MAX 64
#define Hc_VALUE_MAX 512
#define Hc_ADDRESS_MAX 64

struct hc_call {
    struct lp_loop *loop;
    struct lws *wsi;
    struct lp_timer *timer;
    struct lp_timer *patience; /* see lift_limit() */
    const struct hc_ops *ops;
    void *arg;
    char address[Hc_ADDRESS_MAX];
    char *header_text; /* "name:\0value\0" pairs */
    size_t header_len;
    unsigned char *body;
    size_t body_len;
    size_t body_sent;
    struct bf_buffer collected;
    size_t collect_max;
    char value[Hc_VALUE_MAX];
    enum hc_stage stage;
    int code;
    bool starting;
    bool failed;
    bool timed_out;
    bool has_type;
    bool no_body; /* the answer cannot have one */
    bool ends_by_closing;
    int64_t connect_usec;
    int64_t idle_usec;
    int64_t started;
    int64_t last_byte;
    int64_t total_usec;
    struct lg_holder holder; /* of the answer that is collected */
};

static void
call_free(struct hc_call *call)
{
    Lp_TimerDestroy(call->timer);
    Lp_TimerDestroy(call->patience);
    Lg_Leave(&call->holder);
    free(call->header_text);
    free(call->body);
    Bf_Free(&call->collected);
    free(call);
}

/* Cuts the tie to the connection, which the library closes by itself. */
static void
call_detach(struct hc_call *call)
{
    if (call->wsi == NULL) {
        return;
    }
    lws_set_opaque_user_data(call->wsi, NULL);
    lws_set_timeout(call->wsi, PENDING_TIMEOUT_CLOSE_SEND, LWS_TO_KILL_ASYNC);
    call->wsi = NULL;
}

/* Reports the end and frees the call. */
static void
call_finish(struct hc_call *call)
{
    struct hc_result result = {
        .status = ST_UNAVAILABLE,
        .stage = call->stage,
        .code = call->code,
    };
    if (call->stage == HC_COMPLETE) {
        result.status = ST_OK;
    }
    else if (call->timed_out) {
        result.status = ST_TIMEOUT;
    }
    call->ops->done(call->arg, call, &result);
    call_free(call);
}

/*
 * Ends a call whose connection failed or closed.  Within Hc_Start() the end
 * is left to the timer, so that "done" never comes before the call's handle.
 */
static void
call_lost(struct hc_call *call)
{
    if (call->wsi != NULL) {
        lws_set_opaque_user_data(call->wsi, NULL);
        call->wsi = NULL;
    }
    if (call->starting) {
        call->failed = true;
        return;
    }
    call_finish(call);
}

static int64_t
remaining(const struct hc_call *call, int64_t now)
{
    int64_t left = INT64_MAX;
    if (call->total_usec > 0) {
        left = call->started + call->total_usec - now;
    }
    int64_t phase = INT64_MAX;
    if (call->stage == HC_CONNECTING) {
        phase = call->started + call->connect_usec - now;
    }
    else if (call->idle_usec > 0) {
        phase = call->last_byte + call->idle_usec - now;
    }
    return phase < left ? phase : left;
}

static void
timer_arm(struct hc_call *call)
{
    int64_t left = remaining(call, Ck_Now(Ck_System()));
    if (left == INT64_MAX) {
        Lp_TimerCancel(call->timer);
    }
    else {
        Lp_TimerSet(call->timer, left);
    }
}

static void
timer_fired(void *arg)
{
    struct hc_call *call = arg;
    if (call->failed) {
        call_finish(call);
        return;
    }
    if (remaining(call, Ck_Now(Ck_System())) > 0) {
        timer_arm(call);
        return;
    }
    call->timed_out = true;
    call_detach(call);
    call_finish(call);
}

/*
 * Lifts the library's own limit of 5 s on the wait for an answer.  It would
 * close the connection under a call that takes longer, and what may not run
 * twice would end with an unknown outcome.  The library sets the limit at
 * times of its own, so it is lifted again and again until the answer begins.
 */
static void
lift_limit(void *arg)
{
    struct hc_call *call = arg;
    if (call->wsi != NULL && call->stage == HC_SENT) {
        lws_set_timeout(call->wsi, NO_PENDING_TIMEOUT, 0);
        Lp_TimerSet(call->patience, Hc_LIFT_USEC);
    }
}

static int
append_headers(struct hc_call *call, struct lws *wsi, unsigned char **at,
               unsigned char *end)
{
    /*
     * From here on the library may write at any moment.  Only a call that
     * never came this far can be said not to have run: the library reports a
     * connection that closed after the request just like one never made.
     */
    call->stage = HC_SENT;
    call->last_byte = Ck_Now(Ck_System());
    const char *pair = call->header_text;
    const char *stop = call->header_text + call->header_len;
    while (pair < stop) {
        const char *value = pair + strlen(pair) + 1;
        if (lws_add_http_header_by_name(wsi, (const unsigned char *)pair,
                                        (const unsigned char *)value,
                                        (int)strlen(value), at, end) != 0) {
            return -1;
        }
        pair = value + strlen(value) + 1;
    }
    if (call->body_len > 0) {
        lws_client_http_body_pending(wsi, 1);
        lws_callback_on_writable(wsi);
    }
    timer_arm(call);
    Lp_TimerSet(call->patience, Hc_LIFT_USEC);
    return 0;
}

static int
write_body(struct hc_call *call, struct lws *wsi)
{
    size_t left = call->body_len - call->body_sent;
    if (left == 0) {
        return 0;
    }
    size_t n = left < Hc_WRITE_BYTES ? left : Hc_WRITE_BYTES;
    bool last = n == left;
    /* The body lies behind LWS_PRE spare bytes, as lws_write() asks. */
    int wrote = lws_write(wsi, call->body + LWS_PRE + call->body_sent, n,
                          last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP);
    if (wrote < 0) {
        return -1;
    }
    call->body_sent += n;
    if (last) {
        lws_client_http_body_pending(wsi, 0);
    }
    else {
        lws_callback_on_writable(wsi);
    }
    return 0;
}

/* Keeps bytes of the answer; the NUL that follows them is not counted. */
static int
collect(struct hc_call *call, const void *data, size_t len)
{
    struct bf_buffer *collected = &call->collected;
    size_t most = call->collect_max + 1;
    if (collected->len + len > call->collect_max ||
        !Lg_MakeRoom(&call->holder, Bf_Growth(collected, len + 1, most)) ||
        !Bf_AddUpTo(collected, data, len, most) ||
        !Bf_AddUpTo(collected, "", 1, most)) {
        return -1;
    }
    collected->len--;
    Lg_Set(&call->holder, LG_COMING, collected->capacity);
    return 0;
}

static int
read_some(struct lws *wsi)
{
    char buffer[LWS_PRE + Hc_READ_BYTES];
    char *at = buffer + LWS_PRE;
    int len = Hc_READ_BYTES;
    return lws_http_client_read(wsi, &at, &len) < 0 ? -1 : 0;
}

static int
take_data(struct hc_call *call, struct lws *wsi, const void *data, size_t len)
{
    call->last_byte = Ck_Now(Ck_System());
    if (call->ops->data == NULL) {
        return collect(call, data, len);
    }
    call->ops->data(call->arg, call, data, len);
    /* The handler may have cancelled the call. */
    return lws_get_opaque_user_data(wsi) == NULL ? -1 : 0;
}

static int
take_headers(struct hc_call *call, struct lws *wsi)
{
    call->stage = HC_ANSWERED;
    call->last_byte = Ck_Now(Ck_System());
    call->code = (int)lws_http_client_http_response(wsi);
    call->ends_by_closing =
        !call->no_body && call->code != 204 && call->code != 304 &&
        lws_hdr_total_length(wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH) == 0 &&
        lws_hdr_total_length(wsi, WSI_TOKEN_HTTP_TRANSFER_ENCODING) == 0;
    timer_arm(call);
    if (call->ops->headers != NULL) {
        call->ops->headers(call->arg, call, call->code);
        return lws_get_opaque_user_data(wsi) == NULL ? -1 : 0;
    }
    return 0;
}

/* Entry point of libwebsockets for every client connection. */
int
Hc_Callback(struct lws *wsi, enum lws_callback_reasons reason, void *user,
            void *in, size_t len)
{
    struct hc_call *call = wsi != NULL ? lws_get_opaque_user_data(wsi) : NULL;
    if (call == NULL) {
        switch (reason) {
        case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER:
        case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
        case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
        case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
        case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
        case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
            return -1;
        default:
            return 0;
        }
    }
    switch (reason) {
    case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER: {
        unsigned char **at = in;
        return append_headers(call, wsi, at, *at + len);
    }
    case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
        return write_body(call, wsi);
    case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
        return take_headers(call, wsi);
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
        return read_some(wsi);
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
        return take_data(call, wsi, in, len);
    case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
        call->stage = HC_COMPLETE;
        call_lost(call);
        return -1;
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
    case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
        call_lost(call);
        return 0;
    default:
        return 0;
    }
}

static size_t
pair_size(const struct web_header *header)
{
    return strlen(header->name) + 2 + strlen(header->value) + 1;
}

static char *
put_pair(char *at, const char *name, const char *value)
{
    size_t name_len = strlen(name);
    memcpy(at, name, name_len);
    at[name_len] = ':';
    at[name_len + 1] = '\0';
    at += name_len + 2;
    size_t value_len = strlen(value) + 1;
    memcpy(at, value, value_len);
    return at + value_len;
}

static enum st_status
copy_headers(struct hc_call *call, const struct hc_request *request)
{
    char length[32];
    snprintf(length, sizeof(length), "%zu", request->body_len);
    struct web_header extra[] = {
        {"content-length", length},
        {"content-type", request->type != NULL ? request->type : ""},
    };
    size_t extra_count = request->type != NULL ? 2 : 1;
    if (strcmp(request->method, "GET") == 0) {
        extra_count = 0;
    }
    size_t size = 0;
    for (size_t i = 0; i < request->header_count; i++) {
        size += pair_size(&request->headers[i]);
    }
    for (size_t i = 0; i < extra_count; i++) {
        size += pair_size(&extra[i]);
    }
    call->header_text = malloc(size + 1);
    if (call->header_text == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for request headers");
    }
    char *at = call->header_text;
    for (size_t i = 0; i < request->header_count; i++) {
        at = put_pair(at, request->headers[i].name, request->headers[i].value);
    }
    for (size_t i = 0; i < extra_count; i++) {
        at = put_pair(at, extra[i].name, extra[i].value);
    }
    call->header_len = (size_t)(at - call->header_text);
    return ST_OK;
}

static enum st_status
copy_body(struct hc_call *call, const struct hc_request *request)
{
    call->body_len = request->body_len;
    if (request->body_len == 0) {
        return ST_OK;
    }
    call->body = malloc(LWS_PRE + request->body_len);
    if (call->body == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for a request body");
    }
    memcpy(call->body + LWS_PRE, request->body, request->body_len);
    return ST_OK;
}

static void
connect_call(struct hc_call *call, const struct hc_request *request)
{
    struct lws_client_connect_info info = {0};
    info.context = Lp_Context(call->loop);
    info.vhost = Lp_ClientVhost(call->loop);
    info.address = call->address;
    if (request->through != NULL) {
        /* The library asks its proxy for this name, and does not look it up.
         */
        info.vhost = Lp_ProxyVhost(call->loop, request->through->daemon);
        info.address = request->through->id;
    }
    info.host = call->address;
    info.origin = call->address;
    info.port = request->port;
    info.path = request->path;
    info.method = request->method;
    info.local_protocol_name = "http-client";
    info.alpn = "http/1.1";
    info.opaque_user_data = call;
    info.pwsi = &call->wsi;
    /*
     * No pipelining: see the note on top of client.h.  No redirects: the
     * library would send the request a second time by itself.
     */
    info.ssl_connection = LCCSCF_HTTP_NO_FOLLOW_REDIRECT;
    if (request->tls) {
        info.ssl_connection |= LCCSCF_USE_SSL;
    }
    call->starting = true;
    if (info.vhost == NULL || lws_client_connect_via_info(&info) == NULL) {
        call->wsi = NULL;
        call->failed = true;
    }
    call->starting = false;
    if (call->failed) {
        Lp_TimerSet(call->timer, 0);
    }
    else {
        timer_arm(call);
    }
}

/*
 * Starts a call; everything the request points to is copied.  Fails only
 * without memory; a refused connection is reported by "done".
 */
enum st_status
Hc_Start(struct lp_loop *loop, const struct hc_request *request,
         const struct hc_ops *ops, void *arg, struct hc_call **out)
{
    struct hc_call *call = calloc(1, sizeof(*call));
    if (call == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for a call");
    }
    call->loop = loop;
    call->ops = ops;
    call->arg = arg;
    call->connect_usec =
        request->connect_usec > 0 ? request->connect_usec : Hc_CONNECT_USEC;
    call->idle_usec = request->idle_usec;
    call->total_usec = request->total_usec;
    call->collect_max =
        request->collect_max > 0 ? request->collect_max : Hc_COLLECT_MAX;
    call->no_body = strcmp(request->method, "HEAD") == 0;
    call->started = Ck_Now(Ck_System());
    call->timer = Lp_TimerCreate(loop, timer_fired, call);
    call->patience = Lp_TimerCreate(loop, lift_limit, call);
    strlcpy(call->address, request->address, sizeof(call->address));
    call->holder.fd = -1;
    call->holder.port = "answers";
    Lg_Join(request->ledger, &call->holder);
    Lg_SetPhase(&call->holder, YD_SERVING);
    enum st_status status = copy_headers(call, request);
    if (status == ST_OK) {
        status = copy_body(call, request);
    }
    if (status != ST_OK || call->timer == NULL || call->patience == NULL) {
        call_free(call);
        return status != ST_OK ? status : St_Fail(ST_NO_MEMORY, "no timer");
    }
    if (out != NULL) {
        *out = call;
    }
    connect_call(call, request);
    return ST_OK;
}

/* Gives a call up: its connection is closed and "done" is not called. */
void
Hc_Cancel(struct hc_call *call)
{
    call_detach(call);
    call_free(call);
}

/* Stops or resumes reading the answer, for back-pressure. */
void
Hc_Pause(struct hc_call *call, bool pause)
{
    if (call->wsi != NULL) {
        lws_rx_flow_control(call->wsi, pause ? 0 : 1);
    }
}

/* How far the call got. */
enum hc_stage
Hc_Stage(const struct hc_call *call)
{
    return call->stage;
}

/*
 * A header of the answer by lower-case name, or NULL.  Valid only within the
 * "headers" callback and until the next Hc_Header().
 */
const char *
Hc_Header(const struct hc_call *call, const char *name)
{
    char key[Hc_NAME_MAX];
    int key_len = snprintf(key, sizeof(key), "%s:", name);
    if (call->wsi == NULL || key_len >= (int)sizeof(key)) {
        return NULL;
    }
    struct hc_call *writable = (struct hc_call *)call;
    int len;
    if (strcmp(name, "content-type") == 0) {
        len = lws_hdr_copy(call->wsi, writable->value, sizeof(call->value),
                           WSI_TOKEN_HTTP_CONTENT_TYPE);
    }
    else {
        len = lws_hdr_custom_copy(call->wsi, writable->value,
                                  sizeof(call->value), key, key_len);
    }
    return len >= 0 ? call->value : NULL;
}

/* The collected body, NUL-terminated; NULL when there was none. */
const char *
Hc_Body(const struct hc_call *call, size_t *len)
{
    if (len != NULL) {
        *len = call->collected.len;
    }
    return call->collected.data;
}

bool
Hc_EndsByClosing(const struct hc_call *call)
{
    return call->ends_by_closing;
}

char *
Hc_TakeBody(struct hc_call *call, size_t *len)
{
    struct bf_buffer body = call->collected;
    call->collected = (struct bf_buffer){0};
    *len = body.len;
    char *fitted = body.len > 0 ? realloc(body.data, body.len + 1) : NULL;
    return fitted != NULL ? fitted : body.data;
}
