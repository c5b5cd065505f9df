/*
 * A model engine: batches up to its slots, serves the rest by priority, and
 * gives each prompt the answer of answer.h, token by token.
 */
#ifndef STANDINS_ENGINE_H
#define STANDINS_ENGINE_H

#include <bsd/sys/queue.h>

#include "standins/endpoint.h"
#include "standins/engine_ask.h"
#include "standins/engine_cache.h"
#include "standins/engine_kv.h"

TAILQ_HEAD(en_queue, en_run);

/*
 * A brittle engine says so in its load report, lets none wait, and falls over
 * when it has to turn more than so many away in a second.
 */
struct en_brittle {
    int most;    /* below 0: not brittle */
    int refused; /* in the second that began at "since" */
    int64_t since;
    int64_t down_until;
    int falls;
};

struct en_engine {
    struct ep_endpoint *endpoint;
    struct ec_cache *cache;
    struct kv_store *kv;
    struct en_queue waiting; /* by priority, then by arrival */
    struct en_queue running;
    int waiting_count;
    int running_count;
    int64_t window_start; /* of the token rate */
    int window_tokens;
    double tokens_per_sec;
    char last_id[Ep_NAME_MAX]; /* of the run before, for crossed answers */
    int64_t fence;             /* highest seen in an order */
    json_t *orders;            /* orders taken */
    json_t *load;              /* the load report that is shown */
    int64_t load_taken;
    struct lp_timer *load_timer;
    struct en_brittle brittle;
    double rate_limit; /* reported, but not enforced; 0: none */
};

struct en_engine *En_Create(struct ep_endpoint *endpoint);
void En_Destroy(struct en_engine *engine);
void En_Serve(struct en_engine *engine, struct hs_request *request);

/* Runs: engine_run.c. */
void En_Run(struct en_engine *engine, struct hs_request *request);
bool En_Cancel(struct en_engine *engine, const char *id);
const struct en_run *En_Find(const struct en_engine *engine, const char *id);
const struct en_ask *En_RunAsk(const struct en_run *run);
int En_RunTokens(const struct en_run *run);

/* Brittleness: engine_brittle.c. */
bool En_IsDown(const struct en_engine *engine);
bool En_TurnsAway(struct en_engine *engine, struct hs_request *request);
bool En_BrittleControl(struct en_engine *engine, struct hs_request *request);

/* The load report and orders: engine_report.c. */
void En_LoadOpen(struct en_engine *engine);
void En_LoadClose(struct en_engine *engine);
void En_CountToken(struct en_engine *engine);
json_t *En_Load(struct en_engine *engine);
void En_Order(struct en_engine *engine, const json_t *order,
              struct sv_answer *answer);

#endif
