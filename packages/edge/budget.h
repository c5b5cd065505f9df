/*
 * The budget for sending a request to a further endpoint.  The bound is one
 * for all daemons; each spends its own part of it without asking: a share of
 * its own recent requests, and an even part of the fixed allowance.
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
void Bu_SetDaemons(struct bu_budget *budget, size_t daemons);
void Bu_First(struct bu_budget *budget, const char *service);
/* Whether a repeat would be granted now. */
bool Bu_CanRepeat(struct bu_budget *budget, const char *service);
bool Bu_Repeat(struct bu_budget *budget, const char *service);

#ifdef __cplusplus
}
#endif

#endif
