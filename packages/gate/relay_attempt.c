/*
 * The attempts of an engine relay: the choice of an engine for each, and
 * whether a failed one is followed by another.
 */
#include <stdio.h>
#include <string.h>

#include "base/event.h"
#include "gate/endpoints.h"
#include "gate/events.h"
#include "gate/quarantine.h"
#include "gate/relay_engine.h"

#define Rl_ATTEMPTS_MAX 6
#define Rl_UNREACHED_MAX 16 /* attempts without a connection */
/* Waits in a row for capacity at the engines that have not failed. */
#define Rl_CAPACITY_WAITS_MAX 16
/* With fewer tokens, their pace says little. */
#define Rl_PACE_TOKENS_MIN 4

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

/* Whether an engine may have run any part of the request. */
bool
Re_MayHaveRun(const struct rl_engine *relay)
{
    int maybe_sent = Rq_SentCount(&relay->attempts);
    if (relay->call != NULL && Hc_Stage(relay->call) == HC_CONNECTING) {
        maybe_sent--;
    }
    return maybe_sent > 0;
}

/* The refusal for a failed request: "not run" only where that is certain. */
enum an_kind
Re_RefusalKind(const struct rl_engine *relay)
{
    return Re_MayHaveRun(relay) ? AN_UNKNOWN : AN_UNAVAILABLE;
}

/* Whether the limit of attempts without a connection is reached. */
static bool
is_unreachable(const struct rl_engine *relay)
{
    int tries = Re_MayHaveRun(relay) ? relay->connect_failures
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
    return relay->connect_failures > 0 && Re_MayHaveRun(relay) &&
           !is_unreachable(relay);
}

static void
wait_for_engine(struct rl_engine *relay)
{
    Gt_Count(relay->request->gate, "cg_streams_waiting_total", NULL, NULL);
    Lp_TimerSet(relay->retry_timer,
                Rt_Backoff(relay->connect_failures + relay->capacity_waits));
}

/* Resumes the request at another engine, or gives it up. */
void
Re_NextAttempt(struct rl_engine *relay)
{
    struct gt_gate *gate = relay->request->gate;
    Re_DropMove(relay);
    if (Gq_DeniesRetry(gate->quarantine, relay->request)) {
        Re_GiveUp(relay, Re_RefusalKind(relay),
                  "engines ended under this request; it is sent to no other");
        return;
    }
    if (relay->attempts.failed >= Rl_ATTEMPTS_MAX || is_unreachable(relay)) {
        Re_GiveUp(relay, Re_RefusalKind(relay),
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
    Re_Attempt(relay);
}

/*
 * Handles a failed attempt.  A request with tokens is always resumed; one
 * without tokens is retried, which takes from the service's retry budget.
 */
void
Re_AttemptFailed(struct rl_engine *relay, enum hc_stage reached)
{
    enum rt_stage stage = reached == HC_CONNECTING ? RT_NOT_SENT : RT_SENT;
    Rq_RecordFailure(&relay->attempts, &relay->flight, stage);
    relay->connect_failures =
        stage == RT_NOT_SENT ? relay->connect_failures + 1 : 0;
    if (relay->tokens == 0 &&
        !Rq_MayRetry(relay->request, stage, &relay->attempts)) {
        Re_GiveUp(relay, Re_RefusalKind(relay),
                  "the engines of this service fail; the request may be "
                  "repeated later");
        return;
    }
    Re_NextAttempt(relay);
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

/*
 * Makes an attempt at an engine, waits for one, or gives the request up when
 * there is none.
 */
void
Re_Attempt(struct rl_engine *relay)
{
    struct rq_request *request = relay->request;
    struct ch_request criteria;
    Re_FillCriteria(relay, &criteria);
    relay->table = Ep_Table(request->gate->endpoints, request->service->name);
    enum st_status status = choose(relay, &criteria);
    if (status == ST_OVERLOAD && Re_MayHaveRun(relay)) {
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
        Re_GiveUp(relay, Re_RefusalKind(relay), message);
        return;
    }
    relay->capacity_waits = 0;
    Re_Launch(relay, NULL);
}
