/*
 * Messages between daemons about claims, in JSON.  Their bodies have the form
 * of the log records.
 */
#ifndef GATE_CLAIMS_WIRE_H
#define GATE_CLAIMS_WIRE_H

#include <jansson.h>

#include "state/keeper.h"

enum cw_kind {
    CW_CLAIM,
    CW_RESULT,
    CW_RELEASE,
};

/* A request that was read. */
struct cw_ask {
    enum cw_kind kind;
    struct cl_claim claim;     /* CW_CLAIM */
    struct cl_key key;         /* CW_RESULT, CW_RELEASE */
    struct cl_attempt attempt; /* CW_RESULT, CW_RELEASE */
    struct cl_answer answer;   /* CW_RESULT */
    void *decoded_body;        /* body of the answer; freed by Cw_FreeAsk() */
};

/* A reply to a claim that was read. */
struct cw_answer {
    struct kp_answer answer;
    struct cl_answer stored;
    void *decoded_body;
    json_t *root; /* owns the strings of the reply */
};

char *Cw_ClaimRequest(const struct cl_claim *claim);
char *Cw_ResultRequest(const struct cl_key *key,
                       const struct cl_attempt *attempt,
                       const struct cl_answer *answer);
char *Cw_ReleaseRequest(const struct cl_key *key,
                        const struct cl_attempt *attempt);
enum st_status Cw_ReadAsk(const char *payload, size_t len, struct cw_ask *out);
void Cw_FreeAsk(struct cw_ask *ask);
char *Cw_Answer(const struct kp_answer *answer, const struct cl_key *key,
                const struct cl_attempt *attempt);
enum st_status Cw_ReadAnswer(const char *payload, size_t len,
                             struct cw_answer *out);
void Cw_FreeAnswer(struct cw_answer *answer);

#endif
