/*
 * Quarantine of prompt parts that crash engines, and of requests that crash
 * endpoints of any service (see policy/poison.h).  The parts of a prompt are
 * each of its messages, or its beginning, and the whole prompt.  A request
 * that is in quarantine, or contains a part that is, is refused.
 */
#ifndef GATE_QUARANTINE_H
#define GATE_QUARANTINE_H

#include "gate/request.h"
#include "policy/poison.h"

#ifdef __cplusplus
extern "C" {
#endif

struct gq_quarantine;

/* Rows that a daemon publishes; each list must fit one gossip value. */
#define Gq_CRASHES_MAX 5
#define Gq_CLEARS_MAX 8
#define Gq_QUARANTINES_MAX 7

/* The rows that one daemon publishes. */
struct gq_rows {
    size_t crash_count;
    struct pz_crash crashes[Gq_CRASHES_MAX]; /* of parts, newest first */
    size_t content_crash_count;
    struct pz_crash content_crashes[Gq_CRASHES_MAX]; /* of whole requests */
    size_t clear_count;
    /* Parts of requests that got a token. */
    struct pz_clear clears[Gq_CLEARS_MAX];
    size_t quarantine_count;
    struct pz_quarantine quarantines[Gq_QUARANTINES_MAX];
};

typedef void (*gq_publish_fn)(void *arg, const struct gq_rows *rows);

enum st_status Gq_Create(struct gt_gate *gate, gq_publish_fn publish,
                         void *arg, struct gq_quarantine **out);
void Gq_Destroy(struct gq_quarantine *quarantine);
void Gq_Tick(struct gq_quarantine *quarantine);

/* Records that the first token of a request has arrived. */
void Gq_RecordFirstToken(struct gq_quarantine *quarantine,
                         const struct rq_request *request);
/* Records that the whole answer to a request has arrived. */
void Gq_RecordAnswer(struct gq_quarantine *quarantine,
                     const struct rq_request *request);
/* A connection to an endpoint that broke before the end of the answer. */
struct gq_break {
    const char *endpoint;
    bool head_received; /* the response headers had arrived */
    bool begun;         /* the first token had arrived */
    bool relayed;       /* through a peer, which may have failed instead */
    int64_t sent_at;    /* on the monotonic clock */
};

void Gq_RecordBreak(struct gq_quarantine *quarantine,
                    const struct rq_request *request,
                    const struct gq_break *broke);
/* Records that an endpoint has answered, or cannot be connected to. */
void Gq_RecordAlive(struct gq_quarantine *quarantine, const char *endpoint);
void Gq_RecordDead(struct gq_quarantine *quarantine, const char *endpoint);
/* Why a request must not be sent. */
struct gq_verdict {
    uint32_t part; /* or the request's content */
    int retry_sec; /* a caller that retries sooner is refused again */
};
/* Whether a request, or a part of its prompt, is in quarantine. */
bool Gq_IsQuarantined(struct gq_quarantine *quarantine,
                      const struct rq_request *request,
                      struct gq_verdict *out);
/* Whether the request must not be sent to another engine. */
bool Gq_DeniesRetry(const struct gq_quarantine *quarantine,
                    const struct rq_request *request);
/* Merges the rows that another daemon has published. */
void Gq_Import(struct gq_quarantine *quarantine, const struct gq_rows *rows);

#ifdef __cplusplus
}
#endif

#endif
