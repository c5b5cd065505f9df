/*
 * The queue in front of a service's endpoints: fair between customers by
 * weight, inside a customer by class and deadline, bounded, and quick to
 * refuse what cannot be in time.  The caller owns the items and must answer
 * those it gets back from Qu_Push(), Qu_Late() and Qu_Pop().  Times are
 * microseconds.
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
 * Embedded in the caller's request: zeroed first, then set what is above
 * "Of the queue".
 */
struct qu_item {
    enum qu_class service_class;
    int64_t deadline; /* when the answer must have begun */
    size_t bytes;     /* kept in memory for it */
    double cost;      /* work, e.g. tokens; 0 counts as 1 */
    void *request;    /* the caller's */
    /* Of the queue. */
    RB_ENTRY(qu_item) entry;
    struct qu_flow *flow;
    int64_t arrived;
    uint64_t order;
};

struct qu_settings {
    int length_max;
    size_t bytes_max;
    int patient_every; /* of so many, one is patient when any waits */
};

/* Why an item was not taken, and when it may be tried again. */
struct qu_refusal {
    int64_t wait;            /* predicted */
    int64_t retry_after;     /* until the wait would fit */
    struct qu_item *evicted; /* an item that gave way; answer it "not run" */
};

struct qu_queue;

void Qu_Defaults(struct qu_settings *settings);
struct qu_queue *Qu_Create(const struct qu_settings *settings);
void Qu_Destroy(struct qu_queue *queue);

/* Commands. */
enum st_status Qu_SetWeight(struct qu_queue *queue, const char *customer,
                            double weight);
enum st_status Qu_Push(struct qu_queue *queue, const char *customer,
                       struct qu_item *item, double per_sec, int64_t now,
                       struct qu_refusal *refusal);
struct qu_item *Qu_Pop(struct qu_queue *queue, int64_t now);
struct qu_item *Qu_Late(struct qu_queue *queue, int64_t now);
void Qu_Remove(struct qu_queue *queue, struct qu_item *item);

/* Queries. */
int Qu_Length(const struct qu_queue *queue);
size_t Qu_Bytes(const struct qu_queue *queue);
int64_t Qu_Wait(const struct qu_queue *queue, const char *customer,
                enum qu_class service_class, int64_t deadline, double per_sec,
                int64_t now);

#ifdef __cplusplus
}
#endif

#endif
