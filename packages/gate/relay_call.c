/* The call of an attempt to its engine. */
#include <bsd/string.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "gate/quarantine.h"
#include "gate/relay_engine.h"

#define Rl_EVENT_MAX ((size_t)64 << 10)
/* Bytes of events that are no tokens, or of an error's text. */
#define Rl_NO_TOKEN_MAX ((size_t)256 << 10)
#define Rl_URGENT_PRIORITY 10
#define Rl_PATIENT_PRIORITY 1

static enum st_status send_call(struct rl_engine *relay);

/* Closes the connection to the engine, which then stops computing. */
void
Re_DropCall(struct rl_engine *relay)
{
    if (relay->call != NULL) {
        Hc_Cancel(relay->call);
        relay->call = NULL;
    }
}

static void
take_headers(void *arg, struct hc_call *call, int code)
{
    struct rl_engine *relay = arg;
    struct gt_gate *gate = relay->request->gate;
    Rh_Connected(gate->reach, &relay->tries);
    relay->code = code;
    if (relay->flight.endpoint != NULL) {
        Gq_RecordAlive(gate->quarantine, Ch_Info(relay->flight.endpoint)->id);
    }
}

static enum ch_outcome
flight_outcome(enum hc_stage reached, int code)
{
    if (reached == HC_CONNECTING) {
        return CH_UNREACHED;
    }
    return code == 429 || code == 503 ? CH_OVERLOADED : CH_FAILED;
}

/* Reports a connection that broke to the quarantine. */
static void
report_break(struct rl_engine *relay, const struct hc_result *result)
{
    struct rq_request *request = relay->request;
    if (result->stage == HC_CONNECTING || relay->flight.endpoint == NULL) {
        return;
    }
    struct gq_break connection_break = {
        .endpoint = Ch_Info(relay->flight.endpoint)->id,
        .head_received = relay->code == 200,
        .begun = relay->flight.first_token,
        .relayed = relay->tries.peer_outcome == LI_CONNECTED,
        .sent_at = relay->flight.started,
    };
    Gq_RecordBreak(request->gate->quarantine, request, &connection_break);
}

static void
call_done(void *arg, struct hc_call *call, const struct hc_result *result)
{
    struct rl_engine *relay = arg;
    relay->call = NULL;
    if (Rh_Next(relay->request->gate->reach, &relay->tries, result) &&
        send_call(relay) == ST_OK) {
        return;
    }
    if (relay->done) {
        Re_Finish(relay);
        return;
    }
    /*
     * A 4xx status refuses the request as invalid only on the first attempt.
     * A later engine that rejects a resumption must not cause "not run" after
     * another engine has run the request, nor a refusal inside a stream.
     */
    if (result->code >= 400 && result->code < 500 && result->code != 429 &&
        Rq_SentCount(&relay->attempts) == 1) {
        Re_EndFlight(relay, CH_GOOD);
        Rq_Refuse(relay->request, AN_INVALID, 0,
                  "the engine refused the request with %d; check its fields",
                  result->code);
        return;
    }
    if (result->code == 0 || result->code == 200) {
        report_break(relay, result);
    }
    if (result->stage == HC_CONNECTING && relay->flight.endpoint != NULL) {
        Gq_RecordDead(relay->request->gate->quarantine,
                      Ch_Info(relay->flight.endpoint)->id);
    }
    Re_EndFlight(relay, flight_outcome(result->stage, result->code));
    Re_AttemptFailed(relay, result->stage);
}

static void
take_data(void *arg, struct hc_call *call, const void *data, size_t len)
{
    struct rl_engine *relay = arg;
    relay->bytes_without_token += len;
    if (relay->code == 200 &&
        Ss_Feed(relay->parser, data, len, Re_TakeEvent, relay) != ST_OK) {
        relay->invalid = true;
    }
    relay->invalid |= relay->bytes_without_token > Rl_NO_TOKEN_MAX;
    if (relay->done) {
        Re_DropCall(relay);
        Re_Finish(relay);
    }
    else if (relay->invalid) {
        Re_DropCall(relay);
        Re_EndFlight(relay, CH_FAILED);
        Re_AttemptFailed(relay, HC_ANSWERED);
    }
}

static const struct hc_ops call_ops = {
    .headers = take_headers,
    .data = take_data,
    .done = call_done,
};

static enum st_status
send_call(struct rl_engine *relay)
{
    struct rq_request *request = relay->request;
    const struct ch_info *info = Ch_Info(relay->flight.endpoint);
    struct en_resume resume = {
        .text = relay->text,
        .text_len = relay->text_len,
        .tokens = relay->tokens,
        .kv = relay->kv_handle[0] != '\0' ? relay->kv_handle : NULL,
    };
    char *body = En_BuildRequest(
        &request->prompt,
        request->patient ? Rl_PATIENT_PRIORITY : Rl_URGENT_PRIORITY, &resume);
    if (body == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for a request body");
    }
    struct web_header header = {"x-request-id", relay->attempt};
    struct hc_request call = {
        .address = info->address,
        .port = info->port,
        .method = "POST",
        .path =
            request->prompt.chat ? "/v1/chat/completions" : "/v1/completions",
        .type = "application/json",
        .headers = &header,
        .header_count = 1,
        .body = body,
        .body_len = strlen(body),
    };
    Rh_FillCall(&relay->tries, &call);
    enum st_status status =
        Hc_Start(request->gate->loop, &call, &call_ops, relay, &relay->call);
    free(body);
    return status;
}

/* Sends the request to the engine of the current flight. */
void
Re_Launch(struct rl_engine *relay, const char *kv)
{
    Ss_Destroy(relay->parser);
    relay->parser = Ss_Create(Rl_EVENT_MAX);
    relay->attempts.total++;
    relay->invalid = false;
    relay->bytes_without_token = 0;
    relay->paused = false;
    relay->code = 0;
    relay->tokens_at_start = relay->tokens;
    relay->expected_tokens = -1;
    snprintf(relay->attempt, sizeof(relay->attempt), "%s.%d",
             relay->request->id, relay->attempts.total);
    strlcpy(relay->kv_handle, kv != NULL ? kv : "", sizeof(relay->kv_handle));
    Rh_Begin(relay->request->gate->reach, &relay->tries,
             Ch_Info(relay->flight.endpoint));
    if (relay->parser == NULL || send_call(relay) != ST_OK) {
        relay->attempts.not_sent++;
        Re_GiveUp(relay, Re_MayHaveRun(relay) ? AN_UNKNOWN : AN_OVERLOADED,
                  "this host is out of memory; come back later");
    }
}
