#include "edge/place.h"

#include <float.h>

/*
 * Costs are in prompt tokens to read, which dominate the time to an engine's
 * first token.  The weights rank endpoints that differ little; they are not
 * properties of an engine.
 */
/* Each running request makes every decoding step slightly slower. */
#define Pl_RUNNING_COST 120.0
#define Pl_FAR_COST 150.0 /* 2 ms of latency to another data centre */
/*
 * Number of homes: the endpoints that a group of prompts prefers, best first.
 * A home probably caches much of the group's shared parts even where this
 * host has sent none there: of many hosts, each sees few requests of a group.
 * Overflow goes to the same few homes, so that few endpoints read the shared
 * parts.
 */
#define Pl_HOMES 3
/*
 * Weight of shared tokens that another endpoint has cached: to read them again
 * costs time and evicts other parts from the cache.
 */
#define Pl_SHARED_WEIGHT 2.0
/*
 * Prompts from this size on are long: they delay the first token of a short
 * prompt behind them by much of its latency target.  At 60,000 tokens a second
 * 4,096 tokens take 70 ms, and long prompts come in pairs.
 */
#define Pl_LONG_TOKENS 4096
/*
 * Cost of an endpoint in the wrong lane.  A short prompt in the long lane may
 * itself miss its latency target; a long prompt in the short lane delays
 * several others.
 */
#define Pl_SHORT_WRONG_LANE_COST 6000.0
#define Pl_LONG_WRONG_LANE_COST 12000.0
/* With fewer endpoints than this, separate lanes are too small: long prompts
   queue behind each other while endpoints in the short lane are idle. */
#define Pl_LANES_MIN_ENDPOINTS 128
/* Long prompts have a looser latency target, so their lane may be busier. */
#define Pl_LONG_LANE_FACTOR 0.8
#define Pl_LONG_LANE_MIN 0.2
#define Pl_LONG_LANE_MAX 0.75
/* Worth of room at an endpoint with a rate limit that stays unused. */
#define Pl_UNUSED_GAIN 6000.0
#define Pl_FAILING_COST 20000.0
#define Pl_SLOW_COST 4000.0
/* Cost of an endpoint of a plain service whose slots are all in use. */
#define Pl_FULL_COST 4000.0
/* The least number of endpoints that a request samples. */
#define Pl_SAMPLES_MIN 2
/* Requests of all hosts that sample one endpoint within the report lag. */
#define Pl_SAMPLERS_MAX 16.0
/* Lower failure rates and slowness cost nothing. */
#define Pl_FAILING_MIN 0.3
#define Pl_SLOW_MIN 2.0

static double
health_cost(const struct pl_candidate *candidate)
{
    double cost = 0;
    if (candidate->failing > Pl_FAILING_MIN) {
        cost += candidate->failing * Pl_FAILING_COST;
    }
    if (candidate->slowness > Pl_SLOW_MIN) {
        cost += candidate->slowness * Pl_SLOW_COST;
    }
    return cost;
}

static const double cached_fraction[Pl_HOMES] = {0.8, 0.5, 0.25};

/* Expected number of tokens in shared parts that the endpoint must read. */
static double
expected_shared(const struct pl_candidate *candidate, size_t home)
{
    double cached = home < Pl_HOMES ? cached_fraction[home] : 0;
    return (double)candidate->uncached_shared * (1 - cached);
}

static double
lane_cost(const struct pl_candidate *candidate, const struct pl_limits *limits)
{
    if (!limits->lanes || candidate->long_lane == limits->is_long) {
        return 0;
    }
    return limits->is_long ? Pl_LONG_WRONG_LANE_COST
                           : Pl_SHORT_WRONG_LANE_COST;
}

static double
engine_cost(const struct pl_candidate *candidate,
            const struct pl_limits *limits, size_t home)
{
    double own =
        (double)(candidate->uncached_tokens - candidate->uncached_shared);
    return (double)candidate->prefill_tokens + own +
           expected_shared(candidate, home) * Pl_SHARED_WEIGHT +
           lane_cost(candidate, limits) +
           candidate->running * Pl_RUNNING_COST +
           (candidate->same_zone ? 0 : Pl_FAR_COST);
}

/*
 * A plain service has no prompts; its limit is the slots.  All hosts see the
 * same load of the endpoints, some tenths of a second late, and would all
 * choose the least loaded one.  So each request takes the better of two
 * endpoints that are chosen by the request's hash.
 */
static double
plain_cost(const struct pl_candidate *candidate, size_t home)
{
    int slots = candidate->slots > 0 ? candidate->slots : 1;
    double used = (double)candidate->running / slots;
    return used * Pl_FULL_COST + (home < Pl_SAMPLES_MIN ? 0 : Pl_FULL_COST) +
           (candidate->same_zone ? 0 : Pl_FAR_COST);
}

static bool
is_eligible(const struct pl_candidate *candidate)
{
    return !candidate->tried && !candidate->full;
}

static bool
at_limit(const struct pl_candidate *candidate, const struct pl_limits *limits)
{
    return candidate->slots > 0 &&
           candidate->running >= limits->fill_max * candidate->slots;
}

/*
 * Finds the homes of a group: the eligible endpoints with the highest hashes,
 * which are the same at all hosts (rendezvous hashing).
 */
static void
find_homes(const struct pl_candidate *candidates, size_t count,
           const struct pl_limits *limits, size_t homes[Pl_HOMES])
{
    for (size_t i = 0; i < Pl_HOMES; i++) {
        homes[i] = count;
    }
    for (size_t i = 0; i < count; i++) {
        const struct pl_candidate *candidate = &candidates[i];
        if (!is_eligible(candidate) || candidate->last_resort ||
            lane_cost(candidate, limits) > 0) {
            continue;
        }
        size_t inserted = i;
        for (size_t at = 0; at < Pl_HOMES && inserted != count; at++) {
            if (homes[at] == count || candidates[inserted].home_hash >
                                          candidates[homes[at]].home_hash) {
                size_t displaced = homes[at];
                homes[at] = inserted;
                inserted = displaced;
            }
        }
    }
}

static size_t
home_of(const size_t homes[Pl_HOMES], size_t index)
{
    size_t home = 0;
    while (home < Pl_HOMES && homes[home] != index) {
        home++;
    }
    return home;
}

struct best {
    size_t index; /* the number of candidates: none chosen */
    double cost;
    bool last_resort;
    bool any_eligible; /* an endpoint may have a free slot later */
};

static struct best
find_best(const struct pl_candidate *candidates, size_t count,
          const struct pl_limits *limits, const size_t homes[Pl_HOMES],
          double sampled_fraction)
{
    struct best best = {count, DBL_MAX, true, false};
    for (size_t i = 0; i < count; i++) {
        const struct pl_candidate *candidate = &candidates[i];
        if (!is_eligible(candidate)) {
            best.any_eligible |= candidate->full && !candidate->tried;
            continue;
        }
        best.any_eligible = true;
        size_t home = home_of(homes, i);
        bool sampled = home < Pl_HOMES || candidate->unused ||
                       candidate->sample_hash <= sampled_fraction;
        if (!sampled || at_limit(candidate, limits)) {
            continue;
        }
        double cost = health_cost(candidate);
        cost += limits->engine ? engine_cost(candidate, limits, home)
                               : plain_cost(candidate, home);
        cost -= candidate->unused ? Pl_UNUSED_GAIN : 0;
        if (best.index == count ||
            (best.last_resort && !candidate->last_resort) ||
            (best.last_resort == candidate->last_resort && cost < best.cost)) {
            best.index = i;
            best.cost = cost;
            best.last_resort = candidate->last_resort;
        }
    }
    return best;
}

/*
 * Chooses an endpoint marked as last resort only when no other is available:
 * if all endpoints are ejected by mistake, callers must still be served.
 */
enum pl_verdict
Pl_Choose(const struct pl_candidate *candidates, size_t count,
          const struct pl_limits *limits, struct pl_choice *choice)
{
    size_t homes[Pl_HOMES];
    find_homes(candidates, count, limits, homes);
    struct best best =
        find_best(candidates, count, limits, homes, limits->sampled_fraction);
    if ((best.index == count || best.last_resort) &&
        limits->sampled_fraction < 1) {
        best = find_best(candidates, count, limits, homes, 1);
    }
    if (best.index == count) {
        return best.any_eligible ? PL_BUSY : PL_NONE;
    }
    const struct pl_candidate *chosen = &candidates[best.index];
    choice->index = best.index;
    choice->prefill_tokens =
        chosen->uncached_tokens - chosen->uncached_shared +
        (int64_t)expected_shared(chosen, home_of(homes, best.index));
    return PL_CHOSEN;
}

double
Pl_SampledFraction(size_t endpoints, double unreported)
{
    if (endpoints <= Pl_SAMPLES_MIN || unreported <= Pl_SAMPLERS_MAX) {
        return 1;
    }
    double fraction = Pl_SAMPLERS_MAX / unreported;
    double minimum = (double)Pl_SAMPLES_MIN / (double)endpoints;
    return fraction > minimum ? fraction : minimum;
}

bool
Pl_IsLong(int64_t tokens)
{
    return tokens >= Pl_LONG_TOKENS;
}

double
Pl_LongLaneFraction(size_t endpoints, double long_share)
{
    if (endpoints < Pl_LANES_MIN_ENDPOINTS || long_share <= 0) {
        return 0;
    }
    double fraction = long_share * Pl_LONG_LANE_FACTOR;
    fraction = fraction < Pl_LONG_LANE_MIN ? Pl_LONG_LANE_MIN : fraction;
    return fraction > Pl_LONG_LANE_MAX ? Pl_LONG_LANE_MAX : fraction;
}
