/* The settings of a load run: rates, targets and the content of requests. */
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
    const char *keys[Ld_KEYS_MAX]; /* customers' keys, used round robin */
    int key_count;
    double rates[LD_CLASSES]; /* requests a second */
    double stream_share;      /* of the completions, 0 to 1 */
    double retry_share;       /* of the charges, 0 to 1 */
    int64_t retry_delay_usec; /* longest wait before a retry */
    int64_t duration_usec;    /* requests are sent for this time */
    int64_t grace_usec;       /* longest wait for answers after that */
    int64_t deadline_msec;    /* sent with completions; 0: not sent */
    uint64_t seed;
    int prefixes; /* number of different shared prompt prefixes */
    int prefix_bytes;
    int tokens_min;
    int tokens_max;
    const char *model;
    const char *charge_path;
};

const char *Ld_ClassName(enum ld_class index);

#endif
