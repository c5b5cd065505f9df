/*
 * Many hosts that place requests at many model engines with the real
 * decisions (edge/place, edge/prefix), each by what it sent itself and by what
 * the others told a while ago.  Seeded and deterministic.
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

/* A size that is drawn, log-normal: its mean, the logarithm's deviation. */
struct mp_size {
    double mean;
    double spread;
    double most;
};

/* A part of a prompt that requests share. */
struct mp_shared {
    struct mp_size tokens;
    size_t subjects; /* different ones; 0: no such part */
};

struct mp_kind {
    const char *name;
    double weight; /* its part of all requests, against the others' */
    struct mp_size own_tokens;
    struct mp_shared shared[Me_PARTS_MAX - 1];
    struct mp_size answer_tokens;
    double aim_msec; /* to the first token */
    double worth;    /* of one of mean size in time; late a tenth of it */
};

struct mp_load {
    size_t hosts;
    size_t engines;
    size_t data_centres;
    double per_sec;
    double seconds;
    int64_t word_usec; /* between two words of a host to the others */
    struct mp_kind kinds[Mp_KINDS_MAX];
    size_t kind_count;
    struct me_speed speed;
};

enum mp_lanes {
    MP_AS_DECIDED, /* by the number of endpoints, as the daemons do */
    MP_ALWAYS,     /* as if there were many endpoints */
    MP_NEVER,
};

/* The ways that are set against each other. */
struct mp_ways {
    enum mp_lanes lanes; /* whether long prompts have endpoints of their own */
    bool no_homes;       /* prompts that share a part have none in common */
    bool all_look;       /* each request looks at all endpoints */
};

/* Parts of the worth that could be had, 0 to 1. */
struct mp_result {
    size_t requests;
    size_t refused; /* nobody had room */
    double whole;
    double worst_seconds; /* the worst tenth of the seconds */
    double worst_class;   /* a kind, its largest tenth or the fifth below */
    double figure;        /* the three, weighed as callers weigh them */
    double kinds[Mp_KINDS_MAX];
    double shared_read; /* part of the shared tokens read again */
};

/* False without memory, or when the load has nothing to play. */
bool Mp_Run(const struct mp_load *load, const struct mp_ways *ways,
            uint64_t seed, struct mp_result *out);

#ifdef __cplusplus
}
#endif

#endif
