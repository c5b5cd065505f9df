/*
 * What the stand-ins of a model engine and of a plain service share: the
 * truth about every run, and the end of a reclaimed host.
 */
#ifndef STANDINS_ENDPOINT_H
#define STANDINS_ENDPOINT_H

#include <bsd/sys/queue.h>

#include "standins/serve.h"

#define Ep_NAME_MAX 64

struct ep_options {
    const char *address;
    int port;
    bool plain;
    bool fenced; /* refuses orders with an older fence */
    char service[Ep_NAME_MAX];
    char version[Ep_NAME_MAX];
    int slots;          /* requests run at once */
    const char *poison; /* text in prompts and bodies that ends it, or NULL */
    int64_t token_usec; /* time of a token */
    int64_t first_usec; /* time before the first token, at least */
    int64_t prefill_usec;  /* and for each prompt token not cached */
    int cache_blocks;      /* bound of the prefix cache */
    int event_gap;         /* every n-th cache event is lost; 0: none */
    int64_t event_usec;    /* lag of cache events */
    int64_t load_lag_usec; /* period of the load report */
    int64_t kv_usec;       /* export of one token */
    int64_t work_usec;     /* plain: time of a run */
    int64_t cold_usec;     /* cold for so long after the start */
    int cold_per_sec;      /* goes down above this while cold; 0: never */
};

/* One run, as the truth for tests.  Times as by Ck_Now(). */
struct ep_run {
    TAILQ_ENTRY(ep_run) link;
    char *request_id;
    char *key; /* empty without one */
    char *path;
    int64_t started;
    int64_t finished; /* 0 while it runs */
    int tokens;       /* given by this run */
    int recomputed;
    int cached;
    bool leaving;        /* came after the notice */
    const char *outcome; /* "running", "done", "cancelled", ... */
};

TAILQ_HEAD(ep_runs, ep_run);

struct ep_endpoint {
    struct sv_program *program;
    struct ep_options options;
    struct ep_runs runs;
    int64_t run_count;
    int running; /* waiting ones as well */
    int64_t leaves_at;
    bool leaving;
    struct lp_timer *leave_timer;
    int64_t cold_until;
    int64_t cold_second; /* when the count below began */
    int cold_count;
};

void Ep_Open(struct ep_endpoint *endpoint, const struct ep_options *options);
void Ep_Close(struct ep_endpoint *endpoint);
struct ep_run *Ep_Begin(struct ep_endpoint *endpoint,
                        const struct hs_request *request);
void Ep_End(struct ep_endpoint *endpoint, struct ep_run *run,
            const char *outcome);
int64_t Ep_LeftMsec(const struct ep_endpoint *endpoint);
/* How much longer it is cold. */
int64_t Ep_ColdUsec(const struct ep_endpoint *endpoint);
bool Ep_Control(struct ep_endpoint *endpoint, struct hs_request *request);
struct fl_fault Ep_Fault(struct ep_endpoint *endpoint, const char *target,
                         const struct hs_request *request);

#endif
