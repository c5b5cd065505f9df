/*
 * Retry and hedging decisions.
 */
#include "policy/retry.h"

#include "base/clock.h"

#define ATTEMPTS_MAX 3
#define UNREACHED_MAX 16
#define GAP_FIRST_USEC (INT64_C(10) * Ck_USEC_PER_MSEC)
#define GAP_DOUBLINGS 5

/* Starts a full budget: "ratio" of a retry per success, "most" at once. */
void
Rt_Init(struct rt_budget *budget, double ratio, double most)
{
    budget->tokens = most;
    budget->ratio = ratio;
    budget->most = most;
}

/*
 * Widens the budget to a retry for each request in flight, so that an event
 * that fails all of them at once leaves none without a second try.  It stays
 * as full as it is: requests that pile up in an outage bring no retries.
 */
void
Rt_Cover(struct rt_budget *budget, int in_flight)
{
    if (in_flight > budget->most) {
        budget->tokens *= in_flight / budget->most;
        budget->most = in_flight;
    }
}

/* Enters a request that succeeded at its first attempt or later. */
void
Rt_Success(struct rt_budget *budget)
{
    budget->tokens += budget->ratio;
    if (budget->tokens > budget->most) {
        budget->tokens = budget->most;
    }
}

static bool
take(struct rt_budget *budget)
{
    if (budget->tokens < 1) {
        return false;
    }
    budget->tokens -= 1;
    return true;
}

static enum rt_verdict
give_up(const struct rt_attempt *attempt)
{
    if (attempt->stage == RT_NOT_SENT || attempt->stage == RT_REFUSED) {
        return RT_NOT_RUN;
    }
    return attempt->idempotent ? RT_FAILED : RT_UNKNOWN;
}

/*
 * Whether a further attempt is no load beyond the first one that is owed: no
 * byte of the last has left this host, or it went to a version on trial and
 * the next one is the first for the others.  Each is bounded by itself.
 */
static bool
is_free(const struct rt_attempt *attempt)
{
    return attempt->stage == RT_NOT_SENT || attempt->attempts == 0;
}

/*
 * Why the attempt may not be followed by another; changes nothing.  Work that
 * may have run is repeated only when it is idempotent: an idempotency key
 * does not make it so, as the endpoint need not know the key and a charge
 * would be made twice.
 */
enum rt_reason
Rt_Why(const struct rt_budget *budget, const struct rt_attempt *attempt)
{
    bool unreached = attempt->stage == RT_NOT_SENT;
    if (!attempt->idempotent && !unreached && attempt->stage != RT_REFUSED) {
        return RT_MAY_HAVE_RUN;
    }
    if (attempt->stage == RT_ANSWERED) {
        return RT_ANSWER_BEGUN;
    }
    if (attempt->attempts >= ATTEMPTS_MAX) {
        return RT_ATTEMPTS_SPENT;
    }
    if (attempt->unreached >= UNREACHED_MAX) {
        return RT_NOBODY_REACHED;
    }
    if (attempt->left <= attempt->predicted) {
        return RT_NO_TIME_LEFT;
    }
    if (!is_free(attempt) && budget->tokens < 1) {
        return RT_BUDGET_SPENT;
    }
    return RT_ALLOWED;
}

/* The reason as log lines and metrics name it. */
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
 * Decides on a dispatch that failed; RT_RETRY takes from the budget unless the
 * next attempt is free.  Without a budget an outage turns each request into
 * three and keeps the endpoints down.
 */
enum rt_verdict
Rt_Decide(struct rt_budget *budget, const struct rt_attempt *attempt)
{
    if (Rt_Why(budget, attempt) != RT_ALLOWED) {
        return give_up(attempt);
    }
    if (!is_free(attempt)) {
        (void)take(budget);
    }
    return RT_RETRY;
}

/*
 * How long work that is not given up waits before its next attempt, in
 * microseconds, after "unreached" attempts in a row that reached nobody:
 * nothing at first, then longer each time.  Without gaps any number of tries
 * is spent in a millisecond where the one endpoint left refuses connections.
 */
int64_t
Rt_Gap(int unreached)
{
    if (unreached <= 1) {
        return 0;
    }
    int doublings = unreached - 2;
    if (doublings > GAP_DOUBLINGS) {
        doublings = GAP_DOUBLINGS;
    }
    return GAP_FIRST_USEC << doublings;
}

/*
 * Whether to send a second copy of a request that has waited longer than
 * "usual" (the time within which 95 in 100 begin to answer); true takes from
 * the budget.  Only idempotent work without a key is hedged: a kept outcome
 * must be that of the one run.
 */
bool
Rt_Hedge(struct rt_budget *budget, const struct rt_attempt *attempt,
         int64_t waited, int64_t usual)
{
    if (!attempt->idempotent || attempt->keyed || attempt->stage != RT_SENT ||
        attempt->attempts != 1) {
        return false;
    }
    if (usual <= 0 || waited < usual || attempt->left <= attempt->predicted) {
        return false;
    }
    return take(budget);
}
