#include "edge/notice.h"

#include <stdlib.h>

#include "edge/exchange.h"
#include "edge/kv_call.h"

/*
 * Reports are some tenths of a second old, so the first one may not contain
 * the notice yet.  An endpoint may also drain before it gets notice.
 */
#define Nt_EARLY_ASKS 4
#define Nt_EARLY_USEC (150 * Ck_USEC_PER_MSEC)
#define Nt_LATER_USEC Ck_USEC_PER_SEC
#define Nt_TIMEOUT_USEC (500 * Ck_USEC_PER_MSEC)
#define Nt_REPORT_MAX (64u << 10)

struct nt_call {
    TAILQ_ENTRY(nt_call) link;
    struct nt_notices *notices;
    struct fl_endpoint *endpoint; /* counted reference */
    struct lp_timer *timer;
    int64_t sent_at;
    struct kc_call kv;
};

TAILQ_HEAD(call_list, nt_call);

struct nt_notices {
    struct ga_gate *gate;
    struct call_list calls;
};

struct nt_notices *
Nt_Create(struct ga_gate *gate)
{
    struct nt_notices *notices = calloc(1, sizeof(*notices));
    if (notices != NULL) {
        notices->gate = gate;
        TAILQ_INIT(&notices->calls);
    }
    return notices;
}

static void
end_call(struct nt_call *call)
{
    TAILQ_REMOVE(&call->notices->calls, call, link);
    Lp_TimerDestroy(call->timer);
    Kc_End(&call->kv);
    Fl_Unref(call->endpoint);
    free(call);
}

void
Nt_Destroy(struct nt_notices *notices)
{
    if (notices == NULL) {
        return;
    }
    struct nt_call *call;
    struct nt_call *next;
    TAILQ_FOREACH_SAFE (call, &notices->calls, link, next) {
        end_call(call);
    }
    free(notices);
}

/*
 * The time left counts from when the report was asked for, so that the delay
 * of the answer does not lengthen it.  The age of the report is not known; the
 * margin that moves leave allows for it.
 */
static void
on_done(void *arg, enum cn_outcome outcome)
{
    struct nt_call *call = arg;
    const struct hd_kv_calls *kv = call->notices->gate->options.wire->kv;
    int64_t left_usec =
        outcome == CN_COMPLETE
            ? kv->decode_report(call->kv.status, call->kv.body.data,
                                call->kv.body.len)
            : -1;
    if (left_usec >= 0) {
        Fl_NoteLeaving(call->endpoint, call->sent_at + left_usec);
        Ln_Log(LN_STATE, "endpoint.leaves",
               "\"id\":\"%s\",\"left_ms\":%lld,\"running\":%d",
               call->endpoint->entry.id,
               (long long)(left_usec / Ck_USEC_PER_MSEC),
               call->endpoint->running);
    }
    end_call(call);
}

static void
on_timer(void *arg)
{
    end_call(arg);
}

static void
ask(struct nt_notices *notices, struct fl_endpoint *endpoint)
{
    struct ga_gate *gate = notices->gate;
    char request[Hd_KV_REQUEST_MAX];
    size_t len = gate->options.wire->kv->encode_report(
        endpoint->entry.address, request, sizeof(request));
    struct nt_call *call = calloc(1, sizeof(*call));
    struct lp_timer *timer =
        call == NULL || len == 0
            ? NULL
            : Lp_TimerCreate(gate->options.loop, on_timer, call);
    if (timer == NULL) {
        free(call);
        return;
    }
    call->notices = notices;
    call->endpoint = Fl_Ref(endpoint);
    call->timer = timer;
    call->sent_at = Ga_Now(gate);
    call->kv = (struct kc_call){
        .gate = gate,
        .endpoint = endpoint,
        .body_max = Nt_REPORT_MAX,
        .done = on_done,
        .arg = call,
    };
    TAILQ_INSERT_TAIL(&notices->calls, call, link);
    Lp_TimerSet(timer, Nt_TIMEOUT_USEC);
    if (!Kc_Start(&call->kv, request, len)) {
        end_call(call);
    }
}

static bool
is_due(const struct ga_gate *gate, const struct fl_endpoint *endpoint,
       int64_t now)
{
    if (endpoint->running == 0 || !endpoint->entry.draining ||
        endpoint->leaves_at != 0 || now < endpoint->notice_due_at) {
        return false;
    }
    const struct ec_config *config = Fe_Config(gate->feed);
    const struct ec_service *service =
        config == NULL ? NULL
                       : Ec_FindService(config, endpoint->entry.service);
    return service != NULL && service->moves_allowed;
}

void
Nt_Tick(struct nt_notices *notices)
{
    struct ga_gate *gate = notices->gate;
    int64_t now = Ga_Now(gate);
    if (gate->options.wire->kv == NULL) {
        return;
    }
    struct fl_endpoint *endpoint;
    TAILQ_FOREACH (endpoint, Fl_All(gate->fleet), link) {
        if (is_due(gate, endpoint, now)) {
            endpoint->notice_asks++;
            endpoint->notice_due_at =
                now + (endpoint->notice_asks < Nt_EARLY_ASKS ? Nt_EARLY_USEC
                                                             : Nt_LATER_USEC);
            ask(notices, endpoint);
        }
    }
}
