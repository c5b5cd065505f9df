/*
 * Tenants' limits over all daemons together.  A limit is a rate and a burst:
 * in no window of a given length more than the rate times that length, and
 * the burst.  Each daemon runs every tenant's token bucket and window by
 * itself: what it admits leaves the bucket at once,
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
#include "edge/window.h"

#ifdef __cplusplus
extern "C" {
#endif

#define Qt_RECENT_MAX 64

/* What a tenant spent in the window that ends now. */
struct qt_recent {
    struct wn_past past;
    uint32_t tenant;
    bool heavy; /* over half of its limit in the newer half; not recorded */
};

struct qt_quota;

struct qt_quota *Qt_Create(const struct ck_clock *clock, bool first_start);
void Qt_Destroy(struct qt_quota *quota);
/*
 * The length of the windows that limits hold for; before the first
 * configuration.  0: a limit is its bucket alone.
 */
void Qt_SetWindow(struct qt_quota *quota, int64_t usec);
/* How many daemons that are not heard may be admitting as well, and how often
   those that are tell what they admitted. */
void Qt_SetPeers(struct qt_quota *quota, size_t missing, int64_t gap_usec);
/* One that was missing is heard again; before what it spent. */
void Qt_Returned(struct qt_quota *quota);
void Qt_Configure(struct qt_quota *quota, const struct ec_config *config);
/* The share of the rate for this daemon and those that it hears, 0 to 1. */
void Qt_SetShare(struct qt_quota *quota, double share);
/* Takes "cost"; false when it is over the limit, with the wait. */
bool Qt_Take(struct qt_quota *quota, const char *tenant, double cost,
             int64_t *wait_usec);
void Qt_Refund(struct qt_quota *quota, const char *tenant, double cost);
/* What a tenant has spent of its limit, as this daemon knows. */
struct qt_use {
    double spent; /* in the window that ends now */
    double limit; /* of a window; 0: none, or none that is known */
};
struct qt_use Qt_Use(struct qt_quota *quota, const char *tenant);
/* What this daemon admitted since its start, and what a peer admitted. */
typedef void (*qt_each_fn)(void *arg, uint32_t tenant, uint64_t total,
                           uint64_t asked);
void Qt_Each(const struct qt_quota *quota, qt_each_fn fn, void *arg);
/* What callers asked of a peer, whether it was admitted or not. */
void Qt_Asked(struct qt_quota *quota, uint32_t tenant, double cost);
/* "apart": in a time in which the peer was not heard; that share of the rate
   was left to it. */
void Qt_Spent(struct qt_quota *quota, uint32_t tenant, double cost,
              bool apart);
/*
 * What a daemon that starts after all have died cannot know otherwise: what
 * tenants lately spent, as this daemon knows, and as a daemon before it
 * recorded.
 */
size_t Qt_Recent(struct qt_quota *quota, struct qt_recent out[Qt_RECENT_MAX]);
void Qt_Recall(struct qt_quota *quota, const struct qt_recent *rows,
               size_t count);
/*
 * What a tenant spent in the window that ends now, as a daemon says that was
 * there all the while.  A daemon that has just started has counted none of it.
 */
void Qt_ToldPast(struct qt_quota *quota, uint32_t tenant,
                 const struct wn_past *past);
uint32_t Qt_Hash(const char *tenant);

#ifdef __cplusplus
}
#endif

#endif
