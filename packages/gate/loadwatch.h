/*
 * Samples the load of the model engines this daemon watches.  Each engine is
 * watched by a few daemons near it, not by all, and the samples are passed on
 * by gossip: 420 daemons asking 740 engines would be 310,800 pairs.
 */
#ifndef GATE_LOADWATCH_H
#define GATE_LOADWATCH_H

#include "gate/gate.h"
#include "policy/choose.h"

#ifdef __cplusplus
extern "C" {
#endif

struct lw_watch;

/* What a load report says. */
struct lw_report {
    const char *service;
    const char *endpoint;
    struct ch_sample sample;
    bool leaving;
    int64_t left_usec; /* when leaving */
    bool tells_cold;
    int64_t cold_usec;  /* how much longer it is cold, when taken */
    int refusals_borne; /* in a second; below 0: it says nothing of it */
    char version[Ch_NAME_MAX];
    /* The samples of one endpoint that are passed on are this far apart. */
    int64_t spread_usec;
};

struct lw_ops {
    /* Whether this daemon watches the endpoint. */
    bool (*mine)(void *arg, const struct ch_info *info);
    void (*report)(void *arg, const struct lw_report *report);
    /* Several samples in a row failed. */
    void (*silent)(void *arg, const char *service, const char *endpoint);
};

enum st_status Lw_Create(struct gt_gate *gate, const struct lw_ops *ops,
                         void *arg, struct lw_watch **out);
void Lw_Destroy(struct lw_watch *watch);

#ifdef __cplusplus
}
#endif

#endif
