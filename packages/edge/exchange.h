/*
 * A request from its admission to the end of its answer: the endpoints it was
 * sent to, their answers, and the answer to the caller.
 */
#ifndef EDGE_EXCHANGE_H
#define EDGE_EXCHANGE_H

#include "edge/event_stream.h"
#include "edge/gate_internal.h"
#include "edge/place.h"
#include "policy/speed.h"
#include "policy/work.h"

#define Xc_TRIED_MAX 8

struct eg_ending;
struct tr_move;

/* The current attempt at one endpoint, and its answer so far. */
struct xc_attempt {
    struct fl_endpoint *endpoint; /* NULL: no attempt in progress */
    struct cn_channel *channel;
    int64_t sent_at;
    int64_t slow_after;     /* an answer is slow after this; 0: not known */
    int64_t head_at;        /* answer's head received; 0: not yet */
    int64_t first_event_at; /* first event received; 0: not yet */
    int64_t last_event_at;  /* last event received */
    int events;             /* events received */
    bool pace_noted;        /* the time between events was counted */
    int64_t prefill_tokens; /* prompt tokens counted in the endpoint's queue */
    int64_t prompt_tokens;  /* the same, kept after the first byte */
    int64_t output_tokens;  /* counted in the endpoint's expected output */
    struct sd_stream pace;
    bool unloaded; /* the endpoint had no queue and few running requests */
    bool streaming;
    int status;
    struct hd_answer answer;
    char *fields; /* header fields to pass to the caller */
    struct bf_buffer body;
    bool overflow; /* the answer is too large, or its bytes are no events */
    bool events_missing; /* the stream skipped events */
    size_t unnumbered;   /* bytes of events without an id since the last one */
    bool slow;        /* the first byte took several times as long as usual */
    bool judged;      /* counted for or against the endpoint's version */
    bool moved;       /* continues a run whose KV cache was moved */
    bool stopped;     /* the endpoint was told to stop the run */
    bool to_close;    /* the answer is delimited by the connection's end */
    bool end_checked; /* that end was judged, see edge/ending.h */
    struct eg_ending *ending; /* the judgement in progress; NULL: none */
    struct es_parser parser;
};

struct xc_exchange {
    TAILQ_ENTRY(xc_exchange) link;
    struct ga_gate *gate;
    struct sv_request *request;
    struct ec_config *config;
    const struct ec_route *route;
    const struct ec_tenant *tenant; /* NULL: the route needs no key */
    const struct ec_service *service;
    struct hd_request_info info;
    struct lp_timer *timer;
    int64_t arrived_at;
    int64_t first_byte_at; /* first byte of a valid answer; 0: none yet */
    int64_t deadline;
    uint32_t content; /* hash that its repeats share; 0: not computed yet */
    double cost;      /* charged to the tenant's quota */
    struct wk_estimate output; /* expected, when the request arrived */
    bool charged;
    bool usage_counted; /* counted in the usage report */
    bool retryable;
    bool head_sent; /* the caller was sent the head of an answer */
    bool may_have_run;
    bool silence_handled; /* the attempt's silence timeout was handled */
    bool link_tested;     /* the attempt had the endpoint's link tested */
    int endpoint_waits; /* waits in a row for an endpoint to resume a stream */
    int sends;          /* attempts sent */
    int delivered;      /* attempts of which bytes may have arrived */
    int runs;           /* endpoints that ran or may have run the request */
    uint32_t tried[Xc_TRIED_MAX]; /* hashes of the endpoints sent to */
    size_t tried_count;
    int64_t last_event;      /* id of the last event passed on; -1: none */
    struct bf_buffer events; /* of the present read, for the caller */
    /* Last event that the caller has from before; -1: none. */
    int64_t resumed_after;
    char version[Hd_VERSION_MAX];
    struct tr_move *move;   /* of the run's KV cache; NULL: none */
    int moves;              /* moves begun */
    bool move_barred;       /* its run cannot be moved */
    uint32_t move_refusing; /* endpoint that had no room for it; 0: none */
    struct xc_attempt attempt;
};

struct xc_admitted {
    struct ec_config *config; /* a reference, handed over */
    const struct ec_route *route;
    const struct ec_tenant *tenant;
    const struct ec_service *service;
    const struct hd_request_info *info;
    double cost;
};

/*
 * A caller's request as admission takes it.  "tenant" is who the key belongs
 * to, NULL if it is unknown.
 */
struct ad_request {
    struct h1_text host; /* NULL: none, or several */
    struct h1_text target;
    const struct ec_tenant *tenant;
    const struct sv_request *request; /* NULL: its body is not known */
    double unit;  /* picks among the services of a route, in [0, 1) */
    bool dry_run; /* nothing is charged or counted */
};

struct ad_refusal {
    int status;
    int64_t retry_usec; /* 0: a retry would not help */
    const char *why;    /* valid until the next request */
};

/*
 * Admits a request and charges the quota, or returns false and sets
 * "refusal".  out->info is set before; what is found is set in "out" in both
 * cases.
 */
bool Ad_Decide(struct ga_gate *gate, const struct ad_request *request,
               struct xc_admitted *out, struct ad_refusal *refusal);
/* The rank of a request among those of its tenant. */
int Ad_Rank(const struct ga_gate *gate, const struct xc_admitted *found);

/* Sets up an exchange, zeroed before, for an admitted request. */
void Xc_Init(struct xc_exchange *exchange, struct ga_gate *gate,
             const struct xc_admitted *admitted);
void Xc_Start(struct ga_gate *gate, struct sv_request *request,
              const struct xc_admitted *admitted);

struct xc_target {
    struct fl_endpoint *endpoint;
    int64_t prefill_tokens; /* prompt tokens it is expected to read */
    int64_t expected_usec;  /* time to the first event; 0: not known */
    /* Latency target less the time since arrival and the expected time; 0 if
       the latter is not known. */
    int64_t slack_usec;
    /* why its version was chosen; NULL: the service is not being moved */
    const char *version_why;
    const char *kv_from; /* see struct hd_send */
};

/*
 * The data of a choice: the candidates of the last selection.  Valid until the
 * next choice.
 */
struct xc_trace {
    size_t count;
    struct fl_endpoint *const *endpoints;
    const struct pl_candidate *candidates;
    const struct pl_judgement *judgements;
    struct pl_limits limits;
};

enum pl_verdict Xc_Choose(struct xc_exchange *exchange, struct xc_target *out);
/*
 * Chooses an endpoint with a free slot that takes over the exchange's run:
 * one of the same version as the present one, in the same data centre if
 * there is one.
 */
bool Xc_ChooseTakeover(struct xc_exchange *exchange, struct xc_target *out);
/*
 * Continues the exchange's run, which has been stopped, from the copy of its
 * KV cache.  This is neither a retry nor a further run.
 */
void Xc_GoOn(struct xc_exchange *exchange, const struct xc_target *target);
/* The attempt's connection ended with "outcome". */
void Xc_EndAttempt(struct xc_exchange *exchange, enum cn_outcome outcome);
/* Xc_Choose() that also sets "trace", unless that is NULL. */
enum pl_verdict Xc_ChooseTraced(struct xc_exchange *exchange,
                                struct xc_target *out, struct xc_trace *trace);
/* Why an endpoint is closed to this host's requests; NULL: it is not. */
const char *Xc_ClosedBy(const struct xc_exchange *exchange,
                        struct fl_endpoint *endpoint);
/* Why a request without an endpoint is refused, and when to retry. */
struct ad_refusal Xc_Unplaced(const struct xc_exchange *exchange,
                              enum pl_verdict verdict);
/* Sends the request to an endpoint, or refuses it. */
void Xc_Dispatch(struct xc_exchange *exchange);
/*
 * Ends the exchange with an error answer; aborts the caller's connection if
 * the head of an answer was already sent.
 */
void Xc_Refuse(struct xc_exchange *exchange, int status, int64_t retry_usec,
               const char *why);
/* Ends the exchange without sending anything to the caller. */
void Xc_End(struct xc_exchange *exchange, const char *outcome);
/*
 * Whether the request may be sent to another endpoint, by the route, the
 * deadline and the retry budget.  "ran": the last endpoint ran or may have run
 * it.
 */
bool Xc_MayRetry(struct xc_exchange *exchange, bool ran);
/* Returns 503 if no endpoint can have run the request, else 502. */
int Xc_RefusalStatus(const struct xc_exchange *exchange);
/* How the attempt's answer ended, see Cn_EndName(). */
const char *Xc_EndName(const struct xc_attempt *attempt);
/* Whether the attempt's connection leads through a peer. */
bool Xc_IsRelayed(const struct xc_attempt *attempt);
/* Ends the current attempt; its connection is kept if it can be reused. */
void Xc_ReleaseAttempt(struct xc_exchange *exchange);

/*
 * Output tokens that the request is expected to generate yet; 0 for requests
 * that give no token counts.
 */
int64_t Xc_RemainingOutput(const struct xc_exchange *exchange);

/*
 * Output tokens of the answer so far, by the id of its last event.  Includes
 * those before the event after which the caller resumes.
 */
int64_t Xc_ProducedOutput(const struct xc_exchange *exchange);

/* Estimates the output of a request that has arrived. */
void Xc_EstimateOutput(struct xc_exchange *exchange);
/* The attempt was sent: counts its expected output at the endpoint. */
void Xc_BeginOutput(struct xc_exchange *exchange);
/* An event was passed on: corrects the output expected of the endpoint. */
void Xc_NoteOutput(struct xc_exchange *exchange);
/*
 * The attempt ends: no more output is expected of the endpoint.  Takes the
 * last samples of its speed.
 */
void Xc_EndOutput(struct xc_exchange *exchange);
/* Learns from a stream that ended whole. */
void Xc_LearnOutput(struct xc_exchange *exchange);
/*
 * The head of a genuine answer has arrived: takes a sample of the prefill rate
 * if the endpoint read the prompt and had nothing else to do.
 */
void Xc_SamplePrefill(const struct xc_exchange *exchange, int64_t now);
/* An event has arrived: takes a sample of the endpoint's speed if due. */
void Xc_SampleEvent(struct xc_exchange *exchange);

/*
 * Notes that an endpoint may have begun to run the request, and counts the
 * request in the usage report.
 */
void Xc_CountRun(struct xc_exchange *exchange);

/*
 * The attempt at "target" was sent: notes for which reason its version got it,
 * and after which time its answer will be slow.
 */
void Xc_NoteVersionSent(struct xc_exchange *exchange,
                        const struct xc_target *target);
void Xc_NoteFirstByte(struct xc_exchange *exchange, int64_t usec);
/* An event of the attempt's stream has arrived. */
void Xc_NoteEvent(struct xc_exchange *exchange);
/*
 * Whether the attempt waits for an answer that is not known yet to be slow, of
 * an endpoint whose version is compared with another.
 */
bool Xc_MayBecomeSlow(const struct xc_exchange *exchange);
/* Counts a good or failed answer for the endpoint's version. */
void Xc_JudgeAnswer(struct xc_exchange *exchange, bool failed);
/* Counts for the version whether an endpoint with room took the request. */
void Xc_JudgeRefusal(struct xc_exchange *exchange, bool refused);
/* The attempt ends; if it has no answer, that may speak against its version.
 */
void Xc_JudgeUnanswered(struct xc_exchange *exchange);

/* Callbacks of the connection to the endpoint. */
extern const struct cn_ops xc_channel_ops;

/* Connection pool of the endpoints. */
struct cn_channel *Po_Take(struct ga_gate *gate, struct fl_endpoint *endpoint,
                           bool retryable);
void Po_Return(struct ga_gate *gate, struct fl_endpoint *endpoint,
               struct cn_channel *channel);
void Po_Close(struct fl_endpoint *endpoint, struct fl_idle *idle);
bool Po_IsFull(const struct ga_gate *gate, const struct fl_endpoint *endpoint,
               const struct ec_service *service);
void Po_Sweep(struct ga_gate *gate);

#endif
