/*
 * The retry budget.  The bound holds for all hosts together; each host spends
 * its own fraction without coordination: a ratio of its own recent requests,
 * and an equal fraction of the fixed allowance.
 */
#ifndef EDGE_BUDGET_H
#define EDGE_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"

#ifdef __cplusplus
extern "C" {
#endif

struct bu_budget;

struct bu_budget *Bu_Create(const struct ck_clock *clock, double ratio,
                            double extra, int64_t window_usec);
void Bu_Destroy(struct bu_budget *budget);
void Bu_SetHosts(struct bu_budget *budget, size_t hosts);
void Bu_CountFirst(struct bu_budget *budget, const char *service);
/* Whether a retry would be granted now. */
bool Bu_CanRetry(struct bu_budget *budget, const char *service);
bool Bu_TakeRetry(struct bu_budget *budget, const char *service);

#ifdef __cplusplus
}
#endif

#endif
