/*
 * Quarantine of prompt parts that crash engines (see policy/poison.h).  The
 * parts of a prompt are each of its messages, or its beginning, and the whole
 * prompt.  A request that contains a quarantined part is refused.
 */
#ifndef GATE_QUARANTINE_H
#define GATE_QUARANTINE_H

#include "gate/request.h"
#include "policy/poison.h"

#ifdef __cplusplus
extern "C" {
#endif

struct gq_quarantine;

/* A caller that retries sooner is refused again. */
#define Gq_RETRY_SEC ((int)(Pz_QUARANTINE_TTL_USEC / Ck_USEC_PER_SEC))

/* Rows that a daemon publishes; each list must fit one gossip value. */
#define Gq_CRASHES_MAX 5
#define Gq_CLEARS_MAX 8
#define Gq_QUARANTINES_MAX 7

/* The rows that one daemon publishes. */
struct gq_rows {
    size_t crash_count;
    struct pz_crash crashes[Gq_CRASHES_MAX]; /* newest first */
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
/* A connection to an engine that broke before the first token. */
struct gq_break {
    const char *endpoint;
    bool head_received; /* the response headers had arrived */
    int64_t sent_at;    /* on the monotonic clock */
};

void Gq_RecordBreak(struct gq_quarantine *quarantine,
                    const struct rq_request *request,
                    const struct gq_break *broke);
/* Records that an engine has answered, or cannot be connected to. */
void Gq_RecordAlive(struct gq_quarantine *quarantine, const char *endpoint);
void Gq_RecordDead(struct gq_quarantine *quarantine, const char *endpoint);
/* Whether a request contains a quarantined part, which is stored in "part". */
bool Gq_IsQuarantined(struct gq_quarantine *quarantine,
                      const struct rq_request *request, uint32_t *part);
/* Whether the request must not be sent to another engine. */
bool Gq_DeniesRetry(const struct gq_quarantine *quarantine,
                    const struct rq_request *request);
/* Merges the rows that another daemon has published. */
void Gq_Import(struct gq_quarantine *quarantine, const struct gq_rows *rows);

#ifdef __cplusplus
}
#endif

#endif
