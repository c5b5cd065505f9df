/*
 * Simulation of many hosts that place requests at many model engines with
 * the production code (edge/place, edge/prefix).  Each host knows the requests
 * that it placed itself, and the load of its peers from periodic reports.
 * Seeded and deterministic.
 */
#ifndef MODEL_PLACING_H
#define MODEL_PLACING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "model/engine.h"

#ifdef __cplusplus
extern "C" {
#endif

#define Mp_KINDS_MAX 8

/* A log-normal distribution of sizes. */
struct mp_size {
    double mean;
    double spread; /* standard deviation of the logarithm */
    double max;    /* larger sizes are clamped to it; 0: no limit */
};

/* A prompt part whose text is the same in several requests. */
struct mp_shared {
    struct mp_size tokens;
    size_t variants; /* number of different texts; 0: no such part */
};

struct mp_kind {
    const char *name;
    double weight; /* frequency, relative to the other kinds */
    struct mp_size own_tokens;
    struct mp_shared shared[Me_PARTS_MAX - 1];
    struct mp_size answer_tokens;
    double target_msec; /* latency target of the first token */
    /*
     * Of an answer of mean size that meets the target.  An answer that misses
     * it has a tenth of the value.
     */
    double value;
};

struct mp_load {
    size_t hosts;
    size_t engines;
    size_t data_centres;
    double requests_per_sec;
    double seconds;
    int64_t report_usec; /* between two load reports of a host to its peers */
    struct mp_kind kinds[Mp_KINDS_MAX];
    size_t kind_count;
    struct me_speed speed;
};

enum mp_lanes {
    MP_LANES_BY_COUNT, /* if there are enough endpoints, as in the daemons */
    MP_LANES_ALWAYS,   /* as if there were many endpoints */
    MP_LANES_NEVER,
};

/* Variants of the placement policy that are compared with each other. */
struct mp_policy {
    enum mp_lanes lanes; /* whether endpoints are reserved for long prompts */
    bool no_preferred;   /* prompt groups have no preferred endpoints */
    bool no_sampling;    /* each request considers all endpoints */
};

/*
 * Scores are fractions, 0 to 1, of the value of a run in which every answer
 * meets its latency target.
 */
struct mp_result {
    size_t requests;
    size_t refused; /* no endpoint could be chosen */
    double total;
    double worst_seconds; /* mean over the worst tenth of the seconds */
    /* Lowest of all kinds, their largest tenth of requests and next fifth. */
    double worst_class;
    double score; /* weighted sum of total, worst_seconds, worst_class */
    double kinds[Mp_KINDS_MAX];
    /* Fraction of the tokens in shared parts that were not cached. */
    double shared_reread;
};

/* Returns false if an allocation fails or the load is empty or too large. */
bool Mp_Run(const struct mp_load *load, const struct mp_policy *policy,
            uint64_t seed, struct mp_result *out);

#ifdef __cplusplus
}
#endif

#endif
