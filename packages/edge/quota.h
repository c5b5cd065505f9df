/*
 * Tenants' limits over all daemons together.  Each daemon runs every
 * tenant's token bucket by itself: what it admits leaves the bucket at once,
 * what others admit when they tell, by counts that only rise and so may be
 * lost or come twice.  The lag between daemons is covered by the bound's own
 * slack.  Daemons that are not heard may be cut off and admit as well; those
 * that hear each other keep to their share of the rate.
 */
#ifndef EDGE_QUOTA_H
#define EDGE_QUOTA_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "edge/config.h"

#ifdef __cplusplus
extern "C" {
#endif

struct qt_quota;

struct qt_quota *Qt_Create(const struct ck_clock *clock, bool first_start);
void Qt_Destroy(struct qt_quota *quota);
/*
 * The part of every rate that is handed out from the next configuration on;
 * 1 from the start.
 */
void Qt_SetPart(struct qt_quota *quota, double part);
void Qt_Configure(struct qt_quota *quota, const struct ec_config *config);
/* The share of the rate for this daemon and those that it hears, 0 to 1. */
void Qt_SetShare(struct qt_quota *quota, double share);
/* Takes "cost"; false when it is over the limit, with the wait. */
bool Qt_Take(struct qt_quota *quota, const char *tenant, double cost,
             int64_t *wait_usec);
void Qt_Refund(struct qt_quota *quota, const char *tenant, double cost);
/* What this daemon admitted since its start, and what a peer admitted. */
typedef void (*qt_each_fn)(void *arg, uint32_t tenant, uint64_t total);
void Qt_Each(const struct qt_quota *quota, qt_each_fn fn, void *arg);
/* "apart": in a time in which the peer was not heard; that share of the rate
   was left to it. */
void Qt_Spent(struct qt_quota *quota, uint32_t tenant, double cost,
              bool apart);
uint32_t Qt_Hash(const char *tenant);

#ifdef __cplusplus
}
#endif

#endif
