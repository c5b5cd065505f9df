/*
 * Relays a completion to a model engine and resumes its stream after a
 * failure.
 *
 * Engines always stream to this daemon, with an index for each token.  When a
 * stream breaks, or the host of its engine is about to be reclaimed, the
 * request is resumed at another engine from the tokens received so far.  The
 * indexes ensure that the caller gets no gap and no repeated token.
 */
#include "gate/relay_engine.h"

#include <bsd/string.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/event.h"
#include "gate/endpoints.h"
#include "gate/events.h"
#include "gate/quarantine.h"

#define Rl_ATTEMPTS_MAX 6
#define Rl_UNREACHED_MAX 16 /* attempts without a connection */
/* Waits in a row for capacity at the engines that have not failed. */
#define Rl_CAPACITY_WAITS_MAX 16
#define Rl_EVENT_MAX ((size_t)64 << 10)
/* Bytes of events that are no tokens, or of an error's text. */
#define Rl_NO_TOKEN_MAX ((size_t)256 << 10)
#define Rl_TEXT_MAX ((size_t)4 << 20)
#define Rl_PENDING_MAX ((size_t)256 << 10) /* bytes the caller has to read */
#define Rl_RETRY_SOON_SEC 1
/*
 * A host that froze or lost its network sends no reset, so its stream would
 * stall until the caller's deadline.  No engine pauses so long between
 * two tokens.  Before the first token the request may be queued at the engine;
 * it is then given up only when load polls do not reach the engine either.
 */
#define Rl_STALL_USEC (5 * Ck_USEC_PER_SEC)
#define Rl_STALL_CHECK_USEC (1 * Ck_USEC_PER_SEC)
#define Rl_URGENT_PRIORITY 10
#define Rl_PATIENT_PRIORITY 1
#define Rl_LABELS_MAX 200
/* With fewer tokens, their pace says little. */
#define Rl_PACE_TOKENS_MIN 4
#define Rl_MESSAGE_MAX 160

static void attempt(struct rl_engine *relay);
static enum st_status send_call(struct rl_engine *relay);

/* The pace of this attempt's tokens. */
static struct pa_pace
pace_of(const struct rl_engine *relay)
{
    int tokens = relay->tokens - relay->tokens_at_start;
    struct pa_pace pace = {0, 0};
    if (tokens >= Rl_PACE_TOKENS_MIN && relay->flight.first_token) {
        pace.usec =
            (relay->last_token_at - relay->first_token_at) / (tokens - 1);
        pace.load = Ch_Load(relay->flight.endpoint,
                            Ck_Now(relay->request->gate->clock));
    }
    return pace;
}

/* Ends the attempt's flight and records its outcome. */
void
Re_EndFlight(struct rl_engine *relay, enum ch_outcome outcome)
{
    if (relay->flight.endpoint != NULL) {
        struct pa_pace pace = pace_of(relay);
        Rq_RecordOutcome(relay->request, &relay->flight, outcome,
                         relay->first_token_usec, &pace);
        Ch_End(relay->table, &relay->flight, outcome,
               Ck_Now(relay->request->gate->clock));
        relay->flight.endpoint = NULL;
    }
}

/* Closes the connection to the engine, which then stops computing. */
void
Re_DropCall(struct rl_engine *relay)
{
    if (relay->call != NULL) {
        Hc_Cancel(relay->call);
        relay->call = NULL;
    }
}

static bool
append_text(struct rl_engine *relay, const char *text)
{
    size_t len = strlen(text);
    if (relay->text_len + len > Rl_TEXT_MAX) {
        return false;
    }
    if (relay->text_len + len > relay->text_size) {
        size_t size = (relay->text_len + len) * 2;
        char *grown = realloc(relay->text, size);
        if (grown == NULL) {
            return false;
        }
        relay->text = grown;
        relay->text_size = size;
    }
    memcpy(relay->text + relay->text_len, text, len);
    relay->text_len += len;
    return true;
}

static void
begin_stream(struct rl_engine *relay)
{
    struct rq_request *request = relay->request;
    struct web_header headers[] = {
        {"cornelgate-request-id", request->id},
        {"cornelgate-outcome", An_OutcomeName(AN_RAN)},
        {"cache-control", "no-cache"},
    };
    Hs_StreamBegin(request->http, 200, "text/event-stream", headers, 3);
    relay->streaming = true;
}

static void
send_event(struct rl_engine *relay, const char *data)
{
    struct rq_request *request = relay->request;
    Hs_StreamWrite(request->http, "data: ", strlen("data: "));
    Hs_StreamWrite(request->http, data, strlen(data));
    Hs_StreamWrite(request->http, "\n\n", 2);
    if (Hs_Pending(request->http) > Rl_PENDING_MAX && relay->call != NULL &&
        !relay->paused) {
        /* Backpressure: a slow caller must not fill this host's memory. */
        Hc_Pause(relay->call, true);
        relay->paused = true;
    }
}

static void
observe_token(struct rl_engine *relay)
{
    struct rq_request *request = relay->request;
    int64_t now = Ck_Now(request->gate->clock);
    if (relay->tokens == 0) {
        Mt_Observe(relay->first_token_metric, now - request->arrived_at);
    }
    else {
        Mt_Observe(relay->token_metric, now - relay->last_token_at);
    }
    relay->last_token_at = now;
    if (relay->flight.endpoint != NULL && !relay->flight.first_token) {
        relay->first_token_at = now;
        relay->first_token_usec = now - relay->flight.started;
        Ch_FirstToken(relay->table, &relay->flight, now);
        Gq_RecordFirstToken(request->gate->quarantine, request);
    }
}

static void
take_token(struct rl_engine *relay, struct en_event *event)
{
    struct rq_request *request = relay->request;
    if (event->index < relay->tokens) {
        Gt_Count(request->gate, "cg_repeated_tokens_total", NULL, NULL);
        return;
    }
    if (event->index > relay->tokens || !append_text(relay, event->text)) {
        relay->invalid = true;
        return;
    }
    observe_token(relay);
    relay->bytes_without_token = 0;
    relay->tokens++;
    if (request->http == NULL || !request->prompt.stream) {
        return;
    }
    if (!relay->streaming) {
        begin_stream(relay);
    }
    char *line = En_CallerEvent(event, request->id, request->prompt.model);
    if (line != NULL) {
        send_event(relay, line);
    }
    free(line);
}

static void
take_usage(struct rl_engine *relay, const struct en_event *event)
{
    relay->expected_tokens =
        relay->tokens_at_start + event->usage.completion_tokens;
    relay->recomputed_tokens += event->usage.recomputed_tokens;
    relay->usage = event->usage;
    relay->usage.completion_tokens = relay->expected_tokens;
    relay->usage.recomputed_tokens = relay->recomputed_tokens;
}

/*
 * An end mark does not prove that the answer is complete, because events with
 * another request's id have been dropped.  The engine's token count must match
 * as well.
 */
static void
take_end(struct rl_engine *relay)
{
    if (relay->expected_tokens == relay->tokens) {
        relay->done = true;
    }
    else {
        relay->invalid = true;
    }
}

static void
take_event(void *arg, const char *data, size_t len)
{
    struct rl_engine *relay = arg;
    struct rq_request *request = relay->request;
    struct en_event event;
    if (relay->done || relay->invalid) {
        return;
    }
    if (En_ReadEvent(data, len, &event) != ST_OK) {
        relay->invalid = true;
        return;
    }
    if (event.kind == EN_DONE) {
        take_end(relay);
        return;
    }
    if (strcmp(event.id, relay->attempt) != 0) {
        /* An event of another request, or a late one of an earlier attempt. */
        Ev_Log(&GT_CROSSED, "request=%s service=%s", request->id,
               request->service->name);
        Gt_Count(request->gate, "cg_crossed_answers_total", NULL, NULL);
    }
    else if (event.kind == EN_TOKEN) {
        take_token(relay, &event);
    }
    else if (event.kind == EN_USAGE) {
        take_usage(relay, &event);
    }
    else {
        relay->invalid = true;
    }
    En_EventFree(&event);
}

static void
take_headers(void *arg, struct hc_call *call, int code)
{
    struct rl_engine *relay = arg;
    struct gt_gate *gate = relay->request->gate;
    Rh_Connected(gate->reach, &relay->tries);
    relay->code = code;
    if (relay->flight.endpoint != NULL) {
        Gq_RecordAlive(gate->quarantine, Ch_Info(relay->flight.endpoint)->id);
    }
}

static void
count_tokens(struct rl_engine *relay)
{
    struct gt_gate *gate = relay->request->gate;
    Mt_Add(Mt_Get(gate->metrics, MT_COUNTER, "cg_tokens_total", ""),
           relay->tokens);
    Mt_Add(Mt_Get(gate->metrics, MT_COUNTER, "cg_tokens_recomputed_total", ""),
           relay->recomputed_tokens);
}

static void
answer_caller(struct rl_engine *relay)
{
    struct rq_request *request = relay->request;
    if (request->http == NULL) {
        return;
    }
    Hs_SetUser(request->http, NULL);
    if (request->prompt.stream) {
        if (!relay->streaming) {
            begin_stream(relay);
        }
        send_event(relay, "[DONE]");
        Hs_StreamEnd(request->http);
        request->http = NULL;
        return;
    }
    struct web_header headers[] = {
        {"cornelgate-request-id", request->id},
        {"cornelgate-outcome", An_OutcomeName(AN_RAN)},
    };
    char *body = En_CallerAnswer(&request->prompt, request->id, relay->text,
                                 relay->text_len, &relay->usage);
    Hs_Reply(request->http, 200, "application/json", headers, 2, body,
             body != NULL ? strlen(body) : 0);
    free(body);
    request->http = NULL;
}

static void
finish(struct rl_engine *relay)
{
    struct rq_request *request = relay->request;
    Re_DropMove(relay);
    Re_EndFlight(relay, CH_GOOD);
    Rq_RecordSuccess(relay->request);
    count_tokens(relay);
    Gq_RecordAnswer(request->gate->quarantine, request);
    answer_caller(relay);
    Rq_Finish(request, AN_RAN);
}

/*
 * Ends the request with an error.  A stream that has begun ends with an error
 * event and without the end mark, so that the caller cannot take the answer
 * for complete.
 */
static void
give_up(struct rl_engine *relay, enum an_kind kind, const char *message)
{
    struct rq_request *request = relay->request;
    Re_DropMove(relay);
    Re_DropCall(relay);
    Re_EndFlight(relay, CH_FAILED);
    count_tokens(relay);
    if (relay->streaming && request->http != NULL) {
        char *body = An_ErrorBody(AN_UNKNOWN, message);
        send_event(relay, body);
        free(body);
        Hs_SetUser(request->http, NULL);
        Hs_StreamEnd(request->http);
        request->http = NULL;
        Rq_Finish(request, AN_OUTCOME_UNKNOWN);
        return;
    }
    Rq_Refuse(request, kind, Rl_RETRY_SOON_SEC, "%s", message);
}

/* Whether an engine may have run any part of the request. */
static bool
may_have_run(const struct rl_engine *relay)
{
    int maybe_sent = Rq_SentCount(&relay->attempts);
    if (relay->call != NULL && Hc_Stage(relay->call) == HC_CONNECTING) {
        maybe_sent--;
    }
    return maybe_sent > 0;
}

/* The refusal for a failed request: "not run" only where that is certain. */
static enum an_kind
refusal_kind(const struct rl_engine *relay)
{
    return may_have_run(relay) ? AN_UNKNOWN : AN_UNAVAILABLE;
}

/* Whether the limit of attempts without a connection is reached. */
static bool
is_unreachable(const struct rl_engine *relay)
{
    int tries = may_have_run(relay) ? relay->connect_failures
                                    : relay->attempts.not_sent;
    return tries >= Rl_UNREACHED_MAX;
}

/*
 * Whether to wait before the next attempt.  A request that may have run can no
 * longer be refused as "not run".  Its caller is served better by an attempt a
 * little later, at an engine that this daemon has yet to learn of.
 */
static bool
should_wait(const struct rl_engine *relay)
{
    return relay->connect_failures > 0 && may_have_run(relay) &&
           !is_unreachable(relay);
}

static void
wait_for_engine(struct rl_engine *relay)
{
    Gt_Count(relay->request->gate, "cg_streams_waiting_total", NULL, NULL);
    Lp_TimerSet(relay->retry_timer,
                Rt_Backoff(relay->connect_failures + relay->capacity_waits));
}

static void
retry_due(void *arg)
{
    struct rl_engine *relay = arg;
    attempt(relay);
}

/* Resumes the request at another engine, or gives it up. */
void
Re_NextAttempt(struct rl_engine *relay)
{
    struct gt_gate *gate = relay->request->gate;
    Re_DropMove(relay);
    if (Gq_DeniesRetry(gate->quarantine, relay->request)) {
        give_up(relay, refusal_kind(relay),
                "engines ended under this request; it is sent to no other");
        return;
    }
    if (relay->attempts.failed >= Rl_ATTEMPTS_MAX || is_unreachable(relay)) {
        give_up(relay, refusal_kind(relay),
                "several engines failed this request; it may be repeated");
        return;
    }
    if (should_wait(relay)) {
        wait_for_engine(relay);
        return;
    }
    if (relay->tokens > 0) {
        Ev_Log(&GT_STREAM_MOVED, "request=%s tokens=%d", relay->request->id,
               relay->tokens);
        Gt_Count(gate, "cg_streams_moved_total", "how", "resume");
    }
    attempt(relay);
}

/*
 * Handles a failed attempt.  A request with tokens is always resumed; one
 * without tokens is retried, which takes from the service's retry budget.
 */
static void
attempt_failed(struct rl_engine *relay, enum hc_stage reached)
{
    enum rt_stage stage = reached == HC_CONNECTING ? RT_NOT_SENT : RT_SENT;
    Rq_RecordFailure(&relay->attempts, &relay->flight, stage);
    relay->connect_failures =
        stage == RT_NOT_SENT ? relay->connect_failures + 1 : 0;
    if (relay->tokens == 0 &&
        !Rq_MayRetry(relay->request, stage, &relay->attempts)) {
        give_up(relay, refusal_kind(relay),
                "the engines of this service fail; the request may be "
                "repeated later");
        return;
    }
    Re_NextAttempt(relay);
}

static enum ch_outcome
flight_outcome(enum hc_stage reached, int code)
{
    if (reached == HC_CONNECTING) {
        return CH_UNREACHED;
    }
    return code == 429 || code == 503 ? CH_OVERLOADED : CH_FAILED;
}

/* Reports a connection that broke to the quarantine. */
static void
report_break(struct rl_engine *relay, const struct hc_result *result)
{
    struct rq_request *request = relay->request;
    if (result->stage == HC_CONNECTING || relay->flight.endpoint == NULL) {
        return;
    }
    struct gq_break connection_break = {
        .endpoint = Ch_Info(relay->flight.endpoint)->id,
        .head_received = relay->code == 200,
        .begun = relay->flight.first_token,
        .relayed = relay->tries.peer_outcome == LI_CONNECTED,
        .sent_at = relay->flight.started,
    };
    Gq_RecordBreak(request->gate->quarantine, request, &connection_break);
}

static void
call_done(void *arg, struct hc_call *call, const struct hc_result *result)
{
    struct rl_engine *relay = arg;
    relay->call = NULL;
    if (Rh_Next(relay->request->gate->reach, &relay->tries, result) &&
        send_call(relay) == ST_OK) {
        return;
    }
    if (relay->done) {
        finish(relay);
        return;
    }
    /*
     * A 4xx status refuses the request as invalid only on the first attempt.
     * A later engine that rejects a resumption must not cause "not run" after
     * another engine has run the request, nor a refusal inside a stream.
     */
    if (result->code >= 400 && result->code < 500 && result->code != 429 &&
        Rq_SentCount(&relay->attempts) == 1) {
        Re_EndFlight(relay, CH_GOOD);
        Rq_Refuse(relay->request, AN_INVALID, 0,
                  "the engine refused the request with %d; check its fields",
                  result->code);
        return;
    }
    if (result->code == 0 || result->code == 200) {
        report_break(relay, result);
    }
    if (result->stage == HC_CONNECTING && relay->flight.endpoint != NULL) {
        Gq_RecordDead(relay->request->gate->quarantine,
                      Ch_Info(relay->flight.endpoint)->id);
    }
    Re_EndFlight(relay, flight_outcome(result->stage, result->code));
    attempt_failed(relay, result->stage);
}

static void
take_data(void *arg, struct hc_call *call, const void *data, size_t len)
{
    struct rl_engine *relay = arg;
    relay->bytes_without_token += len;
    if (relay->code == 200 &&
        Ss_Feed(relay->parser, data, len, take_event, relay) != ST_OK) {
        relay->invalid = true;
    }
    relay->invalid |= relay->bytes_without_token > Rl_NO_TOKEN_MAX;
    if (relay->done) {
        Re_DropCall(relay);
        finish(relay);
    }
    else if (relay->invalid) {
        Re_DropCall(relay);
        Re_EndFlight(relay, CH_FAILED);
        attempt_failed(relay, HC_ANSWERED);
    }
}

static const struct hc_ops call_ops = {
    .headers = take_headers,
    .data = take_data,
    .done = call_done,
};

static enum st_status
send_call(struct rl_engine *relay)
{
    struct rq_request *request = relay->request;
    const struct ch_info *info = Ch_Info(relay->flight.endpoint);
    struct en_resume resume = {
        .text = relay->text,
        .text_len = relay->text_len,
        .tokens = relay->tokens,
        .kv = relay->kv_handle[0] != '\0' ? relay->kv_handle : NULL,
    };
    char *body = En_BuildRequest(
        &request->prompt,
        request->patient ? Rl_PATIENT_PRIORITY : Rl_URGENT_PRIORITY, &resume);
    if (body == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for a request body");
    }
    struct web_header header = {"x-request-id", relay->attempt};
    struct hc_request call = {
        .address = info->address,
        .port = info->port,
        .method = "POST",
        .path =
            request->prompt.chat ? "/v1/chat/completions" : "/v1/completions",
        .type = "application/json",
        .headers = &header,
        .header_count = 1,
        .body = body,
        .body_len = strlen(body),
    };
    Rh_FillCall(&relay->tries, &call);
    enum st_status status =
        Hc_Start(request->gate->loop, &call, &call_ops, relay, &relay->call);
    free(body);
    return status;
}

/* Fills in what the choice of an engine depends on. */
void
Re_FillCriteria(const struct rl_engine *relay, struct ch_request *criteria)
{
    const struct rq_request *request = relay->request;
    size_t prompt_bytes = request->prompt.text_len + relay->text_len;
    memset(criteria, 0, sizeof(*criteria));
    criteria->prefix = request->prompt.prefix_hash;
    criteria->prompt_tokens = (int)(prompt_bytes / Rl_BYTES_PER_TOKEN);
    criteria->expected_tokens = request->prompt.max_tokens > 0
                                    ? request->prompt.max_tokens
                                    : Rl_EXPECTED_TOKENS;
    criteria->budget = request->deadline - Ck_Now(request->gate->clock);
    criteria->is_retry = relay->attempts.total > 0;
    criteria->failed = Rq_HasFailed(&relay->attempts);
    Rq_Constrain(request, criteria);
}

/* Sends the request to the engine of the current flight. */
void
Re_Launch(struct rl_engine *relay, const char *kv)
{
    Ss_Destroy(relay->parser);
    relay->parser = Ss_Create(Rl_EVENT_MAX);
    relay->attempts.total++;
    relay->invalid = false;
    relay->bytes_without_token = 0;
    relay->paused = false;
    relay->code = 0;
    relay->tokens_at_start = relay->tokens;
    relay->expected_tokens = -1;
    snprintf(relay->attempt, sizeof(relay->attempt), "%s.%d",
             relay->request->id, relay->attempts.total);
    strlcpy(relay->kv_handle, kv != NULL ? kv : "", sizeof(relay->kv_handle));
    Rh_Begin(relay->request->gate->reach, &relay->tries,
             Ch_Info(relay->flight.endpoint));
    if (relay->parser == NULL || send_call(relay) != ST_OK) {
        relay->attempts.not_sent++;
        give_up(relay, may_have_run(relay) ? AN_UNKNOWN : AN_OVERLOADED,
                "this host is out of memory; come back later");
    }
}

/*
 * Chooses the engine of the next attempt.  Returns ST_OVERLOAD, for the caller
 * to wait, while the engines that have not failed this request are busy.
 * After Rl_CAPACITY_WAITS_MAX waits the engines that failed it are allowed
 * again.
 */
static enum st_status
choose(struct rl_engine *relay, struct ch_request *criteria)
{
    struct rq_request *request = relay->request;
    enum st_status status =
        Rq_Choose(request, relay->table, criteria, &relay->flight);
    if (status == ST_OVERLOAD &&
        relay->capacity_waits >= Rl_CAPACITY_WAITS_MAX) {
        status = Rq_ChooseAny(request, relay->table, criteria, &relay->flight);
    }
    return status;
}

static void
attempt(struct rl_engine *relay)
{
    struct rq_request *request = relay->request;
    struct ch_request criteria;
    Re_FillCriteria(relay, &criteria);
    relay->table = Ep_Table(request->gate->endpoints, request->service->name);
    enum st_status status = choose(relay, &criteria);
    if (status == ST_OVERLOAD && may_have_run(relay)) {
        relay->capacity_waits++;
        wait_for_engine(relay);
        return;
    }
    if (status != ST_OK) {
        relay->connect_failures++;
        if (should_wait(relay)) {
            wait_for_engine(relay);
            return;
        }
        char message[Rl_MESSAGE_MAX];
        snprintf(message, sizeof(message),
                 "no engine of this service %s; come back later",
                 Rq_WhyUnavailable(request, relay->table));
        give_up(relay, refusal_kind(relay), message);
        return;
    }
    relay->capacity_waits = 0;
    Re_Launch(relay, NULL);
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
        attempt_failed(relay, reached);
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
        give_up(relay, AN_OVERLOADED,
                "this host is out of memory; come back later");
        return;
    }
    Lp_TimerSet(relay->stall_timer, Rl_STALL_CHECK_USEC);
    find_metrics(relay);
    attempt(relay);
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
    give_up(request->engine,
            may_have_run(request->engine) ? AN_UNKNOWN : AN_DEADLINE,
            "the answer was not whole when the deadline passed; allow more "
            "time");
}

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
    give_up(relay, refusal_kind(relay), message);
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
