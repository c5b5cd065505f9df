/*
 * Load balancing: the choice of the endpoint that runs a request.  A table
 * holds the endpoints of one service as this router, the daemon of one host,
 * knows them: their state as other hosts report it, which lags, and the
 * router's own requests in flight, which are exact.
 *
 * The caller dispatches a request with Ch_Choose() and Ch_Start(), calls
 * Ch_FirstToken() when the first byte of the answer arrives, and Ch_End() when
 * the answer is complete or has failed.  The caller owns the struct ch_flight
 * in between; an endpoint that is removed meanwhile stays valid until its last
 * flight has ended.  Times are microseconds.
 */
#ifndef POLICY_CHOOSE_H
#define POLICY_CHOOSE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/random.h"
#include "base/status.h"
#include "policy/warmup.h"

#ifdef __cplusplus
extern "C" {
#endif

#define Ch_NAME_MAX 64
#define Ch_VERSIONS_MAX 8

enum ch_state {
    CH_LIVE,
    CH_SUSPECT, /* the hosts that probe it cannot reach it */
    CH_LEAVING, /* reclaimed or stopping: gets no new requests */
};

/* The static description of an endpoint, and the version that it runs. */
struct ch_info {
    char id[Ch_NAME_MAX];
    char address[Ch_NAME_MAX];
    int port;
    char data_centre[Ch_NAME_MAX];
    char region[Ch_NAME_MAX];
    char version[Ch_NAME_MAX];
    char host_class[Ch_NAME_MAX];
    double price; /* price per hour */
    int slots;    /* requests run at once; 0 counts as 1 */
    bool reclaimable;
};

/* A load report; "taken" is when it was measured, on this router's clock. */
struct ch_sample {
    int running;
    int waiting;
    double tokens_per_s;
    int64_t taken;
};

/*
 * The share of new requests that a version gets.  A version that is not listed
 * gets none.  A listed version with share 0 is kept as a standby: it gets
 * requests only when every version with a share is distrusted, or when they
 * failed and another version is on trial (see Ch_SetTrial()).
 */
struct ch_share {
    char version[Ch_NAME_MAX];
    double share;
    int max_in_flight; /* of this router; 0: no cap; negative: no requests */
};

struct ch_request {
    uint64_t prefix;     /* hash of the prompt's head; 0: none */
    int prompt_tokens;   /* 0 for a plain service */
    int expected_tokens; /* length of the answer */
    int64_t budget;      /* time left for the first token; 0: no limit */
    bool is_retry;       /* a retry: it was sent before */
    bool failed;         /* an attempt at it failed at an endpoint */
    /* Whether the request may run there; NULL: anywhere. */
    bool (*allowed)(const void *arg, const struct ch_info *info);
    const void *allowed_arg;
    const char *const *tried; /* ids of endpoints not to choose again */
    size_t tried_count;
};

struct ch_endpoint;
struct ch_table;

/* One dispatch of a request; owned by the caller. */
struct ch_flight {
    struct ch_endpoint *endpoint;
    int64_t predicted; /* time to the first token */
    int64_t started;
    bool by_affinity; /* endpoint chosen for its prefix cache */
    bool on_trial;    /* its version is on trial */
    bool first_token; /* the first token has been seen */
};

enum ch_outcome {
    CH_GOOD,
    CH_FAILED,     /* connection lost, 5xx, truncated stream, time-out */
    CH_UNREACHED,  /* no connection: no byte of the request was sent */
    CH_OVERLOADED, /* the endpoint refused the request for load */
    CH_CANCELLED,  /* the caller gave up; no evidence on the endpoint */
};

struct ch_candidate {
    struct ch_endpoint *endpoint;
    int64_t predicted;
    double load;   /* estimated requests of all routers there */
    uint64_t rank; /* rendezvous rank for the request's prefix */
};

struct ch_settings {
    int64_t first_token; /* target time for 95 % of first tokens */
    int64_t base;        /* fixed processing time of a request */
    int64_t per_token;   /* time for a prompt token that is not cached */
    double load_bound;   /* cap on load with affinity, times the mean */
    /* At most this share of the endpoints is ejected; more bad ones: panic. */
    double panic_share;
};

/* A balancing policy; "pick" returns the index of one candidate. */
struct ch_ops {
    const char *name;
    size_t (*pick)(struct ch_table *table, const struct ch_request *request,
                   const struct ch_candidate *candidates, size_t count,
                   struct rn_random *random, bool *by_affinity);
};

const struct ch_ops *Ch_Predictive(void);
const struct ch_ops *Ch_NoAffinity(void);
const struct ch_ops *Ch_LeastInFlight(void);
const struct ch_ops *Ch_RoundRobin(void);
const struct ch_ops *Ch_Random(void);

void Ch_Defaults(struct ch_settings *settings);
struct ch_table *Ch_Create(const char *data_centre, const struct ch_ops *ops,
                           const struct ch_settings *settings);
void Ch_Destroy(struct ch_table *table);

/* Changes to the table. */
enum st_status Ch_Put(struct ch_table *table, const struct ch_info *info);
enum st_status Ch_Remove(struct ch_table *table, const char *id);
enum st_status Ch_SetState(struct ch_table *table, const char *id,
                           enum ch_state state, int64_t left, int64_t now);
enum st_status Ch_Report(struct ch_table *table, const char *id,
                         const struct ch_sample *sample);
enum st_status Ch_SetShares(struct ch_table *table,
                            const struct ch_share *shares, size_t count);
/*
 * Sets the version on trial; NULL: none.  A request that failed is sent to the
 * version not on trial, even if the version on trial has the larger share, as
 * long as that version has an endpoint that has not failed the request.
 */
void Ch_SetTrial(struct ch_table *table, const char *version);
/*
 * Sets how many requests a second a cold endpoint handles, where 0 means no
 * limit, and how long an endpoint is cold after its start.  "hosts" remains
 * owned by the caller.
 */
void Ch_SetWarmup(struct ch_table *table, double per_sec, int64_t cold_usec,
                  const struct wu_hosts *hosts);
/*
 * Records a report, taken at "now", that the endpoint stays cold for another
 * "left"; a report older than the last one is dropped.
 */
void Ch_SetCold(struct ch_table *table, const char *id, int64_t left,
                int64_t now);
/*
 * Records the refusal limit in a report of the endpoint taken at "at": if the
 * endpoint refuses more requests than that in a second, it fails.  The limit
 * holds for all endpoints of the table; below 0 the report names no limit.
 */
enum st_status Ch_SetRefusalLimit(struct ch_table *table, const char *id,
                                  int refusal_limit, int64_t at);
/*
 * Records how many requests a second the endpoint takes from all hosts, from
 * its report taken at "at"; below 0 the report names no limit.
 */
enum st_status Ch_SetRateLimit(struct ch_table *table, const char *id,
                               double per_sec, int64_t at, int64_t now);
enum st_status Ch_Distrust(struct ch_table *table, const char *version);

/* Steps of a request. */
void Ch_Start(struct ch_table *table, struct ch_flight *flight, int64_t now);
void Ch_FirstToken(struct ch_table *table, struct ch_flight *flight,
                   int64_t now);
void Ch_End(struct ch_table *table, struct ch_flight *flight,
            enum ch_outcome outcome, int64_t now);

enum st_status Ch_Choose(struct ch_table *table,
                         const struct ch_request *request, int64_t now,
                         struct rn_random *random, struct ch_flight *out);
const struct ch_info *Ch_Info(const struct ch_endpoint *endpoint);
/* Whether any endpoint of the table may run the request, busy or not. */
bool Ch_AnyAllowed(const struct ch_table *table,
                   const struct ch_request *request);
enum ch_state Ch_State(const struct ch_endpoint *endpoint);
int64_t Ch_TimeLeft(const struct ch_endpoint *endpoint, int64_t now);
/* Requests of all hosts there, as this host knows, divided by its slots. */
double Ch_Load(const struct ch_endpoint *endpoint, int64_t now);
int Ch_InFlight(const struct ch_endpoint *endpoint);
int Ch_Limit(const struct ch_endpoint *endpoint);
int Ch_AllInFlight(const struct ch_table *table);
bool Ch_IsCold(const struct ch_endpoint *endpoint, int64_t now);
bool Ch_IsBrittle(const struct ch_endpoint *endpoint, int64_t now);
/* Requests a second; 0: the endpoint reports no limit. */
double Ch_RateLimit(const struct ch_endpoint *endpoint);
bool Ch_Ejected(const struct ch_endpoint *endpoint, int64_t now);
bool Ch_Trusted(const struct ch_table *table, const char *version);
/*
 * Why the endpoint would get no request now, as a keyword for log lines; "ok"
 * if it would.  Version shares and the demands of a request are not checked.
 */
const char *Ch_Obstacle(const struct ch_endpoint *endpoint, int64_t now);
struct ch_endpoint *Ch_Find(const struct ch_table *table, const char *id);
struct ch_endpoint *Ch_First(const struct ch_table *table);
struct ch_endpoint *Ch_Next(const struct ch_endpoint *endpoint);

/*
 * The spare capacity of the table: how many more requests the limits of its
 * usable endpoints admit, and the recent rate of finished requests.
 */
struct ch_capacity {
    int endpoints;
    int free_slots;
    double per_sec;
};

void Ch_Capacity(const struct ch_table *table, int64_t now,
                 struct ch_capacity *out);

#ifdef __cplusplus
}
#endif

#endif
