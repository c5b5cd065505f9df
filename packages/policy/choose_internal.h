/*
 * The endpoint table as the files of choose_*.c share it.
 */
#ifndef POLICY_CHOOSE_INTERNAL_H
#define POLICY_CHOOSE_INTERNAL_H

#include <bsd/sys/queue.h>

#include "policy/brittle.h"
#include "policy/choose.h"

#define CH_DISTRUSTED_MAX 32
#define CH_NET_BUCKETS 16
#define CH_NET_USEC                                                           \
    INT64_C(250000) /* width of a bucket of starts less ends                  \
                     */
#define CH_WINDOW_USEC INT64_C(10000000) /* success rates are of 1 to 2 */

/* How far an endpoint may be relied on, the best first. */
enum ch_standing {
    CH_SOUND,
    CH_SHUNNED, /* gave no connection just now */
    CH_DOUBTED, /* ejected, or suspect though it answers this router */
    CH_SILENT,  /* suspect, and no answer since */
    CH_FAILING, /* fails what it gets */
};

struct ch_window {
    int64_t begun;
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
    int64_t leaves_at;
    bool near;
    bool removed;
    bool reported;
    struct ch_sample sample;
    uint64_t id_hash;
    int in_flight;
    double limit; /* adaptive, on in_flight */
    int64_t limit_cut_at;
    int net[CH_NET_BUCKETS]; /* own starts less own ends, by time */
    int64_t net_bucket;      /* number of the newest bucket */
    double slowness;         /* observed over predicted first token */
    int64_t slowness_at;
    int slowness_count;
    struct ch_window window;
    int consecutive;
    int fail_streak; /* failures since the last good end */
    int ejections;
    int64_t ejected_until;
    int64_t failing_until; /* whether or not it is ejected */
    int64_t answered_at;   /* the last first token of this router's */
    int64_t suspect_since;
    int64_t shunned_at; /* no connection was had; a later report ends it */
    int64_t shunned_until;
    int64_t returned_at;
    struct wu_warmup warmup;
    int64_t cold_told_at;
    struct br_room room;
};

TAILQ_HEAD(ch_list, ch_endpoint);

struct ch_table {
    char data_centre[Ch_NAME_MAX];
    const struct ch_ops *ops;
    struct ch_settings settings;
    struct ch_list endpoints;
    struct ch_list removed;
    size_t count;
    struct ch_candidate *candidates; /* scratch of Ch_Choose(), count long */
    size_t candidates_size;
    struct ch_share shares[Ch_VERSIONS_MAX];
    size_t share_count;
    char distrusted[CH_DISTRUSTED_MAX][Ch_NAME_MAX];
    size_t distrusted_count;
    char trial[Ch_NAME_MAX]; /* version on trial; empty: none */
    int in_flight;           /* of this router, at all endpoints */
    double others_per_slot;  /* load of other routers, mean */
    double token_rate;       /* per running request, mean */
    uint64_t turn;           /* of round robin */
    double service;          /* mean time of a request at an endpoint */
    struct ch_window rate;   /* all ends, for the drain rate */
    double cold_per_sec;     /* that a cold endpoint bears; 0: no limit */
    int64_t cold_usec;
    const struct wu_hosts *hosts;
};

bool ch_is_panic(const struct ch_table *table, const char *version,
                 int64_t now);
enum ch_standing ch_standing(const struct ch_endpoint *endpoint, int64_t now);
double ch_load(const struct ch_endpoint *endpoint, int64_t now);
double ch_reported_slowness(const struct ch_endpoint *endpoint);
void ch_refresh_means(struct ch_table *table);
double ch_slowness(const struct ch_endpoint *endpoint, int64_t now);
void ch_window_roll(struct ch_window *window, int64_t now);
/* Whether the endpoint is brittle and may not be sent a request now. */
bool ch_is_closed(const struct ch_endpoint *endpoint, int64_t now);
void ch_judge(struct ch_endpoint *endpoint, enum ch_outcome outcome,
              int64_t now);

#endif
