/*
 * Measures an engine's prefill rate from the time to the first token, as the
 * slope of a line over the prompt tokens.  Some engines spend a fixed time on
 * each request before the first token, whatever its prompt.  If that counted
 * as prefill time, they would look several times slower than they are.  Pure.
 */
#ifndef POLICY_PREFILL_FIT_H
#define POLICY_PREFILL_FIT_H

#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define Fi_SAMPLES 48

struct fi_sample {
    double tokens;
    double usec;
};

struct fi_line {
    double fixed_usec;
    double tokens_per_sec; /* 0: not determined, or there is no fixed time */
};

/* The line and the most recent samples; zero: none yet. */
struct fi_fit {
    struct fi_line line;
    struct fi_sample samples[Fi_SAMPLES];
    size_t added; /* since the start */
};

/*
 * Learns from the time between sending a prompt to an endpoint without a queue
 * and its first token.
 */
void Fi_Add(struct fi_fit *fit, int64_t prompt_tokens, int64_t usec);

#ifdef __cplusplus
}
#endif

#endif
