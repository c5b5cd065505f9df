#include "gate/answer.h"

#include <jansson.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct kind_row {
    enum an_kind kind;
    int code;
    const char *type;
    enum an_outcome outcome;
};

static const struct kind_row kinds[] = {
    {AN_INVALID, 400, "invalid_request", AN_NOT_RUN},
    {AN_UNAUTHENTICATED, 401, "unauthenticated", AN_NOT_RUN},
    {AN_NOT_FOUND, 404, "not_found", AN_NOT_RUN},
    {AN_KEY_REUSED, 422, "key_reused", AN_NOT_RUN},
    /* The first request with the key may be running. */
    {AN_IN_PROGRESS, 409, "in_progress", AN_OUTCOME_UNKNOWN},
    {AN_OVERLOADED, 429, "overloaded", AN_NOT_RUN},
    {AN_DEADLINE, 503, "deadline", AN_NOT_RUN},
    {AN_UNAVAILABLE, 503, "unavailable", AN_NOT_RUN},
    {AN_DRAINING, 503, "draining", AN_NOT_RUN},
    {AN_UNKNOWN, 502, "unknown", AN_OUTCOME_UNKNOWN},
};

static const struct kind_row *
row(enum an_kind kind)
{
    return &kinds[kind];
}

/* The value of an outcome in the cornelgate-outcome header. */
const char *
An_OutcomeName(enum an_outcome outcome)
{
    switch (outcome) {
    case AN_RAN:
        return "ran";
    case AN_NOT_RUN:
        return "not-run";
    case AN_OUTCOME_UNKNOWN:
        return "unknown";
    }
    return "unknown";
}

/* The "type" in the JSON body of a refusal. */
const char *
An_TypeName(enum an_kind kind)
{
    return row(kind)->type;
}

enum an_outcome
An_Outcome(enum an_kind kind)
{
    return row(kind)->outcome;
}

/* The JSON body of a refusal; the caller frees it. */
char *
An_ErrorBody(enum an_kind kind, const char *message)
{
    json_t *root = json_pack("{s:{s:s,s:s}}", "error", "type", row(kind)->type,
                             "message", message);
    char *text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    return text;
}

/*
 * Refuses a request; the message names the remedy.  A retry_after_sec of 0
 * omits the retry-after header, for refusals that waiting does not help.
 */
void
An_Refuse(struct hs_request *http, const char *request_id, enum an_kind kind,
          int retry_after_sec, const char *fmt, ...)
{
    char message[An_MESSAGE_MAX];
    va_list args;
    va_start(args, fmt);
    vsnprintf(message, sizeof(message), fmt, args);
    va_end(args);
    char seconds[16];
    snprintf(seconds, sizeof(seconds), "%d", retry_after_sec);
    struct web_header headers[] = {
        {"cornelgate-request-id", request_id},
        {"cornelgate-outcome", An_OutcomeName(row(kind)->outcome)},
        {"retry-after", seconds},
    };
    char *body = An_ErrorBody(kind, message);
    Hs_Reply(http, row(kind)->code, "application/json", headers,
             retry_after_sec > 0 ? 3 : 2, body != NULL ? body : "{}",
             body != NULL ? strlen(body) : 2);
    free(body);
}
