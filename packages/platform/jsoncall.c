#include "platform/jsoncall.h"

#include <bsd/stdlib.h>
#include <bsd/string.h>
#include <stdlib.h>
#include <string.h>

#define Jc_PORT_MAX 65535

struct jc_call {
    struct hc_call *call;
    jc_done_fn done;
    void *arg;
};

/*
 * Parses "IP:PORT".  Returns ST_INVALID with a message that quotes the text
 * and names the expected form.
 */
enum st_status
Jc_ParseTarget(const char *text, struct jc_target *out)
{
    const char *colon = strrchr(text, ':');
    if (colon == NULL || colon == text ||
        (size_t)(colon - text) >= sizeof(out->address)) {
        return St_Fail(ST_INVALID, "'%s' is not an address; write IP:PORT",
                       text);
    }
    const char *problem = NULL;
    int port = (int)strtonum(colon + 1, 1, Jc_PORT_MAX, &problem);
    if (problem != NULL) {
        return St_Fail(ST_INVALID, "the port of '%s' is %s; write IP:PORT",
                       text, problem);
    }
    memcpy(out->address, text, (size_t)(colon - text));
    out->address[colon - text] = '\0';
    out->port = port;
    return ST_OK;
}

static void
call_done(void *arg, struct hc_call *hc, const struct hc_result *result)
{
    struct jc_call *call = arg;
    json_t *body = NULL;
    size_t len;
    const char *text = Hc_Body(hc, &len);
    if (result->status == ST_OK && text != NULL) {
        body = json_loadb(text, len, 0, NULL);
    }
    struct jc_answer answer = {
        .status = result->status,
        .may_have_run = result->stage != HC_CONNECTING,
        .code = result->code,
        .body = body,
        .text = text,
        .text_len = text == NULL ? 0 : len,
    };
    call->done(call->arg, &answer);
    json_decref(body);
    free(call);
}

static const struct hc_ops call_ops = {.done = call_done};

/*
 * Starts a call.  "done" is called exactly once, after this function has
 * returned, unless the call is cancelled.  A body of NULL sends no body.
 */
enum st_status
Jc_Start(struct lp_loop *loop, const struct jc_target *target,
         const char *method, const char *path, const json_t *body,
         int64_t timeout_usec, jc_done_fn done, void *arg,
         struct jc_call **out)
{
    struct jc_call *call = calloc(1, sizeof(*call));
    char *text = body != NULL ? json_dumps(body, JSON_COMPACT) : NULL;
    enum st_status status = ST_NO_MEMORY;
    if (call == NULL || (body != NULL && text == NULL)) {
        St_Fail(ST_NO_MEMORY, "no memory for a call to the platform");
        goto fail;
    }
    call->done = done;
    call->arg = arg;
    struct hc_request request = {
        .address = target->address,
        .port = target->port,
        .method = method,
        .path = path,
        .type = text != NULL ? "application/json" : NULL,
        .body = text,
        .body_len = text != NULL ? strlen(text) : 0,
        .total_usec = timeout_usec,
        .connect_usec = timeout_usec,
    };
    status = Hc_Start(loop, &request, &call_ops, call, &call->call);
    if (status != ST_OK) {
        goto fail;
    }
    free(text);
    if (out != NULL) {
        *out = call;
    }
    return ST_OK;
fail:
    free(text);
    free(call);
    return status;
}

/* Cancels a call and frees it; "done" is not called. */
void
Jc_Cancel(struct jc_call *call)
{
    Hc_Cancel(call->call);
    free(call);
}
