/* The events of an engine's stream: tokens, usage and the end mark. */
#include <stdlib.h>
#include <string.h>

#include "base/event.h"
#include "gate/events.h"
#include "gate/quarantine.h"
#include "gate/relay_engine.h"

#define Rl_TEXT_MAX ((size_t)4 << 20)

static bool
append_text(struct rl_engine *relay, const char *text)
{
    size_t len = strlen(text);
    if (relay->text_len + len > Rl_TEXT_MAX) {
        return false;
    }
    if (relay->text_len + len > relay->text_size) {
        size_t size = (relay->text_len + len) * 2;
        char *grown = realloc(relay->text, size);
        if (grown == NULL) {
            return false;
        }
        relay->text = grown;
        relay->text_size = size;
    }
    memcpy(relay->text + relay->text_len, text, len);
    relay->text_len += len;
    return true;
}

static void
observe_token(struct rl_engine *relay)
{
    struct rq_request *request = relay->request;
    int64_t now = Ck_Now(request->gate->clock);
    if (relay->tokens == 0) {
        Mt_Observe(relay->first_token_metric, now - request->arrived_at);
    }
    else {
        Mt_Observe(relay->token_metric, now - relay->last_token_at);
    }
    relay->last_token_at = now;
    if (relay->flight.endpoint != NULL && !relay->flight.first_token) {
        relay->first_token_at = now;
        relay->first_token_usec = now - relay->flight.started;
        Ch_FirstToken(relay->table, &relay->flight, now);
        Gq_RecordFirstToken(request->gate->quarantine, request);
    }
}

static void
take_token(struct rl_engine *relay, struct en_event *event)
{
    struct rq_request *request = relay->request;
    if (event->index < relay->tokens) {
        Gt_Count(request->gate, "cg_repeated_tokens_total", NULL, NULL);
        return;
    }
    if (event->index > relay->tokens || !append_text(relay, event->text)) {
        relay->invalid = true;
        return;
    }
    observe_token(relay);
    relay->bytes_without_token = 0;
    relay->tokens++;
    if (request->http == NULL || !request->prompt.stream) {
        return;
    }
    if (!relay->streaming) {
        Re_BeginStream(relay);
    }
    char *line = En_CallerEvent(event, request->id, request->prompt.model);
    if (line != NULL) {
        Re_SendEvent(relay, line);
    }
    free(line);
}

static void
take_usage(struct rl_engine *relay, const struct en_event *event)
{
    relay->expected_tokens =
        relay->tokens_at_start + event->usage.completion_tokens;
    relay->recomputed_tokens += event->usage.recomputed_tokens;
    relay->usage = event->usage;
    relay->usage.completion_tokens = relay->expected_tokens;
    relay->usage.recomputed_tokens = relay->recomputed_tokens;
}

/*
 * An end mark does not prove that the answer is complete, because events with
 * another request's id have been dropped.  The engine's token count must match
 * as well.
 */
static void
take_end(struct rl_engine *relay)
{
    if (relay->expected_tokens == relay->tokens) {
        relay->done = true;
    }
    else {
        relay->invalid = true;
    }
}

/*
 * Handles an event of the engine's stream.  Sets relay->done at the end of the
 * answer, and relay->invalid when the attempt has failed.
 */
void
Re_TakeEvent(void *arg, const char *data, size_t len)
{
    struct rl_engine *relay = arg;
    struct rq_request *request = relay->request;
    struct en_event event;
    if (relay->done || relay->invalid) {
        return;
    }
    if (En_ReadEvent(data, len, &event) != ST_OK) {
        relay->invalid = true;
        return;
    }
    if (event.kind == EN_DONE) {
        take_end(relay);
        return;
    }
    if (strcmp(event.id, relay->attempt) != 0) {
        /* An event of another request, or a late one of an earlier attempt. */
        Ev_Log(&GT_CROSSED, "request=%s service=%s", request->id,
               request->service->name);
        Gt_Count(request->gate, "cg_crossed_answers_total", NULL, NULL);
    }
    else if (event.kind == EN_TOKEN) {
        take_token(relay, &event);
    }
    else if (event.kind == EN_USAGE) {
        take_usage(relay, &event);
    }
    else {
        relay->invalid = true;
    }
    En_EventFree(&event);
}
