/* Between placing.c and placing_judge.c. */
#ifndef MODEL_PLACING_INTERNAL_H
#define MODEL_PLACING_INTERNAL_H

#include "model/placing.h"

#ifdef __cplusplus
extern "C" {
#endif

struct mp_request {
    struct me_job job;
    size_t host;
    size_t engine;
    size_t kind;
    int64_t arrived_at;
    int64_t reading; /* what its host expects to be read for it */
    int64_t prompt;
    int64_t shared;    /* of the prompt */
    double first_msec; /* -1: none */
};

/* False without memory. */
bool mp_judge(const struct mp_load *load, const struct mp_request *requests,
              size_t count, struct mp_result *out);

#ifdef __cplusplus
}
#endif

#endif
