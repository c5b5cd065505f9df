/*
 * A seeded, event-driven model of endpoints with continuous batching, a
 * bounded prefix cache and lagging load reports, to measure choices with.
 */
#ifndef POLICY_TEST_MODEL_H
#define POLICY_TEST_MODEL_H

#include <stdbool.h>
#include <stdint.h>

#include "policy/choose.h"

#ifdef __cplusplus
extern "C" {
#endif

struct model_plan {
    uint64_t seed;
    int routers;
    int endpoints;
    int slots;
    int requests;
    double per_sec;    /* arrivals, all routers together */
    int prompt_tokens; /* of which the prefix is 4 in 5 */
    int answer_tokens; /* mean, exponential */
    int prefixes;      /* distinct; picked with a skew */
    int cache;         /* prefixes an endpoint keeps */
    int64_t report_lag;
    int slow;       /* endpoints that are slowed */
    double slow_by; /* their factor */
    const struct ch_ops *ops;
};

struct model_result {
    int64_t p50; /* time to the first token */
    int64_t p95;
    int64_t p99;
    double hit_share;
    int64_t recomputed; /* prefix tokens not found in a cache */
    int started;
    int refused;
};

void Model_Run(const struct model_plan *plan, struct model_result *out);

#ifdef __cplusplus
}
#endif

#endif
