/*
 * A request from its admission to the end of its answer: which endpoints it
 * was sent to, what they answered, what the caller was told.
 */
#ifndef EDGE_EXCHANGE_H
#define EDGE_EXCHANGE_H

#include "edge/events.h"
#include "edge/gate_internal.h"
#include "edge/place.h"

#define Xc_TRIED_MAX 8

/* What an endpoint was sent and has answered so far. */
struct xc_attempt {
    struct fl_endpoint *endpoint; /* NULL: none under way */
    struct cn_channel *channel;
    int64_t sent_at;
    int64_t head_at;  /* 0: none has come */
    int64_t event_at; /* its first event; 0: none has come */
    int64_t reading;  /* prompt tokens counted at the endpoint */
    bool alone;       /* nothing else was being read there */
    bool streaming;
    int status;
    struct ak_answer answer;
    char *fields; /* to be passed on with the answer */
    struct bf_buffer body;
    bool overflow;
    bool gap;  /* events are missing */
    bool slow; /* its first byte took several times as long as usual */
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
    struct ak_ask ask;
    struct lp_timer *timer;
    int64_t arrived;
    int64_t first_at; /* first byte of an answer that counts; 0: none */
    int64_t deadline;
    double cost; /* of the tenant's quota */
    bool charged;
    bool counted; /* in the usage */
    bool repeatable;
    bool began; /* the caller has the head of an answer */
    bool may_have_run;
    bool silent_told;
    bool doubted; /* the link to the endpoint, by this attempt */
    int waits;    /* in a row, for an endpoint that can go on with a stream */
    int sends;
    int delivered; /* of these, such that a byte of them may have arrived */
    int runs;      /* endpoints that did or may have run it */
    uint32_t tried[Xc_TRIED_MAX];
    size_t tried_count;
    int64_t last_event; /* passed on; -1: none */
    char version[Ak_VERSION_MAX];
    struct xc_attempt attempt;
};

struct xc_admitted {
    struct ec_config *config; /* a reference, handed over */
    const struct ec_route *route;
    const struct ec_tenant *tenant;
    const struct ec_service *service;
    const struct ak_ask *ask;
    double cost;
};

void Xc_Start(struct ga_gate *gate, struct sv_request *request,
              const struct xc_admitted *admitted);

/* Where a request goes, and what it is expected to have read there. */
struct xc_target {
    struct fl_endpoint *endpoint;
    int64_t reading; /* prompt tokens */
};

enum pl_verdict Xc_Choose(struct xc_exchange *exchange, struct xc_target *out);
/* Sends the request to an endpoint, or answers that it cannot. */
void Xc_Dispatch(struct xc_exchange *exchange);
/* Ends with an answer of our own. */
void Xc_Refuse(struct xc_exchange *exchange, int status, int64_t retry_usec,
               const char *why);
/* Ends without another word: the answer was given, or cannot be finished. */
void Xc_End(struct xc_exchange *exchange, const char *outcome);
/* Whether one more endpoint may be asked, the budget included. */
bool Xc_MayRepeat(struct xc_exchange *exchange, bool ran);
/* 503 where nothing can have run, else 502. */
int Xc_RefusalStatus(const struct xc_exchange *exchange);
/* Lets go of the attempt; its connection is kept when it can be. */
void Xc_Release(struct xc_exchange *exchange);

void Xc_CountRun(struct xc_exchange *exchange);

/* The endpoint's side of an attempt. */
extern const struct cn_ops xc_channel_ops;

/* Connections to endpoints. */
struct cn_channel *Po_Take(struct ga_gate *gate, struct fl_endpoint *endpoint,
                           bool repeatable);
void Po_Give(struct ga_gate *gate, struct fl_endpoint *endpoint,
             struct cn_channel *channel);
void Po_Drop(struct fl_endpoint *endpoint, struct fl_idle *idle);
bool Po_Full(const struct ga_gate *gate, const struct fl_endpoint *endpoint,
             const struct ec_service *service);
void Po_Sweep(struct ga_gate *gate);

#endif
