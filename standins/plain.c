#include "standins/plain.h"

#include <bsd/string.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/hash.h"

struct pn_plain {
    struct ep_endpoint *endpoint;
    char last_id[Ep_NAME_MAX]; /* of the answer before, for crossed ones */
    json_t *last_body;
};

/* A run whose answer is not due yet. */
struct call {
    struct sv_job job;
    struct pn_plain *plain;
    struct hs_request *request;
    struct lp_timer *timer;
    struct ep_run *run;
    struct fl_fault fault;
    json_t *body;
};

/* Creates the service on an open endpoint. */
struct pn_plain *
Pn_Create(struct ep_endpoint *endpoint)
{
    struct pn_plain *plain = calloc(1, sizeof(*plain));
    if (plain == NULL) {
        abort();
    }
    plain->endpoint = endpoint;
    strlcpy(plain->last_id, "other-request", sizeof(plain->last_id));
    plain->last_body = json_pack("{s:i, s:s}", "run", 0, "key", "other");
    return plain;
}

/* Frees the service; call it after the program is destroyed. */
void
Pn_Destroy(struct pn_plain *plain)
{
    json_decref(plain->last_body);
    free(plain);
}

static void
call_free(struct call *call)
{
    Lp_TimerDestroy(call->timer);
    json_decref(call->body);
    free(call);
}

static void
call_gone(struct sv_job *job)
{
    struct call *call = (struct call *)job;
    Ep_End(call->plain->endpoint, call->run, "gone");
    call_free(call);
}

static void
remember(struct pn_plain *plain, const struct call *call)
{
    strlcpy(plain->last_id, call->run->request_id, sizeof(plain->last_id));
    json_decref(plain->last_body);
    plain->last_body = json_incref(call->body);
}

static void
call_answer(void *arg)
{
    struct call *call = arg;
    struct pn_plain *plain = call->plain;
    char crossed_id[Ep_NAME_MAX];
    struct sv_answer answer = {.code = 200};
    bool crossed = call->fault.mode == FL_CROSSED;
    strlcpy(crossed_id, plain->last_id, sizeof(crossed_id));
    answer.request_id = crossed ? crossed_id : call->run->request_id;
    answer.body = json_incref(crossed ? plain->last_body : call->body);
    if (call->fault.mode == FL_ERROR_500) {
        answer.code = 500;
    }
    Ep_End(plain->endpoint, call->run, answer.code == 200 ? "done" : "error");
    if (!crossed) {
        remember(plain, call);
    }
    Hs_SetUser(call->request, NULL);
    Sv_Answer(plain->endpoint->program, call->request, &call->fault, &answer);
    call_free(call);
}

/* Makes the answer as long as the query asks for, if it asks. */
static void
pad(json_t *answer, const struct hs_request *request)
{
    char text[Ep_NAME_MAX];
    if (!Hs_Query(request, "answer_bytes", text, sizeof(text))) {
        return;
    }
    size_t len = strtoul(text, NULL, 10);
    char *padding = malloc(len);
    if (padding != NULL) {
        memset(padding, 'x', len);
        json_object_set_new(answer, "padding", json_stringn(padding, len));
        free(padding);
    }
}

static json_t *
answer_body(const struct pn_plain *plain, const struct hs_request *request,
            const struct ep_run *run)
{
    char digest[Hash_DIGEST_HEX];
    size_t len;
    const char *body = Hs_Body(request, &len);
    Hash_Digest(body, len, digest);
    json_t *answer = json_pack("{s:I, s:s, s:s, s:s}", "run",
                               (json_int_t)plain->endpoint->run_count, "key",
                               run->key, "path", run->path, "echo", digest);
    pad(answer, request);
    return answer;
}

/* Ends the process if the body has the text that ends it. */
static void
meet_poison(const struct ep_endpoint *endpoint,
            const struct hs_request *request)
{
    const char *text = endpoint->options.poison;
    size_t len;
    const char *body = Hs_Body(request, &len);
    if (text != NULL && len > 0 &&
        memmem(body, len, text, strlen(text)) != NULL) {
        _exit(EXIT_FAILURE);
    }
}

/* Runs a request: the effect is at once, the answer after the work's time. */
void
Pn_Serve(struct pn_plain *plain, struct hs_request *request)
{
    struct ep_endpoint *endpoint = plain->endpoint;
    meet_poison(endpoint, request);
    struct fl_fault fault = Ep_Fault(endpoint, "run", request);
    if (Sv_Before(request, &fault)) {
        return;
    }
    struct call *call = calloc(1, sizeof(*call));
    if (call == NULL) {
        abort();
    }
    call->job.gone = call_gone;
    call->plain = plain;
    call->request = request;
    call->fault = fault;
    call->run = Ep_Begin(endpoint, request);
    call->body = answer_body(plain, request, call->run);
    call->timer =
        Lp_TimerCreate(Sv_Loop(endpoint->program), call_answer, call);
    Hs_SetUser(request, call);
    Lp_TimerSet(call->timer,
                (int64_t)((double)endpoint->options.work_usec * fault.factor));
}
