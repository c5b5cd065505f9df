/*
 * What an attempt tells of its endpoint's version while the service is moved
 * to another one.
 */
#include "edge/exchange.h"
#include "edge/versions.h"

/* An unanswered attempt is late after this fraction of the time after which
   its answer would be slow. */
#define Xc_LATE_DIVISOR 2
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
    bool late =
        attempt->slow_after != 0 && Ga_Now(gate) - attempt->sent_at >=
                                        attempt->slow_after / Xc_LATE_DIVISOR;
    if (late && attempt->head_at == 0 && sent &&
        !attempt->endpoint->link_state.cut) {
        const struct ro_move *move = Ro_Find(gate->moves, service);
        Ro_RecordSilence(gate->moves, service, exchange->route->name,
                         Ga_HasTargetVersion(move, attempt->endpoint));
        return;
    }
    Vs_CountUnjudged(gate->registry, &attempt->endpoint->entry,
                     unjudged_reason(attempt));
}
