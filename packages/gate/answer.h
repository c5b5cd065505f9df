/*
 * Refusals to callers.  Each kind has one HTTP status, one type in the JSON
 * body and one outcome, so that "not run" is reported only where it is true.
 */
#ifndef GATE_ANSWER_H
#define GATE_ANSWER_H

#include "web/server.h"

#ifdef __cplusplus
extern "C" {
#endif

enum an_kind {
    AN_INVALID,
    AN_UNAUTHENTICATED,
    AN_NOT_FOUND,
    AN_KEY_REUSED,
    AN_IN_PROGRESS,
    AN_OVERLOADED,
    AN_DEADLINE,
    AN_UNAVAILABLE,
    AN_DRAINING,
    AN_UNKNOWN,
};

#define An_MESSAGE_MAX 512

/* Whether an endpoint has run the request. */
enum an_outcome {
    AN_RAN,
    AN_NOT_RUN,
    AN_OUTCOME_UNKNOWN,
};

const char *An_OutcomeName(enum an_outcome outcome);
const char *An_TypeName(enum an_kind kind);
enum an_outcome An_Outcome(enum an_kind kind);
void An_Refuse(struct hs_request *http, const char *request_id,
               enum an_kind kind, int retry_after_sec, const char *fmt, ...)
    __attribute__((format(printf, 5, 6)));
char *An_ErrorBody(enum an_kind kind, const char *message);

#ifdef __cplusplus
}
#endif

#endif
