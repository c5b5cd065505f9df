/*
 * Expected output of requests, in tokens, by route and customer.  It is
 * learned from completed answers.  Pure.
 */
#ifndef POLICY_WORK_H
#define POLICY_WORK_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Source of a request, as hashes of the names. */
struct wk_source {
    uint64_t service;
    uint64_t route;
    uint64_t customer; /* 0: the route needs no key */
};

struct wk_request {
    struct wk_source source;
    int64_t max_tokens; /* the answer is cut at this length; 0: not given */
    int64_t hint;       /* the caller's own estimate; 0 or less: none */
};

/*
 * The length of an answer as a log-normal distribution that is cut at the
 * maximum.
 */
struct wk_estimate {
    double log_median; /* natural logarithm of the tokens */
    double log_sd;
    int64_t max_tokens;
};

struct wk_table;

/* NULL: out of memory. */
struct wk_table *Wk_Create(void);
void Wk_Destroy(struct wk_table *table);

/* Learns from a complete answer. */
void Wk_Learn(struct wk_table *table, const struct wk_request *request,
              int64_t tokens);
struct wk_estimate Wk_Estimate(struct wk_table *table,
                               const struct wk_request *request);
/*
 * Expected further tokens of an answer that has "produced" tokens and has not
 * ended: at least 1, or 0 at the maximum and for a zeroed estimate.
 */
int64_t Wk_Remaining(const struct wk_estimate *estimate, int64_t produced);

#ifdef __cplusplus
}
#endif

#endif
