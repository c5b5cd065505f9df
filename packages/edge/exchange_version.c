/*
 * What an attempt tells of its endpoint's version while the service is moved
 * to another one.
 */
#include "edge/exchange.h"
#include "edge/versions.h"

/* An unanswered attempt is late after this fraction of the time after which
   its answer would be slow. */
#define Xc_LATE_DIVISOR 2
/* An endpoint with no more requests than this part of its slots has room. */
#define Xc_ROOM_LOAD 0.5
/* Events that tell a stream's pace; fewer if it ends before. */
#define Xc_PACE_EVENTS 7
#define Xc_PACE_EVENTS_MIN 4

void
Xc_NoteVersionSent(struct xc_exchange *exchange,
                   const struct xc_target *target)
{
    struct ga_gate *gate = exchange->gate;
    struct xc_attempt *attempt = &exchange->attempt;
    const char *service = exchange->service->name;
    const struct fl_endpoint *endpoint = target->endpoint;
    const struct ro_move *move = Ro_Find(gate->moves, service);
    if (move == NULL) {
        return;
    }
    /* Cold endpoints are slow whatever their version. */
    attempt->slow_after =
        Wu_IsCold(&endpoint->warmup, attempt->sent_at)
            ? 0
            : Ro_SlowAfter(gate->moves, service, exchange->route->name);
    Vs_CountSent(gate->registry, &endpoint->entry, target->version_why);
    Ro_NoteSent(gate->moves, service, Ga_HasTargetVersion(move, endpoint));
}

/*
 * Notes the time to the first byte for the endpoint's version.  Cold endpoints
 * do not count because they are slow whatever their version.
 */
void
Xc_NoteFirstByte(struct xc_exchange *exchange, int64_t usec)
{
    struct ga_gate *gate = exchange->gate;
    const struct fl_endpoint *endpoint = exchange->attempt.endpoint;
    const char *service = exchange->service->name;
    const struct ro_move *move = Ro_Find(gate->moves, service);
    bool cold = Wu_IsCold(&endpoint->warmup, Ga_Now(gate));
    if (move != NULL && !cold) {
        exchange->attempt.slow |=
            Ro_RecordFirstByte(gate->moves, service, exchange->route->name,
                               Ga_HasTargetVersion(move, endpoint), usec);
    }
}

static double
load_of(const struct fl_endpoint *endpoint)
{
    int slots = endpoint->entry.slots > 0 ? endpoint->entry.slots : 1;
    return (double)(endpoint->running + endpoint->peers_running) / slots;
}

/*
 * Counts the time between the events so far.  The time since the last one may
 * be that of a cut link, and tells nothing of the version.
 */
static void
note_pace(struct xc_exchange *exchange)
{
    struct ga_gate *gate = exchange->gate;
    struct xc_attempt *attempt = &exchange->attempt;
    const char *service = exchange->service->name;
    const struct ro_move *move = Ro_Find(gate->moves, service);
    attempt->pace_noted = true;
    if (move != NULL && !Wu_IsCold(&attempt->endpoint->warmup, Ga_Now(gate))) {
        int64_t usec = attempt->last_event_at - attempt->first_event_at;
        struct pa_pace pace = {usec / (attempt->events - 1),
                               load_of(attempt->endpoint)};
        Ro_RecordPace(gate->moves, service, exchange->route->name,
                      Ga_HasTargetVersion(move, attempt->endpoint), &pace);
    }
}

void
Xc_NoteEvent(struct xc_exchange *exchange)
{
    struct xc_attempt *attempt = &exchange->attempt;
    attempt->events++;
    attempt->last_event_at = Ga_Now(exchange->gate);
    Xc_SampleEvent(exchange);
    if (attempt->events == Xc_PACE_EVENTS) {
        note_pace(exchange);
    }
}

bool
Xc_MayBecomeSlow(const struct xc_exchange *exchange)
{
    const struct xc_attempt *attempt = &exchange->attempt;
    return attempt->slow_after != 0 && attempt->head_at == 0 && !attempt->slow;
}

/* The time to the end of a plain answer. */
static struct pa_pace
whole_time(const struct xc_exchange *exchange)
{
    const struct xc_attempt *attempt = &exchange->attempt;
    return (struct pa_pace){Ga_Now(exchange->gate) - attempt->sent_at,
                            load_of(attempt->endpoint)};
}

static void
note_whole_time(struct xc_exchange *exchange)
{
    struct ga_gate *gate = exchange->gate;
    const struct fl_endpoint *endpoint = exchange->attempt.endpoint;
    const char *service = exchange->service->name;
    const struct ro_move *move = Ro_Find(gate->moves, service);
    if (!exchange->attempt.streaming &&
        !Wu_IsCold(&endpoint->warmup, Ga_Now(gate))) {
        struct pa_pace whole = whole_time(exchange);
        Ro_RecordPace(gate->moves, service, exchange->route->name,
                      Ga_HasTargetVersion(move, endpoint), &whole);
    }
}

/*
 * Counts whether an endpoint that has room took the request.  Cold and brittle
 * endpoints and those with a rate limit have less room than their slots.
 */
void
Xc_JudgeRefusal(struct xc_exchange *exchange, bool refused)
{
    struct ga_gate *gate = exchange->gate;
    const struct xc_attempt *attempt = &exchange->attempt;
    const struct fl_endpoint *endpoint = attempt->endpoint;
    const char *service = exchange->service->name;
    const struct ro_move *move = Ro_Find(gate->moves, service);
    bool has_room = load_of(endpoint) <= Xc_ROOM_LOAD &&
                    attempt->answer.refusals_borne < 0 &&
                    endpoint->rate_limit.per_sec <= 0 &&
                    !Wu_IsCold(&endpoint->warmup, Ga_Now(gate));
    if (move != NULL && has_room) {
        Ro_RecordRefusal(gate->moves, service,
                         Ga_HasTargetVersion(move, endpoint), refused);
    }
}

void
Xc_JudgeAnswer(struct xc_exchange *exchange, bool failed)
{
    struct ga_gate *gate = exchange->gate;
    const char *service = exchange->service->name;
    const struct ro_move *move = Ro_Find(gate->moves, service);
    exchange->attempt.judged = true;
    if (move != NULL) {
        struct ro_result result = {.failed = failed,
                                   .slow = exchange->attempt.slow};
        Ro_RecordAnswer(gate->moves, service, exchange->route->name,
                        Ga_HasTargetVersion(move, exchange->attempt.endpoint),
                        &result);
        Xc_JudgeRefusal(exchange, false);
        if (!failed) {
            note_whole_time(exchange);
        }
    }
}

/* How an attempt ended that tells nothing about the endpoint's version. */
static const char *
unjudged_reason(const struct xc_attempt *attempt)
{
    if (attempt->head_at == 0) {
        return "unanswered";
    }
    return attempt->answer.not_run ? "refused" : "incomplete";
}

/* Whether the endpoint has begun to answer a later request. */
static bool
answered_later(const struct xc_attempt *attempt)
{
    return attempt->endpoint->answered_at >
           attempt->sent_at + attempt->slow_after;
}

/* Returns whether the attempt tells of the endpoint's version. */
static bool
judge_unfinished(struct xc_exchange *exchange)
{
    struct ga_gate *gate = exchange->gate;
    const struct xc_attempt *attempt = &exchange->attempt;
    const char *service = exchange->service->name;
    const char *route = exchange->route->name;
    const struct ro_move *move = Ro_Find(gate->moves, service);
    bool is_new = Ga_HasTargetVersion(move, attempt->endpoint);
    int64_t waited = Ga_Now(gate) - attempt->sent_at;
    bool late = attempt->slow_after != 0 &&
                waited >= attempt->slow_after / Xc_LATE_DIVISOR;
    bool begun = attempt->head_at != 0 &&
                 (!attempt->streaming || attempt->first_event_at != 0);
    if (attempt->answer.not_run || !late) {
        return false;
    }
    if (begun && !attempt->streaming) {
        struct pa_pace whole = whole_time(exchange);
        Ro_RecordUnfinished(gate->moves, service, route, is_new, &whole);
    }
    else if (!begun && answered_later(attempt)) {
        Ro_RecordMute(gate->moves, service, is_new);
    }
    else if (!begun) {
        Ro_RecordSilence(gate->moves, service, route, is_new);
    }
    return !begun || !attempt->streaming;
}

/*
 * An attempt that ends without an answer tells of the endpoint's version if it
 * has waited longer than usual, over a link that works.  Callers that leave
 * early would hide a slow version if only those were counted that wait until
 * it is known to be slow.
 */
void
Xc_JudgeUnanswered(struct xc_exchange *exchange)
{
    struct ga_gate *gate = exchange->gate;
    if (!exchange->attempt.pace_noted &&
        exchange->attempt.events >= Xc_PACE_EVENTS_MIN) {
        note_pace(exchange);
    }
    const struct xc_attempt *attempt = &exchange->attempt;
    const char *service = exchange->service->name;
    if (attempt->judged || !Ro_IsRunning(gate->moves, service)) {
        return;
    }
    bool sent = attempt->channel != NULL && Cn_Sent(attempt->channel);
    if (sent && !attempt->endpoint->link_state.cut &&
        judge_unfinished(exchange)) {
        return;
    }
    Vs_CountUnjudged(gate->registry, &attempt->endpoint->entry,
                     unjudged_reason(attempt));
}
