/*
 * Relays an endpoint's answer to the caller.  A complete answer is passed on
 * unchanged.  A stream is passed on event by event without delay; the caller
 * keeps the head from the first endpoint when another endpoint resumes it.
 */
#include <bsd/string.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "edge/brittle.h"
#include "edge/broken.h"
#include "edge/ending.h"
#include "edge/exchange.h"
#include "edge/health.h"
#include "edge/paths.h"
#include "edge/quarantine.h"
#include "edge/rate_limit.h"
#include "edge/transfer.h"
#include "edge/warming.h"

/* Size limit of answers that are buffered completely before relaying. */
#define Re_BUFFERED_MAX (2u << 20)
/* All answers that are buffered get this part of the memory. */
#define Re_MEMORY_DIVISOR 8
/* An answer of this size is buffered whatever the others take. */
#define Re_SMALL_MAX (64u << 10)
/* Bytes of events without an id, such as comments, that come in a row. */
#define Re_UNNUMBERED_MAX (256u << 10)
/* With more bytes pending for the caller, reading from the endpoint pauses. */
#define Re_PENDING_MAX (256u << 10)
/* Retry-after for a caller whose request was not run. */
#define Re_RETRY_USEC (300 * Ck_USEC_PER_MSEC)
#define Re_LABELS_MAX 64

void
Xc_CountRun(struct xc_exchange *exchange)
{
    exchange->may_have_run = true;
    if (!exchange->usage_counted && exchange->tenant != NULL) {
        struct ga_gate *gate = exchange->gate;
        Us_CountBegun(gate->usage,
                      Co_UsageWindow(gate, Tt_Now(gate->true_time)),
                      Qt_Hash(exchange->tenant->name));
        exchange->usage_counted = true;
    }
}

/* Copies the end-to-end header fields; NULL when out of memory. */
static char *
copy_fields(const struct h1_head *head)
{
    size_t size = 1;
    for (size_t i = 0; i < head->count; i++) {
        size += head->fields[i].name.len + head->fields[i].value.len + 4;
    }
    char *out = malloc(size);
    if (out == NULL) {
        return NULL;
    }
    size_t at = 0;
    for (size_t i = 0; i < head->count; i++) {
        const struct h1_field *field = &head->fields[i];
        if (H1_HopByHop(head, field->name)) {
            continue;
        }
        memcpy(out + at, field->name.at, field->name.len);
        at += field->name.len;
        out[at++] = ':';
        out[at++] = ' ';
        memcpy(out + at, field->value.at, field->value.len);
        at += field->value.len;
        out[at++] = '\r';
        out[at++] = '\n';
    }
    out[at] = '\0';
    return out;
}

static bool
is_genuine(const struct hd_answer *answer)
{
    return answer->sealed && answer->echoed && !answer->encoded;
}

/*
 * Notes that the endpoint sent bytes.  Relayed ones tell nothing of this
 * host's link to the endpoint.
 */
static void
note_bytes(struct xc_exchange *exchange)
{
    const struct xc_attempt *attempt = &exchange->attempt;
    if (Cn_Peer(attempt->channel) == 0) {
        attempt->endpoint->last_direct_byte_at = Ga_Now(exchange->gate);
    }
    El_NoteBytes(exchange->gate->liveness, attempt->endpoint);
}

static void
note_first_byte(struct xc_exchange *exchange, int64_t now)
{
    struct xc_attempt *attempt = &exchange->attempt;
    He_NoteFirstByte(attempt->endpoint, now - attempt->sent_at, now);
    Xc_NoteFirstByte(exchange, now - attempt->sent_at);
    exchange->first_byte_at =
        exchange->first_byte_at == 0 ? now : exchange->first_byte_at;
    Mt_Observe(exchange->gate->count.first_byte, now - exchange->arrived_at);
}

static bool
on_head(void *arg, const struct h1_head *head)
{
    struct xc_exchange *exchange = arg;
    struct xc_attempt *attempt = &exchange->attempt;
    note_bytes(exchange);
    exchange->gate->options.wire->decode_answer(head, exchange->info.id,
                                                &attempt->answer);
    if (!attempt->answer.id_matches) {
        Ln_Log(LN_FAILURE, "answer.foreign",
               "\"id\":\"%s\",\"endpoint\":\"%s\"", exchange->info.id,
               attempt->endpoint->entry.id);
        return false;
    }
    Bt_NoteAnswer(exchange->gate, attempt->endpoint,
                  attempt->answer.refusals_borne, attempt->sent_at);
    Rl_NoteAnswer(exchange->gate, attempt->endpoint, &attempt->answer);
    int64_t now = Ga_Now(exchange->gate);
    attempt->head_at = now;
    Lg_Set(Sv_Holder(exchange->request), LG_COPY, 0);
    attempt->status = head->status;
    attempt->fields = copy_fields(head);
    attempt->to_close =
        !head->chunked && H1_Find(head, "content-length") == NULL;
    attempt->endpoint->prefill_tokens -= attempt->prefill_tokens;
    attempt->prefill_tokens = 0;
    if (!attempt->answer.not_run) {
        exchange->runs += attempt->moved ? 0 : 1;
        Xc_CountRun(exchange);
    }
    bool good = head->status == 200 && is_genuine(&attempt->answer);
    attempt->streaming = good && exchange->route->kind == EC_STREAM;
    if (attempt->moved) {
        Tr_NoteAnswer(exchange, good);
    }
    else if (good) {
        note_first_byte(exchange, now);
        Xc_SamplePrefill(exchange, now);
    }
    return true;
}

/*
 * Whether an answer may grow by "len" bytes: within all that is held for
 * callers, and, unless it is small, within the part of answers.
 */
static bool
has_room(const struct xc_exchange *exchange, size_t len)
{
    const struct ga_gate *gate = exchange->gate;
    const struct bf_buffer *body = &exchange->attempt.body;
    size_t all_max =
        (size_t)gate->options.node->memory_bytes / Re_MEMORY_DIVISOR;
    size_t size = body->len + len;
    size_t more = Bf_Growth(body, len, SIZE_MAX);
    if (size > Re_SMALL_MAX &&
        (size > Re_BUFFERED_MAX ||
         Lg_Held(gate->ledger, LG_COMING) + more > all_max)) {
        return false;
    }
    return Lg_MakeRoom(Sv_Holder(exchange->request), more);
}

static void
buffer_body(struct xc_exchange *exchange, const char *data, size_t len)
{
    struct xc_attempt *attempt = &exchange->attempt;
    attempt->overflow |=
        !has_room(exchange, len) || !Bf_Add(&attempt->body, data, len);
    Lg_Set(Sv_Holder(exchange->request), LG_COMING, attempt->body.capacity);
}

static void
begin_answer(struct xc_exchange *exchange)
{
    if (!exchange->head_sent) {
        exchange->head_sent = true;
        strlcpy(exchange->version, exchange->attempt.answer.version,
                sizeof(exchange->version));
        Sv_Begin(exchange->request, exchange->attempt.status,
                 exchange->attempt.fields, -1);
    }
}

/* Takes the version of the weights from the event's first line, if given. */
static void
note_event_version(struct xc_exchange *exchange, const struct es_event *event)
{
    const char *field = exchange->gate->options.wire->event_version;
    size_t field_len = strlen(field);
    if (event->first_len <= field_len ||
        memcmp(event->first_line, field, field_len) != 0) {
        return;
    }
    size_t at = field_len;
    while (at < event->first_len && event->first_line[at] == ' ') {
        at++;
    }
    size_t len = event->first_len - at;
    if (len > 0 && event->first_line[event->first_len - 1] == '\r') {
        len--;
    }
    if (len < sizeof(exchange->version)) {
        memcpy(exchange->version, event->first_line + at, len);
        exchange->version[len] = '\0';
    }
}

static void
on_event(void *arg, const struct es_event *event)
{
    struct xc_exchange *exchange = arg;
    struct xc_attempt *attempt = &exchange->attempt;
    if (attempt->first_event_at == 0) {
        attempt->first_event_at = Ga_Now(exchange->gate);
        Qn_NoteAnswer(exchange->gate->quarantine, exchange);
    }
    Xc_NoteEvent(exchange);
    attempt->unnumbered =
        event->id >= 0 ? 0 : attempt->unnumbered + event->len;
    attempt->overflow |= attempt->unnumbered > Re_UNNUMBERED_MAX;
    if (attempt->events_missing || attempt->overflow) {
        return;
    }
    if (event->id >= 0 && exchange->last_event >= 0) {
        if (event->id <= exchange->last_event) {
            return;
        }
        if (event->id > exchange->last_event + 1) {
            attempt->events_missing = true;
            return;
        }
    }
    begin_answer(exchange);
    note_event_version(exchange, event);
    if (!Bf_Add(&exchange->events, event->data, event->len)) {
        attempt->overflow = true;
        return;
    }
    if (event->id >= 0) {
        exchange->last_event = event->id;
    }
    Xc_NoteOutput(exchange);
}

/*
 * What came together leaves together: a write for each event would hold up
 * all other callers where events are as small as an empty line.
 */
static void
pass_events(struct xc_exchange *exchange)
{
    Sv_Write(exchange->request, exchange->events.data, exchange->events.len);
    Bf_Free(&exchange->events);
}

static bool
on_body(void *arg, const char *data, size_t len)
{
    struct xc_exchange *exchange = arg;
    struct xc_attempt *attempt = &exchange->attempt;
    note_bytes(exchange);
    if (!attempt->streaming) {
        buffer_body(exchange, data, len);
        return !attempt->overflow;
    }
    Es_Feed(&attempt->parser, data, len, on_event, exchange);
    pass_events(exchange);
    attempt->overflow |= attempt->parser.failed;
    if (exchange->head_sent &&
        Sv_Pending(exchange->request) > Re_PENDING_MAX) {
        Cn_Pause(attempt->channel, true);
    }
    return !attempt->overflow;
}

/* Formats the ids of the shareable prompt parts for the log. */
static const char *
format_parts(const struct hd_request_info *info)
{
    static char text[Hd_PARTS_MAX * (Px_SHORT_ID_LEN + 1) + 1];
    size_t at = 0;
    text[0] = '\0';
    for (size_t i = 0; i + 1 < info->part_count; i++) {
        at += (size_t)snprintf(text + at, sizeof(text) - at, "%s%08x",
                               i == 0 ? "" : " ", Px_ShortId(&info->parts[i]));
    }
    return text;
}

/* The attempt failed: sends the request to another endpoint, or refuses it. */
static void
retry_or_refuse(struct xc_exchange *exchange, bool ran, int status,
                const char *why)
{
    const struct xc_attempt *attempt = &exchange->attempt;
    Ln_Log(LN_FAILURE, "attempt.failed",
           "\"id\":\"%s\",\"endpoint\":\"%s\",\"why\":\"%s\",\"ran\":%d,"
           "\"status\":%d,\"sends\":%d,\"ms\":%lld,\"events\":%d,"
           "\"end\":\"%s\",\"relayed\":%d,\"parts\":\"%s\"",
           exchange->info.id, attempt->endpoint->entry.id, why, ran,
           attempt->status, exchange->sends,
           (long long)((Ga_Now(exchange->gate) - attempt->sent_at) /
                       Ck_USEC_PER_MSEC),
           attempt->first_event_at != 0, Xc_EndName(attempt),
           Xc_IsRelayed(attempt), format_parts(&exchange->info));
    struct qn_verdict verdict;
    struct qn_quarantine *quarantine = exchange->gate->quarantine;
    struct pz_request prompt = Qn_RequestOf(quarantine, exchange);
    if (!exchange->head_sent &&
        Qn_IsQuarantined(quarantine, &prompt, &verdict)) {
        Xc_Refuse(exchange, Xc_RefusalStatus(exchange), verdict.retry_usec,
                  verdict.why);
        return;
    }
    if (Xc_MayRetry(exchange, ran) && !Qn_ForbidsRetry(quarantine, exchange)) {
        Xc_ReleaseAttempt(exchange);
        Xc_Dispatch(exchange);
        return;
    }
    Xc_Refuse(exchange, status, status == 503 ? Re_RETRY_USEC : 0, why);
}

/* Passes a complete answer to the caller. */
static void
pass_answer(struct xc_exchange *exchange)
{
    struct sv_request *request = exchange->request;
    struct xc_attempt *attempt = &exchange->attempt;
    char *fields = attempt->fields;
    struct bf_buffer body = attempt->body;
    int status = attempt->status;
    bool served = status < 500;
    attempt->fields = NULL;
    attempt->body = (struct bf_buffer){0};
    Sv_SetUser(request, NULL);
    Xc_End(exchange, served ? "served" : "endpoint failed");
    Sv_Reply(request, status, fields == NULL ? "" : fields, body.data,
             body.len);
    free(fields);
    Bf_Free(&body);
}

static void
end_stream(struct xc_exchange *exchange)
{
    struct sv_request *request = exchange->request;
    begin_answer(exchange);
    Sv_SetUser(request, NULL);
    Xc_End(exchange, "served");
    Sv_End(request);
}

static void
on_complete(struct xc_exchange *exchange)
{
    struct xc_attempt *attempt = &exchange->attempt;
    struct fl_endpoint *endpoint = attempt->endpoint;
    int64_t now = Ga_Now(exchange->gate);
    if (attempt->streaming) {
        bool broken = attempt->events_missing || attempt->parser.failed ||
                      Es_BufferedLen(&attempt->parser) > 0;
        Xc_JudgeAnswer(exchange, broken);
        He_Note(endpoint, broken ? HE_FAILED : HE_SERVED, now);
        if (broken) {
            retry_or_refuse(exchange, true, 502, "stream cut");
        }
        else {
            Qn_NoteWholeAnswer(exchange->gate->quarantine, exchange);
            Xc_LearnOutput(exchange);
            end_stream(exchange);
        }
        return;
    }
    if (attempt->answer.not_run && attempt->moved) {
        retry_or_refuse(exchange, true, 502, "moved run not taken");
        return;
    }
    if (attempt->answer.not_run) {
        if (attempt->status != 421) {
            Bt_NoteRefused(exchange->gate, endpoint);
            Xc_JudgeRefusal(exchange, true);
        }
        He_Note(endpoint, attempt->status == 421 ? HE_BROKE : HE_REFUSED, now);
        retry_or_refuse(exchange, false, Xc_RefusalStatus(exchange),
                        "endpoint refused");
        return;
    }
    Xc_JudgeAnswer(exchange,
                   attempt->status >= 500 || !is_genuine(&attempt->answer));
    if (!is_genuine(&attempt->answer) || attempt->overflow ||
        exchange->head_sent) {
        He_Note(endpoint, HE_FAILED, now);
        retry_or_refuse(exchange, true, 502, "not the endpoint's answer");
        return;
    }
    Qn_NoteWholeAnswer(exchange->gate->quarantine, exchange);
    if (attempt->status >= 500) {
        He_Note(endpoint, HE_FAILED, now);
        if (Xc_MayRetry(exchange, true)) {
            retry_or_refuse(exchange, true, 502, "endpoint failed");
            return;
        }
    }
    else {
        He_Note(endpoint, HE_SERVED, now);
        Qn_NoteAnswer(exchange->gate->quarantine, exchange);
    }
    pass_answer(exchange);
}

/* The answer has been cut off: it has no end, or is none. */
static void
on_cut_off(struct xc_exchange *exchange)
{
    struct xc_attempt *attempt = &exchange->attempt;
    Mt_Add(exchange->gate->count.answers_cut_off, 1);
    Xc_JudgeAnswer(exchange, true);
    He_Note(attempt->endpoint, HE_FAILED, Ga_Now(exchange->gate));
    retry_or_refuse(exchange, true, 502, "not the endpoint's answer");
}

/* Notes a connection that failed or broke before the answer's end. */
static void
note_broken(struct xc_exchange *exchange)
{
    struct fl_endpoint *endpoint = exchange->attempt.endpoint;
    int64_t now = Ga_Now(exchange->gate);
    He_Note(endpoint, HE_BROKE, now);
    Wa_NoteBroken(endpoint, exchange->service, now);
}

/* Whether it matters that the answer is whole, and its end does not show it.
 */
static bool
has_doubtful_end(const struct xc_attempt *attempt, enum cn_outcome outcome)
{
    return outcome == CN_COMPLETE && !attempt->end_checked &&
           Cn_End(attempt->channel) == CN_END_CLOSED &&
           attempt->status < 500 && !attempt->answer.not_run;
}

void
Xc_EndAttempt(struct xc_exchange *exchange, enum cn_outcome outcome)
{
    const struct xc_attempt *attempt = &exchange->attempt;
    if (has_doubtful_end(attempt, outcome) && !attempt->stopped) {
        if (Eg_Begin(exchange)) {
            return;
        }
        outcome = CN_BROKEN;
    }
    exchange->delivered += outcome != CN_NOT_SENT || attempt->moved;
    if (outcome == CN_COMPLETE && attempt->stopped && attempt->to_close) {
        /* The end of the connection may be that of the stopped run. */
        outcome = CN_BROKEN;
    }
    switch (outcome) {
    case CN_COMPLETE:
        on_complete(exchange);
        break;
    case CN_NOT_SENT:
        note_broken(exchange);
        retry_or_refuse(exchange, false, Xc_RefusalStatus(exchange),
                        "endpoint not reached");
        break;
    case CN_BROKEN:
        if (attempt->overflow) {
            on_cut_off(exchange);
            break;
        }
        if (attempt->stopped) {
            /* This host had the run stopped, so its end is no fault. */
            exchange->attempt.judged = true;
            retry_or_refuse(exchange, true, 502, "stopped for a move");
            break;
        }
        note_broken(exchange);
        if (Cn_Peer(attempt->channel) != 0) {
            Pt_NoteRelayBroke(exchange->gate->paths,
                              Cn_Peer(attempt->channel));
        }
        exchange->attempt.judged = Bk_Note(exchange->gate->breaks, exchange);
        if (attempt->head_at == 0) {
            exchange->runs += attempt->moved ? 0 : 1;
            Xc_CountRun(exchange);
        }
        Qn_NoteBroken(exchange->gate->quarantine, exchange);
        retry_or_refuse(exchange, true, 502, "connection broke");
        break;
    }
}

/* Counts how the answer ended; without its head there was none. */
static void
count_end(const struct xc_exchange *exchange)
{
    const struct xc_attempt *attempt = &exchange->attempt;
    if (attempt->head_at == 0) {
        return;
    }
    char labels[Re_LABELS_MAX];
    snprintf(labels, sizeof(labels), "end=\"%s\",way=\"%s\"",
             Xc_EndName(attempt), Xc_IsRelayed(attempt) ? "peer" : "direct");
    Mt_Add(Mt_Get(exchange->gate->registry, MT_COUNTER,
                  "cornelgate_answer_ends_total", labels),
           1);
}

static void
on_done(void *arg, enum cn_outcome outcome)
{
    struct xc_exchange *exchange = arg;
    count_end(exchange);
    if (!Tr_HoldEnd(exchange, outcome)) {
        Xc_EndAttempt(exchange, outcome);
    }
}

const struct cn_ops xc_channel_ops = {
    .head = on_head,
    .body = on_body,
    .done = on_done,
};
