/*
 * The endpoint table, shared by the choose*.c files.
 */
#ifndef POLICY_CHOOSE_INTERNAL_H
#define POLICY_CHOOSE_INTERNAL_H

#include <bsd/sys/queue.h>

#include "policy/brittle.h"
#include "policy/choose.h"
#include "policy/rate_share.h"

#define CH_DISTRUSTED_MAX 32
#define CH_BUCKETS 16
#define CH_BUCKET_USEC INT64_C(250000) /* width of a net_starts bucket */
/* Success rates cover one to two windows. */
#define CH_WINDOW_USEC INT64_C(10000000)

/* The health of an endpoint, the best first. */
enum ch_health {
    CH_HEALTHY,
    CH_UNREACHABLE,  /* a connection attempt failed recently */
    CH_DOUBTFUL,     /* ejected, or suspect though it answers this router */
    CH_UNRESPONSIVE, /* suspect, and it has not answered since */
    CH_FAILING,      /* fails the requests that it gets */
};

/* Outcomes in the current window and in the one before. */
struct ch_window {
    int64_t started_at;
    int good;
    int failed;
    int last_good;
    int last_failed;
};

struct ch_endpoint {
    TAILQ_ENTRY(ch_endpoint) entry;
    struct ch_info info;
    struct ch_table *table;
    enum ch_state state;
    int64_t gone_at; /* of a leaving endpoint */
    bool same_data_centre;
    bool removed;
    bool reported; /* "sample" holds a report */
    struct ch_sample sample;
    uint64_t id_hash;
    int in_flight;
    double limit; /* adaptive limit of in_flight */
    int64_t limit_cut_at;
    int net_starts[CH_BUCKETS]; /* own starts minus own ends, by time */
    int64_t newest_bucket;      /* number of the newest bucket */
    double slowness;            /* observed / predicted time to first token */
    int64_t slowness_at;
    int slowness_count;
    struct ch_window window;
    int consecutive_failures; /* as fail_streak, but set by an ejection */
    int fail_streak;          /* failures since the last success */
    int ejections;
    int64_t ejected_until;
    int64_t failing_until; /* independent of ejection */
    int64_t answered_at;   /* last first token to this router */
    int64_t suspect_since;
    int64_t unreached_at;      /* last failure to connect */
    int64_t unreachable_until; /* 0 from a report after unreached_at on */
    int64_t returned_at;
    struct wu_warmup warmup;
    int64_t cold_report_at;
    struct br_state brittle;
    struct rs_state rate_limit;
};

TAILQ_HEAD(ch_list, ch_endpoint);

struct ch_table {
    char data_centre[Ch_NAME_MAX];
    const struct ch_ops *ops;
    struct ch_settings settings;
    struct ch_list endpoints;
    struct ch_list removed;
    size_t count;
    struct ch_candidate *candidates; /* scratch space of Ch_Choose() */
    size_t candidates_capacity;
    struct ch_share shares[Ch_VERSIONS_MAX];
    size_t share_count;
    char distrusted[CH_DISTRUSTED_MAX][Ch_NAME_MAX];
    size_t distrusted_count;
    char trial[Ch_NAME_MAX];    /* version on trial; empty: none */
    int in_flight;              /* of this router, at all endpoints */
    double other_load_per_slot; /* mean load from other routers */
    double tokens_per_request;  /* mean tokens/s of a running request */
    uint64_t round_robin_next;
    double mean_service_usec;     /* from start to end of a request */
    struct ch_window completions; /* all ended requests, for the drain rate */
    /* Requests a second that a cold endpoint serves; 0: no limit. */
    double cold_per_sec;
    int64_t cold_usec;
    const struct wu_hosts *hosts;
    struct br_service brittle;
};

bool ch_is_panic(const struct ch_table *table, const char *version,
                 int64_t now);
enum ch_health ch_health(const struct ch_endpoint *endpoint, int64_t now);
double ch_load(const struct ch_endpoint *endpoint, int64_t now);
double ch_reported_slowness(const struct ch_endpoint *endpoint);
void ch_refresh_means(struct ch_table *table);
double ch_slowness(const struct ch_endpoint *endpoint, int64_t now);
void ch_window_roll(struct ch_window *window, int64_t now);
/* Whether the endpoint is brittle and must not get a request now. */
bool ch_is_brittle_blocked(const struct ch_endpoint *endpoint, int64_t now);
/* Whether the endpoint's rate limit leaves no request to this host now. */
bool ch_is_rate_blocked(struct ch_endpoint *endpoint, int64_t now);
void ch_record_outcome(struct ch_endpoint *endpoint, enum ch_outcome outcome,
                       int64_t now);

#endif
