/* What an engine relay sends to the caller. */
#include <stdlib.h>
#include <string.h>

#include "gate/relay_engine.h"

#define Rl_PENDING_MAX ((size_t)256 << 10) /* bytes the caller has to read */

/* Sends the response headers of a stream to the caller. */
void
Re_BeginStream(struct rl_engine *relay)
{
    struct rq_request *request = relay->request;
    struct web_header headers[] = {
        {"cornelgate-request-id", request->id},
        {"cornelgate-outcome", An_OutcomeName(AN_RAN)},
        {"cache-control", "no-cache"},
    };
    Hs_StreamBegin(request->http, 200, "text/event-stream", headers, 3);
    relay->streaming = true;
}

/*
 * Sends an event to the caller.  Pauses the engine when the caller reads more
 * slowly than it sends.
 */
void
Re_SendEvent(struct rl_engine *relay, const char *data)
{
    struct rq_request *request = relay->request;
    Hs_StreamWrite(request->http, "data: ", strlen("data: "));
    Hs_StreamWrite(request->http, data, strlen(data));
    Hs_StreamWrite(request->http, "\n\n", 2);
    if (Hs_Pending(request->http) > Rl_PENDING_MAX && relay->call != NULL &&
        !relay->paused) {
        /* Backpressure: a slow caller must not fill this host's memory. */
        Hc_Pause(relay->call, true);
        relay->paused = true;
    }
}

/* Ends the caller's stream, or sends the answer as one body. */
void
Re_AnswerCaller(struct rl_engine *relay)
{
    struct rq_request *request = relay->request;
    if (request->http == NULL) {
        return;
    }
    Hs_SetUser(request->http, NULL);
    if (request->prompt.stream) {
        if (!relay->streaming) {
            Re_BeginStream(relay);
        }
        Re_SendEvent(relay, "[DONE]");
        Hs_StreamEnd(request->http);
        request->http = NULL;
        return;
    }
    struct web_header headers[] = {
        {"cornelgate-request-id", request->id},
        {"cornelgate-outcome", An_OutcomeName(AN_RAN)},
    };
    char *body = En_CallerAnswer(&request->prompt, request->id, relay->text,
                                 relay->text_len, &relay->usage);
    Hs_Reply(request->http, 200, "application/json", headers, 2, body,
             body != NULL ? strlen(body) : 0);
    free(body);
    request->http = NULL;
}
