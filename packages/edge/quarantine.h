/*
 * Quarantine of prompt parts that crash endpoints (see policy/poison.h).
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
                   const struct xc_exchange *exchange);
/* The attempt's connection broke before the first event. */
void Qn_NoteBroken(struct qn_quarantine *quarantine,
                   const struct xc_exchange *exchange);
/* This host received bytes from the endpoint. */
void Qn_NoteAlive(struct qn_quarantine *quarantine,
                  struct fl_endpoint *endpoint);
/* A connect that was started at "since" succeeded or was refused. */
void Qn_NoteConnect(struct qn_quarantine *quarantine,
                    struct fl_endpoint *endpoint, bool connected,
                    int64_t since);

/*
 * Whether the request contains a quarantined part and must not be sent;
 * "why" then holds the text for the caller.
 */
#define Qn_WHY_MAX 64
bool Qn_IsQuarantined(struct qn_quarantine *quarantine,
                      const struct pz_request *request, char why[Qn_WHY_MAX]);
/* Whether the request must not be retried at another endpoint. */
bool Qn_ForbidsRetry(struct qn_quarantine *quarantine,
                     const struct pz_request *request);
/* Retry-after for refused callers: an earlier retry would be refused too. */
#define Qn_RETRY_USEC Pz_QUARANTINE_TTL_USEC

struct pz_request Qn_MakeRequest(const struct ec_service *service,
                                 const struct ec_tenant *tenant,
                                 const struct hd_request_info *info);

/* Write to, and read from, the gossip messages between hosts. */
void Qn_FillMessage(const struct qn_quarantine *quarantine,
                    struct ms_message *message);
void Qn_ApplyMessage(struct qn_quarantine *quarantine,
                     const struct ms_message *message);

#ifdef __cplusplus
}
#endif

#endif
