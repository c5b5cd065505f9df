#include "gate/claims_wire.h"

#include <stdlib.h>
#include <string.h>

static const char *const request_names[] = {
    [CW_CLAIM] = "claim",
    [CW_RESULT] = "result",
    [CW_RELEASE] = "release",
};

static const char *const verdict_names[] = {
    [KP_WON] = "won",         [KP_DONE] = "done",
    [KP_REUSED] = "reused",   [KP_IN_PROGRESS] = "in_progress",
    [KP_UNKNOWN] = "unknown", [KP_NOT_RUN] = "not_run",
};

#define Cw_VERDICTS (sizeof(verdict_names) / sizeof(verdict_names[0]))
#define Cw_KINDS (sizeof(request_names) / sizeof(request_names[0]))

static char *
dump_request(enum cw_kind kind, json_t *body)
{
    json_t *root =
        json_pack("{s:s,s:o}", "ask", request_names[kind], "body", body);
    char *text = root != NULL ? json_dumps(root, JSON_COMPACT) : NULL;
    json_decref(root);
    return text;
}

/* Encodes a claim as text, which the caller frees; NULL if out of memory. */
char *
Cw_ClaimRequest(const struct cl_claim *claim)
{
    return dump_request(CW_CLAIM, Cl_ClaimBody(claim));
}

/* Encodes a request to record a result. */
char *
Cw_ResultRequest(const struct cl_key *key, const struct cl_attempt *attempt,
                 const struct cl_answer *answer)
{
    return dump_request(CW_RESULT, Cl_ResultBody(key, attempt, answer));
}

/* Encodes a request to release a claim. */
char *
Cw_ReleaseRequest(const struct cl_key *key, const struct cl_attempt *attempt)
{
    return dump_request(CW_RELEASE, Cl_ReleaseBody(key, attempt));
}

static int
index_of(const char *const *names, size_t count, const char *name)
{
    for (size_t i = 0; name != NULL && i < count; i++) {
        if (strcmp(names[i], name) == 0) {
            return (int)i;
        }
    }
    return -1;
}

/* Decodes a request; Cw_FreeRequest() frees it. */
enum st_status
Cw_ReadRequest(const char *payload, size_t len, struct cw_request *out)
{
    memset(out, 0, sizeof(*out));
    json_t *root = json_loadb(payload, len, 0, NULL);
    const json_t *body = json_object_get(root, "body");
    int kind = index_of(request_names, Cw_KINDS,
                        json_string_value(json_object_get(root, "ask")));
    enum st_status status = ST_OK;
    if (kind < 0 || !json_is_object(body)) {
        status = St_Fail(ST_INVALID, "a daemon asked about a claim in a form "
                                     "unknown here; run one version");
    }
    else if (kind == CW_CLAIM) {
        Cl_ReadClaim(body, &out->claim);
    }
    else {
        Cl_ReadKey(body, &out->key);
        Cl_ReadAttempt(body, &out->attempt);
    }
    if (status == ST_OK && kind == CW_RESULT &&
        !Cl_ReadAnswer(body, &out->answer, &out->decoded_body)) {
        status = St_Fail(ST_INVALID, "a daemon sent a result without answer");
    }
    out->kind = kind < 0 ? CW_CLAIM : (enum cw_kind)kind;
    json_decref(root);
    return status;
}

void
Cw_FreeRequest(struct cw_request *request)
{
    free(request->decoded_body);
    request->decoded_body = NULL;
}

/* Encodes the reply to a claim; the caller frees the text. */
char *
Cw_ClaimReply(const struct kp_answer *answer, const struct cl_key *key,
              const struct cl_attempt *attempt)
{
    json_t *root =
        json_pack("{s:s,s:s}", "verdict", verdict_names[answer->verdict],
                  "reason", answer->reason != NULL ? answer->reason : "");
    if (answer->verdict == KP_DONE) {
        json_object_set_new(root, "kept",
                            Cl_ResultBody(key, attempt, answer->answer));
    }
    char *text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    return text;
}

static enum st_status
read_reply(struct cw_reply *out)
{
    int verdict =
        index_of(verdict_names, Cw_VERDICTS,
                 json_string_value(json_object_get(out->root, "verdict")));
    if (verdict < 0) {
        return St_Fail(ST_INVALID, "a daemon answered a claim in a form "
                                   "unknown here; run one version");
    }
    out->answer.verdict = (enum kp_verdict)verdict;
    out->answer.reason =
        json_string_value(json_object_get(out->root, "reason"));
    if (verdict != KP_DONE) {
        return ST_OK;
    }
    if (!Cl_ReadAnswer(json_object_get(out->root, "kept"), &out->stored,
                       &out->decoded_body)) {
        return St_Fail(ST_INVALID, "a daemon sent no kept answer");
    }
    out->answer.answer = &out->stored;
    return ST_OK;
}

/* Decodes the reply to a claim; on success Cw_FreeReply() frees it. */
enum st_status
Cw_ReadReply(const char *payload, size_t len, struct cw_reply *out)
{
    memset(out, 0, sizeof(*out));
    out->root = json_loadb(payload, len, 0, NULL);
    enum st_status status = read_reply(out);
    if (status != ST_OK) {
        Cw_FreeReply(out);
    }
    return status;
}

void
Cw_FreeReply(struct cw_reply *reply)
{
    free(reply->decoded_body);
    json_decref(reply->root);
    reply->decoded_body = NULL;
    reply->root = NULL;
}
