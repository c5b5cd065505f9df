/* Shared by the files of the quota only. */
#ifndef EDGE_QUOTA_INTERNAL_H
#define EDGE_QUOTA_INTERNAL_H

#include "edge/quota.h"

#define Qt_TENANTS_MAX 256
/* Over how long the rate of others is taken. */
#define Qt_OTHERS_SEC 1.5

struct qt_bucket {
    char tenant[Ec_NAME_MAX];
    uint32_t hash;
    double per_sec;
    double burst;
    double level;
    double reserve;      /* left to daemons that were not heard */
    double aside;        /* the same of the window */
    double total;        /* admitted here since the start */
    double asked;        /* asked for here since the start */
    double others;       /* what others admit, tokens a second */
    double own_asked;    /* what callers ask of this daemon, a second */
    double others_asked; /* the same of the others */
    double foreseen;     /* taken out for others before they told of it */
    double echo;         /* the same by what was admitted here a moment ago */
    int64_t told_at;     /* when others last told of any */
    int64_t filled_at;
    double usual;  /* mean cost of a request; 0: none yet */
    double spread; /* mean distance from it */
    struct wn_window window;
};

struct qt_quota {
    const struct ck_clock *clock;
    double share;
    double foresee_sec;
    size_t missing; /* expected and not heard */
    double start_share;
    int64_t started_at;
    int64_t window_usec; /* 0: limits are buckets */
    size_t recalled_count;
    struct qt_recent recalled[Qt_RECENT_MAX];
    size_t count;
    struct qt_bucket buckets[Qt_TENANTS_MAX];
};

/* The bucket of a tenant; NULL: it is not known. */
struct qt_bucket *qt_find(struct qt_quota *quota, uint32_t hash);
/* Brings a bucket and its window up to the present. */
void qt_fill(struct qt_quota *quota, struct qt_bucket *bucket);
/* Takes a cost out of both; a negative one is given back. */
void qt_spend(struct qt_bucket *bucket, double cost);
double qt_room(const struct qt_bucket *bucket);
double qt_limit(const struct qt_quota *quota, const struct qt_bucket *bucket);
double qt_refill(const struct qt_quota *quota, const struct qt_bucket *bucket);

#endif
