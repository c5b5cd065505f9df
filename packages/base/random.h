/*
 * Seeded pseudo-random numbers for decisions, so that a run is reproducible.
 * Not for keys and incarnations, which come from arc4random of libbsd.
 */
#ifndef BASE_RANDOM_H
#define BASE_RANDOM_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

struct rn_random {
    unsigned short state[3]; /* erand48 state */
};

void Rn_Seed(struct rn_random *random, uint64_t seed);
uint32_t Rn_Below(struct rn_random *random, uint32_t bound);
double Rn_Unit(struct rn_random *random);

#ifdef __cplusplus
}
#endif

#endif
