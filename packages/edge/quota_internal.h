/* Shared by the quota files only. */
#ifndef EDGE_QUOTA_INTERNAL_H
#define EDGE_QUOTA_INTERNAL_H

#include "edge/quota.h"

#define Qt_TENANTS_MAX 256
/* Time constant over which the rates of requests are averaged. */
#define Qt_PEER_RATE_SEC 1.5

struct qt_bucket {
    char tenant[Ec_NAME_MAX];
    uint32_t hash;
    double per_sec;
    double burst;
    double level;
    double level_reserve;  /* tokens reserved for unreachable daemons */
    double window_reserve; /* the same, charged to the window */
    double admitted;
    double requested;    /* cost of all requests here since the start */
    double peer_rate;    /* what peers admit, tokens a second */
    double local_demand; /* what callers ask of this daemon, tokens a second */
    double peer_demand;  /* what callers ask of peers, tokens a second */
    double predicted;    /* charged for peers ahead of their reports */
    double concurrent;   /* estimate of what peers admitted at the same time */
    int64_t peer_usage_at; /* time of the last report of a peer's usage */
    int64_t filled_at;
    double mean_cost;      /* of a request; 0: none yet */
    double cost_deviation; /* mean absolute deviation from mean_cost */
    struct wn_window window;
};

struct qt_quota {
    const struct ck_clock *clock;
    double share;
    double predict_sec;
    size_t unreachable_count; /* daemons expected but not reachable */
    double start_fill;
    int64_t started_at;
    int64_t window_usec; /* 0: only buckets limit */
    size_t restored_count;
    struct qt_recent restored[Qt_RECENT_MAX];
    size_t count;
    struct qt_bucket buckets[Qt_TENANTS_MAX];
};

/* NULL: the tenant is not configured. */
struct qt_bucket *qt_find(struct qt_quota *quota, uint32_t hash);
/* Refills a bucket and advances its window to the current time. */
void qt_fill(struct qt_quota *quota, struct qt_bucket *bucket);
/* Charges a cost to both bucket and window; a negative cost is a refund. */
void qt_charge(struct qt_bucket *bucket, double cost);
double qt_window_room(const struct qt_bucket *bucket);
double qt_window_limit(const struct qt_quota *quota,
                       const struct qt_bucket *bucket);
double qt_refill_rate(const struct qt_quota *quota,
                      const struct qt_bucket *bucket);

#endif
