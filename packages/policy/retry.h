/*
 * Whether a request that failed may be sent again, and whether a slow one
 * may be sent a second time beside the first.  Times are microseconds.
 */
#ifndef POLICY_RETRY_H
#define POLICY_RETRY_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* How far a dispatch got; take the later one when in doubt. */
enum rt_stage {
    RT_NOT_SENT, /* provably no byte has left */
    RT_REFUSED,  /* the endpoint says it has not run it */
    RT_SENT,     /* a byte may have left: it may have run */
    RT_ANSWERED, /* part of the answer has gone to the caller */
};

struct rt_attempt {
    enum rt_stage stage;
    bool idempotent; /* running it twice does no harm */
    bool keyed;      /* its outcome is kept under an idempotency key */
    /*
     * Failures so far, this one included, of what was sent, without a first
     * one at a version on trial: 0 when that is all there is.
     */
    int attempts;
    int unreached;     /* so far, this one included, that were not */
    int64_t left;      /* until the deadline */
    int64_t predicted; /* time a further attempt takes */
};

/* Why a failed attempt may not be followed by another. */
enum rt_reason {
    RT_ALLOWED,
    RT_MAY_HAVE_RUN,   /* and must not run twice */
    RT_ANSWER_BEGUN,   /* the caller has part of an answer */
    RT_ATTEMPTS_SPENT, /* endpoints failed it too often */
    RT_NOBODY_REACHED, /* too many endpoints could not be reached */
    RT_NO_TIME_LEFT,   /* a further attempt would end too late */
    RT_BUDGET_SPENT,   /* the service's retries are used up */
};

enum rt_verdict {
    RT_RETRY,
    RT_NOT_RUN, /* give up; saying "not run" is true */
    RT_UNKNOWN, /* give up; it may have run and must not run again */
    RT_FAILED,  /* give up; running it again later does no harm */
};

/* Retries are paid for by successes. */
struct rt_budget {
    double tokens;
    double ratio; /* earned by a success */
    double most;
};

void Rt_Init(struct rt_budget *budget, double ratio, double most);
void Rt_Cover(struct rt_budget *budget, int in_flight);
void Rt_Success(struct rt_budget *budget);
enum rt_reason Rt_Why(const struct rt_budget *budget,
                      const struct rt_attempt *attempt);
const char *Rt_ReasonName(enum rt_reason reason);
enum rt_verdict Rt_Decide(struct rt_budget *budget,
                          const struct rt_attempt *attempt);
int64_t Rt_Gap(int unreached);
bool Rt_Hedge(struct rt_budget *budget, const struct rt_attempt *attempt,
              int64_t waited, int64_t usual);

#ifdef __cplusplus
}
#endif

#endif
