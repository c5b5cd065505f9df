/* What load to give, and where. */
#ifndef TOOLS_LOAD_PLAN_H
#define TOOLS_LOAD_PLAN_H

#include <stdint.h>

#define Ld_TARGETS_MAX 64
#define Ld_KEYS_MAX 64
#define Ld_ADDRESS_MAX 64

enum ld_class {
    LD_URGENT,
    LD_PATIENT,
    LD_CHARGE, /* keyed calls of a plain service */
    LD_CLASSES,
};

struct ld_target {
    char address[Ld_ADDRESS_MAX];
    int port;
};

struct ld_plan {
    struct ld_target targets[Ld_TARGETS_MAX];
    int target_count;
    const char *keys[Ld_KEYS_MAX]; /* customers' keys, used in turn */
    int key_count;
    double rates[LD_CLASSES]; /* requests a second */
    double stream_share;      /* of the completions */
    double repeat_share;      /* of the charges */
    int64_t repeat_usec;      /* longest wait before a repeat */
    int64_t load_usec;        /* how long load is given */
    int64_t grace_usec;       /* how long answers are waited for */
    int64_t deadline_msec;    /* sent with completions; 0: none */
    uint64_t seed;
    int prefixes; /* shared beginnings of prompts */
    int prefix_bytes;
    int tokens_min;
    int tokens_max;
    const char *model;
    const char *charge_path;
};

const char *Ld_ClassName(enum ld_class index);

#endif
