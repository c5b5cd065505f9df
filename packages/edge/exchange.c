#include "edge/exchange.h"

#include <bsd/string.h>
#include <stdlib.h>
#include <string.h>

#include "edge/ending.h"
#include "edge/exchange_internal.h"
#include "edge/quarantine.h"
#include "edge/rate_limit.h"
#include "edge/transfer.h"
#include "edge/versions.h"
#include "policy/retry.h"

#define Xc_NONE_RETRY_USEC (800 * Ck_USEC_PER_MSEC)
/*
 * Attempts at endpoints that got the request and refused it, in addition to
 * the route's attempts.  Attempts at unreachable endpoints fail within 1 or
 * 2 ms and are limited by Xc_TRIED_MAX only.
 */
#define Xc_REFUSALS_MAX 2
/* Waits of a stream that has no endpoint: two seconds in total, as long as
   callers tolerate a silent stream. */
#define Xc_WAITS_MAX 12
/* Skips the start of the sequence of Rt_Backoff(): a stream has been retried
   without a delay before it waits. */
#define Xc_WAIT_GAP_OFFSET 2

const char *
Xc_EndName(const struct xc_attempt *attempt)
{
    return attempt->channel == NULL ? ""
                                    : Cn_EndName(Cn_End(attempt->channel));
}

bool
Xc_IsRelayed(const struct xc_attempt *attempt)
{
    return attempt->channel != NULL && Cn_Peer(attempt->channel) != 0;
}

static void
log_end(const struct xc_exchange *exchange, const char *outcome)
{
    const struct xc_attempt *attempt = &exchange->attempt;
    bool is_served = strcmp(outcome, "served") == 0;
    Ln_Log(
        is_served ? LN_ORDINARY : LN_FAILURE, "request.end",
        "\"id\":\"%s\",\"outcome\":\"%s\",\"route\":\"%s\","
        "\"config\":%lld,\"status\":%d,\"endpoint\":\"%s\","
        "\"version\":\"%s\",\"sends\":%d,"
        "\"ran\":%d,\"last_event\":%lld,\"end\":\"%s\",\"relayed\":%d,"
        "\"first_ms\":%lld,\"aim_ms\":%lld,\"ms\":%lld,\"left_ms\":%lld",
        exchange->info.id, outcome, exchange->route->name,
        (long long)exchange->config->version, attempt->status,
        attempt->endpoint == NULL ? "" : attempt->endpoint->entry.id,
        attempt->endpoint == NULL ? "" : attempt->endpoint->entry.version,
        exchange->sends, exchange->runs, (long long)exchange->last_event,
        Xc_EndName(attempt), Xc_IsRelayed(attempt),
        exchange->first_byte_at == 0
            ? -1LL
            : (long long)((exchange->first_byte_at - exchange->arrived_at) /
                          Ck_USEC_PER_MSEC),
        (long long)(exchange->route->latency_target_usec / Ck_USEC_PER_MSEC),
        (long long)((Ga_Now(exchange->gate) - exchange->arrived_at) /
                    Ck_USEC_PER_MSEC),
        (long long)((exchange->deadline - Ga_Now(exchange->gate)) /
                    Ck_USEC_PER_MSEC));
}

/*
 * Time that the attempt occupied a slot of the endpoint.  At an engine a slot
 * is occupied from the answer's head on: queued requests are counted by their
 * tokens, and a longer queue is not a higher demand.
 */
static int64_t
slot_usec(const struct xc_exchange *exchange)
{
    const struct xc_attempt *attempt = &exchange->attempt;
    int64_t now = Ga_Now(exchange->gate);
    if (!exchange->service->engine) {
        return now - attempt->sent_at;
    }
    return attempt->head_at == 0 ? 0 : now - attempt->head_at;
}

void
Xc_ReleaseAttempt(struct xc_exchange *exchange)
{
    struct xc_attempt *attempt = &exchange->attempt;
    if (attempt->endpoint == NULL) {
        return;
    }
    Tr_NoteRelease(exchange);
    Eg_Cancel(attempt->ending);
    /*
     * A plain endpoint that got the request and has not answered is assumed to
     * have run it; at an engine it may still be queued.
     */
    if (!exchange->service->engine && attempt->head_at == 0 &&
        attempt->channel != NULL && Cn_Sent(attempt->channel)) {
        Xc_CountRun(exchange);
    }
    Xc_JudgeUnanswered(exchange);
    Xc_EndOutput(exchange);
    attempt->endpoint->running--;
    De_RecordEnd(exchange->gate->demand, exchange->service->name,
                 slot_usec(exchange));
    attempt->endpoint->prefill_tokens -= attempt->prefill_tokens;
    if (attempt->channel != NULL) {
        Po_Return(exchange->gate, attempt->endpoint, attempt->channel);
    }
    Fl_Unref(attempt->endpoint);
    free(attempt->fields);
    if (exchange->request != NULL) {
        Lg_Set(Sv_Holder(exchange->request), LG_COPY, 0);
        Lg_Set(Sv_Holder(exchange->request), LG_COMING, 0);
    }
    Bf_Free(&attempt->body);
    Es_Clear(&attempt->parser);
    memset(attempt, 0, sizeof(*attempt));
}

void
Xc_End(struct xc_exchange *exchange, const char *outcome)
{
    log_end(exchange, outcome);
    bool served = strcmp(outcome, "served") == 0;
    Mt_Add(served ? exchange->gate->count.served
                  : exchange->gate->count.failed,
           1);
    if (served && exchange->attempt.endpoint != NULL) {
        Vs_CountAnswer(exchange->gate->registry,
                       &exchange->attempt.endpoint->entry);
    }
    Mt_Observe(exchange->gate->count.whole_answer,
               Ga_Now(exchange->gate) - exchange->arrived_at);
    if (exchange->charged && !exchange->may_have_run) {
        Qt_Refund(exchange->gate->quota, exchange->tenant->name,
                  exchange->cost, exchange->arrived_at);
    }
    Xc_ReleaseAttempt(exchange);
    TAILQ_REMOVE(&exchange->gate->exchanges, exchange, link);
    Lp_TimerDestroy(exchange->timer);
    Ec_Unref(exchange->config);
    free(exchange);
}

void
Xc_Refuse(struct xc_exchange *exchange, int status, int64_t retry_usec,
          const char *why)
{
    struct sv_request *request = exchange->request;
    if (exchange->head_sent) {
        Sv_SetUser(request, NULL);
        Xc_End(exchange, why);
        Sv_Abort(request);
        return;
    }
    char id[Hd_ID_MAX];
    strlcpy(id, exchange->info.id, sizeof(id));
    struct ga_gate *gate = exchange->gate;
    struct rf_refusal refusal = {status, retry_usec, why, id};
    Sv_SetUser(request, NULL);
    Xc_End(exchange, why);
    Rf_Reply(gate, request, &refusal);
}

bool
Xc_MayRetry(struct xc_exchange *exchange, bool ran)
{
    /* The run began before it was moved, whether the target took it or not. */
    ran |= exchange->attempt.moved;
    if (ran && (!exchange->retryable ||
                exchange->runs >= exchange->route->attempts)) {
        return false;
    }
    int max_delivered = exchange->route->attempts + Xc_REFUSALS_MAX;
    if (exchange->delivered >= max_delivered ||
        exchange->tried_count >= Xc_TRIED_MAX ||
        Ga_Now(exchange->gate) >= exchange->deadline) {
        return false;
    }
    return exchange->delivered == 0 ||
           Bu_CanRetry(exchange->gate->budget, exchange->service->name);
}

/* Callers take 503 as a promise that the request has not run. */
int
Xc_RefusalStatus(const struct xc_exchange *exchange)
{
    return exchange->may_have_run ? 502 : 503;
}

/*
 * Schedules another attempt for a stream that has begun, which can no longer
 * be refused, while every endpoint is at its limit or reserved for other
 * hosts.  Returns false when the stream may not wait longer.
 */
static bool
wait_for_endpoint(struct xc_exchange *exchange)
{
    int64_t gap = Rt_Backoff(exchange->endpoint_waits + Xc_WAIT_GAP_OFFSET);
    if (!exchange->head_sent || exchange->endpoint_waits >= Xc_WAITS_MAX ||
        Ga_Now(exchange->gate) + gap >= exchange->deadline) {
        return false;
    }
    exchange->endpoint_waits++;
    Mt_Add(exchange->gate->count.stream_waits, 1);
    Lp_TimerSet(exchange->timer, gap);
    return true;
}

struct ad_refusal
Xc_Unplaced(const struct xc_exchange *exchange, enum pl_verdict verdict)
{
    bool busy = verdict == PL_BUSY;
    int64_t retry_usec =
        busy ? Rl_RetryUsec(exchange->gate, exchange->service->name,
                            Xc_BUSY_RETRY_USEC)
             : Xc_NONE_RETRY_USEC;
    return (struct ad_refusal){Xc_RefusalStatus(exchange), retry_usec,
                               busy ? "all endpoints are busy"
                                    : "no endpoint"};
}

void
Xc_Dispatch(struct xc_exchange *exchange)
{
    struct xc_target target = {.kv_from = NULL};
    if (exchange->sends > 0 &&
        Qn_ForbidsRetry(exchange->gate->quarantine, exchange)) {
        Xc_Refuse(exchange, Xc_RefusalStatus(exchange), Pz_HOLD_TTL_USEC,
                  "endpoints ended under it");
        return;
    }
    enum pl_verdict verdict = Xc_Choose(exchange, &target);
    if (verdict == PL_BUSY && wait_for_endpoint(exchange)) {
        return;
    }
    if (verdict != PL_CHOSEN) {
        struct ad_refusal refusal = Xc_Unplaced(exchange, verdict);
        Xc_Refuse(exchange, refusal.status, refusal.retry_usec, refusal.why);
        return;
    }
    if (exchange->sends == 0) {
        Bu_CountFirst(exchange->gate->budget, exchange->service->name);
    }
    else if (exchange->delivered > 0) {
        if (!Bu_TakeRetry(exchange->gate->budget, exchange->service->name)) {
            Xc_Refuse(exchange, Xc_RefusalStatus(exchange), Xc_BUSY_RETRY_USEC,
                      "no repeat to spare");
            return;
        }
        Mt_Add(exchange->gate->count.retries, 1);
    }
    if (!xc_send_to(exchange, &target)) {
        Xc_Refuse(exchange, Xc_RefusalStatus(exchange), Xc_BUSY_RETRY_USEC,
                  "no connection to spare");
        return;
    }
    xc_set_timer(exchange);
}

void
Xc_GoOn(struct xc_exchange *exchange, const struct xc_target *target)
{
    if (xc_send_to(exchange, target)) {
        xc_set_timer(exchange);
    }
    else {
        exchange->delivered++;
        if (Xc_MayRetry(exchange, true)) {
            Xc_Dispatch(exchange);
        }
        else {
            Xc_Refuse(exchange, 502, 0, "no connection to spare");
        }
    }
}

static bool
is_retryable(const struct ec_route *route)
{
    return route->kind == EC_SAFE ||
           (route->kind == EC_STREAM && route->resumable);
}

void
Xc_Init(struct xc_exchange *exchange, struct ga_gate *gate,
        const struct xc_admitted *admitted)
{
    exchange->gate = gate;
    exchange->config = admitted->config;
    exchange->route = admitted->route;
    exchange->tenant = admitted->tenant;
    exchange->service = admitted->service;
    exchange->info = *admitted->info;
    exchange->cost = admitted->cost;
    exchange->charged = admitted->tenant != NULL;
    exchange->retryable = is_retryable(admitted->route);
    exchange->last_event = admitted->info->last_event;
    exchange->arrived_at = Ga_Now(gate);
    int64_t limit = admitted->route->timeout_usec;
    if (admitted->info->deadline_usec >= 0 &&
        admitted->info->deadline_usec < limit) {
        limit = admitted->info->deadline_usec;
    }
    exchange->deadline = exchange->arrived_at + limit;
}

/* Takes over an admitted request, which is answered asynchronously. */
void
Xc_Start(struct ga_gate *gate, struct sv_request *request,
         const struct xc_admitted *admitted)
{
    struct xc_exchange *exchange = calloc(1, sizeof(*exchange));
    struct lp_timer *timer =
        exchange == NULL
            ? NULL
            : Lp_TimerCreate(gate->options.loop, xc_on_timer, exchange);
    if (timer == NULL) {
        free(exchange);
        Ec_Unref(admitted->config);
        Sv_Reply(request, 503, "", "", 0);
        return;
    }
    Xc_Init(exchange, gate, admitted);
    exchange->request = request;
    exchange->timer = timer;
    Xc_EstimateOutput(exchange);
    TAILQ_INSERT_TAIL(&gate->exchanges, exchange, link);
    Sv_SetUser(request, exchange);
    De_RecordOffered(gate->demand, exchange->service->name);
    Xc_Dispatch(exchange);
}

/* The caller closed its connection: ends the exchange and its attempt. */
void
Xc_CallerLeft(struct sv_request *request)
{
    struct xc_exchange *exchange = Sv_User(request);
    if (exchange == NULL) {
        return;
    }
    exchange->may_have_run |= exchange->attempt.endpoint != NULL;
    Xc_End(exchange, "caller left");
}

void
Xc_CallerDrained(struct sv_request *request)
{
    struct xc_exchange *exchange = Sv_User(request);
    if (exchange != NULL && exchange->attempt.channel != NULL) {
        Cn_Pause(exchange->attempt.channel, false);
    }
}
