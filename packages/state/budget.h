/*
 * Token buckets that keep this daemon's appends within its share of what the
 * log takes, one for each purpose.  A more important purpose whose bucket is
 * empty takes from the least important one that has tokens left.
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
    BG_EVIDENCE,
    BG_PURPOSES,
};

struct bg_budget;

struct bg_budget *Bg_Create(const struct ck_clock *clock);
void Bg_Destroy(struct bg_budget *budget);
void Bg_Set(struct bg_budget *budget, enum bg_purpose purpose, double per_sec,
            double burst);
bool Bg_Take(struct bg_budget *budget, enum bg_purpose purpose);

#ifdef __cplusplus
}
#endif

#endif
