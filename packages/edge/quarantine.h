/*
 * Parts of prompts that end endpoints (see policy/poison.h): what this
 * daemon's requests show of them, what daemons tell each other, and the
 * record in the store that outlasts them all.
 */
#ifndef EDGE_QUARANTINE_H
#define EDGE_QUARANTINE_H

#include "edge/exchange.h"
#include "policy/poison.h"

#ifdef __cplusplus
extern "C" {
#endif

struct qn_quarantine;

/* Returns NULL without memory. */
struct qn_quarantine *Qn_Create(struct ga_gate *gate);
void Qn_Destroy(struct qn_quarantine *quarantine);
/* Every Ga_TICK_USEC. */
void Qn_Tick(struct qn_quarantine *quarantine);

/* The attempt under way had its first event, or the whole answer. */
void Qn_Began(struct qn_quarantine *quarantine,
              const struct xc_exchange *exchange);
/* Its connection broke before that. */
void Qn_Broke(struct qn_quarantine *quarantine,
              const struct xc_exchange *exchange);
/* Bytes came from an endpoint. */
void Qn_Heard(struct qn_quarantine *quarantine, struct fl_endpoint *endpoint);
/* A connection to it that was begun at "since" came, or was refused. */
void Qn_Tested(struct qn_quarantine *quarantine, struct fl_endpoint *endpoint,
               bool came, int64_t since);

/* Whether a request is not to be sent. */
#define Qn_WHY_MAX 64
bool Qn_Refuses(struct qn_quarantine *quarantine,
                const struct pz_request *request, char why[Qn_WHY_MAX]);
/* Whether it is to be sent to no further endpoint. */
bool Qn_Doubts(struct qn_quarantine *quarantine,
               const struct pz_request *request);
/* A caller who comes back sooner is refused again. */
#define Qn_RETRY_USEC Pz_STOP_LASTS_USEC

struct pz_request Qn_Asked(const struct ec_service *service,
                           const struct ec_tenant *tenant,
                           const struct ak_ask *ask);

/* What other daemons are told, and what they say. */
void Qn_Fill(const struct qn_quarantine *quarantine, struct ms_word *word);
void Qn_Take(struct qn_quarantine *quarantine, const struct ms_word *word);

#ifdef __cplusplus
}
#endif

#endif
