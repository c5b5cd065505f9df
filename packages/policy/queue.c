/*
 * Start-time fair queueing between customers; two trees ordered by deadline
 * inside each.
 */
#include "policy/queue.h"

#include <bsd/string.h>
#include <bsd/sys/queue.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"

#define DEFAULT_LENGTH 4096
#define DEFAULT_BYTES (16u << 20)
#define DEFAULT_PATIENT_EVERY 8
#define RETRY_MIN Ck_USEC_PER_SEC

RB_HEAD(qu_tree, qu_item);

struct qu_flow {
    LIST_ENTRY(qu_flow) entry;
    char customer[Qu_NAME_MAX];
    double weight;
    double start; /* virtual time at which its next item starts */
    struct qu_tree items[QU_CLASSES];
    int lengths[QU_CLASSES];
    int urgent_in_row;
};

struct qu_queue {
    struct qu_settings settings;
    LIST_HEAD(flow_list, qu_flow) flows;
    double virtual_now;
    int length;
    size_t bytes;
    uint64_t order;
};

static int
compare(struct qu_item *a, struct qu_item *b)
{
    if (a->deadline != b->deadline) {
        return a->deadline < b->deadline ? -1 : 1;
    }
    return (a->order > b->order) - (a->order < b->order);
}

RB_PROTOTYPE(qu_tree, qu_item, entry, compare);
RB_GENERATE(qu_tree, qu_item, entry, compare);

/* Bounds that fit a daemon of 32 MB. */
void
Qu_Defaults(struct qu_settings *settings)
{
    settings->length_max = DEFAULT_LENGTH;
    settings->bytes_max = DEFAULT_BYTES;
    settings->patient_every = DEFAULT_PATIENT_EVERY;
}

/* Makes an empty queue; NULL when there is no memory. */
struct qu_queue *
Qu_Create(const struct qu_settings *settings)
{
    struct qu_queue *queue = calloc(1, sizeof(*queue));
    if (queue != NULL) {
        queue->settings = *settings;
    }
    return queue;
}

/* Frees the queue; the items left in it stay the caller's. */
void
Qu_Destroy(struct qu_queue *queue)
{
    if (queue == NULL) {
        return;
    }
    struct qu_flow *flow;
    while ((flow = LIST_FIRST(&queue->flows)) != NULL) {
        LIST_REMOVE(flow, entry);
        free(flow);
    }
    free(queue);
}

static struct qu_flow *
find_flow(const struct qu_queue *queue, const char *customer)
{
    struct qu_flow *flow;
    LIST_FOREACH (flow, &queue->flows, entry) {
        if (strcmp(flow->customer, customer) == 0) {
            return flow;
        }
    }
    return NULL;
}

static int
flow_length(const struct qu_flow *flow)
{
    return flow->lengths[QU_URGENT] + flow->lengths[QU_PATIENT];
}

/* Sets a customer's weight; one never set has weight 1. */
enum st_status
Qu_SetWeight(struct qu_queue *queue, const char *customer, double weight)
{
    struct qu_flow *flow = find_flow(queue, customer);
    if (flow == NULL) {
        flow = calloc(1, sizeof(*flow));
        if (flow == NULL) {
            return St_Fail(ST_NO_MEMORY, "no memory for a customer; restart "
                                         "the daemon on a larger host");
        }
        strlcpy(flow->customer, customer, sizeof(flow->customer));
        flow->start = queue->virtual_now;
        LIST_INSERT_HEAD(&queue->flows, flow, entry);
    }
    flow->weight = weight > 0 ? weight : 1;
    return ST_OK;
}

/* Items waiting. */
int
Qu_Length(const struct qu_queue *queue)
{
    return queue->length;
}

/* Memory kept for the items waiting. */
size_t
Qu_Bytes(const struct qu_queue *queue)
{
    return queue->bytes;
}

/* Items of the flow that go before one of the class and deadline. */
static int
count_ahead(const struct qu_flow *flow, enum qu_class service_class,
            int64_t deadline)
{
    int ahead = service_class == QU_PATIENT ? flow->lengths[QU_URGENT] : 0;
    struct qu_tree *tree = (struct qu_tree *)&flow->items[service_class];
    struct qu_item *item;
    RB_FOREACH (item, qu_tree, tree) {
        if (item->deadline > deadline) {
            break;
        }
        ahead++;
    }
    return ahead;
}

/*
 * Predicted wait of a new item when per_sec requests a second leave the
 * queue: its customer's items ahead at the customer's part of the rate, but
 * no more than all items at the whole rate.  0 when the rate is not known.
 */
int64_t
Qu_Wait(const struct qu_queue *queue, const char *customer,
        enum qu_class service_class, int64_t deadline, double per_sec,
        int64_t now)
{
    if (per_sec <= 0) {
        return 0;
    }
    const struct qu_flow *own = find_flow(queue, customer);
    double own_weight = own != NULL ? own->weight : 1;
    double weights = own_weight;
    struct qu_flow *flow;
    LIST_FOREACH (flow, &queue->flows, entry) {
        if (flow != own && flow_length(flow) > 0) {
            weights += flow->weight;
        }
    }
    int ahead = own != NULL ? count_ahead(own, service_class, deadline) : 0;
    double by_share = ahead / (per_sec * own_weight / weights);
    double whole = queue->length / per_sec;
    return (int64_t)(fmin(by_share, whole) * 1e6);
}

static void
unlink_item(struct qu_queue *queue, struct qu_item *item)
{
    struct qu_flow *flow = item->flow;
    RB_REMOVE(qu_tree, &flow->items[item->service_class], item);
    flow->lengths[item->service_class]--;
    queue->length--;
    queue->bytes -= item->bytes;
    item->flow = NULL;
}

/* Takes out an item that nobody waits for any more. */
void
Qu_Remove(struct qu_queue *queue, struct qu_item *item)
{
    if (item->flow != NULL) {
        unlink_item(queue, item);
    }
}

static bool
is_full(const struct qu_queue *queue, size_t bytes)
{
    return queue->length >= queue->settings.length_max ||
           queue->bytes + bytes > queue->settings.bytes_max;
}

/*
 * The last item of the customer with the longest queue for its weight, if
 * that is longer than the one of "flow" would be.  One customer's flood
 * would otherwise fill the queue and have all others refused.
 */
static struct qu_item *
find_evictable(const struct qu_queue *queue, const struct qu_flow *flow)
{
    struct qu_flow *longest = NULL;
    struct qu_flow *other;
    LIST_FOREACH (other, &queue->flows, entry) {
        if (longest == NULL || flow_length(other) * longest->weight >
                                   flow_length(longest) * other->weight) {
            longest = other;
        }
    }
    if (longest == NULL || longest == flow ||
        flow_length(longest) * flow->weight <=
            (flow_length(flow) + 1) * longest->weight) {
        return NULL;
    }
    struct qu_item *last = RB_MAX(qu_tree, &longest->items[QU_PATIENT]);
    return last != NULL ? last : RB_MAX(qu_tree, &longest->items[QU_URGENT]);
}

static void
link_item(struct qu_queue *queue, struct qu_flow *flow, struct qu_item *item,
          int64_t now)
{
    if (flow_length(flow) == 0 && flow->start < queue->virtual_now) {
        flow->start = queue->virtual_now; /* no credit for idle times */
    }
    item->flow = flow;
    item->arrived = now;
    item->order = queue->order++;
    RB_INSERT(qu_tree, &flow->items[item->service_class], item);
    flow->lengths[item->service_class]++;
    queue->length++;
    queue->bytes += item->bytes;
}

/*
 * Queues an item or refuses it at once: ST_TIMEOUT when the predicted wait
 * at per_sec departures a second ends after its deadline, ST_OVERLOAD when
 * the queue is full.  Either way it was not run.  An item that had to give
 * way is in refusal->evicted, also when the result is ST_OK.
 */
enum st_status
Qu_Push(struct qu_queue *queue, const char *customer, struct qu_item *item,
        double per_sec, int64_t now, struct qu_refusal *refusal)
{
    memset(refusal, 0, sizeof(*refusal));
    struct qu_flow *flow = find_flow(queue, customer);
    if (flow == NULL) {
        enum st_status status = Qu_SetWeight(queue, customer, 1);
        if (status != ST_OK) {
            return status;
        }
        flow = find_flow(queue, customer);
    }
    refusal->wait = Qu_Wait(queue, customer, item->service_class,
                            item->deadline, per_sec, now);
    int64_t over = now + refusal->wait - item->deadline;
    if (over > 0) {
        refusal->retry_after = over > RETRY_MIN ? over : RETRY_MIN;
        return St_Fail(ST_TIMEOUT,
                       "the wait would be %lld ms, longer than the deadline "
                       "allows; allow more time or try again later",
                       (long long)(refusal->wait / Ck_USEC_PER_MSEC));
    }
    if (is_full(queue, item->bytes)) {
        refusal->evicted = find_evictable(queue, flow);
        if (refusal->evicted != NULL) {
            unlink_item(queue, refusal->evicted);
        }
    }
    if (is_full(queue, item->bytes)) {
        int64_t drain =
            per_sec > 0 ? (int64_t)(queue->length / per_sec * 1e6) : 0;
        refusal->retry_after = drain > RETRY_MIN ? drain : RETRY_MIN;
        return St_Fail(ST_OVERLOAD, "the queue is full; try again later or "
                                    "add replicas");
    }
    link_item(queue, flow, item, now);
    return ST_OK;
}

/*
 * Takes out one item whose deadline has passed, to be refused; NULL when
 * there is none.
 */
struct qu_item *
Qu_Late(struct qu_queue *queue, int64_t now)
{
    struct qu_flow *flow;
    LIST_FOREACH (flow, &queue->flows, entry) {
        for (int i = 0; i < QU_CLASSES; i++) {
            struct qu_item *first = RB_MIN(qu_tree, &flow->items[i]);
            if (first != NULL && first->deadline <= now) {
                unlink_item(queue, first);
                return first;
            }
        }
    }
    return NULL;
}

/*
 * The customer's next item.  Urgent goes before patient, but a steady stream
 * of urgent ones would starve the patient: one of every patient_every is
 * patient, and a patient item that has used half its time counts as urgent.
 */
static struct qu_item *
next_of(const struct qu_queue *queue, struct qu_flow *flow, int64_t now)
{
    struct qu_item *urgent = RB_MIN(qu_tree, &flow->items[QU_URGENT]);
    struct qu_item *patient = RB_MIN(qu_tree, &flow->items[QU_PATIENT]);
    if (urgent == NULL || patient == NULL) {
        return urgent != NULL ? urgent : patient;
    }
    if (flow->urgent_in_row >= queue->settings.patient_every - 1) {
        return patient;
    }
    int64_t aged = patient->arrived / 2 + patient->deadline / 2;
    return now >= aged && patient->deadline < urgent->deadline ? patient
                                                               : urgent;
}

/* Takes out the item to run next; NULL when the queue is empty. */
struct qu_item *
Qu_Pop(struct qu_queue *queue, int64_t now)
{
    struct qu_flow *best = NULL;
    struct qu_flow *flow;
    LIST_FOREACH (flow, &queue->flows, entry) {
        if (flow_length(flow) > 0 &&
            (best == NULL || flow->start < best->start)) {
            best = flow;
        }
    }
    if (best == NULL) {
        return NULL;
    }
    struct qu_item *item = next_of(queue, best, now);
    bool patient = item->service_class == QU_PATIENT;
    best->urgent_in_row = patient ? 0 : best->urgent_in_row + 1;
    queue->virtual_now = best->start;
    best->start += (item->cost > 0 ? item->cost : 1) / best->weight;
    unlink_item(queue, item);
    return item;
}
