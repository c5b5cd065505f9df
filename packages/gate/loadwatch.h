/*
 * Polls the load of the model engines that are assigned to this daemon.  Two
 * daemons in the data centre of an engine poll it, or any two if it has no
 * daemon there, and gossip carries the samples to the others: if 420 daemons
 * polled 740 engines there would be 310,800 pairs.
 */
#ifndef GATE_LOADWATCH_H
#define GATE_LOADWATCH_H

#include "gate/gate.h"
#include "policy/choose.h"

#ifdef __cplusplus
extern "C" {
#endif

struct lw_watch;

/* A load report of an engine. */
struct lw_report {
    const char *service;
    const char *endpoint;
    struct ch_sample sample;
    bool leaving;
    int64_t left_usec;      /* time until it is reclaimed, if leaving */
    bool has_cold;          /* cold_left_usec is valid */
    int64_t cold_left_usec; /* remaining warm-up time when sampled */
    int refusal_limit; /* refusals a second it can bear; below 0: unknown */
    /* Requests a second that it takes from all hosts; below 0: no limit. */
    double rate_limit;
    char version[Ch_NAME_MAX];
    /* The shortest interval between two gossiped samples of one endpoint. */
    int64_t gossip_interval_usec;
};

struct lw_ops {
    /* Whether this daemon polls the endpoint. */
    bool (*is_assigned)(void *arg, const struct ch_info *info);
    void (*report)(void *arg, const struct lw_report *report);
    /* Called when several polls of an endpoint in a row have failed. */
    void (*unreachable)(void *arg, const char *service, const char *endpoint);
};

enum st_status Lw_Create(struct gt_gate *gate, const struct lw_ops *ops,
                         void *arg, struct lw_watch **out);
void Lw_Destroy(struct lw_watch *watch);

#ifdef __cplusplus
}
#endif

#endif
