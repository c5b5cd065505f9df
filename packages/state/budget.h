/*
 * Token buckets, one for each purpose, that limit this daemon's rate of
 * appends to the log.  If the bucket of a purpose is empty, the append takes a
 * token from the least important purpose that has one left.
 */
#ifndef STATE_BUDGET_H
#define STATE_BUDGET_H

#include <stdbool.h>

#include "base/clock.h"

#ifdef __cplusplus
extern "C" {
#endif

/* From the most to the least important. */
enum bg_purpose {
    BG_CONFIG,
    BG_LEASE,
    BG_CLAIM,
    BG_SNAPSHOT,
    BG_PURPOSES,
};

struct bg_budget;

struct bg_budget *Bg_Create(const struct ck_clock *clock);
void Bg_Destroy(struct bg_budget *budget);
void Bg_SetRate(struct bg_budget *budget, enum bg_purpose purpose,
                double per_sec, double burst);
bool Bg_Take(struct bg_budget *budget, enum bg_purpose purpose);

#ifdef __cplusplus
}
#endif

#endif
