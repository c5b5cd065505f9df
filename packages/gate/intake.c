#include "gate/intake.h"

#include <bsd/string.h>
#include <stdlib.h>
#include <string.h>

#include "gate/endpoints.h"
#include "gate/request.h"

#define In_RETRY_SOON_SEC 1
#define In_EXPECTED_TOKENS 256
/* Work of a request beside its tokens, in tokens. */
#define In_BASE_COST 16

struct line {
    TAILQ_ENTRY(line) link;
    char service[Cf_NAME_MAX];
    struct qu_queue *queue;
};

TAILQ_HEAD(line_list, line);

struct in_intake {
    struct gt_gate *gate;
    in_start_fn start;
    struct am_limits *limits;
    struct line_list lines;
    struct lp_timer *soon;
    bool pumping;
};

static void
pump_soon(void *arg)
{
    In_Pump(arg);
}

/* Creates an intake that knows no customer yet. */
enum st_status
In_Create(struct gt_gate *gate, in_start_fn start, struct in_intake **out)
{
    struct in_intake *intake = calloc(1, sizeof(*intake));
    if (intake == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for the queues");
    }
    intake->gate = gate;
    intake->start = start;
    TAILQ_INIT(&intake->lines);
    intake->limits = Am_Create(gate->options->node_id);
    intake->soon = Lp_TimerCreate(gate->loop, pump_soon, intake);
    if (intake->limits == NULL || intake->soon == NULL) {
        In_Destroy(intake);
        return St_Fail(ST_NO_MEMORY, "no memory for the limits");
    }
    *out = intake;
    return ST_OK;
}

/* Frees the intake; every request must have left it. */
void
In_Destroy(struct in_intake *intake)
{
    if (intake == NULL) {
        return;
    }
    struct line *line;
    while ((line = TAILQ_FIRST(&intake->lines)) != NULL) {
        TAILQ_REMOVE(&intake->lines, line, link);
        Qu_Destroy(line->queue);
        free(line);
    }
    Lp_TimerDestroy(intake->soon);
    Am_Destroy(intake->limits);
    free(intake);
}

static struct line *
find_line(const struct in_intake *intake, const char *service)
{
    struct line *line;
    TAILQ_FOREACH (line, &intake->lines, link) {
        if (strcmp(line->service, service) == 0) {
            return line;
        }
    }
    return NULL;
}

static void
add_line(struct in_intake *intake, const char *service)
{
    if (find_line(intake, service) != NULL) {
        return;
    }
    struct line *line = calloc(1, sizeof(*line));
    if (line == NULL) {
        return;
    }
    struct qu_settings settings;
    Qu_Defaults(&settings);
    line->queue = Qu_Create(&settings);
    if (line->queue == NULL) {
        free(line);
        return;
    }
    strlcpy(line->service, service, sizeof(line->service));
    TAILQ_INSERT_TAIL(&intake->lines, line, link);
}

/* Takes over the customers' limits and weights of a new configuration. */
void
In_Configure(struct in_intake *intake, const struct cf_config *config)
{
    for (size_t i = 0; i < config->service_count; i++) {
        add_line(intake, config->services[i].name);
    }
    for (size_t i = 0; i < config->customer_count; i++) {
        const struct cf_customer *customer = &config->customers[i];
        Am_SetCustomer(intake->limits, customer->name,
                       customer->requests_per_sec, customer->max_in_flight);
        struct line *line;
        TAILQ_FOREACH (line, &intake->lines, link) {
            Qu_SetWeight(line->queue, customer->name, customer->weight);
        }
    }
}

/* Another daemon came, or has gone: it shares the limits, or no longer. */
void
In_Member(struct in_intake *intake, const char *node, bool present)
{
    if (present) {
        Am_AddPeer(intake->limits, node);
    }
    else {
        Am_DropPeer(intake->limits, node);
    }
}

/* What another daemon's callers ask for. */
void
In_Hear(struct in_intake *intake, const char *node,
        const struct pf_demands *demands)
{
    Am_Hear(intake->limits, node, demands->rows, demands->count,
            Ck_Now(intake->gate->clock));
    Am_HearCount(intake->limits, node, demands->daemons);
}

/* There are other daemons, and they do not know of this one yet. */
void
In_Join(struct in_intake *intake)
{
    Am_Join(intake->limits, Ck_Now(intake->gate->clock));
}

/* What this daemon's callers ask for, to be told to the others. */
void
In_Publish(struct in_intake *intake, struct pf_demands *out)
{
    out->count = Am_Publish(intake->limits, Ck_Now(intake->gate->clock),
                            out->rows, Pf_DEMANDS_MAX);
    out->daemons = Am_Daemons(intake->limits);
}

/* Whether others may still be dividing the limits without this daemon. */
bool
In_IsJoining(const struct in_intake *intake)
{
    return Am_IsJoining(intake->limits, Ck_Now(intake->gate->clock));
}

/* Daemons that the limits are divided by. */
size_t
In_Daemons(const struct in_intake *intake)
{
    return Am_Daemons(intake->limits);
}

/* How often to tell the others, in microseconds. */
int64_t
In_PublishInterval(const struct in_intake *intake)
{
    return Am_Interval(intake->limits);
}

/* Requests waiting in all queues. */
int
In_Queued(const struct in_intake *intake)
{
    int queued = 0;
    struct line *line;
    TAILQ_FOREACH (line, &intake->lines, link) {
        queued += Qu_Length(line->queue);
    }
    return queued;
}

static int
to_seconds(int64_t usec)
{
    int64_t seconds = (usec + Ck_USEC_PER_SEC - 1) / Ck_USEC_PER_SEC;
    return seconds < In_RETRY_SOON_SEC ? In_RETRY_SOON_SEC : (int)seconds;
}

static void
fill_item(struct rq_request *request)
{
    struct qu_item *item = &request->item;
    int tokens = request->prompt.max_tokens > 0 ? request->prompt.max_tokens
                                                : In_EXPECTED_TOKENS;
    size_t body_len;
    Hs_Body(request->http, &body_len);
    item->service_class = request->patient ? QU_PATIENT : QU_URGENT;
    item->deadline = request->deadline;
    item->bytes = sizeof(*request) + body_len;
    item->cost =
        In_BASE_COST + (request->service->kind == CF_ENGINE ? tokens : 0);
    item->request = request;
}

static void
refuse_wait(struct rq_request *request, const struct qu_refusal *refusal)
{
    Rq_Refuse(request, AN_DEADLINE, to_seconds(refusal->retry_after),
              "the queue of %s would take %lld ms, longer than the deadline "
              "allows; come back later or allow more time",
              request->service->name,
              (long long)(refusal->wait / Ck_USEC_PER_MSEC));
}

static void
enqueue(struct in_intake *intake, struct line *line,
        struct rq_request *request, const struct ch_capacity *capacity)
{
    struct qu_refusal refusal = {0};
    fill_item(request);
    enum st_status status =
        Qu_Push(line->queue, request->customer->name, &request->item,
                capacity->per_sec, Ck_Now(intake->gate->clock), &refusal);
    if (refusal.evicted != NULL) {
        struct rq_request *evicted = refusal.evicted->request;
        evicted->queued = false;
        Rq_Refuse(evicted, AN_OVERLOADED, to_seconds(refusal.retry_after),
                  "the queue is full; come back later");
    }
    if (status != ST_OK) {
        refuse_wait(request, &refusal);
        return;
    }
    request->phase = RQ_QUEUED;
    request->queued = true;
}

/*
 * Takes a request whose customer and service are known: it is refused at
 * once, dispatched at once, or waits its turn.
 */
void
In_Submit(struct in_intake *intake, struct rq_request *request)
{
    struct gt_gate *gate = intake->gate;
    int64_t now = Ck_Now(gate->clock);
    int64_t retry_after = 0;
    if (Am_Admit(intake->limits, request->customer->name, now, &retry_after) !=
        ST_OK) {
        Rq_Refuse(request, AN_OVERLOADED, to_seconds(retry_after), "%s",
                  St_Message());
        return;
    }
    request->admitted = true;
    struct ch_capacity capacity = {0};
    struct ch_table *table = Ep_Table(gate->endpoints, request->service->name);
    struct line *line = find_line(intake, request->service->name);
    if (table != NULL) {
        Ch_Capacity(table, now, &capacity);
    }
    /*
     * With no endpoint in use waiting would not help: the choice of an
     * endpoint refuses the request, or tries those that are out of use.
     */
    bool hopeless = capacity.endpoints == 0 || line == NULL;
    if (hopeless ||
        (Qu_Length(line->queue) == 0 && capacity.free_places > 0)) {
        intake->start(request);
        return;
    }
    enqueue(intake, line, request, &capacity);
}

/* A request ends or is given up: it leaves the queue and the limits. */
void
In_Leave(struct in_intake *intake, struct rq_request *request)
{
    if (request->queued) {
        struct line *line = find_line(intake, request->service->name);
        Qu_Remove(line->queue, &request->item);
        request->queued = false;
    }
    if (request->admitted) {
        Am_Done(intake->limits, request->customer->name,
                Ck_Now(intake->gate->clock));
        request->admitted = false;
    }
    if (In_Queued(intake) > 0) {
        /* Later: whoever ends a request is in the middle of something. */
        Lp_TimerSet(intake->soon, 0);
    }
}

static void
refuse_late(struct line *line, int64_t now)
{
    struct qu_item *item;
    while ((item = Qu_Late(line->queue, now)) != NULL) {
        struct rq_request *request = item->request;
        request->queued = false;
        Rq_Refuse(request, AN_DEADLINE, In_RETRY_SOON_SEC,
                  "no endpoint of %s was free in time; come back later",
                  line->service);
    }
}

static void
pump_line(struct in_intake *intake, struct line *line)
{
    int64_t now = Ck_Now(intake->gate->clock);
    struct ch_table *table = Ep_Table(intake->gate->endpoints, line->service);
    refuse_late(line, now);
    while (table != NULL && Qu_Length(line->queue) > 0) {
        struct ch_capacity capacity;
        Ch_Capacity(table, now, &capacity);
        bool may_start = capacity.free_places > 0 || capacity.endpoints == 0;
        struct qu_item *item = may_start ? Qu_Pop(line->queue, now) : NULL;
        if (item == NULL) {
            return;
        }
        struct rq_request *request = item->request;
        request->queued = false;
        intake->start(request);
    }
}

/* Dispatches what has become possible; called when places may be free. */
void
In_Pump(struct in_intake *intake)
{
    if (intake->pumping) {
        return;
    }
    intake->pumping = true;
    struct line *line;
    TAILQ_FOREACH (line, &intake->lines, link) {
        pump_line(intake, line);
    }
    intake->pumping = false;
}
