/*
 * Decides whether an answer that ended with its connection is whole: an
 * endpoint that is killed, or a peer between, ends it in the same way.  The
 * answer counts as whole once its sender has been seen to outlive the end, by
 * the way that the answer came.
 */
#ifndef EDGE_ENDING_H
#define EDGE_ENDING_H

#include "edge/exchange.h"

#ifdef __cplusplus
extern "C" {
#endif

struct eg_ending;

/*
 * Starts to judge the end of the exchange's answer.  Xc_EndAttempt() is called
 * with the result, once and never from within; false without memory.
 */
bool Eg_Begin(struct xc_exchange *exchange);
/* The attempt is released; NULL is allowed. */
void Eg_Cancel(struct eg_ending *ending);

#ifdef __cplusplus
}
#endif

#endif
