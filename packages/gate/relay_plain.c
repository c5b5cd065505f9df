/*
 * Relays a request to an endpoint of a plain service.
 *
 * A request that must not run twice is sent once.  It is sent again only if no
 * byte of it can have been sent before.  When its answer is lost the caller is
 * told that the outcome is unknown.
 */
#include <bsd/string.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/event.h"
#include "gate/endpoints.h"
#include "gate/events.h"
#include "gate/quarantine.h"
#include "gate/reach.h"
#include "gate/request.h"
#include "web/client.h"
#include "web/outlive.h"

#define Rl_ATTEMPT_MAX (Rq_ID_MAX + 16)
#define Rl_TYPE_MAX 128
#define Rl_URL_MAX 4096
#define Rl_ANSWER_MAX ((size_t)4 << 20)
#define Rl_RETRY_SOON_SEC 1
/* How long to wait for an answer after the caller has gone. */
#define Rl_LINGER_USEC (60 * Ck_USEC_PER_SEC)

/* How the last attempt's call ended; the answer may yet be in doubt. */
struct ended {
    bool complete; /* the whole answer came */
    enum hc_stage stage;
    int code;
    char *body; /* owned; NULL: none */
    size_t len;
};

struct rl_plain {
    struct hc_call *call;
    struct ended ended;
    struct ol_query *query; /* whether the answer is whole; NULL: not asked */
    struct ch_flight flight;
    struct ch_table *table;
    char attempt[Rl_ATTEMPT_MAX];
    struct rq_attempts attempts;
    struct rh_tries tries;
    char type[Rl_TYPE_MAX];
    bool id_matches; /* the answer has the id of this attempt */
    bool head_received;
    /*
     * An earlier attempt may have been sent, so that an endpoint may have run
     * it.  Without this flag, a last attempt that did not connect would make
     * the whole request "not run".
     */
    bool maybe_sent;
    bool lingering;       /* waits for the answer only to record it */
    int64_t headers_usec; /* time to the headers of the answer */
};

static void
end_flight(struct rq_request *request, enum ch_outcome outcome)
{
    struct rl_plain *relay = request->plain;
    if (relay->flight.endpoint != NULL) {
        struct pa_pace no_tokens = {0, 0};
        Rq_RecordOutcome(request, &relay->flight, outcome, relay->headers_usec,
                         &no_tokens);
        Ch_End(relay->table, &relay->flight, outcome,
               Ck_Now(request->gate->clock));
        relay->flight.endpoint = NULL;
    }
}

static void
take_headers(void *arg, struct hc_call *call, int code)
{
    struct rq_request *request = arg;
    struct rl_plain *relay = request->plain;
    Rh_Connected(request->gate->reach, &relay->tries);
    if (relay->flight.endpoint != NULL) {
        Gq_RecordAlive(request->gate->quarantine,
                       Ch_Info(relay->flight.endpoint)->id);
    }
    relay->head_received = true;
    const char *type = Hc_Header(call, "content-type");
    strlcpy(relay->type, type != NULL ? type : "application/octet-stream",
            sizeof(relay->type));
    const char *id = Hc_Header(call, "x-request-id");
    relay->id_matches = id != NULL && strcmp(id, relay->attempt) == 0;
    int64_t now = Ck_Now(request->gate->clock);
    relay->headers_usec = now - relay->flight.started;
    Ch_FirstToken(relay->table, &relay->flight, now);
}

/* Records the answer for retries of the request under the same key. */
static void
record_result(struct rq_request *request, int code, const char *body,
              size_t len)
{
    struct cl_answer answer = {
        .code = code,
        .body = body,
        .len = len,
    };
    strlcpy(answer.type, request->plain->type, sizeof(answer.type));
    Hash_Digest(body != NULL ? body : "", len, answer.digest);
    Gc_Result(request->gate->claims, &request->key, &answer);
    request->claimed = false;
}

static void
answer_caller(struct rq_request *request)
{
    struct ended *ended = &request->plain->ended;
    if (request->claimed) {
        record_result(request, ended->code, ended->body, ended->len);
    }
    if (request->http != NULL) {
        struct web_header headers[] = {
            {"cornelgate-request-id", request->id},
            {"cornelgate-outcome", An_OutcomeName(AN_RAN)},
        };
        Hs_SetUser(request->http, NULL);
        Hs_ReplyOwned(request->http, ended->code, request->plain->type,
                      headers, 2, ended->body, ended->len);
        ended->body = NULL;
        request->http = NULL;
    }
    Rq_Finish(request, AN_RAN);
}

/* Refuses a request that must not run twice but may have run. */
static void
outcome_unknown(struct rq_request *request)
{
    Ev_Log(&GT_OUTCOME_UNKNOWN, "request=%s service=%s", request->id,
           request->service->name);
    if (request->claimed) {
        Gc_Unknown(request->gate->claims, &request->key);
        request->claimed = false;
    }
    Rq_Refuse(request, AN_UNKNOWN, 0,
              "the endpoint may have run this request and its answer is "
              "lost; it will not be run again; ask the service about "
              "request %s",
              request->id);
}

/* Whether an endpoint may have run any attempt. */
static bool
may_have_run(const struct rl_plain *relay)
{
    return relay->maybe_sent ||
           (relay->call != NULL && Hc_Stage(relay->call) != HC_CONNECTING);
}

static void attempt(struct rq_request *request);
static enum st_status send_call(struct rq_request *request);

/* Reports a connection that broke, or could not be made. */
static void
report_break(struct rq_request *request)
{
    struct rl_plain *relay = request->plain;
    struct gq_quarantine *quarantine = request->gate->quarantine;
    if (relay->flight.endpoint == NULL || relay->ended.complete) {
        return;
    }
    const char *endpoint = Ch_Info(relay->flight.endpoint)->id;
    if (relay->ended.stage == HC_CONNECTING) {
        Gq_RecordDead(quarantine, endpoint);
    }
    else {
        struct gq_break broke = {
            .endpoint = endpoint,
            .head_received = relay->head_received,
            .relayed = relay->tries.peer_outcome == LI_CONNECTED,
            .sent_at = relay->flight.started,
        };
        Gq_RecordBreak(quarantine, request, &broke);
    }
}

/* Answers the caller, makes another attempt, or gives the request up. */
static void
end_attempt(struct rq_request *request)
{
    struct rl_plain *relay = request->plain;
    const struct ended *ended = &relay->ended;
    if (ended->complete && relay->id_matches && ended->code < 500) {
        end_flight(request, CH_GOOD);
        Rq_RecordSuccess(request);
        Gq_RecordAnswer(request->gate->quarantine, request);
        answer_caller(request);
        return;
    }
    bool maybe_sent = ended->stage != HC_CONNECTING;
    report_break(request);
    end_flight(request, maybe_sent ? CH_FAILED : CH_UNREACHED);
    if (ended->complete && !relay->id_matches) {
        /*
         * The endpoint mixed up two answers: this one belongs to another
         * request and must not reach the caller.
         */
        Ev_Log(&GT_CROSSED, "request=%s service=%s", request->id,
               request->service->name);
        Gt_Count(request->gate, "cg_crossed_answers_total", NULL, NULL);
    }
    relay->maybe_sent = relay->maybe_sent || maybe_sent;
    enum rt_stage stage = maybe_sent ? RT_SENT : RT_NOT_SENT;
    Rq_RecordFailure(&relay->attempts, &relay->flight, stage);
    if (!Gq_DeniesRetry(request->gate->quarantine, request) &&
        Rq_MayRetry(request, stage, &relay->attempts)) {
        attempt(request);
        return;
    }
    if (ended->complete && relay->id_matches) {
        answer_caller(request);
        return;
    }
    if (maybe_sent && !request->idempotent) {
        outcome_unknown(request);
        return;
    }
    Rq_Refuse(request, may_have_run(relay) ? AN_UNKNOWN : AN_UNAVAILABLE,
              Rl_RETRY_SOON_SEC,
              "no endpoint of %s gave an answer; come back later",
              request->service->name);
}

static bool ask_endpoint(struct rq_request *request, bool through);

/*
 * Without a length the end is that of the connection, which a killed endpoint
 * or peer ends in the same way; see web/outlive.h.
 */
static void
on_asked(void *arg, enum ol_result result)
{
    struct rq_request *request = arg;
    struct rl_plain *relay = request->plain;
    relay->query = NULL;
    if (result == OL_DECLINED && ask_endpoint(request, false)) {
        return;
    }
    if (result != OL_ANSWERED) {
        Ev_Log(&GT_ANSWER_UNCONFIRMED, "request=%s service=%s check=%s",
               request->id, request->service->name, Ol_ResultName(result));
        Gt_Count(request->gate, "cg_answers_unconfirmed_total", NULL, NULL);
        relay->ended.complete = false;
        relay->ended.stage = HC_ANSWERED;
    }
    end_attempt(request);
}

/* Asks for no more than a connection: any request would be a run. */
static bool
ask_endpoint(struct rq_request *request, bool through)
{
    struct rl_plain *relay = request->plain;
    if (relay->flight.endpoint == NULL) {
        return false;
    }
    const struct ch_info *info = Ch_Info(relay->flight.endpoint);
    struct di_way way;
    Rh_FillWay(request->gate->reach, &relay->tries, info, through, &way);
    struct ol_options options = {
        .loop = request->gate->loop,
        .way = &way,
        .host = info->address,
    };
    relay->query = Ol_Start(&options, on_asked, request);
    return relay->query != NULL;
}

static void
call_done(void *arg, struct hc_call *call, const struct hc_result *result)
{
    struct rq_request *request = arg;
    struct rl_plain *relay = request->plain;
    relay->call = NULL;
    if (Rh_Next(request->gate->reach, &relay->tries, result) &&
        send_call(request) == ST_OK) {
        return;
    }
    struct ended *ended = &relay->ended;
    free(ended->body);
    ended->body = Hc_TakeBody(call, &ended->len);
    if (request->http != NULL) {
        Hs_HoldAnswer(request->http, ended->len);
    }
    ended->complete = result->stage == HC_COMPLETE;
    ended->stage = result->stage;
    ended->code = result->code;
    if (ended->complete && Hc_EndsByClosing(call)) {
        relay->maybe_sent = true;
        if (ask_endpoint(request, Rh_IsThrough(&relay->tries))) {
            return;
        }
        ended->complete = false;
        ended->stage = HC_ANSWERED;
    }
    end_attempt(request);
}

static const struct hc_ops call_ops = {
    .headers = take_headers,
    .done = call_done,
};

static enum st_status
send_call(struct rq_request *request)
{
    struct rl_plain *relay = request->plain;
    const struct ch_info *info = Ch_Info(relay->flight.endpoint);
    const char *key = Hs_Header(request->http, "idempotency-key");
    const char *type = Hs_Header(request->http, "content-type");
    struct web_header headers[] = {
        {"x-request-id", relay->attempt},
        {"idempotency-key", key != NULL ? key : ""},
    };
    char url[Rl_URL_MAX];
    size_t body_len;
    const char *body = Hs_Body(request->http, &body_len);
    if (!Hs_Target(request->http, url, sizeof(url))) {
        return St_Fail(ST_INVALID, "the path and query are too long");
    }
    struct hc_request call = {
        .address = info->address,
        .port = info->port,
        .method = Hs_Method(request->http),
        .path = url,
        .type = body_len > 0 ? (type != NULL ? type : "text/plain") : NULL,
        .headers = headers,
        .header_count = key != NULL ? 2 : 1,
        .body = body,
        .body_len = body_len,
        .collect_max = Rl_ANSWER_MAX,
        .ledger = request->gate->ledger,
    };
    Rh_FillCall(&relay->tries, &call);
    return Hc_Start(request->gate->loop, &call, &call_ops, request,
                    &relay->call);
}

/*
 * Chooses the endpoint of the next attempt.  When all endpoints that have not
 * failed the request are busy, those that failed it are allowed again, since a
 * plain request does not wait for capacity.
 */
static enum st_status
choose(struct rq_request *request, struct ch_request *criteria)
{
    struct rl_plain *relay = request->plain;
    enum st_status status =
        Rq_Choose(request, relay->table, criteria, &relay->flight);
    if (status == ST_OVERLOAD && request->tried_count > 0) {
        status = Rq_ChooseAny(request, relay->table, criteria, &relay->flight);
    }
    return status;
}

static void
attempt(struct rq_request *request)
{
    struct gt_gate *gate = request->gate;
    struct rl_plain *relay = request->plain;
    int64_t now = Ck_Now(gate->clock);
    struct ch_request criteria = {
        .budget = request->deadline - now,
        .is_retry = relay->attempts.total > 0,
        .failed = Rq_HasFailed(&relay->attempts),
    };
    relay->table = Ep_Table(gate->endpoints, request->service->name);
    if (choose(request, &criteria) != ST_OK) {
        Rq_Refuse(request, may_have_run(relay) ? AN_UNKNOWN : AN_UNAVAILABLE,
                  Rl_RETRY_SOON_SEC, "no endpoint of %s %s; come back later",
                  request->service->name,
                  Rq_WhyUnavailable(request, relay->table));
        return;
    }
    relay->attempts.total++;
    relay->id_matches = false;
    relay->head_received = false;
    snprintf(relay->attempt, sizeof(relay->attempt), "%s.%d", request->id,
             relay->attempts.total);
    Rh_Begin(gate->reach, &relay->tries, Ch_Info(relay->flight.endpoint));
    if (send_call(request) != ST_OK) {
        end_flight(request, CH_CANCELLED);
        Rq_Refuse(request, may_have_run(relay) ? AN_UNKNOWN : AN_INVALID, 0,
                  "%s", St_Message());
    }
}

/* Starts relaying a request; the relay ends the request. */
void
Rl_PlainStart(struct rq_request *request)
{
    request->plain = calloc(1, sizeof(*request->plain));
    if (request->plain == NULL) {
        Rq_Refuse(request, AN_OVERLOADED, Rl_RETRY_SOON_SEC,
                  "this host is out of memory; come back later");
        return;
    }
    attempt(request);
}

/*
 * Handles a caller that has gone.  A request that has claimed a key and may
 * have run waits Rl_LINGER_USEC for its answer, which is recorded for a retry
 * under the same key.
 */
void
Rl_PlainCallerGone(struct rq_request *request)
{
    struct rl_plain *relay = request->plain;
    bool maybe_sent = may_have_run(relay);
    if (maybe_sent && request->claimed) {
        relay->lingering = true;
        Lp_TimerSet(request->timer, Rl_LINGER_USEC);
        return;
    }
    end_flight(request, CH_CANCELLED);
    if (!maybe_sent && request->claimed) {
        Gc_Release(request->gate->claims, &request->key);
        request->claimed = false;
    }
    Rq_Finish(request, maybe_sent ? AN_OUTCOME_UNKNOWN : AN_NOT_RUN);
}

/* Answers a caller whose deadline has passed. */
void
Rl_PlainDeadline(struct rq_request *request)
{
    struct rl_plain *relay = request->plain;
    bool maybe_sent = may_have_run(relay);
    if (!maybe_sent) {
        end_flight(request, CH_FAILED);
        Rq_Refuse(request, AN_DEADLINE, Rl_RETRY_SOON_SEC,
                  "no endpoint could be reached in time; come back later");
        return;
    }
    if (request->idempotent) {
        end_flight(request, CH_FAILED);
        Rq_Refuse(request, AN_UNKNOWN, Rl_RETRY_SOON_SEC,
                  "the endpoint has not answered in time; this request may "
                  "be repeated");
        return;
    }
    if (!request->claimed || relay->lingering) {
        end_flight(request, CH_FAILED);
        outcome_unknown(request);
        return;
    }
    An_Refuse(request->http, request->id, AN_UNKNOWN, Rl_RETRY_SOON_SEC,
              "the endpoint has not answered in time; ask again with the "
              "same key to learn the outcome");
    Hs_SetUser(request->http, NULL);
    request->http = NULL;
    relay->lingering = true;
    Lp_TimerSet(request->timer, Rl_LINGER_USEC);
}

/* Cancels the call and frees the relay. */
void
Rl_PlainFree(struct rl_plain *relay)
{
    if (relay == NULL) {
        return;
    }
    if (relay->call != NULL) {
        Hc_Cancel(relay->call);
    }
    Ol_Cancel(relay->query);
    free(relay->ended.body);
    free(relay);
}
