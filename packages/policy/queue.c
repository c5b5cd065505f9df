/*
 * Start-time fair queueing between customers; within each customer one tree
 * per class, ordered by deadline.
 */
#include "policy/queue.h"

#include <bsd/string.h>
#include <bsd/sys/queue.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"

#define DEFAULT_LENGTH_MAX 4096
#define DEFAULT_BYTES_MAX (16u << 20)
#define DEFAULT_PATIENT_EVERY 8
#define RETRY_AFTER_MIN_USEC Ck_USEC_PER_SEC

RB_HEAD(qu_tree, qu_item);

struct qu_flow {
    LIST_ENTRY(qu_flow) entry;
    char customer[Qu_NAME_MAX];
    double weight;
    double start_tag; /* virtual time at which the flow's next item starts */
    struct qu_tree items[QU_CLASSES];
    int lengths[QU_CLASSES];
    int consecutive_urgent;
};

struct qu_queue {
    struct qu_settings settings;
    LIST_HEAD(flow_list, qu_flow) flows;
    double virtual_time;
    int length;
    size_t bytes;
    uint64_t order;
};

static int
compare_deadlines(struct qu_item *a, struct qu_item *b)
{
    if (a->deadline != b->deadline) {
        return a->deadline < b->deadline ? -1 : 1;
    }
    return (a->order > b->order) - (a->order < b->order);
}

RB_PROTOTYPE(qu_tree, qu_item, entry, compare_deadlines);
RB_GENERATE(qu_tree, qu_item, entry, compare_deadlines);

/* Sets bounds that suit a daemon with 32 MB of memory. */
void
Qu_Defaults(struct qu_settings *settings)
{
    settings->length_max = DEFAULT_LENGTH_MAX;
    settings->bytes_max = DEFAULT_BYTES_MAX;
    settings->patient_every = DEFAULT_PATIENT_EVERY;
}

/* Creates an empty queue; NULL when there is no memory. */
struct qu_queue *
Qu_Create(const struct qu_settings *settings)
{
    struct qu_queue *queue = calloc(1, sizeof(*queue));
    if (queue != NULL) {
        queue->settings = *settings;
    }
    return queue;
}

/* Frees the queue; the caller keeps the items left in it. */
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

/* Sets a customer's weight; the default is 1. */
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
        flow->start_tag = queue->virtual_time;
        LIST_INSERT_HEAD(&queue->flows, flow, entry);
    }
    flow->weight = weight > 0 ? weight : 1;
    return ST_OK;
}

int
Qu_Length(const struct qu_queue *queue)
{
    return queue->length;
}

/* Memory taken by the items waiting. */
size_t
Qu_Bytes(const struct qu_queue *queue)
{
    return queue->bytes;
}

/*
 * Counts the items of the flow that are served before a new one of this class
 * and deadline.
 */
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
 * Predicts the wait of a new item while per_sec requests a second leave the
 * queue: the customer's items ahead of it at the customer's share of the rate,
 * but at most all items at the whole rate. 0 when the rate is unknown.
 */
int64_t
Qu_PredictWait(const struct qu_queue *queue, const char *customer,
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
    double own_wait = ahead / (per_sec * own_weight / weights);
    double total_wait = queue->length / per_sec;
    return (int64_t)(fmin(own_wait, total_wait) * 1e6);
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

/* Removes an item whose request was abandoned while it waited. */
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
 * Returns the item to evict: the last one of the customer with the longest
 * queue relative to its weight, if that queue is longer than the one of "flow"
 * would become; otherwise NULL. Without this, one customer's flood would fill
 * the queue and all others would be refused.
 */
static struct qu_item *
find_eviction(const struct qu_queue *queue, const struct qu_flow *flow)
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
    if (flow_length(flow) == 0 && flow->start_tag < queue->virtual_time) {
        flow->start_tag = queue->virtual_time; /* no credit for idle time */
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
 * Queues an item or refuses it at once: ST_TIMEOUT when the wait predicted at
 * per_sec departures a second ends after the item's deadline, ST_OVERLOAD when
 * the queue is full. A refused item was not run. An item evicted to make room
 * is in refusal->evicted, also when the result is ST_OK.
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
    refusal->wait = Qu_PredictWait(queue, customer, item->service_class,
                                   item->deadline, per_sec, now);
    int64_t excess = now + refusal->wait - item->deadline;
    if (excess > 0) {
        refusal->retry_after =
            excess > RETRY_AFTER_MIN_USEC ? excess : RETRY_AFTER_MIN_USEC;
        return St_Fail(ST_TIMEOUT,
                       "the wait would be %lld ms, longer than the deadline "
                       "allows; allow more time or try again later",
                       (long long)(refusal->wait / Ck_USEC_PER_MSEC));
    }
    if (is_full(queue, item->bytes)) {
        refusal->evicted = find_eviction(queue, flow);
        if (refusal->evicted != NULL) {
            unlink_item(queue, refusal->evicted);
        }
    }
    if (is_full(queue, item->bytes)) {
        int64_t drain_usec =
            per_sec > 0 ? (int64_t)(queue->length / per_sec * 1e6) : 0;
        refusal->retry_after = drain_usec > RETRY_AFTER_MIN_USEC
                                   ? drain_usec
                                   : RETRY_AFTER_MIN_USEC;
        return St_Fail(ST_OVERLOAD, "the queue is full; try again later or "
                                    "add replicas");
    }
    link_item(queue, flow, item, now);
    return ST_OK;
}

/*
 * Removes and returns one item whose deadline has passed, for the caller to
 * refuse; NULL when there is none.
 */
struct qu_item *
Qu_PopExpired(struct qu_queue *queue, int64_t now)
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
 * Returns the customer's next item. Urgent items are served before patient
 * ones, but a steady stream of urgent items would starve the patient ones: so
 * one of every patient_every items is patient, and a patient item that has
 * spent half its time waiting is ordered by deadline like an urgent one.
 */
static struct qu_item *
next_item(const struct qu_queue *queue, struct qu_flow *flow, int64_t now)
{
    struct qu_item *urgent = RB_MIN(qu_tree, &flow->items[QU_URGENT]);
    struct qu_item *patient = RB_MIN(qu_tree, &flow->items[QU_PATIENT]);
    if (urgent == NULL || patient == NULL) {
        return urgent != NULL ? urgent : patient;
    }
    if (flow->consecutive_urgent >= queue->settings.patient_every - 1) {
        return patient;
    }
    int64_t half_time = patient->arrived / 2 + patient->deadline / 2;
    return now >= half_time && patient->deadline < urgent->deadline ? patient
                                                                    : urgent;
}

/* Removes and returns the item to run next; NULL when the queue is empty. */
struct qu_item *
Qu_Pop(struct qu_queue *queue, int64_t now)
{
    struct qu_flow *best = NULL;
    struct qu_flow *flow;
    LIST_FOREACH (flow, &queue->flows, entry) {
        if (flow_length(flow) > 0 &&
            (best == NULL || flow->start_tag < best->start_tag)) {
            best = flow;
        }
    }
    if (best == NULL) {
        return NULL;
    }
    struct qu_item *item = next_item(queue, best, now);
    bool patient = item->service_class == QU_PATIENT;
    best->consecutive_urgent = patient ? 0 : best->consecutive_urgent + 1;
    queue->virtual_time = best->start_tag;
    best->start_tag += (item->cost > 0 ? item->cost : 1) / best->weight;
    unlink_item(queue, item);
    return item;
}
