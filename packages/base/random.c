#include "base/random.h"

#include <stdlib.h>

/* Starts a sequence; equal seeds give equal sequences on all hosts. */
void
Rn_Seed(struct rn_random *random, uint64_t seed)
{
    random->state[0] = (unsigned short)seed;
    random->state[1] = (unsigned short)(seed >> 16);
    random->state[2] = (unsigned short)((seed >> 32) ^ (seed >> 48));
}

/* Returns a number in [0, bound); 0 when bound is 0. */
uint32_t
Rn_Below(struct rn_random *random, uint32_t bound)
{
    return (uint32_t)(Rn_Unit(random) * bound);
}

/* Returns a number in [0, 1). */
double
Rn_Unit(struct rn_random *random)
{
    return erand48(random->state);
}
