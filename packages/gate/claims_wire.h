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

/* A decoded request. */
struct cw_request {
    enum cw_kind kind;
    struct cl_claim claim;     /* CW_CLAIM */
    struct cl_key key;         /* CW_RESULT, CW_RELEASE */
    struct cl_attempt attempt; /* CW_RESULT, CW_RELEASE */
    struct cl_answer answer;   /* CW_RESULT */
    void *decoded_body; /* body of the answer; freed by Cw_FreeRequest() */
};

/* A decoded reply to a claim. */
struct cw_reply {
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
enum st_status Cw_ReadRequest(const char *payload, size_t len,
                              struct cw_request *out);
void Cw_FreeRequest(struct cw_request *request);
char *Cw_ClaimReply(const struct kp_answer *answer, const struct cl_key *key,
                    const struct cl_attempt *attempt);
enum st_status Cw_ReadReply(const char *payload, size_t len,
                            struct cw_reply *out);
void Cw_FreeReply(struct cw_reply *reply);

#endif
