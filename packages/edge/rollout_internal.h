/* Shared by the rollout files only. */
#ifndef EDGE_ROLLOUT_INTERNAL_H
#define EDGE_ROLLOUT_INTERNAL_H

#include "base/random.h"
#include "edge/rollout.h"

#ifdef __cplusplus
extern "C" {
#endif

struct ro_table {
    const struct ck_clock *clock;
    struct rn_random random;
    size_t count;
    struct ro_move moves[Ro_MOVES_MAX];
};

/* NULL: there is no such order. */
struct ro_move *ro_find_by_hash(struct ro_table *table, uint32_t service,
                                int64_t order);
void ro_add_outcomes(struct cy_count to[CY_SIDES],
                     const struct ro_outcomes *outcomes);
/* Adds up the answers of all routes, and how many of them failed. */
void ro_sum_failures(const struct ro_move *move,
                     struct cy_count sums[CY_SIDES]);
/* Answers of the new version that were not bad in any way, at least. */
uint32_t ro_sum_good(const struct ro_move *move);
void ro_close_windows(struct ro_move *move);
/*
 * Compares the versions, and sets whether the new one is a suspect.  Returns
 * whether it is worse; "worst" then has the counts that show it.
 */
bool ro_judge(struct ro_move *move, struct cy_count worst[CY_SIDES]);

#ifdef __cplusplus
}
#endif

#endif
