#include "edge/place.h"

#include "base/clock.h"

/*
 * Costs are in prompt tokens to read, which dominate the time to an engine's
 * first token.  The weights rank endpoints that differ little; they are not
 * properties of an engine.
 */
/* Each running request makes every decoding step slightly slower. */
#define Pl_RUNNING_COST 120.0
#define Pl_FAR_COST 150.0 /* 2 ms of latency to another data centre */
/*
 * Cost of another data centre for a patient request: bytes between data
 * centres are paid for.  It is less than what the first home saves of a large
 * shared part.
 */
#define Pl_PATIENT_FAR_COST 6000.0
/*
 * Weight of the speed in the time to read the request's own tokens.  With full
 * weight, fast endpoints get most requests, and their slots are full before
 * load reports show it.
 */
#define Pl_OWN_SPEED_WEIGHT 0.25
/*
 * Cost of an output token that is generated before a slot is free.  A decoding
 * step takes as long as reading about 350 prompt tokens, but slots may have
 * become free since the load was reported.
 */
#define Pl_SLOT_WAIT_COST 100.0
/* Cost of lateness, for each token that could be read in that time. */
#define Pl_LATE_COST 3.0
/* Expected times above this fraction of the latency target count as late:
   other hosts send to the endpoint within the lag of the load reports. */
#define Pl_TARGET_MARGIN 0.4
/*
 * A prompt whose prefill alone takes more than this fraction of the latency
 * target is late at an endpoint with any queue.
 */
#define Pl_READING_MARGIN 0.8
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
/* The same for patient requests, which have time to wait for each other. */
#define Pl_PATIENT_LANE_MIN_ENDPOINTS 16
/* Least latency target of patient requests, as a multiple of the least one. */
#define Pl_PATIENT_TARGETS 3
/* Long prompts have a looser latency target, so their lane may be busier. */
#define Pl_LONG_LANE_FACTOR 0.8
#define Pl_PATIENT_LANE_FACTOR 0.72
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
speed_of(const struct pl_candidate *candidate)
{
    return candidate->speed > 0 ? candidate->speed : 1;
}

static double
health_cost(const struct pl_candidate *candidate)
{
    double cost = 0;
    double speed = speed_of(candidate);
    /* A low speed is accounted for where the queue is. */
    double slowness = candidate->slowness * (speed < 1 ? speed : 1);
    if (candidate->failing > Pl_FAILING_MIN) {
        cost += candidate->failing * Pl_FAILING_COST;
    }
    if (slowness > Pl_SLOW_MIN) {
        cost += slowness * Pl_SLOW_COST;
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

/*
 * Cost of the wait for a slot: the output that is generated before enough
 * requests have ended.  0 if the output is not known.
 */
static double
slot_wait_cost(const struct pl_candidate *candidate)
{
    int missing = candidate->running + 1 - candidate->slots;
    if (candidate->slots <= 0 || candidate->running <= 0 || missing <= 0) {
        return 0;
    }
    double per_request = (double)candidate->output_tokens / candidate->running;
    return per_request * missing / candidate->slots * Pl_SLOT_WAIT_COST;
}

/* Running requests, of which those with more output left count more. */
static double
weighted_running(const struct pl_candidate *candidate, double mean_output)
{
    if (mean_output <= 0) {
        return candidate->running;
    }
    double by_output = (double)candidate->output_tokens / mean_output;
    return (candidate->running + by_output) / 2;
}

/* Prompt tokens that an endpoint of speed 1 reads in this time. */
static double
tokens_in(const struct pl_limits *limits, int64_t usec)
{
    return limits->prefill_rate * (double)usec / (double)Ck_USEC_PER_SEC;
}

/*
 * What makes a patient request leave the endpoint to others: it stays in its
 * data centre, unless it would be late there.
 */
static double
patient_cost(const struct pl_candidate *candidate,
             const struct pl_limits *limits, double expected)
{
    double cost = candidate->same_zone ? 0 : Pl_PATIENT_FAR_COST;
    double late =
        expected - tokens_in(limits, limits->target_usec) * Pl_TARGET_MARGIN;
    if (limits->prefill_rate > 0 && late > 0) {
        cost += late * Pl_LATE_COST;
    }
    return cost;
}

/*
 * Cost of prefill that takes most of the latency target at a slow endpoint and
 * less at a faster one; 0 where all endpoints have the same speed.
 */
static double
late_reading_cost(const struct pl_limits *limits, double tokens, double speed)
{
    double limit = tokens_in(limits, limits->target_usec) * Pl_READING_MARGIN;
    double late = tokens / speed - (tokens > limit ? tokens : limit);
    return limits->prefill_rate > 0 && limits->target_usec > 0 && late > 0
               ? late * Pl_LATE_COST
               : 0;
}

struct estimate {
    double cost;
    /* time to the first event, in tokens read at speed 1 */
    double expected;
};

static struct estimate
estimate_engine(const struct pl_candidate *candidate,
                const struct pl_limits *limits, size_t home,
                double mean_output)
{
    double own =
        (double)(candidate->uncached_tokens - candidate->uncached_shared);
    double shared = expected_shared(candidate, home);
    double queue =
        (double)candidate->prefill_tokens + slot_wait_cost(candidate);
    double running =
        weighted_running(candidate, mean_output) * Pl_RUNNING_COST;
    double speed = speed_of(candidate);
    struct estimate estimate = {
        .cost = (queue + running) / speed +
                (own + shared * Pl_SHARED_WEIGHT) *
                    (1 + Pl_OWN_SPEED_WEIGHT * (1 / speed - 1)) +
                late_reading_cost(limits, own + shared, speed) +
                lane_cost(candidate, limits) +
                (candidate->same_zone ? 0 : Pl_FAR_COST),
        .expected = (queue + own + shared) / speed,
    };
    if (limits->patient) {
        estimate.cost += patient_cost(candidate, limits, estimate.expected);
    }
    return estimate;
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
    double used = (double)candidate->running / slots / speed_of(candidate);
    return used * Pl_FULL_COST + (home < Pl_SAMPLES_MIN ? 0 : Pl_FULL_COST) +
           (candidate->same_zone ? 0 : Pl_FAR_COST);
}

static bool
is_eligible(const struct pl_candidate *candidate)
{
    return !candidate->tried && !candidate->full;
}

/* Requests beyond the slots wait, at a slow endpoint for longer. */
static bool
at_limit(const struct pl_candidate *candidate, const struct pl_limits *limits)
{
    double fill = 1 + (limits->fill_max - 1) * speed_of(candidate);
    return candidate->slots > 0 &&
           candidate->running >= fill * candidate->slots;
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

/* What is the same for all candidates of a choice. */
struct comparison {
    const struct pl_limits *limits;
    size_t homes[Pl_HOMES];
    double mean_output;
};

static struct pl_judgement
judge(const struct pl_candidate *candidate,
      const struct comparison *comparison, size_t index,
      double sampled_fraction)
{
    const struct pl_limits *limits = comparison->limits;
    struct pl_judgement out = {.last_resort = candidate->last_resort};
    if (!is_eligible(candidate)) {
        out.state = candidate->tried ? PL_TRIED : PL_FULL;
        return out;
    }
    size_t home = home_of(comparison->homes, index);
    if (home == Pl_HOMES && !candidate->unused &&
        candidate->sample_hash > sampled_fraction) {
        out.state = PL_NOT_SAMPLED;
        return out;
    }
    if (at_limit(candidate, limits)) {
        out.state = PL_AT_LIMIT;
        return out;
    }
    struct estimate estimate = {0, 0};
    if (limits->engine) {
        estimate =
            estimate_engine(candidate, limits, home, comparison->mean_output);
    }
    else {
        estimate.cost = plain_cost(candidate, home);
    }
    out.cost = health_cost(candidate) + estimate.cost;
    out.cost -= candidate->unused ? Pl_UNUSED_GAIN : 0;
    out.expected = estimate.expected;
    return out;
}

bool
Pl_IsBetter(const struct pl_judgement *judgement,
            const struct pl_judgement *other)
{
    return judgement->last_resort == other->last_resort
               ? judgement->cost < other->cost
               : other->last_resort;
}

struct best {
    size_t index; /* the number of candidates: none chosen */
    struct pl_judgement judgement;
    bool any_eligible; /* an endpoint may have a free slot later */
};

static struct best
find_best(const struct pl_candidate *candidates, size_t count,
          const struct comparison *comparison, double sampled_fraction,
          struct pl_judgement *judgements)
{
    struct best best = {.index = count};
    for (size_t i = 0; i < count; i++) {
        struct pl_judgement judgement =
            judge(&candidates[i], comparison, i, sampled_fraction);
        if (judgements != NULL) {
            judgements[i] = judgement;
        }
        best.any_eligible |= judgement.state != PL_TRIED;
        if (judgement.state == PL_OPEN &&
            (best.index == count ||
             Pl_IsBetter(&judgement, &best.judgement))) {
            best.index = i;
            best.judgement = judgement;
        }
    }
    return best;
}

/* Mean remaining output of the running requests; 0: not known. */
static double
find_mean_output(const struct pl_candidate *candidates, size_t count)
{
    int64_t running = 0;
    int64_t output = 0;
    for (size_t i = 0; i < count; i++) {
        running += candidates[i].running;
        output += candidates[i].output_tokens;
    }
    return running > 0 ? (double)output / (double)running : 0;
}

int64_t
Pl_ExpectedUsec(const struct pl_limits *limits,
                const struct pl_judgement *judgement)
{
    if (!limits->engine || limits->prefill_rate <= 0) {
        return 0;
    }
    return (int64_t)(judgement->expected / limits->prefill_rate *
                     (double)Ck_USEC_PER_SEC);
}

/*
 * Chooses an endpoint marked as last resort only when no other is available:
 * if all endpoints are ejected by mistake, callers must still be served.
 */
enum pl_verdict
Pl_ChooseAndJudge(const struct pl_candidate *candidates, size_t count,
                  const struct pl_limits *limits, struct pl_choice *choice,
                  struct pl_judgement *judgements)
{
    struct comparison comparison = {
        .limits = limits,
        .mean_output = find_mean_output(candidates, count),
    };
    find_homes(candidates, count, limits, comparison.homes);
    struct best best = find_best(candidates, count, &comparison,
                                 limits->sampled_fraction, judgements);
    if ((best.index == count || best.judgement.last_resort) &&
        limits->sampled_fraction < 1) {
        best = find_best(candidates, count, &comparison, 1, judgements);
    }
    if (best.index == count) {
        return best.any_eligible ? PL_BUSY : PL_NONE;
    }
    const struct pl_candidate *chosen = &candidates[best.index];
    choice->index = best.index;
    choice->prefill_tokens =
        chosen->uncached_tokens - chosen->uncached_shared +
        (int64_t)expected_shared(chosen,
                                 home_of(comparison.homes, best.index));
    choice->expected_usec = Pl_ExpectedUsec(limits, &best.judgement);
    return PL_CHOSEN;
}

enum pl_verdict
Pl_Choose(const struct pl_candidate *candidates, size_t count,
          const struct pl_limits *limits, struct pl_choice *choice)
{
    return Pl_ChooseAndJudge(candidates, count, limits, choice, NULL);
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

bool
Pl_IsPatient(const struct pl_urgency *service, int priority,
             int64_t target_usec)
{
    return priority > service->least_priority &&
           target_usec >= Pl_PATIENT_TARGETS * service->least_target_usec;
}

static double
lane_fraction(double share, double factor)
{
    if (share <= 0) {
        return 0;
    }
    double fraction = share * factor;
    fraction = fraction < Pl_LONG_LANE_MIN ? Pl_LONG_LANE_MIN : fraction;
    return fraction > Pl_LONG_LANE_MAX ? Pl_LONG_LANE_MAX : fraction;
}

double
Pl_LongLaneFraction(size_t endpoints, double long_share)
{
    return endpoints < Pl_LANES_MIN_ENDPOINTS
               ? 0
               : lane_fraction(long_share, Pl_LONG_LANE_FACTOR);
}

double
Pl_PatientLaneFraction(size_t endpoints, double patient_share)
{
    return endpoints < Pl_PATIENT_LANE_MIN_ENDPOINTS
               ? 0
               : lane_fraction(patient_share, Pl_PATIENT_LANE_FACTOR);
}
