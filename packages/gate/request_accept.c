/*
 * The arrival of a request: its customer, its service and its headers are
 * read, and it is submitted to the limits.
 */
#include <bsd/stdlib.h>
#include <bsd/string.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "gate/intake.h"
#include "gate/quarantine.h"
#include "gate/request_internal.h"

#define Rq_KEY_MAX 255
#define Rq_TARGET_MAX 4096
#define Rq_DEADLINE_MAX_MS 3600000
#define Rq_DEFAULT_DEADLINE_USEC (60 * Ck_USEC_PER_SEC)

static void
make_id(struct rq_request *request)
{
    struct gt_gate *gate = request->gate;
    snprintf(request->id, sizeof(request->id), "%s-%s-%llu",
             gate->options->node_id, gate->incarnation,
             (unsigned long long)++gate->next_request);
}

static enum st_status
read_deadline(struct rq_request *request)
{
    const char *text = Hs_Header(request->http, "cornelgate-deadline-ms");
    int64_t limit = request->service->deadline_usec;
    if (limit <= 0) {
        limit = Rq_DEFAULT_DEADLINE_USEC;
    }
    if (text != NULL) {
        const char *problem = NULL;
        limit =
            strtonum(text, 1, Rq_DEADLINE_MAX_MS, &problem) * Ck_USEC_PER_MSEC;
        if (problem != NULL) {
            return St_Fail(ST_INVALID,
                           "cornelgate-deadline-ms is %s; give 1 to %d",
                           problem, Rq_DEADLINE_MAX_MS);
        }
    }
    request->deadline = request->arrived_at + limit;
    Lp_TimerSet(request->timer, limit);
    return ST_OK;
}

static enum st_status
read_class(struct rq_request *request)
{
    const char *text = Hs_Header(request->http, "cornelgate-class");
    if (text == NULL || strcmp(text, "urgent") == 0) {
        return ST_OK;
    }
    if (strcmp(text, "patient") == 0) {
        request->patient = true;
        return ST_OK;
    }
    return St_Fail(ST_INVALID, "cornelgate-class must be urgent or patient");
}

/*
 * Binds the idempotency key to the body and path, so that its reuse for
 * another request is detected.
 */
static void
digest_body(struct rq_request *request)
{
    size_t len;
    const char *body = Hs_Body(request->http, &len);
    char path_digest[Hash_DIGEST_HEX];
    char parts[2 * Hash_DIGEST_HEX];
    const char *path = Hs_Path(request->http);
    Hash_Digest(path, strlen(path), path_digest);
    Hash_Digest(body, len, request->key.body_digest);
    int n = snprintf(parts, sizeof(parts), "%s%s", path_digest,
                     request->key.body_digest);
    Hash_Digest(parts, (size_t)n, request->key.body_digest);
}

static enum st_status
read_key(struct rq_request *request)
{
    const char *key = Hs_Header(request->http, "idempotency-key");
    if (key == NULL) {
        return ST_OK;
    }
    size_t len = strlen(key);
    if (len == 0 || len > Rq_KEY_MAX) {
        return St_Fail(ST_INVALID, "idempotency-key must have 1 to %d bytes",
                       Rq_KEY_MAX);
    }
    request->has_key = true;
    strlcpy(request->key.key.customer, request->customer->name,
            sizeof(request->key.key.customer));
    Hash_Digest(key, len, request->key.key.digest);
    digest_body(request);
    return ST_OK;
}

static bool
is_completion(const char *path)
{
    return strcmp(path, "/v1/completions") == 0 ||
           strcmp(path, "/v1/chat/completions") == 0;
}

static bool
is_safe_method(const char *method)
{
    return strcmp(method, "GET") == 0 || strcmp(method, "HEAD") == 0;
}

/* Finds the service; returns false after refusing the request. */
static bool
route(struct rq_request *request)
{
    const struct cf_config *config = request->config;
    const char *path = Hs_Path(request->http);
    const char *method = Hs_Method(request->http);
    if (!is_completion(path)) {
        request->service = Cf_ServiceByPath(config, path);
        if (request->service == NULL) {
            Rq_Refuse(request, AN_NOT_FOUND, 0,
                      "no service has this path; see the configuration");
            return false;
        }
        request->idempotent =
            request->service->idempotent || is_safe_method(method);
        return true;
    }
    size_t len;
    const char *body = Hs_Body(request->http, &len);
    if (strcmp(method, "POST") != 0 ||
        En_ReadPrompt(path, body, len, &request->prompt) != ST_OK) {
        Rq_Refuse(request, AN_INVALID, 0, "%s",
                  strcmp(method, "POST") != 0 ? "use POST" : St_Message());
        return false;
    }
    request->idempotent = true;
    request->service = Cf_ServiceByName(config, request->prompt.model);
    if (request->service == NULL || request->service->kind != CF_ENGINE) {
        Rq_Refuse(request, AN_NOT_FOUND, 0,
                  "no model service has this name; see the configuration");
        return false;
    }
    return true;
}

/*
 * Hashes method, path, idempotency key and body, which repeats of a request
 * share.
 */
static uint32_t
hash_content(const struct hs_request *http)
{
    size_t len;
    const char *body = Hs_Body(http, &len);
    const char *key = Hs_Header(http, "idempotency-key");
    char target[Rq_TARGET_MAX];
    uint64_t hash = Hash_String(Hs_Method(http), 0);
    hash = Hash_String(Hs_Target(http, target, sizeof(target)) ? target
                                                               : Hs_Path(http),
                       hash);
    hash = key == NULL ? hash : Hash_String(key, hash);
    hash = len == 0 ? hash : Hash_Bytes(body, len, hash);
    return (uint32_t)hash | 1;
}

/* Refuses a request that is in quarantine, or a part of its prompt is. */
static bool
refuse_if_quarantined(struct rq_request *request)
{
    struct gq_verdict verdict;
    if (!Gq_IsQuarantined(request->gate->quarantine, request, &verdict)) {
        return false;
    }
    Rq_Refuse(request, AN_UNAVAILABLE, verdict.retry_sec,
              verdict.part == request->content
                  ? "endpoints end under this request (%08x); do not repeat it"
                  : "part %08x of the prompt ends engines; leave it out",
              verdict.part);
    return true;
}

/* Finds the customer; returns false after refusing the request. */
static bool
authenticate(struct rq_request *request)
{
    const char *text = Hs_Header(request->http, "authorization");
    const char scheme[] = "bearer ";
    if (text != NULL && strncasecmp(text, scheme, sizeof(scheme) - 1) == 0) {
        const char *key = text + sizeof(scheme) - 1;
        char digest[Hash_DIGEST_HEX];
        Hash_Digest(key, strlen(key), digest);
        request->customer = Cf_CustomerByKey(request->config, digest);
    }
    if (request->customer == NULL) {
        Rq_Refuse(request, AN_UNAUTHENTICATED, 0,
                  "send the header authorization: Bearer KEY with a "
                  "customer's key");
        return false;
    }
    return true;
}

static struct rq_request *
request_create(struct gt_gate *gate, struct hs_request *http)
{
    struct rq_request *request = calloc(1, sizeof(*request));
    if (request == NULL) {
        return NULL;
    }
    request->gate = gate;
    request->http = http;
    request->arrived_at = Ck_Now(gate->clock);
    if (gate->config != NULL) {
        request->config = Cf_Ref(gate->config);
    }
    request->timer = Lp_TimerCreate(gate->loop, Rq_DeadlinePassed, request);
    TAILQ_INSERT_TAIL(&gate->requests, request, link);
    Hs_SetUser(http, request);
    make_id(request);
    return request;
}

/* Takes a complete request of a caller; the answer may come later. */
void
Rq_Accept(struct gt_gate *gate, struct hs_request *http)
{
    struct rq_request *request = request_create(gate, http);
    if (request == NULL) {
        An_Refuse(http, "", AN_OVERLOADED, Rq_RETRY_SOON_SEC,
                  "this host is out of memory; come back later");
        return;
    }
    if (gate->draining) {
        Rq_Refuse(request, AN_DRAINING, Rq_RETRY_SOON_SEC,
                  "this host is stopping; connect again to reach another");
        return;
    }
    if (gate->config == NULL) {
        Rq_Refuse(request, AN_UNAVAILABLE, Rq_RETRY_SOON_SEC,
                  "this host has no configuration yet; come back later");
        return;
    }
    if (!authenticate(request) || !route(request)) {
        return;
    }
    if (read_deadline(request) != ST_OK || read_class(request) != ST_OK ||
        read_key(request) != ST_OK) {
        Rq_Refuse(request, AN_INVALID, 0, "%s", St_Message());
        return;
    }
    request->content = hash_content(http);
    if (!refuse_if_quarantined(request)) {
        In_Submit(gate->intake, request);
    }
}
