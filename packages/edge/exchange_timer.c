/* The timer of an exchange: its deadline, and endpoints that are silent. */
#include "edge/exchange_internal.h"
#include "edge/health.h"
#include "edge/paths.h"

/*
 * An attempt is given up when the endpoint has answered no request for this
 * many times the route's latency target: healthy endpoints need well under
 * one.
 */
#define Xc_SILENCE_TARGETS 2

static int64_t
earlier(int64_t a, int64_t b)
{
    return a < b ? a : b;
}

/* When the attempt times out if the endpoint answers no request. */
static int64_t
silence_deadline(const struct xc_exchange *exchange)
{
    return exchange->attempt.sent_at +
           Xc_SILENCE_TARGETS * exchange->route->latency_target_usec;
}

void
xc_set_timer(struct xc_exchange *exchange)
{
    int64_t now = Ga_Now(exchange->gate);
    int64_t at = exchange->deadline;
    const struct xc_attempt *attempt = &exchange->attempt;
    if (attempt->endpoint != NULL && attempt->head_at == 0) {
        at = earlier(
            at, exchange->silence_handled ? at : silence_deadline(exchange));
        at = earlier(at, exchange->link_tested
                             ? at
                             : attempt->sent_at + Li_SILENCE_USEC);
    }
    if (attempt->endpoint != NULL && Xc_MayBecomeSlow(exchange)) {
        at = earlier(at, attempt->sent_at + attempt->slow_after);
    }
    Lp_TimerSet(exchange->timer, at - now);
}

static void
on_deadline(struct xc_exchange *exchange)
{
    if (exchange->sends == 0 || !exchange->may_have_run) {
        if (exchange->attempt.endpoint == NULL ||
            !Cn_Sent(exchange->attempt.channel)) {
            Xc_Refuse(exchange, 503, Xc_BUSY_RETRY_USEC, "not run in time");
            return;
        }
    }
    if (exchange->attempt.endpoint != NULL) {
        exchange->may_have_run = true;
    }
    Xc_Refuse(exchange, 504, 0, "out of time");
}

/*
 * Has the link to an endpoint that does not answer tested: the endpoint may be
 * busy, or this host's link to it cut.
 */
static void
test_link(struct xc_exchange *exchange)
{
    const struct xc_attempt *attempt = &exchange->attempt;
    exchange->link_tested = true;
    if (attempt->endpoint != NULL && attempt->head_at == 0 &&
        Cn_Peer(attempt->channel) == 0) {
        Pt_NoteUnanswered(exchange->gate->paths, attempt->endpoint,
                          attempt->sent_at);
    }
}

void
xc_on_timer(void *arg)
{
    struct xc_exchange *exchange = arg;
    int64_t now = Ga_Now(exchange->gate);
    struct xc_attempt *attempt = &exchange->attempt;
    if (now >= exchange->deadline) {
        on_deadline(exchange);
        return;
    }
    if (attempt->endpoint == NULL && exchange->endpoint_waits > 0) {
        Xc_Dispatch(exchange);
        return;
    }
    if (attempt->endpoint != NULL && Xc_MayBecomeSlow(exchange) &&
        now >= attempt->sent_at + attempt->slow_after) {
        attempt->slow = true;
    }
    if (!exchange->link_tested && now >= attempt->sent_at + Li_SILENCE_USEC) {
        test_link(exchange);
    }
    if (now < silence_deadline(exchange)) {
        xc_set_timer(exchange);
        return;
    }
    exchange->silence_handled = true;
    if (attempt->endpoint != NULL && attempt->head_at == 0 &&
        attempt->endpoint->answered_at < attempt->sent_at) {
        He_Note(attempt->endpoint, HE_SILENT, now);
        bool sent = Cn_Sent(attempt->channel);
        exchange->may_have_run |= sent;
        bool new_run = sent && !attempt->moved;
        exchange->runs += new_run;
        exchange->delivered += sent;
        if (Xc_MayRetry(exchange, sent)) {
            Ln_Log(LN_FAILURE, "attempt.failed",
                   "\"id\":\"%s\",\"endpoint\":\"%s\",\"why\":\"silent\","
                   "\"ran\":%d,\"sends\":%d,\"ms\":%lld",
                   exchange->info.id, attempt->endpoint->entry.id, sent,
                   exchange->sends,
                   (long long)((now - attempt->sent_at) / Ck_USEC_PER_MSEC));
            Xc_ReleaseAttempt(exchange);
            Xc_Dispatch(exchange);
            return;
        }
        exchange->runs -= new_run;
        exchange->delivered -= sent;
    }
    xc_set_timer(exchange);
}
