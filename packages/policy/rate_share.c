#include "policy/rate_share.h"

#include <math.h>

#include "base/clock.h"
#include "policy/warmup.h"

/* Lower limits are raised to this one, in requests a second. */
#define Rs_PER_SEC_MIN 0.01
#define Rs_HOLDERS_MIN 2
#define Rs_HOLDERS_MAX 64
/*
 * With fewer requests than this multiple of its share, a holder often has none
 * at hand when it may send one.
 */
#define Rs_DEMAND_FACTOR 4.0
/* Requests that a holder may send at once; all holders: see all_burst(). */
#define Rs_BURST_MIN 1.0
#define Rs_BURST_MAX 2.0
/* With so many tokens, a pause of the callers fills the bucket. */
#define Rs_UNUSED_TOKENS 1.5
#define Rs_ALL_BURST_SEC 1.0
#define Rs_ALL_BURST_MIN 3.0
#define Rs_SHARE_TTL_USEC (500 * Ck_USEC_PER_MSEC)
/* Longer than a message between any two hosts takes. */
#define Rs_REPORT_USEC (5 * Ck_USEC_PER_SEC)
/* A limit that nobody has reported for so long may have ended. */
#define Rs_STALE_USEC (15 * Ck_USEC_PER_SEC)
/* Part of the limit that hosts without a share use to find that out. */
#define Rs_TRIAL_SHARE 0.1
/*
 * Two halves of a partitioned network together may use this many times the
 * limit.
 */
#define Rs_PARTITION_EXCESS 1.25
#define Rs_WEIGHT_MIN 0.01

/* "filled_at" lies in the future while a new holder waits. */
static void
fill(struct rs_state *state, int64_t now)
{
    if (now <= state->filled_at) {
        return;
    }
    double sec = (double)(now - state->filled_at) / (double)Ck_USEC_PER_SEC;
    state->tokens = fmin(state->burst,
                         state->tokens + sec * state->share * state->per_sec);
    state->filled_at = now;
}

void
Rs_Note(struct rs_state *state, double per_sec, int64_t at, bool from_answer,
        int64_t now)
{
    bool limited = per_sec >= 0;
    if (at < state->reported_at || (!limited && state->per_sec <= 0)) {
        return;
    }
    if (state->per_sec <= 0) {
        state->share = 0;
        state->share_set_at = 0;
        state->tokens = 0;
        state->filled_at = now;
    }
    fill(state, now);
    state->per_sec = limited ? fmax(per_sec, Rs_PER_SEC_MIN) : 0;
    state->reported_at = at;
    state->from_answer = from_answer;
}

bool
Rs_IsLimited(const struct rs_state *state)
{
    return state->per_sec > 0;
}

bool
Rs_ShouldReport(const struct rs_state *state, bool relayed, int64_t now)
{
    return state->reported_at != 0 && (relayed || state->from_answer) &&
           now - state->reported_at < Rs_REPORT_USEC;
}

static double
weight_of(const struct rs_host *host)
{
    return fmax(host->weight, Rs_WEIGHT_MIN);
}

/*
 * Weighted rendezvous hashing: the lowest costs win.  The probability that a
 * host has the lowest one is its fraction of all weights.
 */
static double
cost_of(const struct rs_host *host, uint64_t endpoint)
{
    double unit = ((double)(Wu_Weight(host->hash, endpoint) >> 11) + 1) /
                  (double)(1ULL << 53);
    return -log(unit) / weight_of(host);
}

/* The hosts with the lowest costs, lowest first. */
struct ranking {
    size_t count;
    struct {
        double cost;
        double weight;
    } best[Rs_HOLDERS_MAX];
};

/* Inserts a host, if it is among the first "limit". */
static void
insert(struct ranking *ranking, size_t limit, double cost, double weight)
{
    if (ranking->count < limit) {
        ranking->count++;
    }
    else if (ranking->best[limit - 1].cost <= cost) {
        return;
    }
    size_t at = ranking->count - 1;
    for (; at > 0 && ranking->best[at - 1].cost > cost; at--) {
        ranking->best[at] = ranking->best[at - 1];
    }
    ranking->best[at].cost = cost;
    ranking->best[at].weight = weight;
}

/* Most requests that all holders together may send at once. */
static double
all_burst(double per_sec)
{
    return per_sec * Rs_ALL_BURST_SEC + Rs_ALL_BURST_MIN;
}

static size_t
max_holders(double per_sec)
{
    double most = floor(all_burst(per_sec) / Rs_BURST_MIN);
    return most < Rs_HOLDERS_MAX ? (size_t)most : Rs_HOLDERS_MAX;
}

/*
 * Cuts the ranking to the holders: as few as get enough requests, since each
 * may send some at once.  Returns the sum of their weights.
 */
static double
cut_to_holders(struct ranking *ranking, double per_sec)
{
    double sum = 0;
    size_t count = 0;
    while (count < ranking->count &&
           (count < Rs_HOLDERS_MIN || sum < per_sec * Rs_DEMAND_FACTOR)) {
        sum += ranking->best[count++].weight;
    }
    ranking->count = count;
    return sum;
}

struct rs_share
Rs_Share(const struct rs_hosts *hosts, uint64_t endpoint, double per_sec)
{
    struct ranking ranking = {0};
    size_t limit = max_holders(per_sec);
    for (size_t i = 0; i < hosts->count; i++) {
        const struct rs_host *host = &hosts->list[i];
        insert(&ranking, limit, cost_of(host, endpoint), weight_of(host));
    }
    double sum = cut_to_holders(&ranking, per_sec);
    const struct rs_host *own = &hosts->list[0];
    if (ranking.count == 0 ||
        cost_of(own, endpoint) > ranking.best[ranking.count - 1].cost) {
        return (struct rs_share){0, 0};
    }
    double burst = all_burst(per_sec) / (double)ranking.count;
    burst = fmin(fmax(burst, Rs_BURST_MIN), Rs_BURST_MAX);
    return (struct rs_share){weight_of(own) / sum, burst};
}

bool
Rs_ShareIsOld(const struct rs_state *state, int64_t now)
{
    return state->share_set_at == 0 ||
           now - state->share_set_at >= Rs_SHARE_TTL_USEC;
}

void
Rs_SetShare(struct rs_state *state, const struct rs_share *share,
            int64_t delay_usec, int64_t now)
{
    fill(state, now);
    if (state->share <= 0 && share->fraction > 0) {
        state->filled_at = now + delay_usec;
    }
    if (share->fraction <= 0) {
        state->tokens = 0;
        state->filled_at = now;
    }
    state->share = share->fraction;
    state->burst = share->burst;
    state->share_set_at = now;
}

double
Rs_PartitionFactor(size_t reachable, size_t expected)
{
    return fmin(1, Rs_PARTITION_EXCESS * (double)reachable / (double)expected);
}

struct rs_share
Rs_TrialShare(const struct rs_state *state, size_t hosts, int64_t now)
{
    bool stale = now - state->reported_at >= Rs_STALE_USEC;
    return (struct rs_share){stale ? Rs_TRIAL_SHARE / (double)hosts : 0,
                             Rs_BURST_MIN};
}

bool
Rs_MaySend(struct rs_state *state, int64_t now)
{
    fill(state, now);
    return state->tokens >= 1;
}

bool
Rs_IsUnused(struct rs_state *state, int64_t now)
{
    fill(state, now);
    return state->tokens >= fmin(state->burst, Rs_UNUSED_TOKENS);
}

void
Rs_Sent(struct rs_state *state, int64_t now)
{
    fill(state, now);
    state->tokens -= 1;
}
