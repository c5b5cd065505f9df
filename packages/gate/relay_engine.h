/* Private to relay_engine.c and the other files of the engine relay. */
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
#define Rl_MESSAGE_MAX 160

struct rl_engine {
    struct rq_request *request;
    struct hc_call *call;
    struct ss_parser *parser;
    struct ch_flight flight;
    struct ch_table *table;
    char attempt[Rl_ATTEMPT_MAX];
    struct rq_attempts attempts;
    struct rh_tries tries;
    char kv_handle[En_KV_MAX]; /* KV cache to resume from; or empty */
    int code;                  /* HTTP status of this attempt; 0: none yet */
    bool paused;    /* not reading from the engine, as the caller is slow */
    bool streaming; /* the response headers were sent to the caller */
    bool done;      /* the answer is complete */
    bool invalid;   /* this attempt sent an unusable event */
    size_t bytes_without_token; /* since its last token */
    int tokens;                 /* received in order, of all attempts */
    int tokens_at_start;        /* value of "tokens" when this attempt began */
    int expected_tokens; /* tokens of the answer as the engine counts them */
    char *text;          /* of the tokens received */
    size_t text_len;
    size_t text_size;
    struct en_usage usage;
    int recomputed_tokens; /* sum over all attempts */
    int64_t last_token_at;
    int64_t first_token_usec; /* time to this attempt's first token */
    int64_t first_token_at;   /* time of this attempt's first token */
    int64_t leaves_at;        /* when the engine is reclaimed; 0: it stays */
    enum sm_plan plan;        /* what plan_timer carries out */
    struct lp_timer *plan_timer;
    struct lp_timer *stall_timer;
    struct lp_timer *retry_timer; /* runs while waiting for an engine */
    int connect_failures;         /* attempts in a row without a connection */
    int capacity_waits;           /* waits in a row for free capacity */
    struct kv_move *move;         /* cache transfer to the target, or NULL */
    struct ch_flight target;      /* flight reserved during the transfer */
    struct mt_metric *first_token_metric;
    struct mt_metric *token_metric;
};

/* The end of a relay; in relay_engine.c. */
void Re_Finish(struct rl_engine *relay);
void Re_GiveUp(struct rl_engine *relay, enum an_kind kind,
               const char *message);

/* Its attempts; in relay_attempt.c. */
void Re_EndFlight(struct rl_engine *relay, enum ch_outcome outcome);
bool Re_MayHaveRun(const struct rl_engine *relay);
enum an_kind Re_RefusalKind(const struct rl_engine *relay);
void Re_NextAttempt(struct rl_engine *relay);
void Re_AttemptFailed(struct rl_engine *relay, enum hc_stage reached);
void Re_FillCriteria(const struct rl_engine *relay,
                     struct ch_request *criteria);
void Re_Attempt(struct rl_engine *relay);

/* The call of an attempt; in relay_call.c. */
void Re_DropCall(struct rl_engine *relay);
void Re_Launch(struct rl_engine *relay, const char *kv);

/* What the engine sends; in relay_token.c. */
void Re_TakeEvent(void *arg, const char *data, size_t len);

/* What the caller is sent; in relay_answer.c. */
void Re_BeginStream(struct rl_engine *relay);
void Re_SendEvent(struct rl_engine *relay, const char *data);
void Re_AnswerCaller(struct rl_engine *relay);

/* Streams whose engine is leaving; in relay_migrate.c. */
void Re_DropMove(struct rl_engine *relay);
void Re_PlanDue(void *arg);

#endif
