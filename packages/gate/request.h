/*
 * A caller's request, from its arrival to its answer.
 *
 *   Rq_Accept -> authenticate, route -> limits and queue -> claim of the
 *   idempotency key (if it must not run twice) -> relay -> Rq_Finish
 */
#ifndef GATE_REQUEST_H
#define GATE_REQUEST_H

#include "gate/answer.h"
#include "gate/claims.h"
#include "gate/gate.h"
#include "platform/engine.h"
#include "policy/choose.h"
#include "policy/pace.h"
#include "policy/queue.h"
#include "policy/retry.h"

#ifdef __cplusplus
extern "C" {
#endif

#define Rq_ID_MAX 80
#define Rq_TRIED_MAX 16
#define Rq_SENT_TO_MAX 128

struct rl_engine;
struct rl_plain;

enum rq_phase {
    RQ_ARRIVED,
    RQ_QUEUED,
    RQ_CLAIMING,
    RQ_RUNNING, /* the relay may have sent it to an endpoint */
};

struct rq_request {
    TAILQ_ENTRY(rq_request) link;
    struct gt_gate *gate;
    struct hs_request *http; /* NULL once the caller has gone or is answered */
    struct cf_config *config;
    const struct cf_customer *customer;
    const struct cf_service *service;
    char id[Rq_ID_MAX];
    uint32_t content; /* hash of what its repeats share; never 0 */
    enum rq_phase phase;
    int64_t arrived_at;
    int64_t deadline;
    bool patient;
    bool idempotent; /* running it twice does no harm */
    bool has_key;
    struct gc_key key;
    struct gc_wait *claim;
    bool admitted; /* counts against the customer's limits */
    bool queued;   /* "item" is in a queue */
    struct qu_item item;
    bool claimed; /* the claim was won and is neither settled nor released */
    struct lp_timer *timer;
    const char *tried[Rq_TRIED_MAX]; /* endpoints, owned copies */
    size_t tried_count;
    char sent_to[Rq_SENT_TO_MAX]; /* all dispatches in order, for the log */
    struct en_prompt prompt;      /* of an engine request */
    struct rl_engine *engine;
    struct rl_plain *plain;
};

/* Counts of a request's dispatches. */
struct rq_attempts {
    int total;
    int not_sent;      /* did not connect, so that no byte was sent */
    bool trial_failed; /* the first failure was at a version on trial */
    int failed;        /* sent and failed, without the first on trial */
};

void Rq_Accept(struct gt_gate *gate, struct hs_request *http);
void Rq_Dispatch(struct rq_request *request);
void Rq_CallerGone(struct gt_gate *gate, struct hs_request *http);
void Rq_Refuse(struct rq_request *request, enum an_kind kind,
               int retry_after_sec, const char *fmt, ...)
    __attribute__((format(printf, 4, 5)));
void Rq_Finish(struct rq_request *request, enum an_outcome outcome);
enum st_status Rq_Choose(struct rq_request *request, struct ch_table *table,
                         struct ch_request *criteria,
                         struct ch_flight *flight);
void Rq_Constrain(const struct rq_request *request,
                  struct ch_request *criteria);
const char *Rq_WhyUnavailable(const struct rq_request *request,
                              const struct ch_table *table);
enum st_status Rq_ChooseAny(struct rq_request *request, struct ch_table *table,
                            struct ch_request *criteria,
                            struct ch_flight *flight);
void Rq_RecordDispatch(struct rq_request *request, const char *endpoint);
int Rq_SentCount(const struct rq_attempts *attempts);
bool Rq_HasFailed(const struct rq_attempts *attempts);
void Rq_RecordFailure(struct rq_attempts *attempts,
                      const struct ch_flight *flight, enum rt_stage stage);
bool Rq_MayRetry(struct rq_request *request, enum rt_stage stage,
                 const struct rq_attempts *attempts);
void Rq_RecordSuccess(struct rq_request *request);
void Rq_RecordOutcome(struct rq_request *request,
                      const struct ch_flight *flight, enum ch_outcome outcome,
                      int64_t first_token_usec, const struct pa_pace *pace);
bool Rq_IsIdle(const struct gt_gate *gate);

/* The relays; each ends the request with Rq_Refuse() or Rq_Finish(). */
void Rl_EngineStart(struct rq_request *request);
void Rl_EngineCallerGone(struct rq_request *request);
void Rl_EngineDeadline(struct rq_request *request);
/* Refuses a request that is in quarantine unless it has tokens. */
void Rl_EngineQuarantined(struct rq_request *request, uint32_t part);
void Rl_EngineDrained(struct rq_request *request);
void Rl_EngineFree(struct rl_engine *relay);
void Rl_EndpointLeaving(void *arg, const char *service, const char *endpoint,
                        int64_t left_usec);
void Rl_PlainStart(struct rq_request *request);
void Rl_PlainCallerGone(struct rq_request *request);
void Rl_PlainDeadline(struct rq_request *request);
void Rl_PlainFree(struct rl_plain *relay);

#ifdef __cplusplus
}
#endif

#endif
