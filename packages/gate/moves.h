/*
 * Version moves: the gradual shift of a service's traffic from one version to
 * another.  This module replicates the state of each move from the log, runs
 * this router's circuit breaker and outcome counts, and advances the moves
 * whose lease this daemon holds.
 */
#ifndef GATE_MOVES_H
#define GATE_MOVES_H

#include <jansson.h>

#include "gate/control.h"
#include "gate/gate.h"
#include "policy/move.h"
#include "policy/pace.h"

#ifdef __cplusplus
extern "C" {
#endif

struct mo_moves;

/* The outcome of one request, as its router saw it. */
struct mo_outcome {
    const char *service;
    const char *version;
    const char *endpoint; /* endpoint id */
    const char *route;
    bool patient;
    bool failed;
    int64_t first_token_usec; /* latency; undefined if the request failed */
    int64_t target_usec;      /* target for the first token; 0: none */
    struct pa_pace pace;      /* of its tokens; zero: too few came */
};

struct mo_ops {
    /* Whether this daemon should hold the lease of the job. */
    bool (*should_hold)(void *arg, const char *job);
    /* Sends a router's report to the daemon responsible for the job. */
    void (*send_report)(void *arg, const char *job, const char *text,
                        size_t len);
    /* Announces to all daemons that a version must get no new requests. */
    void (*distrust)(void *arg, const char *service, const char *version);
    /* Ids of the daemons that route; returns the number written. */
    size_t (*routers)(void *arg, const char **out, size_t max);
};

enum st_status Mo_Create(struct gt_gate *gate, const struct mo_ops *ops,
                         void *arg, struct mo_moves **out);
void Mo_Destroy(struct mo_moves *moves);
struct ct_component Mo_Component(struct mo_moves *moves);
void Mo_SetControl(struct mo_moves *moves, struct ct_control *control);

void Mo_Tick(struct mo_moves *moves);
void Mo_RecordOutcome(struct mo_moves *moves,
                      const struct mo_outcome *outcome);
void Mo_HandleReport(struct mo_moves *moves, const char *text, size_t len);

bool Mo_IsStateUnread(const struct mo_moves *moves);
json_t *Mo_Status(const struct mo_moves *moves);

#ifdef __cplusplus
}
#endif

#endif
