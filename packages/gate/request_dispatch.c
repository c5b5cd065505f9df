/*
 * The start of an admitted request: the claim of its idempotency key, if it
 * must not run twice, and then its relay.
 */
#include "base/event.h"
#include "gate/events.h"
#include "gate/request_internal.h"

/*
 * Releases a claimed key, so that the caller can repeat the request under it.
 * Must only be called when no endpoint has run the request.
 */
void
Rq_ReleaseClaim(struct rq_request *request)
{
    if (request->claimed) {
        Gc_Release(request->gate->claims, &request->key);
        request->claimed = false;
    }
}

static void
start_relay(struct rq_request *request)
{
    request->phase = RQ_RUNNING;
    if (request->service->kind == CF_ENGINE) {
        Rl_EngineStart(request);
    }
    else {
        Rl_PlainStart(request);
    }
}

static void
answer_stored(struct rq_request *request, const struct cl_answer *stored)
{
    struct web_header headers[] = {
        {"cornelgate-request-id", request->id},
        {"cornelgate-outcome", An_OutcomeName(AN_RAN)},
        {"cornelgate-repeated", "1"},
        {"cornelgate-body-digest", stored->digest},
    };
    Hs_SetUser(request->http, NULL);
    /* A body too large to store is sent as its digest only. */
    Hs_Reply(request->http, stored->code, stored->type, headers,
             stored->truncated ? 4 : 3, stored->body, stored->len);
    request->http = NULL;
    Rq_Finish(request, AN_RAN);
}

static void
refuse_unknown(struct rq_request *request)
{
    Rq_Refuse(request, AN_UNKNOWN, 0,
              "it cannot be known whether the first request with this key "
              "took effect, and it will not be run again; ask the service");
}

static void
claim_done(void *arg, const struct kp_answer *answer)
{
    struct rq_request *request = arg;
    request->claim = NULL;
    switch (answer->verdict) {
    case KP_WON:
        request->claimed = true;
        start_relay(request);
        return;
    case KP_DONE:
        if (answer->answer->code == Gc_UNKNOWN_CODE) {
            refuse_unknown(request);
            return;
        }
        answer_stored(request, answer->answer);
        return;
    case KP_REUSED:
        Rq_Refuse(request, AN_KEY_REUSED, 0,
                  "this idempotency key belongs to another request; use a "
                  "new key for a new intent");
        return;
    case KP_IN_PROGRESS:
        Rq_Refuse(request, AN_IN_PROGRESS, Rq_RETRY_SOON_SEC,
                  "the first request with this key is still running; ask "
                  "again with the same key");
        return;
    case KP_UNKNOWN:
        refuse_unknown(request);
        return;
    case KP_NOT_RUN:
        Ev_Log(&GT_CLAIM_FAILED, "request=%s reason=\"%s\"", request->id,
               answer->reason);
        Rq_Refuse(request, AN_UNAVAILABLE, Rq_RETRY_SOON_SEC,
                  "the idempotency key could not be secured (%s); come back "
                  "with the same key",
                  answer->reason);
        return;
    }
}

static void
start_claim(struct rq_request *request)
{
    request->phase = RQ_CLAIMING;
    if (Gc_Claim(request->gate->claims, &request->key, request->deadline,
                 claim_done, request, &request->claim) != ST_OK) {
        Rq_Refuse(request, AN_UNAVAILABLE, Rq_RETRY_SOON_SEC, "%s",
                  St_Message());
    }
}

/* Starts a request that was admitted: claims its key first, or relays it. */
void
Rq_Dispatch(struct rq_request *request)
{
    if (!request->idempotent && request->has_key) {
        start_claim(request);
        return;
    }
    start_relay(request);
}
