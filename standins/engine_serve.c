#include <bsd/string.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "standins/answer.h"
#include "standins/engine.h"

/* Creates the engine on an open endpoint. */
struct en_engine *
En_Create(struct ep_endpoint *endpoint)
{
    struct en_engine *engine = calloc(1, sizeof(*engine));
    if (engine == NULL) {
        abort();
    }
    struct ec_options cache = {
        .blocks = endpoint->options.cache_blocks,
        .event_gap = endpoint->options.event_gap,
        .lag_usec = endpoint->options.event_usec,
    };
    engine->endpoint = endpoint;
    engine->brittle.most = -1;
    engine->cache = Ec_Create(&cache);
    engine->kv = Kv_Create(endpoint);
    engine->orders = json_array();
    strlcpy(engine->last_id, "other-request", sizeof(engine->last_id));
    TAILQ_INIT(&engine->waiting);
    TAILQ_INIT(&engine->running);
    En_LoadOpen(engine);
    return engine;
}

/* Frees the engine; call it after the program is destroyed. */
void
En_Destroy(struct en_engine *engine)
{
    En_LoadClose(engine);
    Ec_Destroy(engine->cache);
    Kv_Destroy(engine->kv);
    json_decref(engine->orders);
    free(engine);
}

static const char *
text_of(const json_t *body, const char *name)
{
    const char *text = json_string_value(json_object_get(body, name));
    return text != NULL ? text : "";
}

static void
export_run(struct en_engine *engine, const json_t *body,
           struct sv_answer *answer)
{
    const struct en_run *run = En_Find(engine, text_of(body, "id"));
    if (run == NULL) {
        answer->code = 404;
        answer->body = json_pack("{s:s}", "error", "no such run");
        return;
    }
    const struct en_ask *ask = En_RunAsk(run);
    answer->body =
        Kv_Export(engine->kv, An_Hash(ask->prompt, ask->prompt_len),
                  An_PromptTokens(ask->prompt_len), En_RunTokens(run));
}

static void
act(struct en_engine *engine, struct hs_request *request,
    struct sv_answer *answer)
{
    json_t *body = Sv_BodyJson(request);
    if (Sv_Is(request, "POST", "/v1/cancel")) {
        bool found = En_Cancel(engine, text_of(body, "id"));
        answer->body = json_pack("{s:b}", "cancelled", found);
    }
    else if (Sv_Is(request, "GET", "/v1/load")) {
        answer->body = En_Load(engine);
    }
    else if (Sv_Is(request, "GET", "/v1/cache-events")) {
        int64_t from = Sv_QueryNumber(request, "from", 1);
        answer->body = Ec_Events(engine->cache, from, Ck_Now(Ck_System()));
    }
    else if (Sv_Is(request, "POST", "/v1/kv/export")) {
        export_run(engine, body, answer);
    }
    else if (Sv_Is(request, "POST", "/v1/orders")) {
        En_Order(engine, body, answer);
    }
    else {
        answer->code = 404;
        answer->body = json_pack("{s:s}", "error", "no such path");
    }
    json_decref(body);
}

/* What a fault may be aimed at: the last part of the path, "kv" for both. */
static const char *
target_of(const char *path)
{
    if (strncmp(path, "/v1/kv/", strlen("/v1/kv/")) == 0) {
        return "kv";
    }
    const char *slash = strrchr(path, '/');
    return slash != NULL ? slash + 1 : path;
}

/* Serves every request to the engine but the controls of tests. */
void
En_Serve(struct en_engine *engine, struct hs_request *request)
{
    const char *path = Hs_Path(request);
    if (En_BrittleControl(engine, request)) {
        return;
    }
    if (En_IsDown(engine)) {
        Hs_Abort(request);
        return;
    }
    if (Sv_Is(request, "POST", "/v1/completions") ||
        Sv_Is(request, "POST", "/v1/chat/completions")) {
        En_Run(engine, request);
        return;
    }
    struct fl_fault fault =
        Ep_Fault(engine->endpoint, target_of(path), request);
    if (Sv_Before(request, &fault)) {
        return;
    }
    if (Sv_Is(request, "POST", "/v1/kv/import")) {
        Kv_Import(engine->kv, request);
        return;
    }
    if (Sv_Is(request, "GET", "/v1/kv/fetch")) {
        Kv_Fetch(engine->kv, request);
        return;
    }
    struct sv_answer answer = {.code = 200};
    if (Sv_Is(request, "GET", "/standin/orders")) {
        answer.body = json_pack("{s:O}", "orders", engine->orders);
    }
    else {
        act(engine, request, &answer);
    }
    Sv_Answer(engine->endpoint->program, request, &fault, &answer);
}
