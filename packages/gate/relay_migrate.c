/*
 * Streams on an engine whose host is about to be reclaimed.  Depending on the
 * time left, each finishes there, moves its KV cache to another engine, or is
 * resumed at another engine from its tokens.
 */
#include <bsd/string.h>
#include <string.h>

#include "base/event.h"
#include "gate/events.h"
#include "gate/relay_engine.h"

/* Estimated cost of moving a KV cache. */
#define Rl_MOVE_USEC (20 * Ck_USEC_PER_MSEC)
#define Rl_MOVE_PER_TOKEN_USEC 20
/* Time between tokens, assumed until it can be measured. */
#define Rl_DEFAULT_TOKEN_USEC (30 * Ck_USEC_PER_MSEC)

static void decide(struct rl_engine *relay);

/* Cancels a cache transfer and releases its reservation at the target. */
void
Re_DropMove(struct rl_engine *relay)
{
    if (relay->move != NULL) {
        Kv_Cancel(relay->move);
        relay->move = NULL;
    }
    if (relay->target.endpoint != NULL) {
        Ch_End(relay->table, &relay->target, CH_CANCELLED,
               Ck_Now(relay->request->gate->clock));
        relay->target.endpoint = NULL;
    }
    relay->leaves_at = 0;
    if (relay->plan_timer != NULL) {
        Lp_TimerCancel(relay->plan_timer);
    }
}

static void
fill_stream(const struct rl_engine *relay, int64_t now,
            struct sm_stream *stream)
{
    const struct rq_request *request = relay->request;
    int expected_tokens = request->prompt.max_tokens > 0
                              ? request->prompt.max_tokens
                              : Rl_EXPECTED_TOKENS;
    int tokens_here = relay->tokens - relay->tokens_at_start;
    stream->time_left = relay->leaves_at - now;
    stream->prompt_tokens =
        (int)(request->prompt.text_len / Rl_BYTES_PER_TOKEN);
    stream->tokens_given = relay->tokens;
    stream->tokens_expected =
        expected_tokens > relay->tokens ? expected_tokens - relay->tokens : 1;
    stream->token_usec = tokens_here > 1
                             ? (relay->last_token_at - relay->first_token_at) /
                                   (tokens_here - 1)
                             : Rl_DEFAULT_TOKEN_USEC;
}

/* Chooses the engine that would take over; does not start a flight on it. */
static void
fill_target(struct rl_engine *relay, int64_t now, struct sm_target *target,
            struct ch_flight *flight)
{
    struct gt_gate *gate = relay->request->gate;
    struct ch_settings settings;
    struct ch_request criteria;
    Ch_Defaults(&settings);
    Re_FillCriteria(relay, &criteria);
    memset(target, 0, sizeof(*target));
    target->found = Ch_Choose(relay->table, &criteria, now, &gate->random,
                              flight) == ST_OK &&
                    flight->endpoint != relay->flight.endpoint;
    target->imports_cache = true;
    target->wait = target->found ? flight->predicted : 0;
    target->move_usec = Rl_MOVE_USEC;
    target->move_per_token = Rl_MOVE_PER_TOKEN_USEC;
    target->prefill_per_token = settings.per_token;
}

static void
cache_moved(void *arg, const struct kv_result *result)
{
    struct rl_engine *relay = arg;
    struct gt_gate *gate = relay->request->gate;
    relay->move = NULL;
    if (result->status != ST_OK) {
        Re_DropCall(relay);
        Re_EndFlight(relay, CH_CANCELLED);
        Re_NextAttempt(relay);
        return;
    }
    Re_DropCall(relay);
    Re_EndFlight(relay, CH_CANCELLED);
    relay->flight = relay->target;
    Rq_RecordDispatch(relay->request, Ch_Info(relay->flight.endpoint)->id);
    relay->target.endpoint = NULL;
    relay->leaves_at = 0;
    Lp_TimerCancel(relay->plan_timer);
    Ev_Log(&GT_STREAM_MOVED, "request=%s tokens=%d how=kv", relay->request->id,
           relay->tokens);
    Gt_Count(gate, "cg_streams_moved_total", "how", "kv");
    Re_Launch(relay, result->handle);
}

static void
to_target(const struct ch_info *info, struct jc_target *out)
{
    strlcpy(out->address, info->address, sizeof(out->address));
    out->port = info->port;
}

/*
 * Moves the KV cache while the stream continues at its engine.  If the engine
 * ends first or the transfer fails, the stream is resumed from its tokens.
 */
static void
start_move(struct rl_engine *relay, const struct ch_flight *flight,
           int64_t now)
{
    struct gt_gate *gate = relay->request->gate;
    struct jc_target source;
    struct jc_target target;
    relay->target = *flight;
    Ch_Start(relay->table, &relay->target, now);
    to_target(Ch_Info(relay->flight.endpoint), &source);
    to_target(Ch_Info(relay->target.endpoint), &target);
    if (Kv_Start(gate->loop, &source, &target, relay->attempt,
                 relay->leaves_at - now, cache_moved, relay,
                 &relay->move) != ST_OK) {
        relay->move = NULL;
        Re_DropCall(relay);
        Re_EndFlight(relay, CH_CANCELLED);
        Re_NextAttempt(relay);
    }
}

/* Decides whether the stream finishes, moves its cache or is resumed. */
static void
decide(struct rl_engine *relay)
{
    struct gt_gate *gate = relay->request->gate;
    int64_t now = Ck_Now(gate->clock);
    struct sm_settings settings;
    struct sm_stream stream;
    struct sm_target target;
    struct sm_decision decision;
    struct ch_flight flight = {0};
    if (relay->move != NULL) {
        return;
    }
    Sm_Defaults(&settings);
    fill_stream(relay, now, &stream);
    fill_target(relay, now, &target, &flight);
    Sm_Decide(&settings, &stream, &target, &gate->random, &decision);
    relay->plan = decision.plan;
    if (decision.plan == SM_MOVE) {
        start_move(relay, &flight, now);
        return;
    }
    Lp_TimerSet(relay->plan_timer, decision.act_after);
}

/* Timer callback: carries out a planned resumption, or decides again. */
void
Re_PlanDue(void *arg)
{
    struct rl_engine *relay = arg;
    if (relay->plan != SM_RESUME) {
        decide(relay);
        return;
    }
    Re_DropCall(relay);
    Re_EndFlight(relay, CH_CANCELLED);
    Re_NextAttempt(relay);
}

/* Decides for each stream on an endpoint that is leaving. */
void
Rl_EndpointLeaving(void *arg, const char *service, const char *endpoint,
                   int64_t left_usec)
{
    struct gt_gate *gate = arg;
    struct rq_request *request;
    struct rq_request *next;
    (void)service;
    TAILQ_FOREACH_SAFE (request, &gate->requests, link, next) {
        struct rl_engine *relay = request->engine;
        if (relay == NULL || relay->flight.endpoint == NULL ||
            strcmp(Ch_Info(relay->flight.endpoint)->id, endpoint) != 0) {
            continue;
        }
        relay->leaves_at = Ck_Now(gate->clock) + left_usec;
        decide(relay);
    }
}
