/*
 * Common balancing policies, as baselines for measurements.
 */
#include "policy/choose.h"
#include "policy/choose_internal.h"

static size_t
least_in_flight(struct ch_table *table, const struct ch_request *request,
                const struct ch_candidate *candidates, size_t count,
                struct rn_random *random, bool *by_affinity)
{
    size_t best = 0;
    size_t ties = 1;
    for (size_t i = 1; i < count; i++) {
        int mine = candidates[i].endpoint->in_flight;
        int least = candidates[best].endpoint->in_flight;
        if (mine < least) {
            best = i;
            ties = 1;
        }
        else if (mine == least && Rn_Below(random, (uint32_t)++ties) == 0) {
            best = i;
        }
    }
    return best;
}

static size_t
round_robin(struct ch_table *table, const struct ch_request *request,
            const struct ch_candidate *candidates, size_t count,
            struct rn_random *random, bool *by_affinity)
{
    return (size_t)(table->round_robin_next++ % count);
}

static size_t
at_random(struct ch_table *table, const struct ch_request *request,
          const struct ch_candidate *candidates, size_t count,
          struct rn_random *random, bool *by_affinity)
{
    return Rn_Below(random, (uint32_t)count);
}

static const struct ch_ops least_ops = {"least-in-flight", least_in_flight};
static const struct ch_ops round_ops = {"round-robin", round_robin};
static const struct ch_ops random_ops = {"random", at_random};

/* The endpoint with the fewest requests of this router in flight. */
const struct ch_ops *
Ch_LeastInFlight(void)
{
    return &least_ops;
}

const struct ch_ops *
Ch_RoundRobin(void)
{
    return &round_ops;
}

const struct ch_ops *
Ch_Random(void)
{
    return &random_ops;
}
