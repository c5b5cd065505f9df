/*
 * Retry and hedging decisions.
 */
#include "policy/retry.h"

#include "base/clock.h"

#define ATTEMPTS_MAX 3
#define CONNECT_FAILURES_MAX 16
#define BACKOFF_MIN_USEC (INT64_C(10) * Ck_USEC_PER_MSEC)
#define BACKOFF_DOUBLINGS_MAX 5

/*
 * Starts with a full budget of "capacity" tokens; each success adds "ratio" of
 * a token, and a retry takes one.
 */
void
Rt_Init(struct rt_budget *budget, double ratio, double capacity)
{
    budget->tokens = capacity;
    budget->ratio = ratio;
    budget->capacity = capacity;
}

/*
 * Raises the capacity to one retry for each request in flight, so that an
 * event that fails all of them at once leaves none without a second attempt.
 * The ratio of tokens to capacity is kept: requests that pile up in an outage
 * add no retries.
 */
void
Rt_RaiseCapacity(struct rt_budget *budget, int in_flight)
{
    if (in_flight > budget->capacity) {
        budget->tokens *= in_flight / budget->capacity;
        budget->capacity = in_flight;
    }
}

/* Records a request that succeeded, at its first attempt or a later one. */
void
Rt_Success(struct rt_budget *budget)
{
    budget->tokens += budget->ratio;
    if (budget->tokens > budget->capacity) {
        budget->tokens = budget->capacity;
    }
}

static bool
take_token(struct rt_budget *budget)
{
    if (budget->tokens < 1) {
        return false;
    }
    budget->tokens -= 1;
    return true;
}

static enum rt_verdict
final_verdict(const struct rt_attempt *attempt)
{
    if (attempt->stage == RT_NOT_SENT || attempt->stage == RT_REFUSED) {
        return RT_NOT_RUN;
    }
    return attempt->idempotent ? RT_FAILED : RT_UNKNOWN;
}

/*
 * Whether a further attempt puts no more load on endpoints than the first one:
 * no byte of the last attempt has left this host, or the last attempt went to
 * a version on trial and the next one is the first at another version.
 * Attempts of either kind have a bound of their own.
 */
static bool
needs_no_token(const struct rt_attempt *attempt)
{
    return attempt->stage == RT_NOT_SENT || attempt->attempts == 0;
}

/*
 * Returns why the attempt may not be followed by another; changes nothing. A
 * request that may have run is retried only when it is idempotent. An
 * idempotency key is not enough: the endpoint may not know the key, and a
 * charge would be made twice.
 */
enum rt_reason
Rt_DenyReason(const struct rt_budget *budget, const struct rt_attempt *attempt)
{
    bool unreached = attempt->stage == RT_NOT_SENT;
    if (!attempt->idempotent && !unreached && attempt->stage != RT_REFUSED) {
        return RT_MAY_HAVE_RUN;
    }
    if (attempt->stage == RT_PARTLY_ANSWERED) {
        return RT_ANSWER_BEGUN;
    }
    if (attempt->attempts >= ATTEMPTS_MAX) {
        return RT_ATTEMPTS_SPENT;
    }
    if (attempt->connect_failures >= CONNECT_FAILURES_MAX) {
        return RT_NOBODY_REACHED;
    }
    if (attempt->time_left <= attempt->predicted) {
        return RT_NO_TIME_LEFT;
    }
    if (!needs_no_token(attempt) && budget->tokens < 1) {
        return RT_BUDGET_SPENT;
    }
    return RT_ALLOWED;
}

/* The name of the reason in log lines and metrics. */
const char *
Rt_ReasonName(enum rt_reason reason)
{
    static const char *const names[] = {
        [RT_ALLOWED] = "allowed",
        [RT_MAY_HAVE_RUN] = "may-have-run",
        [RT_ANSWER_BEGUN] = "answer-begun",
        [RT_ATTEMPTS_SPENT] = "attempts-spent",
        [RT_NOBODY_REACHED] = "nobody-reached",
        [RT_NO_TIME_LEFT] = "no-time-left",
        [RT_BUDGET_SPENT] = "budget-spent",
    };
    return names[reason];
}

/*
 * Decides on an attempt that failed; RT_RETRY takes a token from the budget
 * unless the next attempt needs none. Without a budget, an outage would turn
 * each request into three attempts, and these would keep the endpoints
 * overloaded.
 */
enum rt_verdict
Rt_Decide(struct rt_budget *budget, const struct rt_attempt *attempt)
{
    if (Rt_DenyReason(budget, attempt) != RT_ALLOWED) {
        return final_verdict(attempt);
    }
    if (!needs_no_token(attempt)) {
        (void)take_token(budget);
    }
    return RT_RETRY;
}

/*
 * Backoff before the next attempt, in microseconds, after "connect_failures"
 * consecutive attempts that reached no endpoint: 0 at first, then doubled each
 * time up to a bound. Without it, all attempts are spent within a millisecond
 * where the only endpoint left refuses connections.
 */
int64_t
Rt_Backoff(int connect_failures)
{
    if (connect_failures <= 1) {
        return 0;
    }
    int doublings = connect_failures - 2;
    if (doublings > BACKOFF_DOUBLINGS_MAX) {
        doublings = BACKOFF_DOUBLINGS_MAX;
    }
    return BACKOFF_MIN_USEC << doublings;
}

/*
 * Whether to send a second copy of a request that has waited longer than
 * "usual" (the time within which 95 of 100 requests get the first byte of
 * their answer); true takes a token from the budget. Only idempotent requests
 * without a key are hedged: a stored outcome must be that of a single run.
 */
bool
Rt_Hedge(struct rt_budget *budget, const struct rt_attempt *attempt,
         int64_t waited, int64_t usual)
{
    if (!attempt->idempotent || attempt->keyed || attempt->stage != RT_SENT ||
        attempt->attempts != 1) {
        return false;
    }
    if (usual <= 0 || waited < usual ||
        attempt->time_left <= attempt->predicted) {
        return false;
    }
    return take_token(budget);
}
