#include "edge/ending.h"

#include <stdio.h>
#include <stdlib.h>

#include "edge/paths.h"
#include "web/outlive.h"

/* A killed process ends its other connections within this time as well. */
#define Eg_OTHERS_USEC (50 * Ck_USEC_PER_MSEC)
#define Eg_LABELS_MAX 64

struct eg_ending {
    struct xc_exchange *exchange;
    struct ol_query *query; /* NULL: it has ended, or was not begun */
    struct lp_timer *timer;
    int64_t ended_at;
    struct di_way way;   /* of the query */
    bool others_settled; /* a killed process has ended them by now */
    bool asked_again;    /* by another way */
    enum ol_result result;
};

/* A connection of the same way that is older than the answer's end. */
static bool
is_other(const struct eg_ending *ending, const struct cn_channel *channel,
         int64_t since)
{
    return Cn_IsOpen(channel) && since < ending->ended_at &&
           Cn_Peer(channel) == Cn_Peer(ending->exchange->attempt.channel);
}

static bool
is_other_exchange(const struct eg_ending *ending,
                  const struct xc_exchange *other)
{
    const struct xc_attempt *attempt = &other->attempt;
    return attempt->endpoint == ending->exchange->attempt.endpoint &&
           attempt->channel != NULL &&
           is_other(ending, attempt->channel, attempt->sent_at);
}

/* Whether another connection to the endpoint has survived the end. */
static bool
any_other_open(const struct eg_ending *ending)
{
    const struct xc_exchange *exchange = ending->exchange;
    const struct fl_idle *idle;
    TAILQ_FOREACH (idle, &exchange->attempt.endpoint->idle, link) {
        if (is_other(ending, idle->channel, Cn_IdleSince(idle->channel))) {
            return true;
        }
    }
    const struct xc_exchange *other;
    TAILQ_FOREACH (other, &exchange->gate->exchanges, link) {
        if (other != exchange && is_other_exchange(ending, other)) {
            return true;
        }
    }
    return false;
}

static void
count(const struct eg_ending *ending, const char *by, bool whole)
{
    char labels[Eg_LABELS_MAX];
    snprintf(labels, sizeof(labels), "by=\"%s\",whole=\"%d\"", by, whole);
    Mt_Add(Mt_Get(ending->exchange->gate->registry, MT_COUNTER,
                  "cornelgate_answer_ends_checked_total", labels),
           1);
}

static void
decide(struct eg_ending *ending, bool whole, const char *by)
{
    struct xc_exchange *exchange = ending->exchange;
    count(ending, by, whole);
    if (!whole) {
        Ln_Log(LN_FAILURE, "answer.unconfirmed",
               "\"id\":\"%s\",\"endpoint\":\"%s\",\"relayed\":%d,"
               "\"check\":\"%s\",\"ms\":%lld",
               exchange->info.id, exchange->attempt.endpoint->entry.id,
               Xc_IsRelayed(&exchange->attempt), by,
               (long long)((Ga_Now(exchange->gate) - ending->ended_at) /
                           Ck_USEC_PER_MSEC));
    }
    exchange->attempt.ending = NULL;
    exchange->attempt.end_checked = true;
    Eg_Cancel(ending);
    Xc_EndAttempt(exchange, whole ? CN_COMPLETE : CN_BROKEN);
}

/* Without bytes the other connections decide, once they have had the time. */
static void
decide_by_others(struct eg_ending *ending)
{
    if (!ending->others_settled) {
        return;
    }
    if (any_other_open(ending)) {
        decide(ending, true, "others");
    }
    else if (ending->query == NULL) {
        decide(ending, false, Ol_ResultName(ending->result));
    }
}

static void
on_timer(void *arg)
{
    struct eg_ending *ending = arg;
    ending->others_settled = true;
    decide_by_others(ending);
}

static void ask(struct eg_ending *ending);

static void
on_result(void *arg, enum ol_result result)
{
    struct eg_ending *ending = arg;
    const struct xc_exchange *exchange = ending->exchange;
    ending->query = NULL;
    ending->result = result;
    if (result == OL_DECLINED && !ending->asked_again) {
        /* It was not the peer that ended; what of the endpoint? */
        ending->asked_again = true;
        Pt_FillOtherWay(exchange->gate->paths, exchange->attempt.endpoint,
                        &ending->way);
        ask(ending);
    }
    else if (result == OL_ANSWERED) {
        El_NoteBytes(ending->exchange->gate->liveness,
                     ending->exchange->attempt.endpoint);
        decide(ending, true, Ol_ResultName(result));
    }
    else {
        decide_by_others(ending);
    }
}

static void
ask(struct eg_ending *ending)
{
    const struct xc_exchange *exchange = ending->exchange;
    struct ol_options options = {
        .loop = exchange->gate->options.loop,
        .way = &ending->way,
        .host = exchange->attempt.endpoint->entry.address,
        .path = exchange->service->check_path,
    };
    ending->query = Ol_Start(&options, on_result, ending);
}

bool
Eg_Begin(struct xc_exchange *exchange)
{
    struct eg_ending *ending = calloc(1, sizeof(*ending));
    if (ending == NULL) {
        return false;
    }
    ending->exchange = exchange;
    ending->ended_at = Ga_Now(exchange->gate);
    ending->result = OL_SILENT;
    ending->timer =
        Lp_TimerCreate(exchange->gate->options.loop, on_timer, ending);
    if (ending->timer == NULL) {
        free(ending);
        return false;
    }
    ending->way.peer = Cn_Peer(exchange->attempt.channel);
    if (Pt_FillWay(exchange->gate->paths, exchange->attempt.endpoint,
                   &ending->way)) {
        ask(ending);
    }
    Lp_TimerSet(ending->timer, Eg_OTHERS_USEC);
    exchange->attempt.ending = ending;
    return true;
}

void
Eg_Cancel(struct eg_ending *ending)
{
    if (ending != NULL) {
        Ol_Cancel(ending->query);
        Lp_TimerDestroy(ending->timer);
        free(ending);
    }
}
