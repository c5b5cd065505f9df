#include "admin.h"

#include <bsd/string.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "web/client.h"
#include "web/loop.h"

#define Am_CONNECT_TIMEOUT_USEC (2 * Ck_USEC_PER_SEC)
/* Longer than a daemon waits for the verdict on a published change. */
#define Am_TOTAL_TIMEOUT_USEC (12 * Ck_USEC_PER_SEC)
#define Am_HEADER_MAX 512

/* A call in progress and its response. */
struct call {
    struct lp_loop *loop;
    struct hc_result result;
    json_t *body;
};

/* Opens a session; fails without a key or without valid addresses. */
enum st_status
Am_Open(const struct ct_options *options, struct am_session *out)
{
    memset(out, 0, sizeof(*out));
    if (options->key == NULL || options->key[0] == '\0') {
        return St_Fail(ST_DENIED, "no key: set CORNELGATE_ADMIN_KEY to your "
                                  "team's key");
    }
    out->key = options->key;
    out->tls = options->tls;
    out->clock = Ck_System();
    return Ar_Parse(options->admins, &out->targets);
}

static void
on_done(void *arg, struct hc_call *call, const struct hc_result *result)
{
    struct call *c = arg;
    c->result = *result;
    size_t len;
    const char *body = Hc_Body(call, &len);
    if (body != NULL) {
        c->body = json_loadb(body, len, 0, NULL);
    }
    Lp_Stop(c->loop);
}

static const struct hc_ops call_ops = {NULL, NULL, on_done};

static enum st_status
run_call(const struct am_session *session, const char *method,
         const char *path, const char *text, struct call *call)
{
    const struct ar_target *target = &session->targets.items[session->current];
    char bearer[Am_HEADER_MAX];
    snprintf(bearer, sizeof(bearer), "Bearer %s", session->key);
    struct web_header header = {"authorization", bearer};
    struct hc_request request = {
        .address = target->address,
        .port = target->port,
        .method = method,
        .path = path,
        .type = text != NULL ? "application/json" : NULL,
        .headers = &header,
        .header_count = 1,
        .body = text,
        .body_len = text != NULL ? strlen(text) : 0,
        .connect_usec = Am_CONNECT_TIMEOUT_USEC,
        .total_usec = Am_TOTAL_TIMEOUT_USEC,
        .tls = session->tls,
    };
    enum st_status status = Lp_Create(&call->loop);
    if (status != ST_OK) {
        return status;
    }
    status = Hc_Start(call->loop, &request, &call_ops, call, NULL);
    if (status == ST_OK) {
        Lp_Run(call->loop);
    }
    Lp_Destroy(call->loop);
    return status;
}

static enum st_status
status_from_code(int code)
{
    switch (code) {
    case 401:
    case 403:
        return ST_DENIED;
    case 404:
        return ST_NOT_FOUND;
    case 409:
        return ST_CONFLICT;
    case 503:
        return ST_UNAVAILABLE;
    case 504:
        return ST_UNKNOWN;
    default:
        return code >= 500 ? ST_INTERNAL : ST_INVALID;
    }
}

/* Maps the outcome to a status, with the daemon's error message if any. */
static enum st_status
check_result(const struct am_session *session, const struct call *call)
{
    const struct ar_target *target = &session->targets.items[session->current];
    int code = call->result.code;
    if (call->result.stage == HC_COMPLETE && code >= 200 && code < 300) {
        return ST_OK;
    }
    if (call->result.stage != HC_COMPLETE) {
        bool sent = call->result.stage != HC_CONNECTING;
        return St_Fail(sent ? ST_UNKNOWN : ST_UNAVAILABLE,
                       "the daemon at %s port %d %s: see whether it runs and "
                       "give more addresses with --admin",
                       target->address, target->port,
                       sent ? "broke off its answer" : "cannot be reached");
    }
    json_t *error = json_object_get(call->body, "error");
    const char *message = json_string_value(json_object_get(error, "message"));
    if (message == NULL) {
        message = "the answer has no message: see whether --admin names an "
                  "administration port";
    }
    return St_Fail(status_from_code(code), "%s", message);
}

/*
 * Sends one call to the current daemon.  "out" receives a new reference to
 * the JSON document of the response.  ST_UNAVAILABLE: the call was not
 * executed; ST_UNKNOWN: the daemon may have executed the call.
 */
enum st_status
Am_Call(struct am_session *session, const char *method, const char *path,
        const json_t *body, json_t **out)
{
    struct call call;
    memset(&call, 0, sizeof(call));
    char *text = body != NULL ? json_dumps(body, JSON_COMPACT) : NULL;
    enum st_status status = run_call(session, method, path, text, &call);
    free(text);
    if (status == ST_OK) {
        status = check_result(session, &call);
    }
    if (status == ST_OK && call.body == NULL) {
        status = St_Fail(ST_INTERNAL,
                         "the answer is not JSON: see whether --admin names "
                         "an administration port");
    }
    if (status != ST_OK) {
        json_decref(call.body);
        call.body = NULL;
    }
    *out = call.body;
    return status;
}

/*
 * Reads a document.  Tries the daemons in turn, each at most once, while the
 * call fails without a response, with a server error or without JSON.
 */
enum st_status
Am_Get(struct am_session *session, const char *path, json_t **out)
{
    enum st_status status = ST_UNAVAILABLE;
    for (size_t i = 0; i < session->targets.count; i++) {
        status = Am_Call(session, "GET", path, NULL, out);
        if (status != ST_UNAVAILABLE && status != ST_UNKNOWN &&
            status != ST_INTERNAL) {
            return status;
        }
        session->current = (session->current + 1) % session->targets.count;
    }
    return status;
}

void
Am_Sleep(int64_t usec)
{
    struct timespec pause = {
        usec / Ck_USEC_PER_SEC,
        usec % Ck_USEC_PER_SEC * 1000,
    };
    nanosleep(&pause, NULL);
}
