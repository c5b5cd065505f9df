/*
 * The record of a request's attempts, and whether another may follow a failed
 * one.
 */
#include <bsd/string.h>
#include <stdio.h>
#include <string.h>

#include "base/event.h"
#include "gate/endpoints.h"
#include "gate/events.h"
#include "gate/moves.h"
#include "gate/request_internal.h"

#define Rq_STATES_MAX 256
#define Rq_STATE_MAX (2 * Ch_NAME_MAX + 64)
#define Rq_ELLIPSIS ",..."

/* Appends an item to a list; a list without room ends in Rq_ELLIPSIS. */
static void
append(char *list, size_t size, const char *item)
{
    size_t len = strlen(list);
    size_t ellipsis_len = strlen(Rq_ELLIPSIS);
    if (len >= ellipsis_len &&
        strcmp(list + len - ellipsis_len, Rq_ELLIPSIS) == 0) {
        return;
    }
    if (len + strlen(item) + 1 + ellipsis_len >= size) {
        strlcat(list, Rq_ELLIPSIS, size);
        return;
    }
    snprintf(list + len, size - len, "%s%s", len > 0 ? "," : "", item);
}

/* Records the endpoint of a dispatch, for the log. */
void
Rq_RecordDispatch(struct rq_request *request, const char *endpoint)
{
    append(request->sent_to, sizeof(request->sent_to), endpoint);
}

/* The number of dispatches that an endpoint may have run. */
int
Rq_SentCount(const struct rq_attempts *attempts)
{
    return attempts->total - attempts->not_sent;
}

/* Whether an endpoint has failed the request. */
bool
Rq_HasFailed(const struct rq_attempts *attempts)
{
    return attempts->trial_failed || attempts->failed > 0;
}

/* Whether the list of dispatches names an endpoint. */
static bool
was_sent_to(const struct rq_request *request, const char *endpoint)
{
    size_t len = strlen(endpoint);
    const char *at = request->sent_to;
    while ((at = strstr(at, endpoint)) != NULL) {
        bool begins = at == request->sent_to || at[-1] == ',';
        if (begins && (at[len] == ',' || at[len] == '\0')) {
            return true;
        }
        at += len;
    }
    return false;
}

/*
 * Formats the state of the endpoints that the request was sent to, or of the
 * others, as id:version:state:in flight/limit.
 */
static void
format_states(const struct rq_request *request, const struct ch_table *table,
              bool sent_to, char out[Rq_STATES_MAX])
{
    int64_t now = Ck_Now(request->gate->clock);
    const struct ch_endpoint *endpoint =
        table != NULL ? Ch_First(table) : NULL;
    out[0] = '\0';
    for (; endpoint != NULL; endpoint = Ch_Next(endpoint)) {
        const struct ch_info *info = Ch_Info(endpoint);
        char item[Rq_STATE_MAX];
        if (was_sent_to(request, info->id) != sent_to) {
            continue;
        }
        snprintf(item, sizeof(item), "%s:%s:%s:%d/%d", info->id, info->version,
                 Rq_MayRunAt(request, info) ? Ch_Obstacle(endpoint, now)
                                            : "not-allowed",
                 Ch_InFlight(endpoint), Ch_Limit(endpoint));
        append(out, Rq_STATES_MAX, item);
    }
}

/*
 * Records a failed attempt.  The first failure is not counted if the version
 * was on trial, so that it does not use up the attempts at the version in use.
 */
void
Rq_RecordFailure(struct rq_attempts *attempts, const struct ch_flight *flight,
                 enum rt_stage stage)
{
    if (stage == RT_NOT_SENT) {
        attempts->not_sent++;
    }
    else if (flight->on_trial && attempts->failed == 0 &&
             !attempts->trial_failed) {
        attempts->trial_failed = true;
    }
    else {
        attempts->failed++;
    }
}

static void
log_retry_refused(const struct rq_request *request,
                  const struct rt_attempt *attempt, int sent,
                  const char *reason, double tokens)
{
    const struct ch_table *table =
        Ep_Table(request->gate->endpoints, request->service->name);
    char tried_states[Rq_STATES_MAX];
    char other_states[Rq_STATES_MAX];
    format_states(request, table, true, tried_states);
    format_states(request, table, false, other_states);
    static const char *const stages[] = {"not-sent", "refused", "sent",
                                         "answered"};
    const char *last = request->tried_count > 0
                           ? request->tried[request->tried_count - 1]
                           : "none";
    Ev_Log(&GT_RETRY_REFUSED,
           "request=%s service=%s endpoint=%s stage=%s reason=%s sent=%d "
           "failed=%d unreached=%d left_ms=%lld retries_left=%.1f sent_to=%s "
           "asked=%s others=%s",
           request->id, request->service->name, last, stages[attempt->stage],
           reason, sent, attempt->attempts, attempt->connect_failures,
           (long long)(attempt->time_left / Ck_USEC_PER_MSEC), tokens,
           request->sent_to, tried_states, other_states);
    Gt_Count(request->gate, "cg_retries_refused_total", NULL, NULL);
    Gt_Count(request->gate, "cg_retries_refused_by_reason_total", "reason",
             reason);
}

/*
 * Whether a failed attempt may be followed by another.  If so, and the attempt
 * had connected, it takes from the service's retry budget.
 */
bool
Rq_MayRetry(struct rq_request *request, enum rt_stage stage,
            const struct rq_attempts *attempts)
{
    struct gt_gate *gate = request->gate;
    struct rt_budget *budget =
        Ep_RetryBudget(gate->endpoints, request->service->name);
    struct rt_attempt attempt = {
        .stage = stage,
        .idempotent = request->idempotent,
        .keyed = request->has_key,
        .attempts = attempts->failed,
        .connect_failures = attempts->not_sent,
        .time_left = request->deadline - Ck_Now(gate->clock),
    };
    if (request->http == NULL || budget == NULL) {
        log_retry_refused(request, &attempt, Rq_SentCount(attempts),
                          budget == NULL ? "no-service" : "caller-gone", 0);
        return false;
    }
    enum rt_reason why = Rt_DenyReason(budget, &attempt);
    if (Rt_Decide(budget, &attempt) != RT_RETRY) {
        log_retry_refused(request, &attempt, Rq_SentCount(attempts),
                          Rt_ReasonName(why), budget->tokens);
        return false;
    }
    Gt_Count(gate, "cg_retries_total", NULL, NULL);
    return true;
}

/* Adds to the service's retry budget for a request that succeeded. */
void
Rq_RecordSuccess(struct rq_request *request)
{
    struct rt_budget *budget =
        Ep_RetryBudget(request->gate->endpoints, request->service->name);
    if (budget != NULL) {
        Rt_Success(budget);
    }
}

/* The route by which outcomes are counted; the names are few and stable. */
static const char *
route_name(const struct rq_request *request)
{
    if (request->service->kind == CF_PLAIN) {
        return request->service->prefix;
    }
    return request->prompt.chat ? "chat" : "completions";
}

/*
 * Reports the outcome of an attempt to the version moves.  An attempt that was
 * cancelled or refused for load is left out, as it says nothing about the
 * version.
 */
void
Rq_RecordOutcome(struct rq_request *request, const struct ch_flight *flight,
                 enum ch_outcome outcome, int64_t first_token_usec,
                 const struct pa_pace *pace)
{
    if (outcome != CH_GOOD && outcome != CH_FAILED &&
        outcome != CH_UNREACHED) {
        return;
    }
    struct mo_outcome note = {
        .service = request->service->name,
        .version = Ch_Info(flight->endpoint)->version,
        .endpoint = Ch_Info(flight->endpoint)->id,
        .route = route_name(request),
        .patient = request->patient,
        .failed = outcome != CH_GOOD,
        .first_token_usec = first_token_usec,
        .target_usec = request->service->first_token_usec,
        .pace = *pace,
    };
    Mo_RecordOutcome(request->gate->moves, &note);
}
