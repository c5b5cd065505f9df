/*
 * The end of a request: with an answer, a refusal, at its deadline or when its
 * caller has gone.
 */
#include "gate/request.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#include "gate/intake.h"
#include "gate/request_internal.h"

#define Rq_LABELS_MAX 200

static void
request_free(struct rq_request *request)
{
    TAILQ_REMOVE(&request->gate->requests, request, link);
    In_Remove(request->gate->intake, request);
    if (request->http != NULL) {
        Hs_SetUser(request->http, NULL);
    }
    if (request->claim != NULL) {
        Gc_Cancel(request->claim);
    }
    Rl_EngineFree(request->engine);
    Rl_PlainFree(request->plain);
    En_PromptFree(&request->prompt);
    Lp_TimerDestroy(request->timer);
    Rq_ClearTried(request);
    if (request->config != NULL) {
        Cf_Destroy(request->config);
    }
    free(request);
}

static void
observe(struct rq_request *request, const char *outcome)
{
    struct gt_gate *gate = request->gate;
    char labels[Rq_LABELS_MAX];
    snprintf(labels, sizeof(labels), "customer=\"%s\",class=\"%s\"",
             request->customer != NULL ? request->customer->name : "",
             request->patient ? "patient" : "urgent");
    Mt_Observe(
        Mt_Get(gate->metrics, MT_HISTOGRAM, "cg_request_seconds", labels),
        Ck_Now(gate->clock) - request->arrived_at);
    Gt_Count(gate, "cg_requests_total", "outcome", outcome);
}

/*
 * Ends a request with a refusal and frees it.  A kind with the outcome
 * "not-run" is allowed only if nothing has been sent to an endpoint, or if the
 * endpoint is known not to have run the request.
 */
void
Rq_Refuse(struct rq_request *request, enum an_kind kind, int retry_after_sec,
          const char *fmt, ...)
{
    char message[An_MESSAGE_MAX];
    va_list args;
    va_start(args, fmt);
    vsnprintf(message, sizeof(message), fmt, args);
    va_end(args);
    if (An_Outcome(kind) == AN_NOT_RUN) {
        Rq_ReleaseClaim(request);
    }
    observe(request, An_TypeName(kind));
    if (request->http != NULL) {
        Hs_SetUser(request->http, NULL);
        An_Refuse(request->http, request->id, kind, retry_after_sec, "%s",
                  message);
        request->http = NULL;
    }
    request_free(request);
}

/* Ends a request that was answered, or whose caller has gone. */
void
Rq_Finish(struct rq_request *request, enum an_outcome outcome)
{
    observe(request, An_OutcomeName(outcome));
    request_free(request);
}

/* Whether no request is in progress. */
bool
Rq_IsIdle(const struct gt_gate *gate)
{
    return TAILQ_EMPTY(&gate->requests);
}

/* Timer callback: refuses a request, or lets its relay end it. */
void
Rq_DeadlinePassed(void *arg)
{
    struct rq_request *request = arg;
    switch (request->phase) {
    case RQ_ARRIVED:
    case RQ_QUEUED:
    case RQ_CLAIMING:
        Rq_Refuse(request, AN_DEADLINE, Rq_RETRY_SOON_SEC,
                  "the deadline passed before an endpoint was free; allow "
                  "more time or come back later");
        return;
    case RQ_RUNNING:
        break;
    }
    if (request->engine != NULL) {
        Rl_EngineDeadline(request);
    }
    else {
        Rl_PlainDeadline(request);
    }
}

/* Handles a caller that closed its connection before the answer ended. */
void
Rq_CallerGone(struct gt_gate *gate, struct hs_request *http)
{
    struct rq_request *request = Hs_User(http);
    if (request == NULL) {
        return;
    }
    request->http = NULL;
    switch (request->phase) {
    case RQ_ARRIVED:
    case RQ_QUEUED:
    case RQ_CLAIMING:
        Rq_ReleaseClaim(request);
        Gt_Count(gate, "cg_callers_gone_total", NULL, NULL);
        Rq_Finish(request, AN_NOT_RUN);
        return;
    case RQ_RUNNING:
        Gt_Count(gate, "cg_callers_gone_total", NULL, NULL);
        break;
    }
    if (request->engine != NULL) {
        Rl_EngineCallerGone(request);
    }
    else {
        Rl_PlainCallerGone(request);
    }
}
