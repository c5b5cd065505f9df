/* Moves a run by calls to its endpoint. */
#include <bsd/string.h>
#include <stdio.h>
#include <stdlib.h>

#include "edge/transfer_internal.h"

/* A call ends this long after the endpoint should be gone. */
#define Tr_GONE_USEC (500 * Ck_USEC_PER_MSEC)
#define Tr_ANSWER_MAX 4096

static void
log_move(const struct tr_move *move, enum ln_class class, const char *name,
         const char *why, int64_t events)
{
    int64_t now = Ga_Now(move->transfers->gate);
    Ln_Log(class, name,
           "\"id\":\"%s\",\"from\":\"%s\",\"to\":\"%s\",\"why\":\"%s\","
           "\"stopped\":%d,\"tokens\":%lld,\"events\":%lld,\"ms\":%lld,"
           "\"left_ms\":%lld",
           move->id, move->source->entry.id, move->target->entry.id, why,
           move->call == STOP, (long long)move->tokens, (long long)events,
           (long long)((now - move->begun_at) / Ck_USEC_PER_MSEC),
           (long long)((move->source->leaves_at - now) / Ck_USEC_PER_MSEC));
}

void
tr_destroy_move(struct tr_move *move)
{
    Kc_End(&move->kv);
    if (move->exchange != NULL) {
        move->exchange->move = NULL;
    }
    TAILQ_REMOVE(&move->transfers->moves, move, link);
    Lp_TimerDestroy(move->timer);
    move->target->running--;
    Fl_Unref(move->target);
    Fl_Unref(move->source);
    free(move);
}

static bool
start_call(struct tr_move *move, enum call call)
{
    struct ga_gate *gate = move->transfers->gate;
    const struct hd_kv_calls *kv = gate->options.wire->kv;
    struct hd_kv_move encoded = {
        .id = move->id,
        .source = move->source->entry.address,
        .target = move->target->entry.address,
        .last = call == STOP,
    };
    char request[Hd_KV_REQUEST_MAX];
    size_t len = call == FREE
                     ? kv->encode_free(encoded.source, move->handle, request,
                                       sizeof(request))
                     : kv->encode_move(&encoded, request, sizeof(request));
    Kc_End(&move->kv);
    if (len == 0 || !Kc_Start(&move->kv, request, len)) {
        return false;
    }
    move->call = call;
    if (call == STOP) {
        move->exchange->attempt.stopped = true;
    }
    Lp_TimerSet(move->timer,
                move->source->leaves_at + Tr_GONE_USEC - Ga_Now(gate));
    return true;
}

/* Frees the copy, if there is one, and forgets the move. */
static void
drop_move(struct tr_move *move)
{
    if (move->exchange != NULL) {
        move->exchange->move = NULL;
        move->exchange = NULL;
    }
    if (move->call == FREE || move->handle[0] == '\0' ||
        !start_call(move, FREE)) {
        tr_destroy_move(move);
    }
}

/*
 * The run is not moved: the exchange goes on as without the move.  "lost": it
 * is not known whether the run was stopped.
 */
static void
fail_move(struct tr_move *move, const char *why, bool lost)
{
    struct xc_exchange *exchange = move->exchange;
    bool ended = move->ended;
    enum cn_outcome outcome = move->outcome;
    log_move(move, LN_FAILURE, "transfer.failed", why, 0);
    tr_count_failed(move->transfers, why);
    exchange->attempt.stopped &= lost;
    drop_move(move);
    if (ended) {
        Xc_EndAttempt(exchange, outcome);
    }
}

void
tr_leave_move(struct tr_move *move)
{
    log_move(move, LN_FAILURE, "transfer.failed", "stream ended", 0);
    tr_count_failed(move->transfers, "stream ended");
    move->exchange->move = NULL;
    move->exchange = NULL;
}

/* Whether an exchange, which may have ended, was sent to continue its run. */
static bool
is_continued(const struct ga_gate *gate, const struct xc_exchange *exchange)
{
    const struct xc_exchange *other;
    TAILQ_FOREACH (other, &gate->exchanges, link) {
        if (other == exchange) {
            return other->attempt.moved;
        }
    }
    return false;
}

/* Goes on at the target, or at the source if it has kept the stopped run. */
static void
go_on(struct tr_move *move, const struct hd_kv_answer *answer)
{
    struct tr_transfers *transfers = move->transfers;
    struct xc_exchange *exchange = move->exchange;
    bool copied = answer->outcome == HD_KV_COPIED;
    char id[Hd_ID_MAX];
    char kv_from[Ec_NAME_MAX + Hd_HANDLE_MAX + 1];
    snprintf(kv_from, sizeof(kv_from), "%s/%s", move->source->entry.address,
             answer->handle);
    struct xc_target target = {
        .endpoint = Fl_Ref(copied ? move->target : move->source),
        .kv_from = kv_from,
    };
    log_move(move, LN_STATE, copied ? "transfer.ended" : "transfer.returned",
             copied ? "" : "no room", answer->events);
    if (!copied) {
        exchange->move_refusing = move->target->hash;
    }
    strlcpy(id, move->id, sizeof(id));
    tr_destroy_move(move);
    exchange->attempt.judged = true;
    Xc_ReleaseAttempt(exchange);
    Xc_GoOn(exchange, &target);
    if (!is_continued(transfers->gate, exchange)) {
        tr_note_not_continued(transfers, id, target.endpoint, 0);
    }
    Fl_Unref(target.endpoint);
}

static const char *
reason(enum hd_kv_outcome outcome)
{
    switch (outcome) {
    case HD_KV_NO_RUN:
        return "no such run";
    case HD_KV_BUSY:
        return "call in progress";
    case HD_KV_NO_ROOM:
        return "no room";
    default:
        return "not an answer";
    }
}

static void
take_answer(struct tr_move *move, const struct hd_kv_answer *answer)
{
    bool stopped = move->call == STOP;
    bool copied = answer->outcome == HD_KV_COPIED;
    if (copied && !stopped) {
        strlcpy(move->handle, answer->handle, sizeof(move->handle));
        if (!start_call(move, STOP)) {
            fail_move(move, "no connection to spare", false);
        }
        return;
    }
    if (stopped && answer->handle[0] != '\0' &&
        (copied || answer->outcome == HD_KV_NO_ROOM)) {
        go_on(move, answer);
        return;
    }
    if (answer->outcome == HD_KV_NO_ROOM && !stopped) {
        move->exchange->move_refusing = move->target->hash;
    }
    else {
        move->exchange->move_barred = true;
    }
    /* 503 to the stopping call without a handle: the run has stopped. */
    bool lost = answer->outcome == HD_KV_INVALID ||
                (stopped && answer->outcome == HD_KV_NO_ROOM);
    fail_move(move, reason(answer->outcome), lost);
}

static void
on_done(void *arg, enum cn_outcome outcome)
{
    struct tr_move *move = arg;
    struct tr_transfers *transfers = move->transfers;
    struct fl_endpoint *source = Fl_Ref(move->source);
    struct hd_kv_answer answer = {.outcome = HD_KV_INVALID};
    if (outcome == CN_COMPLETE && move->call != FREE) {
        transfers->gate->options.wire->kv->decode_move(
            move->kv.status, move->kv.body.data, move->kv.body.len, &answer);
    }
    if (move->exchange == NULL) {
        if (answer.handle[0] != '\0') {
            strlcpy(move->handle, answer.handle, sizeof(move->handle));
        }
        drop_move(move);
    }
    else if (outcome == CN_COMPLETE) {
        take_answer(move, &answer);
    }
    else {
        move->exchange->move_barred = true;
        fail_move(move, "no answer", outcome != CN_NOT_SENT);
    }
    tr_plan_endpoint(transfers, source);
    Fl_Unref(source);
}

static void
on_timer(void *arg)
{
    struct tr_move *move = arg;
    if (move->exchange == NULL) {
        tr_destroy_move(move);
        return;
    }
    move->exchange->move_barred = true;
    fail_move(move, "no answer", true);
}

void
tr_start_move(struct tr_transfers *transfers,
              const struct candidate *candidate, const struct tr_run *run)
{
    struct xc_exchange *exchange = candidate->exchange;
    struct tr_move *move = calloc(1, sizeof(*move));
    struct lp_timer *timer =
        move == NULL
            ? NULL
            : Lp_TimerCreate(transfers->gate->options.loop, on_timer, move);
    if (timer == NULL) {
        free(move);
        return;
    }
    int64_t now = Ga_Now(transfers->gate);
    move->transfers = transfers;
    move->exchange = exchange;
    move->source = Fl_Ref(exchange->attempt.endpoint);
    move->target = Fl_Ref(candidate->target.endpoint);
    move->target->running++;
    move->timer = timer;
    move->kv = (struct kc_call){
        .gate = transfers->gate,
        .endpoint = move->source,
        .body_max = Tr_ANSWER_MAX,
        .done = on_done,
        .arg = move,
    };
    strlcpy(move->id, exchange->info.id, sizeof(move->id));
    move->tokens = run->stream.prompt_tokens + run->stream.tokens_given;
    move->begun_at = now;
    move->ends_at = now + run->target.wait + run->target.move_usec +
                    run->target.move_per_token * move->tokens;
    TAILQ_INSERT_TAIL(&transfers->moves, move, link);
    exchange->move = move;
    exchange->moves++;
    Mt_Add(transfers->started, 1);
    bool started = start_call(move, run->step == TR_STOP_COPY ? STOP : COPY);
    log_move(move, LN_STATE, "transfer.begun", "", exchange->last_event + 1);
    if (!started) {
        fail_move(move, "no connection to spare", false);
    }
}
