/* Declarations shared by placing.c and placing_score.c. */
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
    int64_t prefill_tokens; /* its host expects to be read */
    int64_t prompt_tokens;
    int64_t shared_tokens;   /* prompt tokens in shared parts */
    double first_token_msec; /* after arrival; -1 without an answer */
};

/* Returns false if an allocation fails. */
bool mp_score(const struct mp_load *load, const struct mp_request *requests,
              size_t count, struct mp_result *out);

#ifdef __cplusplus
}
#endif

#endif
