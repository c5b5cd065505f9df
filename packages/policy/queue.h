/*
 * The queue in front of a service's endpoints: weighted fair queueing between
 * customers; by class and deadline within a customer; bounded; and it refuses
 * at once a request that cannot be served before its deadline. The caller owns
 * the items and must answer the ones that Qu_Push(), Qu_PopExpired() and
 * Qu_Pop() return. Times are microseconds.
 */
#ifndef POLICY_QUEUE_H
#define POLICY_QUEUE_H

#include <bsd/sys/tree.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/status.h"

#ifdef __cplusplus
extern "C" {
#endif

#define Qu_NAME_MAX 64

enum qu_class { QU_URGENT, QU_PATIENT, QU_CLASSES };

struct qu_flow;

/*
 * Embedded in the caller's request. The caller zeroes it, then sets the fields
 * above "Set by the queue".
 */
struct qu_item {
    enum qu_class service_class;
    int64_t deadline; /* latest time for the first byte of the answer */
    size_t bytes;     /* memory that the request takes */
    double cost;      /* work, for instance tokens; 0 counts as 1 */
    void *request;    /* owned by the caller */
    /* Set by the queue. */
    RB_ENTRY(qu_item) entry;
    struct qu_flow *flow;
    int64_t arrived;
    uint64_t order;
};

struct qu_settings {
    int length_max;
    size_t bytes_max;
    int patient_every; /* one of so many served is patient, if any waits */
};

/*
 * Result of a push: the predicted wait, when to retry a refused item, and the
 * item evicted, if any.
 */
struct qu_refusal {
    int64_t wait;            /* predicted wait of the item */
    int64_t retry_after;     /* time after which a retry may be accepted */
    struct qu_item *evicted; /* removed to make room; answer it "not run" */
};

struct qu_queue;

void Qu_Defaults(struct qu_settings *settings);
struct qu_queue *Qu_Create(const struct qu_settings *settings);
void Qu_Destroy(struct qu_queue *queue);

enum st_status Qu_SetWeight(struct qu_queue *queue, const char *customer,
                            double weight);
enum st_status Qu_Push(struct qu_queue *queue, const char *customer,
                       struct qu_item *item, double per_sec, int64_t now,
                       struct qu_refusal *refusal);
struct qu_item *Qu_Pop(struct qu_queue *queue, int64_t now);
struct qu_item *Qu_PopExpired(struct qu_queue *queue, int64_t now);
void Qu_Remove(struct qu_queue *queue, struct qu_item *item);

int Qu_Length(const struct qu_queue *queue);
size_t Qu_Bytes(const struct qu_queue *queue);
int64_t Qu_PredictWait(const struct qu_queue *queue, const char *customer,
                       enum qu_class service_class, int64_t deadline,
                       double per_sec, int64_t now);

#ifdef __cplusplus
}
#endif

#endif
