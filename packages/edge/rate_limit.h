/*
 * Endpoints that report a rate limit in their answers: the requests a second
 * that they take from all hosts together; see policy/rate_share.h.
 */
#ifndef EDGE_RATE_LIMIT_H
#define EDGE_RATE_LIMIT_H

#include "edge/gate_internal.h"
#include "edge/header_codec.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Takes the rate limit that the endpoint's answer reports, or its end. */
void Rl_NoteAnswer(struct ga_gate *gate, struct fl_endpoint *endpoint,
                   const struct hd_answer *answer);
/*
 * Write to, and read from, the gossip messages between hosts; "summary": also
 * what other hosts of this data centre told.
 */
void Rl_FillMessage(const struct ga_gate *gate, struct ms_message *message,
                    bool summary);
void Rl_ApplyMessage(struct ga_gate *gate, const struct ms_message *message);
/* Whether the endpoint's limit leaves no request to this host now. */
bool Rl_IsClosed(struct ga_gate *gate, struct fl_endpoint *endpoint);
/* Whether room that the endpoint's limit leaves to this host stays unused. */
bool Rl_IsUnused(const struct ga_gate *gate, struct fl_endpoint *endpoint);
void Rl_NoteSent(const struct ga_gate *gate, struct fl_endpoint *endpoint);
/*
 * Retry-after of a request that no endpoint of the service could take: at
 * least "usec", and longer by as much as callers ask more of endpoints that
 * all have a limit than these take.
 */
int64_t Rl_RetryUsec(const struct ga_gate *gate, const char *service,
                     int64_t usec);

#ifdef __cplusplus
}
#endif

#endif
