/* Chooses the runs to move and their targets. */
#include <math.h>
#include <string.h>

#include "edge/transfer_internal.h"

/* Runs of an endpoint that are planned together. */
#define Tr_RUNS_MAX 64
/* Moves of an endpoint in progress: one is copied, one is being prepared. */
#define Tr_IN_PROGRESS_MAX 2
/* Moves of one exchange. */
#define Tr_MOVES_MAX 4
/* Preparation of a move at the endpoint. */
#define Tr_PREPARE_USEC (20 * Ck_USEC_PER_MSEC)
/* A move between data centres takes this many times as long. */
#define Tr_FAR_FACTOR 2
/* Prefill of a resumed stream. */
#define Tr_PREFILL_USEC_PER_TOKEN 12
/* Stands for the resume of a run that may not be resumed. */
#define Tr_NEVER_USEC_PER_TOKEN Ck_USEC_PER_SEC
/* Assumed time between events of a run that has sent only one. */
#define Tr_EVENT_USEC (45 * Ck_USEC_PER_MSEC)
/* More than any engine's KV cache holds. */
#define Tr_TOKENS_MAX 10000000
/* A slower copy takes longer than any notice. */
#define Tr_PER_TOKEN_MAX_USEC ((double)Ck_USEC_PER_SEC)

/*
 * Whether the exchange has a run that can be moved.  Before its first event a
 * run has no pace, and its prompt may still wait at the endpoint.
 */
static bool
is_movable(const struct xc_exchange *exchange)
{
    const struct xc_attempt *attempt = &exchange->attempt;
    return exchange->service->moves_allowed && attempt->streaming &&
           attempt->ending == NULL && attempt->events > 0 &&
           !attempt->events_missing && exchange->last_event >= 0 &&
           exchange->info.has_token_counts && exchange->info.id[0] != '\0' &&
           exchange->move == NULL && !exchange->move_barred &&
           exchange->moves < Tr_MOVES_MAX;
}

/* Callers and endpoints give numbers of any size. */
static int
bound_tokens(int64_t tokens)
{
    return tokens < 0               ? 0
           : tokens > Tr_TOKENS_MAX ? Tr_TOKENS_MAX
                                    : (int)tokens;
}

static struct sm_stream
stream_of(const struct xc_exchange *exchange, int64_t now)
{
    const struct xc_attempt *attempt = &exchange->attempt;
    const struct ec_service *service = exchange->service;
    int64_t event_usec =
        attempt->events > 1
            ? (attempt->last_event_at - attempt->first_event_at) /
                  (attempt->events - 1)
            : Tr_EVENT_USEC;
    return (struct sm_stream){
        .time_left = attempt->endpoint->leaves_at - now,
        .prompt_tokens = bound_tokens(exchange->info.tokens_in),
        .tokens_given = bound_tokens(Xc_ProducedOutput(exchange)),
        .tokens_expected = bound_tokens(Xc_RemainingOutput(exchange)),
        .token_usec = event_usec / service->event_tokens,
    };
}

static struct sm_target
target_of(const struct xc_exchange *exchange, const struct xc_target *target)
{
    const struct ec_service *service = exchange->service;
    const char *zone = exchange->attempt.endpoint->entry.zone;
    bool near = strcmp(zone, target->endpoint->entry.zone) == 0;
    double usec_per_token = 0;
    if (service->kv_link_mbps > 0) {
        usec_per_token = fmin(service->kv_bytes * 8 / service->kv_link_mbps,
                              Tr_PER_TOKEN_MAX_USEC);
    }
    return (struct sm_target){
        .found = true,
        .imports_cache = true,
        .move_usec = Tr_PREPARE_USEC,
        .move_per_token =
            (int64_t)(usec_per_token * (near ? 1 : Tr_FAR_FACTOR)) + 1,
        .prefill_per_token = exchange->retryable ? Tr_PREFILL_USEC_PER_TOKEN
                                                 : Tr_NEVER_USEC_PER_TOKEN,
    };
}

static bool
fill_candidate(struct xc_exchange *exchange, int64_t now,
               struct candidate *out)
{
    struct sm_settings settings;
    struct sm_target none = {.found = false};
    struct sm_decision decision;
    Tr_Settings(&settings);
    out->exchange = exchange;
    out->run.resumable = exchange->retryable;
    out->run.stream = stream_of(exchange, now);
    Sm_Decide(&settings, &out->run.stream, &none, &exchange->gate->random,
              &decision);
    if (!decision.at_risk || !Xc_ChooseTakeover(exchange, &out->target)) {
        return false;
    }
    out->run.target = target_of(exchange, &out->target);
    return true;
}

/* The number of the endpoint's moves in progress, and the time they take. */
static size_t
count_moves(const struct tr_transfers *transfers,
            const struct fl_endpoint *source, int64_t now, int64_t *busy)
{
    size_t count = 0;
    *busy = 0;
    const struct tr_move *move;
    TAILQ_FOREACH (move, &transfers->moves, link) {
        if (move->source == source && move->exchange != NULL) {
            count++;
            if (*busy < move->ends_at - now) {
                *busy = move->ends_at - now;
            }
        }
    }
    return count;
}

static bool
is_leaving(const struct fl_endpoint *endpoint, int64_t now)
{
    return endpoint->entry.draining && now < endpoint->leaves_at;
}

static bool
has_slot(const struct fl_endpoint *endpoint)
{
    return endpoint->running + endpoint->peers_running < endpoint->entry.slots;
}

static bool
is_due(const struct tr_run *run)
{
    return run->step == TR_COPY || run->step == TR_STOP_COPY;
}

/*
 * Chooses another target for a planned run; returns whether its move is still
 * due.
 */
static bool
choose_again(struct candidate *candidate, const struct tr_link *link,
             struct tr_run *run)
{
    struct xc_exchange *exchange = candidate->exchange;
    struct tr_link rest = {run->target.wait, link->others_running};
    if (!Xc_ChooseTakeover(exchange, &candidate->target)) {
        return false;
    }
    run->target = target_of(exchange, &candidate->target);
    Tr_Plan(&rest, &exchange->gate->random, run, 1);
    return is_due(run);
}

/* Starts the planned moves, as many as may be in progress. */
static void
start_moves(struct tr_transfers *transfers, const struct tr_link *link,
            struct candidate *candidates, struct tr_run *runs, size_t count,
            size_t in_progress)
{
    for (size_t i = 0; i < count && in_progress < Tr_IN_PROGRESS_MAX; i++) {
        struct candidate *candidate = &candidates[runs[i].index];
        if (!is_due(&runs[i])) {
            continue;
        }
        /* The move before it may have taken the target's last slot. */
        if (has_slot(candidate->target.endpoint) ||
            choose_again(candidate, link, &runs[i])) {
            tr_start_move(transfers, candidate, &runs[i]);
            in_progress++;
        }
    }
}

void
tr_plan_endpoint(struct tr_transfers *transfers, struct fl_endpoint *source)
{
    static struct candidate candidates[Tr_RUNS_MAX];
    struct tr_run runs[Tr_RUNS_MAX];
    struct ga_gate *gate = transfers->gate;
    int64_t now = Ga_Now(gate);
    struct tr_link link = {.others_running = source->peers_running};
    size_t in_progress = count_moves(transfers, source, now, &link.busy);
    if (!is_leaving(source, now) || source->link_state.cut ||
        in_progress >= Tr_IN_PROGRESS_MAX) {
        return;
    }
    size_t count = 0;
    struct xc_exchange *exchange;
    TAILQ_FOREACH (exchange, &gate->exchanges, link) {
        if (count < Tr_RUNS_MAX && exchange->attempt.endpoint == source &&
            is_movable(exchange) &&
            fill_candidate(exchange, now, &candidates[count])) {
            runs[count] = candidates[count].run;
            runs[count].index = count;
            count++;
        }
    }
    Tr_Plan(&link, &gate->random, runs, count);
    start_moves(transfers, &link, candidates, runs, count, in_progress);
}

void
Tr_Tick(struct tr_transfers *transfers)
{
    struct ga_gate *gate = transfers->gate;
    int64_t now = Ga_Now(gate);
    if (gate->options.wire->kv == NULL) {
        return;
    }
    struct fl_endpoint *endpoint;
    TAILQ_FOREACH (endpoint, Fl_All(gate->fleet), link) {
        if (endpoint->running > 0 && is_leaving(endpoint, now)) {
            tr_plan_endpoint(transfers, endpoint);
        }
    }
}
