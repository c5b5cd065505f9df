#include "edge/place.h"

#include <float.h>

/*
 * Costs are in prompt tokens to be read, the time an engine's first token
 * depends on most.  The weights order choices that differ little; they are
 * no measures of an engine.
 */
/* A running request slows each step a little. */
#define Pl_RUNNING_COST 120.0
#define Pl_FAR_COST 150.0 /* two milliseconds of another data centre */
/*
 * The endpoints that a group of prompts prefers, best first, and the part of
 * what the group shares that each is likely to keep although this daemon did
 * not send it there: with many daemons each sees few requests of a group.
 * That overflow goes to the same few endpoints keeps the number of those that
 * read the shared part small.
 */
#define Pl_HOMES 3
/*
 * A shared part that is read where another endpoint keeps it costs its time
 * there and the place it takes from other parts.
 */
#define Pl_SHARED_WEIGHT 2.0
/*
 * A prompt from this size on holds up the first token of a short question
 * behind it by a large part of what that may take: at 60,000 tokens a second
 * 4,096 take 70 ms, and they come in pairs.
 */
#define Pl_LONG_TOKENS 4096
/*
 * What going to the endpoints of the other kind costs.  A short question at
 * those for long prompts risks its own time, a long prompt at those for short
 * ones the time of several others.
 */
#define Pl_SHORT_ASTRAY_COST 6000.0
#define Pl_LONG_ASTRAY_COST 12000.0
/* With fewer endpoints each kind has too few to choose from: long prompts
   meet each other while endpoints of the other kind stand idle. */
#define Pl_LANES_LEAST 128
/* Long prompts wait more patiently, so their endpoints are used more. */
#define Pl_LONG_ROOM 0.8
#define Pl_LANE_MIN 0.2
#define Pl_LANE_MAX 0.75
#define Pl_FAILING_COST 20000.0
#define Pl_SLOW_COST 4000.0
/* All places of a plain service's endpoint in use. */
#define Pl_FULL_COST 4000.0
/* Endpoints that a request chooses from at the least. */
#define Pl_DRAWN 2
/* Requests of all daemons that look at one endpoint before they hear of each
   other's. */
#define Pl_SAME_CHOICE 16.0
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

static const double kept_part[Pl_HOMES] = {0.8, 0.5, 0.25};

/* Tokens of shared parts that are likely to be read there. */
static double
shared_reading(const struct pl_candidate *candidate, size_t home)
{
    double kept = home < Pl_HOMES ? kept_part[home] : 0;
    return (double)candidate->shared * (1 - kept);
}

static double
lane_cost(const struct pl_candidate *candidate, const struct pl_limits *limits)
{
    if (!limits->lanes || candidate->long_lane == limits->is_long) {
        return 0;
    }
    return limits->is_long ? Pl_LONG_ASTRAY_COST : Pl_SHORT_ASTRAY_COST;
}

static double
engine_cost(const struct pl_candidate *candidate,
            const struct pl_limits *limits, size_t home)
{
    double own = (double)(candidate->missing - candidate->shared);
    return (double)candidate->reading + own +
           shared_reading(candidate, home) * Pl_SHARED_WEIGHT +
           lane_cost(candidate, limits) +
           candidate->running * Pl_RUNNING_COST +
           (candidate->near ? 0 : Pl_FAR_COST);
}

/*
 * A plain service has no prompts: its places are what runs out.  All daemons
 * know the same of them, some tenths of a second late; by that alone they
 * would all send to the one that was least in use then.  Each request draws
 * two and takes the better.
 */
static double
plain_cost(const struct pl_candidate *candidate, size_t home)
{
    int slots = candidate->slots > 0 ? candidate->slots : 1;
    double used = (double)candidate->running / slots;
    return used * Pl_FULL_COST + (home < Pl_DRAWN ? 0 : Pl_FULL_COST) +
           (candidate->near ? 0 : Pl_FAR_COST);
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

/* The endpoints that all daemons would give a group of prompts to. */
static void
find_homes(const struct pl_candidate *candidates, size_t count,
           const struct pl_limits *limits, size_t homes[Pl_HOMES])
{
    for (size_t i = 0; i < Pl_HOMES; i++) {
        homes[i] = count;
    }
    for (size_t i = 0; i < count; i++) {
        const struct pl_candidate *candidate = &candidates[i];
        if (!can_take(candidate) || candidate->shunned ||
            lane_cost(candidate, limits) > 0) {
            continue;
        }
        size_t moved = i;
        for (size_t at = 0; at < Pl_HOMES && moved != count; at++) {
            if (homes[at] == count ||
                candidates[moved].draw > candidates[homes[at]].draw) {
                size_t before = homes[at];
                homes[at] = moved;
                moved = before;
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

/* The best of those looked at; "any": one may have room later. */
struct best {
    size_t index;
    double cost;
    bool shunned;
    bool any;
};

static struct best
find_best(const struct pl_candidate *candidates, size_t count,
          const struct pl_limits *limits, const size_t homes[Pl_HOMES],
          double drawn_part)
{
    struct best best = {count, DBL_MAX, true, false};
    for (size_t i = 0; i < count; i++) {
        const struct pl_candidate *candidate = &candidates[i];
        if (!can_take(candidate)) {
            best.any |= candidate->full && !candidate->tried;
            continue;
        }
        best.any = true;
        size_t home = home_of(homes, i);
        bool drawn = home < Pl_HOMES || candidate->lot <= drawn_part;
        if (!drawn || at_limit(candidate, limits)) {
            continue;
        }
        double cost = trouble_cost(candidate);
        cost += limits->engine ? engine_cost(candidate, limits, home)
                               : plain_cost(candidate, home);
        if (best.index == count || (best.shunned && !candidate->shunned) ||
            (best.shunned == candidate->shunned && cost < best.cost)) {
            best.index = i;
            best.cost = cost;
            best.shunned = candidate->shunned;
        }
    }
    return best;
}

/*
 * Shunned endpoints are taken only when there is no other: a wrong suspicion
 * of all of them must not turn every caller away.
 */
enum pl_verdict
Pl_Choose(const struct pl_candidate *candidates, size_t count,
          const struct pl_limits *limits, struct pl_choice *choice)
{
    size_t homes[Pl_HOMES];
    find_homes(candidates, count, limits, homes);
    struct best best =
        find_best(candidates, count, limits, homes, limits->drawn_part);
    if ((best.index == count || best.shunned) && limits->drawn_part < 1) {
        best = find_best(candidates, count, limits, homes, 1);
    }
    if (best.index == count) {
        return best.any ? PL_BUSY : PL_NONE;
    }
    const struct pl_candidate *chosen = &candidates[best.index];
    choice->index = best.index;
    choice->reading =
        chosen->missing - chosen->shared +
        (int64_t)shared_reading(chosen, home_of(homes, best.index));
    return PL_CHOSEN;
}

double
Pl_DrawnPart(size_t endpoints, double unheard)
{
    if (endpoints <= Pl_DRAWN || unheard <= Pl_SAME_CHOICE) {
        return 1;
    }
    double part = Pl_SAME_CHOICE / unheard;
    double least = (double)Pl_DRAWN / (double)endpoints;
    return part > least ? part : least;
}

bool
Pl_IsLong(int64_t tokens)
{
    return tokens >= Pl_LONG_TOKENS;
}

double
Pl_LongPart(size_t endpoints, double long_share)
{
    if (endpoints < Pl_LANES_LEAST || long_share <= 0) {
        return 0;
    }
    double part = long_share * Pl_LONG_ROOM;
    part = part < Pl_LANE_MIN ? Pl_LANE_MIN : part;
    return part > Pl_LANE_MAX ? Pl_LANE_MAX : part;
}
