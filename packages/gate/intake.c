#include "gate/intake.h"

#include <bsd/string.h>
#include <stdlib.h>
#include <string.h>

#include "gate/endpoints.h"
#include "gate/request.h"

#define In_RETRY_SOON_SEC 1
#define In_EXPECTED_TOKENS 256
/* Cost of a request besides its tokens, in tokens. */
#define In_BASE_COST 16

struct service_queue {
    TAILQ_ENTRY(service_queue) link;
    char service[Cf_NAME_MAX];
    struct qu_queue *queue;
};

TAILQ_HEAD(queue_list, service_queue);

struct in_intake {
    struct gt_gate *gate;
    in_start_fn start;
    struct am_limits *limits;
    struct queue_list queues;
    struct lp_timer *dispatch_timer;
    bool dispatching;
};

static void
on_dispatch(void *arg)
{
    In_DispatchQueued(arg);
}

/* Creates an intake without customers and queues. */
enum st_status
In_Create(struct gt_gate *gate, in_start_fn start, struct in_intake **out)
{
    struct in_intake *intake = calloc(1, sizeof(*intake));
    if (intake == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for the queues");
    }
    intake->gate = gate;
    intake->start = start;
    TAILQ_INIT(&intake->queues);
    intake->limits = Am_Create(gate->options->node_id);
    intake->dispatch_timer = Lp_TimerCreate(gate->loop, on_dispatch, intake);
    if (intake->limits == NULL || intake->dispatch_timer == NULL) {
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
    struct service_queue *service_queue;
    while ((service_queue = TAILQ_FIRST(&intake->queues)) != NULL) {
        TAILQ_REMOVE(&intake->queues, service_queue, link);
        Qu_Destroy(service_queue->queue);
        free(service_queue);
    }
    Lp_TimerDestroy(intake->dispatch_timer);
    Am_Destroy(intake->limits);
    free(intake);
}

static struct service_queue *
find_queue(const struct in_intake *intake, const char *service)
{
    struct service_queue *service_queue;
    TAILQ_FOREACH (service_queue, &intake->queues, link) {
        if (strcmp(service_queue->service, service) == 0) {
            return service_queue;
        }
    }
    return NULL;
}

static void
add_queue(struct in_intake *intake, const char *service)
{
    if (find_queue(intake, service) != NULL) {
        return;
    }
    struct service_queue *service_queue = calloc(1, sizeof(*service_queue));
    if (service_queue == NULL) {
        return;
    }
    struct qu_settings settings;
    Qu_Defaults(&settings);
    service_queue->queue = Qu_Create(&settings);
    if (service_queue->queue == NULL) {
        free(service_queue);
        return;
    }
    strlcpy(service_queue->service, service, sizeof(service_queue->service));
    TAILQ_INSERT_TAIL(&intake->queues, service_queue, link);
}

/* Applies the customers' limits and weights of a configuration. */
void
In_Configure(struct in_intake *intake, const struct cf_config *config)
{
    for (size_t i = 0; i < config->service_count; i++) {
        add_queue(intake, config->services[i].name);
    }
    for (size_t i = 0; i < config->customer_count; i++) {
        const struct cf_customer *customer = &config->customers[i];
        Am_SetCustomer(intake->limits, customer->name,
                       customer->requests_per_sec, customer->max_in_flight);
        struct service_queue *service_queue;
        TAILQ_FOREACH (service_queue, &intake->queues, link) {
            Qu_SetWeight(service_queue->queue, customer->name,
                         customer->weight);
        }
    }
}

/* Adds or removes another daemon that the customer limits are divided by. */
void
In_SetMember(struct in_intake *intake, const char *node, bool present)
{
    if (present) {
        Am_AddPeer(intake->limits, node);
    }
    else {
        Am_DropPeer(intake->limits, node);
    }
}

/* Takes the customer demands that another daemon has published. */
void
In_ReceiveDemands(struct in_intake *intake, const char *node,
                  const struct pf_demands *demands)
{
    Am_ReceiveDemands(intake->limits, node, demands->rows, demands->count,
                      Ck_Now(intake->gate->clock));
    Am_ReceiveDaemonCount(intake->limits, node, demands->daemons);
}

/* Starts joining: other daemons exist but do not count this one yet. */
void
In_Join(struct in_intake *intake)
{
    Am_Join(intake->limits, Ck_Now(intake->gate->clock));
}

/* Collects the customer demands of this daemon for the other daemons. */
void
In_Publish(struct in_intake *intake, struct pf_demands *out)
{
    out->count = Am_Publish(intake->limits, Ck_Now(intake->gate->clock),
                            out->rows, Pf_DEMANDS_MAX);
    out->daemons = Am_DaemonCount(intake->limits);
}

/* Whether other daemons may still divide the limits without this one. */
bool
In_IsJoining(const struct in_intake *intake)
{
    return Am_IsJoining(intake->limits, Ck_Now(intake->gate->clock));
}

/* The number of daemons that the customer limits are divided by. */
size_t
In_DaemonCount(const struct in_intake *intake)
{
    return Am_DaemonCount(intake->limits);
}

/* The interval between two publications of demands, in microseconds. */
int64_t
In_PublishInterval(const struct in_intake *intake)
{
    return Am_PublishInterval(intake->limits);
}

/* The number of requests waiting in all queues. */
int
In_Queued(const struct in_intake *intake)
{
    int queued = 0;
    struct service_queue *service_queue;
    TAILQ_FOREACH (service_queue, &intake->queues, link) {
        queued += Qu_Length(service_queue->queue);
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
enqueue(struct in_intake *intake, struct service_queue *service_queue,
        struct rq_request *request, const struct ch_capacity *capacity)
{
    struct qu_refusal refusal = {0};
    fill_item(request);
    enum st_status status =
        Qu_Push(service_queue->queue, request->customer->name, &request->item,
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
 * Refuses, dispatches or queues a request whose customer and service are
 * known.
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
    struct service_queue *service_queue =
        find_queue(intake, request->service->name);
    if (table != NULL) {
        Ch_Capacity(table, now, &capacity);
    }
    /*
     * While no endpoint is in use, queueing would not help.  The dispatch
     * refuses the request, or sends it to an endpoint that is out of use.
     */
    bool skip_queue = capacity.endpoints == 0 || service_queue == NULL;
    if (skip_queue ||
        (Qu_Length(service_queue->queue) == 0 && capacity.free_slots > 0)) {
        intake->start(request);
        return;
    }
    enqueue(intake, service_queue, request, &capacity);
}

/* Removes a request that ends from its queue and from the customer limits. */
void
In_Remove(struct in_intake *intake, struct rq_request *request)
{
    if (request->queued) {
        struct service_queue *service_queue =
            find_queue(intake, request->service->name);
        Qu_Remove(service_queue->queue, &request->item);
        request->queued = false;
    }
    if (request->admitted) {
        Am_Release(intake->limits, request->customer->name,
                   Ck_Now(intake->gate->clock));
        request->admitted = false;
    }
    if (In_Queued(intake) > 0) {
        /* Deferred: In_Remove() runs in the middle of other callbacks. */
        Lp_TimerSet(intake->dispatch_timer, 0);
    }
}

static void
refuse_expired(struct service_queue *service_queue, int64_t now)
{
    struct qu_item *item;
    while ((item = Qu_PopExpired(service_queue->queue, now)) != NULL) {
        struct rq_request *request = item->request;
        request->queued = false;
        Rq_Refuse(request, AN_DEADLINE, In_RETRY_SOON_SEC,
                  "no endpoint of %s was free in time; come back later",
                  service_queue->service);
    }
}

static void
dispatch_queue(struct in_intake *intake, struct service_queue *service_queue)
{
    int64_t now = Ck_Now(intake->gate->clock);
    struct ch_table *table =
        Ep_Table(intake->gate->endpoints, service_queue->service);
    refuse_expired(service_queue, now);
    while (table != NULL && Qu_Length(service_queue->queue) > 0) {
        struct ch_capacity capacity;
        Ch_Capacity(table, now, &capacity);
        bool may_start = capacity.free_slots > 0 || capacity.endpoints == 0;
        struct qu_item *item =
            may_start ? Qu_Pop(service_queue->queue, now) : NULL;
        if (item == NULL) {
            return;
        }
        struct rq_request *request = item->request;
        request->queued = false;
        intake->start(request);
    }
}

/* Dispatches queued requests as far as the endpoints have free capacity. */
void
In_DispatchQueued(struct in_intake *intake)
{
    if (intake->dispatching) {
        return;
    }
    intake->dispatching = true;
    struct service_queue *service_queue;
    TAILQ_FOREACH (service_queue, &intake->queues, link) {
        dispatch_queue(intake, service_queue);
    }
    intake->dispatching = false;
}
