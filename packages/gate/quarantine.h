/*
 * Parts of prompts that end engines (see policy/poison.h).  The parts of a
 * prompt are its messages, or its head, and the whole of it.
 */
#ifndef GATE_QUARANTINE_H
#define GATE_QUARANTINE_H

#include "gate/request.h"
#include "policy/poison.h"

#ifdef __cplusplus
extern "C" {
#endif

struct gq_quarantine;

/* A caller who comes back sooner is refused again. */
#define Gq_RETRY_SEC ((int)(Pz_STOP_LASTS_USEC / Ck_USEC_PER_SEC))

/* What this daemon tells the others, as far as it fits a fact. */
#define Gq_CRASHES_MAX 5
#define Gq_CLEARS_MAX 8
#define Gq_STOPS_MAX 7

struct gq_word {
    size_t crash_count;
    struct pz_crash crashes[Gq_CRASHES_MAX];
    size_t clear_count;
    struct pz_clear clears[Gq_CLEARS_MAX];
    size_t stop_count;
    struct pz_stop stops[Gq_STOPS_MAX];
};

typedef void (*gq_publish_fn)(void *arg, const struct gq_word *word);

enum st_status Gq_Create(struct gt_gate *gate, gq_publish_fn tell, void *arg,
                         struct gq_quarantine **out);
void Gq_Destroy(struct gq_quarantine *quarantine);
void Gq_Tick(struct gq_quarantine *quarantine);

/* The first token of a request came. */
void Gq_RecordFirstToken(struct gq_quarantine *quarantine,
                         const struct rq_request *request);
/* Its connection to an engine broke before that; times of the steady clock. */
struct gq_break {
    const char *endpoint;
    bool head_received; /* the answer had begun */
    int64_t sent_at;
};

void Gq_RecordBreak(struct gq_quarantine *quarantine,
                    const struct rq_request *request,
                    const struct gq_break *broke);
/* An engine answers, or refuses connections. */
void Gq_RecordAlive(struct gq_quarantine *quarantine, const char *endpoint);
void Gq_RecordDead(struct gq_quarantine *quarantine, const char *endpoint);
/* Whether a request is not to be sent; "part" is why. */
bool Gq_IsQuarantined(struct gq_quarantine *quarantine,
                      const struct rq_request *request, uint32_t *part);
/* Whether it is to be sent to no further engine. */
bool Gq_DeniesRetry(const struct gq_quarantine *quarantine,
                    const struct rq_request *request);
/* Another daemon's word. */
void Gq_Hear(struct gq_quarantine *quarantine, const struct gq_word *word);

#ifdef __cplusplus
}
#endif

#endif
