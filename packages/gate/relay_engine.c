/*
 * Relays a completion to a model engine and resumes its stream after a
 * failure.
 *
 * Engines always stream to this daemon, with an index for each token.  When a
 * stream breaks, or the host of its engine is about to be reclaimed, the
 * request is resumed at another engine from the tokens received so far.  The
 * indexes ensure that the caller gets no gap and no repeated token.
 *
 * This file has the start and end of a relay, its timers and the events of its
 * caller.
 */
#include "gate/relay_engine.h"

#include <stdio.h>
#include <stdlib.h>

#include "gate/quarantine.h"

#define Rl_RETRY_SOON_SEC 1
/*
 * A host that froze or lost its network sends no reset, so its stream would
 * stall until the caller's deadline.  No engine pauses so long between
 * two tokens.  Before the first token the request may be queued at the engine;
 * it is then given up only when load polls do not reach the engine either.
 */
#define Rl_STALL_USEC (5 * Ck_USEC_PER_SEC)
#define Rl_STALL_CHECK_USEC (1 * Ck_USEC_PER_SEC)
#define Rl_LABELS_MAX 200

static void
count_tokens(struct rl_engine *relay)
{
    struct gt_gate *gate = relay->request->gate;
    Mt_Add(Mt_Get(gate->metrics, MT_COUNTER, "cg_tokens_total", ""),
           relay->tokens);
    Mt_Add(Mt_Get(gate->metrics, MT_COUNTER, "cg_tokens_recomputed_total", ""),
           relay->recomputed_tokens);
}

/* Ends the request with its complete answer. */
void
Re_Finish(struct rl_engine *relay)
{
    struct rq_request *request = relay->request;
    Re_DropMove(relay);
    Re_EndFlight(relay, CH_GOOD);
    Rq_RecordSuccess(relay->request);
    count_tokens(relay);
    Gq_RecordAnswer(request->gate->quarantine, request);
    Re_AnswerCaller(relay);
    Rq_Finish(request, AN_RAN);
}

/*
 * Ends the request with an error.  A stream that has begun ends with an error
 * event and without the end mark, so that the caller cannot take the answer
 * for complete.
 */
void
Re_GiveUp(struct rl_engine *relay, enum an_kind kind, const char *message)
{
    struct rq_request *request = relay->request;
    Re_DropMove(relay);
    Re_DropCall(relay);
    Re_EndFlight(relay, CH_FAILED);
    count_tokens(relay);
    if (relay->streaming && request->http != NULL) {
        char *body = An_ErrorBody(AN_UNKNOWN, message);
        Re_SendEvent(relay, body);
        free(body);
        Hs_SetUser(request->http, NULL);
        Hs_StreamEnd(request->http);
        request->http = NULL;
        Rq_Finish(request, AN_OUTCOME_UNKNOWN);
        return;
    }
    Rq_Refuse(request, kind, Rl_RETRY_SOON_SEC, "%s", message);
}

static void
retry_due(void *arg)
{
    struct rl_engine *relay = arg;
    Re_Attempt(relay);
}

static bool
is_stalled(const struct rl_engine *relay, int64_t now)
{
    if (relay->flight.endpoint == NULL || relay->paused) {
        return false;
    }
    if (relay->flight.first_token) {
        return now - relay->last_token_at >= Rl_STALL_USEC;
    }
    return Ch_State(relay->flight.endpoint) == CH_SUSPECT &&
           now - relay->flight.started >= Rl_STALL_USEC;
}

static void
stall_check(void *arg)
{
    struct rl_engine *relay = arg;
    struct gt_gate *gate = relay->request->gate;
    Lp_TimerSet(relay->stall_timer, Rl_STALL_CHECK_USEC);
    if (is_stalled(relay, Ck_Now(gate->clock))) {
        Gt_Count(gate, "cg_streams_stalled_total", NULL, NULL);
        enum hc_stage reached =
            relay->call != NULL ? Hc_Stage(relay->call) : HC_SENT;
        Re_DropCall(relay);
        Re_EndFlight(relay, CH_FAILED);
        Re_AttemptFailed(relay, reached);
    }
}

static void
find_metrics(struct rl_engine *relay)
{
    struct rq_request *request = relay->request;
    char labels[Rl_LABELS_MAX];
    snprintf(labels, sizeof(labels), "customer=\"%s\",class=\"%s\"",
             request->customer->name, request->patient ? "patient" : "urgent");
    relay->first_token_metric = Mt_Get(request->gate->metrics, MT_HISTOGRAM,
                                       "cg_first_token_seconds", labels);
    relay->token_metric = Mt_Get(request->gate->metrics, MT_HISTOGRAM,
                                 "cg_between_tokens_seconds", labels);
}

/* Starts relaying a request; the relay ends the request. */
void
Rl_EngineStart(struct rq_request *request)
{
    struct rl_engine *relay = calloc(1, sizeof(*relay));
    if (relay == NULL) {
        Rq_Refuse(request, AN_OVERLOADED, Rl_RETRY_SOON_SEC,
                  "this host is out of memory; come back later");
        return;
    }
    relay->request = request;
    request->engine = relay;
    relay->plan_timer = Lp_TimerCreate(request->gate->loop, Re_PlanDue, relay);
    relay->stall_timer =
        Lp_TimerCreate(request->gate->loop, stall_check, relay);
    relay->retry_timer = Lp_TimerCreate(request->gate->loop, retry_due, relay);
    if (relay->plan_timer == NULL || relay->stall_timer == NULL ||
        relay->retry_timer == NULL) {
        Re_GiveUp(relay, AN_OVERLOADED,
                  "this host is out of memory; come back later");
        return;
    }
    Lp_TimerSet(relay->stall_timer, Rl_STALL_CHECK_USEC);
    find_metrics(relay);
    Re_Attempt(relay);
}

/* Ends a request without a caller; the closed connection stops the engine. */
void
Rl_EngineCallerGone(struct rq_request *request)
{
    Re_DropMove(request->engine);
    Re_DropCall(request->engine);
    Re_EndFlight(request->engine, CH_CANCELLED);
    count_tokens(request->engine);
    Rq_Finish(request, AN_OUTCOME_UNKNOWN);
}

/* Ends a request whose deadline has passed. */
void
Rl_EngineDeadline(struct rq_request *request)
{
    Re_GiveUp(request->engine,
              Re_MayHaveRun(request->engine) ? AN_UNKNOWN : AN_DEADLINE,
              "the answer was not whole when the deadline passed; allow more "
              "time");
}

/* Refuses a request that is in quarantine, unless it has tokens. */
void
Rl_EngineQuarantined(struct rq_request *request, uint32_t part)
{
    struct rl_engine *relay = request->engine;
    if (relay->tokens > 0) {
        return;
    }
    char message[Rl_MESSAGE_MAX];
    snprintf(message, sizeof(message),
             part == request->content ? "engines end under this request (%08x)"
                                      : "part %08x of the prompt ends engines",
             part);
    Re_GiveUp(relay, Re_RefusalKind(relay), message);
}

/* Resumes reading from the engine after the caller has read its backlog. */
void
Rl_EngineDrained(struct rq_request *request)
{
    struct rl_engine *relay = request->engine;
    if (relay != NULL && relay->paused && relay->call != NULL) {
        relay->paused = false;
        Hc_Pause(relay->call, false);
    }
}

/* Cancels the call and frees the relay. */
void
Rl_EngineFree(struct rl_engine *relay)
{
    if (relay == NULL) {
        return;
    }
    Re_DropCall(relay);
    if (relay->move != NULL) {
        Kv_Cancel(relay->move);
    }
    Lp_TimerDestroy(relay->plan_timer);
    Lp_TimerDestroy(relay->stall_timer);
    Lp_TimerDestroy(relay->retry_timer);
    Ss_Destroy(relay->parser);
    free(relay->text);
    free(relay);
}
