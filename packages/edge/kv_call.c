#include "edge/kv_call.h"

#include "edge/exchange.h"

static bool
on_head(void *arg, const struct h1_head *head)
{
    struct kc_call *call = arg;
    call->status = head->status;
    return true;
}

static bool
on_body(void *arg, const char *data, size_t len)
{
    struct kc_call *call = arg;
    return call->body.len + len <= call->body_max &&
           Bf_Add(&call->body, data, len);
}

static void
on_done(void *arg, enum cn_outcome outcome)
{
    struct kc_call *call = arg;
    call->done(call->arg, outcome);
}

static const struct cn_ops call_ops = {
    .head = on_head,
    .body = on_body,
    .done = on_done,
};

bool
Kc_Start(struct kc_call *call, const char *request, size_t len)
{
    call->channel = Po_Take(call->gate, call->endpoint, true);
    if (call->channel == NULL) {
        return false;
    }
    Cn_Send(call->channel, request, len, "", 0, false, &call_ops, call);
    return true;
}

void
Kc_End(struct kc_call *call)
{
    if (call->channel != NULL) {
        Po_Return(call->gate, call->endpoint, call->channel);
        call->channel = NULL;
    }
    Bf_Free(&call->body);
    call->status = 0;
}
