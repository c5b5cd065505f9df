/*
 * Enforces each tenant's rate limit over all daemons together. A limit is a
 * rate and a burst: in any window of a fixed length, a tenant may spend at
 * most the rate times that length plus the burst.
 *
 * Each daemon keeps a token bucket and a sliding window for every tenant. A
 * cost that this daemon admits is charged at once. A cost that a peer admits
 * is charged when the peer reports it, as a counter that only rises, so a
 * report may be lost or repeated. The required bound on what a tenant spends
 * allows some slack over the limit, which covers the delay of these reports.
 * Peers that cannot be reached may be on the other side of a network partition
 * and still admit requests, so the daemons that reach each other use only
 * their share of the rate.
 *
 * While a tenant that counts tokens asks for more than its limit, its requests
 * are admitted by rank; see docs/design/quota-ranks.md.
 */
#ifndef EDGE_QUOTA_H
#define EDGE_QUOTA_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/metric.h"
#include "edge/config.h"
#include "edge/window.h"
#include "policy/quota_rank.h"

#ifdef __cplusplus
extern "C" {
#endif

#define Qt_RECENT_MAX 64

/* The usage of a tenant in the window that ends now. */
struct qt_recent {
    struct wn_past past;
    uint32_t tenant;
    /*
     * Whether more than half of the window's limit was spent in its newer
     * half; not recorded.
     */
    bool near_limit;
};

struct qt_quota;

struct qt_quota *Qt_Create(const struct ck_clock *clock, bool first_start);
void Qt_Destroy(struct qt_quota *quota);
/*
 * Sets the length of the windows that limits hold for. To be called before the
 * first configuration. 0: only the token bucket limits a tenant.
 */
void Qt_SetWindow(struct qt_quota *quota, int64_t usec);
/*
 * Sets the seed of each rank's first credit, which must differ between
 * daemons. To be called before the first configuration.
 */
void Qt_SetSeed(struct qt_quota *quota, uint64_t seed);
/*
 * Sets how many unreachable daemons may be admitting requests, and the
 * interval at which reachable ones report their usage.
 */
void Qt_SetPeers(struct qt_quota *quota, size_t unreachable,
                 int64_t interval_usec);
/*
 * An unreachable daemon is reachable again. To be called before its usage is
 * added.
 */
void Qt_PeerReturned(struct qt_quota *quota);
void Qt_Configure(struct qt_quota *quota, const struct ec_config *config);
/*
 * Sets the fraction of the rate, 0 to 1, that this daemon and the peers it
 * reaches may use.
 */
void Qt_SetShare(struct qt_quota *quota, double share);
/*
 * The rank of a request among those of its tenant; "route_rank" is that of the
 * route's priority. 0 where ranks are not used.
 */
int Qt_Rank(struct qt_quota *quota, const char *tenant, double cost,
            int route_rank);
/*
 * Charges "cost". False when that exceeds the limit, or the part of it that
 * the request's rank gets; "wait_usec" is then the time after which to retry.
 */
bool Qt_Take(struct qt_quota *quota, const char *tenant, double cost, int rank,
             int64_t *wait_usec);
/* What Qt_Take() would return now; charges and records nothing. */
bool Qt_WouldTake(struct qt_quota *quota, const char *tenant, double cost,
                  int rank, int64_t *wait_usec);
/* Refunds the cost of a request that was admitted but not run. */
void Qt_Refund(struct qt_quota *quota, const char *tenant, double cost,
               int64_t charged_at);
/* The usage of a tenant against its limit, as far as this daemon knows. */
struct qt_usage {
    double spent; /* in the window that ends now */
    double limit; /* of a window; 0: no limit, or not known */
    /* Tokens a second that the limit allows throughout the next window. */
    double sustained;
    double fractions[Rk_RANKS]; /* of each rank's demand that is admitted */
};
struct qt_usage Qt_Usage(struct qt_quota *quota, const char *tenant);
/*
 * Calls "fn" for each tenant with the costs that this daemon has admitted
 * ("total") and of all requests for it ("requested") since its start.
 */
typedef void (*qt_each_fn)(void *arg, uint32_t tenant, uint64_t total,
                           uint64_t requested);
void Qt_Each(const struct qt_quota *quota, qt_each_fn fn, void *arg);
/* Adds the cost of requests that callers sent to a peer, admitted or not. */
void Qt_AddPeerDemand(struct qt_quota *quota, uint32_t tenant, double cost);
/*
 * Calls "fn" with the demand by rank, in tokens a second, of this daemon's
 * callers, for each tenant near or over its limit that counts tokens.
 */
typedef void (*qt_rank_fn)(void *arg, uint32_t tenant,
                           const double per_sec[Rk_RANKS]);
void Qt_EachRankDemand(struct qt_quota *quota, qt_rank_fn fn, void *arg);
/* Replaces the demand by rank that peers reported; "age_usec": of a report. */
void Qt_ClearPeerRanks(struct qt_quota *quota);
void Qt_AddPeerRanks(struct qt_quota *quota, uint32_t tenant,
                     const uint32_t per_sec[Rk_RANKS], int64_t age_usec);
/*
 * Adds a cost that a peer admitted. "while_unreachable": the peer was
 * unreachable at that time, and part of the rate had been reserved for it.
 */
void Qt_AddPeerUsage(struct qt_quota *quota, uint32_t tenant, double cost,
                     bool while_unreachable);
/*
 * Recent usage of each tenant, which the lease holder records in the store,
 * and which a daemon takes from that record after all daemons have died: their
 * counters are lost then.
 */
size_t Qt_RecentUsage(struct qt_quota *quota,
                      struct qt_recent out[Qt_RECENT_MAX]);
void Qt_RestoreUsage(struct qt_quota *quota, const struct qt_recent *rows,
                     size_t count);
/*
 * Takes the usage of a tenant in the window that ends now from a peer that has
 * run for a whole window. A daemon that has just started has no count of its
 * own.
 */
void Qt_ApplyPastUsage(struct qt_quota *quota, uint32_t tenant,
                       const struct wn_past *past);
/* Sets the sustained rate of each tenant whose requests are ranked. */
void Qt_ExportRanks(struct qt_quota *quota, struct mt_registry *registry);
uint32_t Qt_Hash(const char *tenant);

#ifdef __cplusplus
}
#endif

#endif
