/*
 * Endpoints that report a rate limit in their answers: the requests a second
 * that they take from all hosts together.
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

#ifdef __cplusplus
}
#endif

#endif
