/*
 * Decides whether a failed request may be sent again, and whether a second
 * copy of a slow request may be sent beside the first (hedging). Times are
 * microseconds.
 */
#ifndef POLICY_RETRY_H
#define POLICY_RETRY_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* How far an attempt got; the later stage when in doubt. */
enum rt_stage {
    RT_NOT_SENT, /* provably no byte has left this host */
    RT_REFUSED,  /* the endpoint answered that it did not run the request */
    RT_SENT,     /* a byte may have left: the request may have run */
    RT_PARTLY_ANSWERED, /* part of the answer has gone to the caller */
};

struct rt_attempt {
    enum rt_stage stage;
    bool idempotent; /* running it twice does no harm */
    bool keyed;      /* its outcome is stored under an idempotency key */
    /*
     * Failed attempts in which a byte was sent, this one included. A first
     * attempt at a version on trial does not count: 0 when it was the only
     * one.
     */
    int attempts;
    /* Attempts in which no byte was sent, this one included. */
    int connect_failures;
    int64_t time_left; /* time until the deadline */
    int64_t predicted; /* predicted duration of a further attempt */
};

/* Why a failed attempt may not be followed by another. */
enum rt_reason {
    RT_ALLOWED,
    RT_MAY_HAVE_RUN,   /* the request may have run and must not run twice */
    RT_ANSWER_BEGUN,   /* the caller has received part of an answer */
    RT_ATTEMPTS_SPENT, /* too many attempts were sent and failed */
    RT_NOBODY_REACHED, /* too many attempts reached no endpoint */
    RT_NO_TIME_LEFT,   /* a further attempt would end too late */
    RT_BUDGET_SPENT,   /* the service's retry budget is empty */
};

enum rt_verdict {
    RT_RETRY,
    RT_NOT_RUN, /* give up; the request provably was not run */
    RT_UNKNOWN, /* give up; the request may have run and must not run again */
    RT_FAILED,  /* give up; running the request again later does no harm */
};

/* Token bucket for a service's retries, filled by successful requests. */
struct rt_budget {
    double tokens;
    double ratio; /* tokens that a success adds */
    double capacity;
};

void Rt_Init(struct rt_budget *budget, double ratio, double capacity);
void Rt_RaiseCapacity(struct rt_budget *budget, int in_flight);
void Rt_Success(struct rt_budget *budget);
enum rt_reason Rt_DenyReason(const struct rt_budget *budget,
                             const struct rt_attempt *attempt);
const char *Rt_ReasonName(enum rt_reason reason);
enum rt_verdict Rt_Decide(struct rt_budget *budget,
                          const struct rt_attempt *attempt);
int64_t Rt_Backoff(int connect_failures);
bool Rt_Hedge(struct rt_budget *budget, const struct rt_attempt *attempt,
              int64_t waited, int64_t usual);

#ifdef __cplusplus
}
#endif

#endif
