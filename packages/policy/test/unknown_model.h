/*
 * A model of one router with its engines during a version move: the table of
 * endpoints, the retries and the router's trip together, as packages/gate
 * uses them.  Pure: its time is counted, its chance is seeded.
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
#define UM_REASONS (RT_BUDGET_SPENT + 1)
#define UM_ENGINES_MAX 16

enum um_health {
    UM_WELL,
    UM_FAILS,   /* answers with an error at once */
    UM_BREAKS,  /* breaks off, half of the time before the first token */
    UM_REFUSES, /* accepts no connection */
};

struct um_settings {
    int64_t gap;   /* between two requests, mean */
    int64_t first; /* until the first token, mean */
    int64_t whole; /* until the last one, mean */
    int slots;     /* of an engine */
    double share;  /* of the new version */
};

struct um_counts {
    int asked;
    int good;
    int not_run;               /* refused as such */
    int unknown;               /* callers told so */
    int owed;                  /* of these, with a good engine free */
    int by_reason[UM_REASONS]; /* of "owed"; RT_ALLOWED: no engine */
    int failed[2];             /* attempts at the old, the new version */
    int new_before_trip;       /* failed attempts there until the trip */
    double retries_least;      /* left at any time */
    char first_owed[256];      /* how the first of them went */
};

struct um_model;

void Um_Defaults(struct um_settings *settings);
struct um_model *Um_Create(const struct um_settings *settings, uint64_t seed);
void Um_Destroy(struct um_model *model);

/* Adds an engine of a version; its number. */
int Um_AddEngine(struct um_model *model, const char *version);
/* How the engine answers the next "count" attempts; -1: all. */
void Um_SetHealth(struct um_model *model, int engine, enum um_health health,
                  int count);
/* Its next "count" first tokens come so much later. */
void Um_Slow(struct um_model *model, int engine, int64_t usec, int count);
/* Its process ends with all that it runs; nobody listens there any more. */
void Um_Kill(struct um_model *model, int engine);
void Um_Suspect(struct um_model *model, int engine);
void Um_Leave(struct um_model *model, int engine);
/* Lets requests come, go on and end for the time. */
void Um_Run(struct um_model *model, int64_t usec);
/* Lets the requests under way end; no new ones come. */
void Um_Drain(struct um_model *model);

bool Um_Tripped(const struct um_model *model);
bool Um_IsEjected(const struct um_model *model, int engine);
const struct um_counts *Um_Counts(const struct um_model *model);

#ifdef __cplusplus
}
#endif

#endif
