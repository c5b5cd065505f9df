/*
 * Divides a customer's limit among its requests while it asks for more than
 * the limit allows. Pure: demand, rates and credits are passed in.
 */
#ifndef POLICY_QUOTA_RANK_H
#define POLICY_QUOTA_RANK_H

#include <stdbool.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Ranks of requests; 0 is served first. */
#define Rk_RANKS 4

/*
 * The rank of a request: 0 if it is small against the customer's mean cost,
 * otherwise "route_rank", at most Rk_RANKS - 1. "mean_cost" 0: not known.
 */
int Rk_Rank(double cost, double mean_cost, int route_rank);
/*
 * Sets the fraction of each rank's demand that is admitted at "rate". Demand
 * and rate are in the same unit.
 */
void Rk_Divide(const double demand[Rk_RANKS], double rate,
               double fractions[Rk_RANKS]);
/*
 * Adds the fraction of a request's rank to the rank's credit. Returns whether
 * the credit suffices for the request; Rk_Spend() takes it on admission.
 */
bool Rk_Earn(double *credit, double fraction);
void Rk_Spend(double *credit);
/*
 * Seconds until all waiting requests of a rank and of more urgent ranks are
 * served; at most "max". For each rank, "waiting" is in tokens and "served" in
 * tokens a second.
 */
double Rk_Wait(const double waiting[Rk_RANKS], const double served[Rk_RANKS],
               int rank, double max);

#ifdef __cplusplus
}
#endif

#endif
