/*
 * A seeded discrete-event simulation of endpoints with continuous batching, a
 * bounded prefix cache and delayed load reports.  It measures the balancing
 * policies of policy/choose.h.
 */
#ifndef POLICY_TEST_CHOOSE_MODEL_H
#define POLICY_TEST_CHOOSE_MODEL_H

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
    double per_sec;         /* arrivals at all routers together */
    int prompt_tokens;      /* 4 in 5 of them are the prefix */
    int mean_answer_tokens; /* of an exponential distribution */
    int prefixes;           /* distinct prefixes, drawn with a skew */
    int cache_size;         /* prefixes that an endpoint caches */
    int64_t report_lag;     /* us, from measurement to delivery */
    int slow_endpoints;     /* the first so many are slow */
    double slow_factor;     /* how many times slower */
    const struct ch_ops *ops;
};

struct model_result {
    int64_t p50; /* time to the first token, us */
    int64_t p95;
    int64_t p99;
    double hit_share;   /* of prefixes found in a cache */
    int64_t recomputed; /* prefix tokens not found in a cache */
    int started;
    int refused;
};

void Model_Run(const struct model_plan *plan, struct model_result *out);

#ifdef __cplusplus
}
#endif

#endif
