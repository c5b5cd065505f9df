/* Shared by the files of the engine relay only. */
#ifndef GATE_RELAY_ENGINE_H
#define GATE_RELAY_ENGINE_H

#include "gate/reach.h"
#include "gate/request.h"
#include "platform/kvmove.h"
#include "platform/sse.h"
#include "policy/stream.h"
#include "web/client.h"

#define Rl_ATTEMPT_MAX (Rq_ID_MAX + 16)
#define Rl_BYTES_PER_TOKEN 4
#define Rl_EXPECTED_TOKENS 256

struct rl_engine {
    struct rq_request *request;
    struct hc_call *call;
    struct ss_parser *parser;
    struct ch_flight flight;
    struct ch_table *table;
    char attempt[Rl_ATTEMPT_MAX];
    struct rq_attempts attempts;
    struct rh_tries tries;
    char kv[En_KV_MAX]; /* handle that this attempt goes on from; or empty */
    int code;
    bool paused;
    bool streaming;      /* the caller's stream has begun */
    bool done;           /* the engine said the answer is whole */
    bool invalid;        /* this attempt sent what cannot be used */
    int tokens;          /* given to the caller, or kept for it */
    int tokens_at_start; /* tokens known when this attempt began */
    int expected; /* tokens of the whole answer, by the engine's count */
    char *text;
    size_t text_len;
    size_t text_size;
    struct en_usage usage;
    int recomputed;
    int64_t last_token_at;
    int64_t first_token_usec; /* time to this attempt's first token */
    int64_t first_token_at;   /* this attempt's first token */
    int64_t leaves_at;        /* when its engine will be gone; 0: it stays */
    enum sm_plan plan;        /* what the timer will do about it */
    struct lp_timer *plan_timer;
    struct lp_timer *stall_timer;
    struct lp_timer *retry_timer; /* for a stream that found no engine */
    int connect_failures;         /* attempts in a row that reached nobody */
    int capacity_waits;           /* in a row for a place at an engine */
    struct kv_move *move;         /* on its way to the target */
    struct ch_flight target;      /* reserved while the cache moves */
    struct mt_metric *first_token_time;
    struct mt_metric *token_time;
};

void Re_EndFlight(struct rl_engine *relay, enum ch_outcome outcome);
void Re_DropCall(struct rl_engine *relay);
void Re_FillAsk(const struct rl_engine *relay, struct ch_request *ask);
void Re_Launch(struct rl_engine *relay, const char *kv);
void Re_NextAttempt(struct rl_engine *relay);

/* What becomes of a stream whose engine is leaving. */
void Re_DropMove(struct rl_engine *relay);
void Re_PlanDue(void *arg);

#endif
