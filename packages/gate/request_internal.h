/* Private to request.c and request_*.c. */
#ifndef GATE_REQUEST_INTERNAL_H
#define GATE_REQUEST_INTERNAL_H

#include "gate/request.h"

#define Rq_RETRY_SOON_SEC 1

/* In request.c. */
void Rq_DeadlinePassed(void *arg);
/* In request_dispatch.c. */
void Rq_ReleaseClaim(struct rq_request *request);
/* In request_choose.c. */
void Rq_ClearTried(struct rq_request *request);
bool Rq_MayRunAt(const void *arg, const struct ch_info *info);

#endif
