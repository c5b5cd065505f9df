#include "edge/place.h"

#include <float.h>

/*
 * Costs are in prompt tokens to be read, the time an engine's first token
 * depends on most.  The weights order choices that differ little; they are
 * no measures of an engine.
 */
#define Pl_RUNNING_COST                                                       \
    120.0                 /* a running request slows each step a little       \
                           */
#define Pl_FAR_COST 150.0 /* two milliseconds of another data centre */
#define Pl_HOME_GAIN 0.7  /* part of a prompt a group's home may keep */
#define Pl_FAILING_COST 20000.0
#define Pl_SLOW_COST 4000.0
/* Below this share of failures an endpoint is like any other. */
#define Pl_FAILING_NOTED 0.3
#define Pl_SLOW_NOTED 2.0

static double
trouble_cost(const struct pl_candidate *candidate)
{
    double cost = 0;
    if (candidate->failing > Pl_FAILING_NOTED) {
        cost += candidate->failing * Pl_FAILING_COST;
    }
    if (candidate->slowness > Pl_SLOW_NOTED) {
        cost += candidate->slowness * Pl_SLOW_COST;
    }
    return cost;
}

static double
engine_cost(const struct pl_candidate *candidate, bool home)
{
    double missing = (double)candidate->missing;
    if (home) {
        missing *= 1 - Pl_HOME_GAIN;
    }
    return (double)candidate->reading + missing +
           candidate->running * Pl_RUNNING_COST +
           (candidate->near ? 0 : Pl_FAR_COST);
}

/* A plain service has no prompts: its places are what runs out. */
static double
plain_cost(const struct pl_candidate *candidate)
{
    int slots = candidate->slots > 0 ? candidate->slots : 1;
    double used = (double)candidate->running / slots;
    return used * Pl_SLOW_COST + (candidate->near ? 0 : Pl_FAR_COST);
}

static bool
can_take(const struct pl_candidate *candidate)
{
    return !candidate->tried && !candidate->full;
}

static bool
at_limit(const struct pl_candidate *candidate, const struct pl_limits *limits)
{
    return candidate->slots > 0 &&
           candidate->running >= limits->fill * candidate->slots;
}

/* The endpoint that all daemons would give a group of prompts to. */
static size_t
find_home(const struct pl_candidate *candidates, size_t count)
{
    size_t home = count;
    for (size_t i = 0; i < count; i++) {
        if (can_take(&candidates[i]) && !candidates[i].shunned &&
            (home == count || candidates[i].draw > candidates[home].draw)) {
            home = i;
        }
    }
    return home;
}

/*
 * Shunned endpoints are taken only when there is no other: a wrong suspicion
 * of all of them must not turn every caller away.
 */
enum pl_verdict
Pl_Choose(const struct pl_candidate *candidates, size_t count,
          const struct pl_limits *limits, size_t *chosen)
{
    size_t home = find_home(candidates, count);
    size_t best = count;
    double best_cost = DBL_MAX;
    bool best_shunned = true;
    bool any = false;
    for (size_t i = 0; i < count; i++) {
        const struct pl_candidate *candidate = &candidates[i];
        if (!can_take(candidate)) {
            any |= candidate->full && !candidate->tried;
            continue;
        }
        any = true;
        if (at_limit(candidate, limits)) {
            continue;
        }
        double cost = trouble_cost(candidate);
        cost += limits->engine ? engine_cost(candidate, i == home)
                               : plain_cost(candidate);
        if (best == count || (best_shunned && !candidate->shunned) ||
            (best_shunned == candidate->shunned && cost < best_cost)) {
            best = i;
            best_cost = cost;
            best_shunned = candidate->shunned;
        }
    }
    if (best == count) {
        return any ? PL_BUSY : PL_NONE;
    }
    *chosen = best;
    return PL_CHOSEN;
}
