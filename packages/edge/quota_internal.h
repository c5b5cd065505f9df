/* Shared by the quota files only. */
#ifndef EDGE_QUOTA_INTERNAL_H
#define EDGE_QUOTA_INTERNAL_H

#include "edge/quota.h"
#include "policy/quota_rank.h"

#define Qt_TENANTS_MAX 256
/* Time constant over which the rates of requests are averaged. */
#define Qt_PEER_RATE_SEC 1.5

/* Requests of one rank of a tenant; see policy/quota_rank.h. */
struct qt_rank {
    double demand;  /* what callers ask of this daemon, tokens a second */
    double peers;   /* what callers ask of peers, tokens a second */
    double served;  /* what this daemon admits, tokens a second */
    double waiting; /* tokens refused here and not expected back yet */
    double credit;  /* a request is admitted when it reaches 1 */
};

/* What each rank of a tenant gets at the moment. */
struct qt_division {
    bool ranked;      /* whether requests are admitted by rank */
    double sustained; /* tokens a second for all ranks */
    double fractions[Rk_RANKS];
    /* room that a request leaves in the window; below 0, it may exceed it */
    double reserves[Rk_RANKS];
};
/* Time constant of the average that shows a rise of demand early. */
#define Qt_FAST_SEC 0.5

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
    double fast_demand;  /* of all, averaged over Qt_FAST_SEC */
    double predicted;    /* charged for peers ahead of their reports */
    double concurrent;   /* estimate of what peers admitted at the same time */
    int64_t peer_usage_at; /* time of the last report of a peer's usage */
    int64_t filled_at;
    double request_count; /* here, since the start */
    double mean_cost;     /* of a request; 0: none yet */
    double mean_square;   /* of the cost */
    bool counts_tokens;
    int64_t removed_at; /* by a configuration; 0: it is configured */
    struct qt_rank ranks[Rk_RANKS];
    struct wn_window window;
};

struct qt_quota {
    const struct ck_clock *clock;
    double share;
    double predict_sec;
    size_t unreachable_count; /* daemons expected but not reachable */
    uint64_t seed;
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
/* Charges a cost to both bucket and window. */
void qt_charge(struct qt_bucket *bucket, double cost);
double qt_window_room(const struct qt_bucket *bucket);
double qt_window_limit(const struct qt_quota *quota,
                       const struct qt_bucket *bucket);
/* To be called after costs in the window were forgiven. */
void qt_bound_reserve(const struct qt_quota *quota, struct qt_bucket *bucket);
double qt_refill_rate(const struct qt_quota *quota,
                      const struct qt_bucket *bucket);
/*
 * Whether the tenant's requests are admitted by rank: it counts tokens and
 * asks for more than its limit, or nearly that.
 */
bool qt_ranks_apply(const struct qt_quota *quota,
                    const struct qt_bucket *bucket);
struct qt_division qt_divide(const struct qt_quota *quota,
                             const struct qt_bucket *bucket);
void qt_record_demand(struct qt_bucket *bucket, double cost, int rank);
/*
 * Microseconds until a refused request is expected to be served, behind those
 * refused before; counts it among them.
 */
int64_t qt_wait_behind(const struct qt_quota *quota, struct qt_bucket *bucket,
                       const struct qt_division *division, double cost,
                       int rank);
void qt_decay_ranks(const struct qt_quota *quota, struct qt_bucket *bucket,
                    double seconds);
double qt_first_credit(const struct qt_quota *quota, uint32_t tenant,
                       int rank);

#endif
