/*
 * Quarantine of prompt parts, and of whole requests, that crash endpoints (see
 * policy/poison.h).
 * Feeds the table with the outcomes of this host's requests and with gossip
 * from peers, and keeps a record in the store, from which hosts that all
 * restart at once learn of the quarantined parts.
 */
#ifndef EDGE_QUARANTINE_H
#define EDGE_QUARANTINE_H

#include "edge/exchange.h"
#include "policy/poison.h"

#ifdef __cplusplus
extern "C" {
#endif

struct qn_quarantine;

/* Returns NULL when out of memory. */
struct qn_quarantine *Qn_Create(struct ga_gate *gate);
void Qn_Destroy(struct qn_quarantine *quarantine);
/* To be called every Ga_TICK_USEC. */
void Qn_Tick(struct qn_quarantine *quarantine);

/* The current attempt received its first event or its whole answer. */
void Qn_NoteAnswer(struct qn_quarantine *quarantine,
                   struct xc_exchange *exchange);
/* The current attempt received its whole answer. */
void Qn_NoteWholeAnswer(struct qn_quarantine *quarantine,
                        struct xc_exchange *exchange);
/* The attempt's connection broke before the end of the answer. */
void Qn_NoteBroken(struct qn_quarantine *quarantine,
                   struct xc_exchange *exchange);

/* A start of an endpoint that may have crashed has ended, or lives. */
void Qn_NoteEnded(struct qn_quarantine *quarantine, uint32_t start);
void Qn_NoteDenied(struct qn_quarantine *quarantine, uint32_t start);

/* Why a request must not be sent. */
#define Qn_WHY_MAX 64
struct qn_verdict {
    char why[Qn_WHY_MAX]; /* text for the caller */
    int64_t retry_usec;   /* an earlier retry would be refused too */
};
/* Whether the request, or a part of its prompt, is quarantined. */
bool Qn_IsQuarantined(struct qn_quarantine *quarantine,
                      const struct pz_request *request,
                      struct qn_verdict *out);
/* The same, but does not count the refusal or prolong the quarantine. */
bool Qn_WouldRefuse(const struct qn_quarantine *quarantine,
                    const struct pz_request *request, struct qn_verdict *out);
/* Whether the request must not be retried at another endpoint. */
bool Qn_ForbidsRetry(struct qn_quarantine *quarantine,
                     struct xc_exchange *exchange);

/* The content is left out while nothing is known to crash endpoints, and if
   "request" is NULL. */
struct pz_request Qn_MakeRequest(const struct qn_quarantine *quarantine,
                                 const struct xc_admitted *admitted,
                                 const struct sv_request *request);
struct pz_request Qn_RequestOf(struct qn_quarantine *quarantine,
                               struct xc_exchange *exchange);

/* Write to, and read from, the gossip messages between hosts. */
void Qn_FillMessage(const struct qn_quarantine *quarantine,
                    struct ms_message *message);
void Qn_ApplyMessage(struct qn_quarantine *quarantine,
                     const struct ms_message *message);

#ifdef __cplusplus
}
#endif

#endif
