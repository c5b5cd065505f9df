/*
 * Remaining output of requests, and samples of endpoint speeds from their
 * streams.
 */
#include <math.h>
#include <stdlib.h>

#include "base/hash.h"
#include "edge/exchange.h"
#include "edge/speeds.h"

/* With a shorter prompt, prefill is the smaller part of the time to the first
   event. */
#define Xc_PROMPT_TOKENS_MIN 1500
/* Streams with more events are measured by the time between these only. */
#define Xc_SHORT_EVENTS 12
/* Weight of a time to the first event, in gaps between events.  It may include
   prefill of prompts that this host does not know of. */
#define Xc_PROMPT_GAPS 4

/* The request's maximum; 0: not given. */
static int64_t
max_tokens(const struct xc_exchange *exchange)
{
    const struct hd_request_info *info = &exchange->info;
    return info->has_token_counts && info->tokens_out > 0 ? info->tokens_out
                                                          : 0;
}

/* Callers and endpoints give event ids of any size. */
static int64_t
tokens_of(const struct xc_exchange *exchange, int64_t events)
{
    int64_t max = max_tokens(exchange);
    int64_t tokens;
    if (events <= 0) {
        return 0;
    }
    if (__builtin_mul_overflow(events, exchange->service->event_tokens,
                               &tokens)) {
        tokens = INT64_MAX;
    }
    return max > 0 && tokens > max ? max : tokens;
}

/* Tokens of the events up to the one with this id; -1: none. */
static int64_t
tokens_through(const struct xc_exchange *exchange, int64_t id)
{
    return tokens_of(exchange, id < INT64_MAX ? id + 1 : id);
}

int64_t
Xc_ProducedOutput(const struct xc_exchange *exchange)
{
    return tokens_through(exchange, exchange->last_event);
}

static struct wk_request
work_request(const struct xc_exchange *exchange)
{
    const struct hd_request_info *info = &exchange->info;
    return (struct wk_request){
        .source = {Hash_String(exchange->service->name, 0),
                   Hash_String(exchange->route->name, 0),
                   exchange->tenant == NULL
                       ? 0
                       : Hash_String(exchange->tenant->name, 0)},
        .max_tokens = max_tokens(exchange),
        .hint = info->length_hint,
    };
}

void
Xc_EstimateOutput(struct xc_exchange *exchange)
{
    exchange->resumed_after = exchange->last_event;
    if (exchange->service->engine) {
        struct wk_request request = work_request(exchange);
        exchange->output = Wk_Estimate(exchange->gate->work, &request);
    }
}

int64_t
Xc_RemainingOutput(const struct xc_exchange *exchange)
{
    bool known = exchange->service->engine && max_tokens(exchange) > 0;
    return known ? Wk_Remaining(&exchange->output, Xc_ProducedOutput(exchange))
                 : 0;
}

void
Xc_NoteOutput(struct xc_exchange *exchange)
{
    struct xc_attempt *attempt = &exchange->attempt;
    int64_t remaining = Xc_RemainingOutput(exchange);
    attempt->endpoint->output_tokens += remaining - attempt->output_tokens;
    attempt->output_tokens = remaining;
}

void
Xc_BeginOutput(struct xc_exchange *exchange)
{
    exchange->attempt.prompt_tokens = exchange->attempt.prefill_tokens;
    Xc_NoteOutput(exchange);
}

/*
 * Errors are returned without reading the prompt, and a moved run brings what
 * was read of it along.
 */
void
Xc_SamplePrefill(const struct xc_exchange *exchange, int64_t now)
{
    const struct xc_attempt *attempt = &exchange->attempt;
    if (attempt->status == 200 && attempt->unloaded && !attempt->moved) {
        De_RecordFirstByte(exchange->gate->demand, exchange->service->name,
                           attempt->prompt_tokens, now - attempt->sent_at);
    }
}

/*
 * Of an answer that the caller resumes, this host has not seen the first part,
 * and the id by which it is resumed may be any number.
 */
void
Xc_LearnOutput(struct xc_exchange *exchange)
{
    struct ga_gate *gate = exchange->gate;
    int64_t before = exchange->resumed_after;
    int64_t last = exchange->last_event;
    if (!exchange->service->engine) {
        return;
    }
    int64_t tokens = last < 0 ? tokens_of(exchange, exchange->attempt.events)
                     : before < 0 ? tokens_through(exchange, last)
                                  : tokens_of(exchange, last - before);
    if (before < 0) {
        struct wk_request request = work_request(exchange);
        Wk_Learn(gate->work, &request, tokens);
    }
    if (exchange->info.has_token_counts) {
        int64_t expected =
            Wk_Remaining(&exchange->output, tokens_through(exchange, before));
        Mt_Add(gate->count.output_tokens, tokens);
        Mt_Add(gate->count.output_expected, expected);
        Mt_Add(gate->count.output_error, llabs(expected - tokens));
    }
}

/* Cold endpoints are slow whatever their speed. */
static bool
may_sample(const struct xc_exchange *exchange)
{
    const struct fl_endpoint *endpoint = exchange->attempt.endpoint;
    return exchange->service->engine &&
           !Wu_IsCold(&endpoint->warmup, Ga_Now(exchange->gate));
}

static void
learn_pace(struct xc_exchange *exchange, struct sd_sample *sample)
{
    struct fl_endpoint *endpoint = exchange->attempt.endpoint;
    sample->x = Sp_Utilization(endpoint);
    if (endpoint->service != NULL) {
        endpoint->service->event_tokens = exchange->service->event_tokens;
    }
    Sp_Learn(exchange->gate, endpoint, SD_PACE, sample);
}

void
Xc_SampleEvent(struct xc_exchange *exchange)
{
    struct xc_attempt *attempt = &exchange->attempt;
    struct sd_sample sample;
    if (Sd_AddEvent(&attempt->pace, attempt->last_event_at, &sample) &&
        may_sample(exchange)) {
        learn_pace(exchange, &sample);
    }
}

/* Takes the time to the first event of a short stream as a sample. */
static void
sample_first_event(struct xc_exchange *exchange)
{
    const struct xc_attempt *attempt = &exchange->attempt;
    if (attempt->first_event_at == 0 || attempt->events > Xc_SHORT_EVENTS ||
        !attempt->unloaded || attempt->prompt_tokens < Xc_PROMPT_TOKENS_MIN) {
        return;
    }
    double tokens = (double)attempt->prompt_tokens;
    struct sd_sample sample = {
        .usec = (double)(attempt->first_event_at - attempt->sent_at) / tokens,
        .x = log2(tokens),
        .gaps = Xc_PROMPT_GAPS,
    };
    if (sample.usec > 0) {
        Sp_Learn(exchange->gate, attempt->endpoint, SD_PREFILL, &sample);
    }
}

void
Xc_EndOutput(struct xc_exchange *exchange)
{
    struct xc_attempt *attempt = &exchange->attempt;
    struct sd_sample sample;
    if (may_sample(exchange)) {
        if (Sd_EndStream(&attempt->pace, &sample)) {
            learn_pace(exchange, &sample);
        }
        sample_first_event(exchange);
    }
    attempt->endpoint->output_tokens -= attempt->output_tokens;
    attempt->output_tokens = 0;
}
