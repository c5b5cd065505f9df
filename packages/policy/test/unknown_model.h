/*
 * A simulation of one router and its engines during a version rollout.  It
 * combines the endpoint table, the retry budget and the circuit breaker of the
 * new version ("trip") as packages/gate does, and counts the requests that end
 * as "unknown": the caller cannot tell whether they ran.  Pure: the time is
 * simulated and the random numbers are seeded.
 */
#ifndef POLICY_TEST_UNKNOWN_MODEL_H
#define POLICY_TEST_UNKNOWN_MODEL_H

#include <stdbool.h>
#include <stdint.h>

#include "policy/retry.h"

#ifdef __cplusplus
extern "C" {
#endif

#define UM_OLD "v1"
#define UM_NEW "v2"
#define UM_REASON_COUNT (RT_BUDGET_SPENT + 1)
#define UM_ENGINES_MAX 16

enum um_health {
    UM_HEALTHY,
    UM_FAILS,       /* answers each attempt with an error at once */
    UM_DISCONNECTS, /* disconnects, half the time before the first token */
    UM_REFUSES,     /* refuses connections */
};

struct um_settings {
    int64_t arrival_gap;  /* mean time between two requests */
    int64_t first_token;  /* mean time to the first token */
    int64_t whole_answer; /* mean time to the last token */
    int slots;            /* requests that an engine runs at once */
    double share;         /* traffic share of the new version */
};

struct um_counts {
    int arrived;
    int good;
    int not_run;   /* ended as "not run" */
    int unknown;   /* ended as "unknown" */
    int avoidable; /* of these, while a good engine was free */
    int by_reason[UM_REASON_COUNT]; /* avoidable; RT_ALLOWED: no engine */
    int failed[2];              /* attempts at the old, at the new version */
    int new_failed_before_trip; /* at the new version, until the trip */
    double retries_min;         /* lowest level of the retry budget */
    char first_avoidable[256];  /* attempts of the first avoidable one */
};

struct um_model;

void Um_Defaults(struct um_settings *settings);
struct um_model *Um_Create(const struct um_settings *settings, uint64_t seed);
void Um_Destroy(struct um_model *model);

/* Adds an engine of a version and returns its number. */
int Um_AddEngine(struct um_model *model, const char *version);
/* Sets how the engine answers the next "count" attempts; -1: all. */
void Um_SetHealth(struct um_model *model, int engine, enum um_health health,
                  int count);
/* Delays the engine's next "count" first tokens. */
void Um_Delay(struct um_model *model, int engine, int64_t usec, int count);
/* Kills the engine: its requests fail, new connections are refused. */
void Um_Kill(struct um_model *model, int engine);
void Um_Suspect(struct um_model *model, int engine);
void Um_Leave(struct um_model *model, int engine);
/* Runs the simulation, with arrivals, for the given time. */
void Um_Run(struct um_model *model, int64_t usec);
/* Stops arrivals and runs until all requests have ended. */
void Um_Drain(struct um_model *model);

bool Um_Tripped(const struct um_model *model);
bool Um_IsEjected(const struct um_model *model, int engine);
const struct um_counts *Um_Counts(const struct um_model *model);

#ifdef __cplusplus
}
#endif

#endif
