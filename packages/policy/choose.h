/*
 * Which endpoint of a service runs a request.  A table holds the endpoints
 * of one service as this router knows them: what the watchers report, which
 * lags, and what the router itself has in flight, which does not.
 *
 * A request goes through Ch_Choose(), Ch_Start(), Ch_FirstToken() when the
 * first byte of the answer is there, and Ch_End().  The caller owns the
 * struct ch_flight in between; an endpoint removed meanwhile stays valid
 * until its last flight has ended.  Times are microseconds.
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
    CH_SUSPECT, /* its watchers do not reach it */
    CH_LEAVING, /* reclaimed or stopping: gets no new work */
};

/* What is fixed about an endpoint, but for its version. */
struct ch_info {
    char id[Ch_NAME_MAX];
    char address[Ch_NAME_MAX];
    int port;
    char data_centre[Ch_NAME_MAX];
    char region[Ch_NAME_MAX];
    char version[Ch_NAME_MAX];
    char host_class[Ch_NAME_MAX];
    double price; /* per hour */
    int slots;    /* requests run at once; 0 counts as 1 */
    bool reclaimable;
};

/* A load report; "taken" is on this router's clock. */
struct ch_sample {
    int running;
    int waiting;
    double tokens_per_s;
    int64_t taken;
};

/*
 * The share of new requests a version may carry.  Versions not listed carry
 * nothing; a listed one with share 0 is kept warm and carries requests only
 * when every version with a share is distrusted.
 */
struct ch_share {
    char version[Ch_NAME_MAX];
    double share;
    int max_in_flight; /* of this router; 0: no cap; negative: none at all */
};

struct ch_request {
    uint64_t prefix;     /* hash of the prompt's head; 0: none */
    int prompt_tokens;   /* 0 for a plain service */
    int expected_tokens; /* of the answer */
    int64_t budget;      /* until the first token is of use; 0: none */
    bool again;          /* it was sent before */
    bool failed;         /* an endpoint has failed it */
    /* Whether the request may run there; NULL: anywhere. */
    bool (*allowed)(const void *arg, const struct ch_info *info);
    const void *allowed_arg;
    const char *const *tried; /* ids already tried */
    size_t tried_count;
};

struct ch_endpoint;
struct ch_table;

/* One dispatch of a request; owned by the caller. */
struct ch_flight {
    struct ch_endpoint *endpoint;
    int64_t predicted; /* time to the first token */
    int64_t started;
    bool affine;      /* chosen for its prefix cache */
    bool on_trial;    /* its version is on trial */
    bool first_token; /* the first token has been seen */
};

enum ch_outcome {
    CH_GOOD,
    CH_FAILED,     /* connection lost, 5xx, cut stream, timed out */
    CH_UNREACHED,  /* no connection: no byte of the request left */
    CH_OVERLOADED, /* the endpoint refused for load */
    CH_CANCELLED,  /* nobody waits any more; says nothing about it */
};

struct ch_candidate {
    struct ch_endpoint *endpoint;
    int64_t predicted;
    double load;   /* requests there, as far as known */
    uint64_t rank; /* rendezvous rank for the request's prefix */
};

struct ch_settings {
    int64_t first_token; /* target for 95 in 100 */
    int64_t base;        /* work of any request */
    int64_t per_token;   /* work of a prompt token not in the cache */
    double bound;        /* load over the mean that affinity may cause */
    double panic_share;  /* share out of use from which none is out */
};

/* How one of several candidates is taken; returns its index. */
struct ch_ops {
    const char *name;
    size_t (*pick)(struct ch_table *table, const struct ch_request *request,
                   const struct ch_candidate *candidates, size_t count,
                   struct rn_random *random, bool *affine);
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

/* Commands on the table. */
enum st_status Ch_Put(struct ch_table *table, const struct ch_info *info);
enum st_status Ch_Remove(struct ch_table *table, const char *id);
enum st_status Ch_SetState(struct ch_table *table, const char *id,
                           enum ch_state state, int64_t left, int64_t now);
enum st_status Ch_Report(struct ch_table *table, const char *id,
                         const struct ch_sample *sample);
enum st_status Ch_SetShares(struct ch_table *table,
                            const struct ch_share *shares, size_t count);
/*
 * The version on trial, or NULL.  What has failed is sent to a version that is
 * not on trial, whichever has the larger share, while that has an endpoint
 * that has not failed it.
 */
void Ch_SetTrial(struct ch_table *table, const char *version);
/*
 * What endpoints bear while they are cold, 0: as much as others; and how long
 * that lasts after a start.  "hosts" stays the caller's.
 */
void Ch_SetWarmup(struct ch_table *table, double per_sec, int64_t cold_usec,
                  const struct wu_hosts *hosts);
/* At "now" an endpoint was cold for so much longer; older words are dropped.
 */
void Ch_Cold(struct ch_table *table, const char *id, int64_t left,
             int64_t now);
/*
 * A report taken at "at" says how many refusals in a second the endpoint, as
 * all of the table, bears; "most" below 0: it says nothing of it.
 */
enum st_status Ch_Brittle(struct ch_table *table, const char *id, int most,
                          int64_t at);
enum st_status Ch_Distrust(struct ch_table *table, const char *version);

/* Commands on a request. */
void Ch_Start(struct ch_table *table, struct ch_flight *flight, int64_t now);
void Ch_FirstToken(struct ch_table *table, struct ch_flight *flight,
                   int64_t now);
void Ch_End(struct ch_table *table, struct ch_flight *flight,
            enum ch_outcome outcome, int64_t now);

/* Queries. */
enum st_status Ch_Choose(struct ch_table *table,
                         const struct ch_request *request, int64_t now,
                         struct rn_random *random, struct ch_flight *out);
const struct ch_info *Ch_Info(const struct ch_endpoint *endpoint);
/* Whether any endpoint of the table may run the request, busy or not. */
bool Ch_AnyAllowed(const struct ch_table *table,
                   const struct ch_request *request);
enum ch_state Ch_State(const struct ch_endpoint *endpoint);
int64_t Ch_TimeLeft(const struct ch_endpoint *endpoint, int64_t now);
int Ch_InFlight(const struct ch_endpoint *endpoint);
int Ch_Limit(const struct ch_endpoint *endpoint);
int Ch_AllInFlight(const struct ch_table *table);
bool Ch_IsCold(const struct ch_endpoint *endpoint, int64_t now);
bool Ch_IsBrittle(const struct ch_endpoint *endpoint, int64_t now);
bool Ch_Ejected(const struct ch_endpoint *endpoint, int64_t now);
bool Ch_Trusted(const struct ch_table *table, const char *version);
/*
 * What would keep a request from an endpoint, in a word for log lines; "ok":
 * nothing.  Shares of versions and what requests ask for are not looked at.
 */
const char *Ch_Obstacle(const struct ch_endpoint *endpoint, int64_t now);
struct ch_endpoint *Ch_Find(const struct ch_table *table, const char *id);
struct ch_endpoint *Ch_First(const struct ch_table *table);
struct ch_endpoint *Ch_Next(const struct ch_endpoint *endpoint);

/*
 * What the table can still take: the sum of the free places of endpoints in
 * use, and how many requests a second it has lately finished.
 */
struct ch_capacity {
    int endpoints;
    int free_places;
    double per_sec;
};

void Ch_Capacity(const struct ch_table *table, int64_t now,
                 struct ch_capacity *out);

#ifdef __cplusplus
}
#endif

#endif
