/*
 * Runs of the engine: waiting by priority, running within the slots, one
 * timer for each that fires at the next token.
 */
#include <bsd/string.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"
#include "standins/answer.h"
#include "standins/engine.h"

static const char done_event[] = "data: [DONE]\n\n";
static const char garbage_event[] = "data: {\"id\":\n\n";

struct en_run {
    struct sv_job job;
    TAILQ_ENTRY(en_run) link;
    struct en_engine *engine;
    struct hs_request *request;
    struct lp_timer *timer;
    struct ep_run *truth;
    struct fl_fault fault;
    struct en_ask ask;
    uint64_t hash;
    char shown_id[Ep_NAME_MAX];
    int first; /* index of the first token given */
    int next;
    int total;
    bool started;
    bool quiet;   /* the answer will be lost: write nothing */
    bool cutting; /* the connection closes once bytes are out */
};

static void pump(struct en_engine *engine);

static void
unlink_run(struct en_run *run)
{
    struct en_engine *engine = run->engine;
    if (run->started) {
        TAILQ_REMOVE(&engine->running, run, link);
        engine->running_count--;
    }
    else {
        TAILQ_REMOVE(&engine->waiting, run, link);
        engine->waiting_count--;
    }
}

static void
run_end(struct en_run *run, const char *outcome)
{
    struct en_engine *engine = run->engine;
    unlink_run(run);
    Ep_End(engine->endpoint, run->truth, outcome);
    strlcpy(engine->last_id, run->truth->request_id, sizeof(engine->last_id));
    Lp_TimerDestroy(run->timer);
    En_AskFree(&run->ask);
    free(run);
    pump(engine);
}

static void
run_gone(struct sv_job *job)
{
    run_end((struct en_run *)job, "gone");
}

static void
run_drained(struct sv_job *job)
{
    struct en_run *run = (struct en_run *)job;
    if (!run->cutting) {
        return;
    }
    Hs_SetUser(run->request, NULL);
    Hs_Abort(run->request);
    run_end(run, "cut");
}

static json_t *
choice(const struct en_run *run, const char *text, const char *reason)
{
    json_t *finish = reason != NULL ? json_string(reason) : json_null();
    if (!run->ask.chat) {
        return json_pack("{s:i, s:s, s:o}", "index", 0, "text", text,
                         "finish_reason", finish);
    }
    if (run->ask.stream) {
        return json_pack("{s:i, s:{s:s}, s:o}", "index", 0, "delta", "content",
                         text, "finish_reason", finish);
    }
    return json_pack("{s:i, s:{s:s, s:s}, s:o}", "index", 0, "message", "role",
                     "assistant", "content", text, "finish_reason", finish);
}

static const char *
object_name(const struct en_run *run)
{
    if (!run->ask.chat) {
        return "text_completion";
    }
    return run->ask.stream ? "chat.completion.chunk" : "chat.completion";
}

static json_t *
usage(const struct en_run *run)
{
    return json_pack("{s:i, s:i, s:i, s:i}", "prompt_tokens",
                     An_PromptTokens(run->ask.prompt_len), "completion_tokens",
                     run->next - run->first, "recomputed_tokens",
                     run->truth->recomputed, "cached_tokens",
                     run->truth->cached);
}

static void
write_event(const struct en_run *run, json_t *event)
{
    char *text = json_dumps(event, JSON_COMPACT);
    json_decref(event);
    Hs_StreamWrite(run->request, "data: ", strlen("data: "));
    Hs_StreamWrite(run->request, text, strlen(text));
    Hs_StreamWrite(run->request, "\n\n", 2);
    free(text);
}

static const char *
finish_reason(const struct en_run *run)
{
    int natural = An_Tokens(run->ask.prompt, run->ask.prompt_len, 0);
    return run->total < natural ? "length" : "stop";
}

static void
write_token(struct en_run *run)
{
    char text[An_TOKEN_SIZE];
    An_Token(run->hash, run->next, text);
    bool last = run->next + 1 == run->total;
    write_event(
        run, json_pack("{s:s, s:s, s:s, s:i, s:[o]}", "id", run->shown_id,
                       "object", object_name(run), "model", run->ask.model,
                       "index", run->next, "choices",
                       choice(run, text, last ? finish_reason(run) : NULL)));
}

/* The last event: usage, no token; its index is that of the next token. */
static void
write_end(struct en_run *run, const char *reason)
{
    json_t *event =
        json_pack("{s:s, s:s, s:s, s:i, s:[], s:o}", "id", run->shown_id,
                  "object", object_name(run), "model", run->ask.model, "index",
                  run->next, "choices", "usage", usage(run));
    if (reason != NULL) {
        json_object_set_new(event, "finish_reason", json_string(reason));
    }
    write_event(run, event);
    Hs_StreamWrite(run->request, done_event, strlen(done_event));
    Hs_StreamEnd(run->request);
}

static char *
whole_text(const struct en_run *run)
{
    size_t size = (size_t)(run->next - run->first) * An_TOKEN_SIZE + 1;
    char *text = calloc(1, size);
    if (text == NULL) {
        abort();
    }
    char *at = text;
    for (int i = run->first; i < run->next; i++) {
        An_Token(run->hash, i, at);
        at += strlen(at);
    }
    return text;
}

static void
answer_whole(struct en_run *run, const char *reason)
{
    char *text = whole_text(run);
    struct sv_answer answer = {
        .code = 200,
        .request_id = run->shown_id,
        .body = json_pack("{s:s, s:s, s:s, s:[o], s:o}", "id", run->shown_id,
                          "object", object_name(run), "model", run->ask.model,
                          "choices", choice(run, text, reason), "usage",
                          usage(run)),
    };
    free(text);
    Sv_Answer(run->engine->endpoint->program, run->request, &run->fault,
              &answer);
}

static void
finish(struct en_run *run, const char *reason, const char *outcome)
{
    Hs_SetUser(run->request, NULL);
    if (run->ask.stream && !run->quiet) {
        bool natural = strcmp(outcome, "done") == 0;
        write_end(run, natural ? NULL : reason);
    }
    else {
        answer_whole(run, reason);
    }
    run_end(run, outcome);
}

static void
cut(struct en_run *run)
{
    if (run->fault.mode == FL_GARBAGE) {
        Hs_StreamWrite(run->request, garbage_event, strlen(garbage_event));
    }
    run->cutting = true;
    Lp_TimerCancel(run->timer);
    Hs_StreamWrite(run->request, "\n", 1);
}

/* Whether a stream with a fault breaks off before its next token. */
static bool
cut_due(const struct en_run *run)
{
    enum fl_mode mode = run->fault.mode;
    if (!run->ask.stream || (mode != FL_TRUNCATE && mode != FL_GARBAGE)) {
        return false;
    }
    int given = run->next - run->first;
    int tokens = run->fault.tokens;
    if (tokens < 0) {
        tokens = (run->total - run->first) / 2;
    }
    return given >= tokens;
}

static int64_t
slowed(const struct en_run *run, int64_t usec)
{
    return (int64_t)((double)usec * run->fault.factor);
}

/* Ends the process, and with it all its runs, before the first token. */
static void
meet_poison(const struct en_run *run)
{
    const char *text = run->engine->endpoint->options.poison;
    if (text != NULL && strstr(run->ask.prompt, text) != NULL) {
        _exit(EXIT_FAILURE);
    }
}

static void
next_token(void *arg)
{
    struct en_run *run = arg;
    struct en_engine *engine = run->engine;
    meet_poison(run);
    if (cut_due(run)) {
        cut(run);
        return;
    }
    if (run->next < run->total) {
        if (run->ask.stream && !run->quiet) {
            write_token(run);
        }
        run->next++;
        run->truth->tokens++;
        En_CountToken(engine);
    }
    if (run->next >= run->total) {
        finish(run, finish_reason(run), "done");
        return;
    }
    Lp_TimerSet(run->timer, slowed(run, engine->endpoint->options.token_usec));
}

/* Tokens to compute before the first one, and what the truth says of them. */
static int
prefill_tokens(struct en_run *run)
{
    struct en_engine *engine = run->engine;
    int prompt = An_PromptTokens(run->ask.prompt_len);
    int resumed = run->ask.resume_tokens;
    int cached =
        Ec_Cached(engine->cache, run->ask.prompt, run->ask.prompt_len);
    uint64_t hash = An_Hash(run->ask.prompt, run->ask.prompt_len);
    const struct kv_entry *kv = Kv_Find(engine->kv, run->ask.kv);
    int todo = prompt - cached + resumed;
    if (kv != NULL && kv->prompt_hash == hash) {
        int covered = kv->generated < resumed ? kv->generated : resumed;
        cached = prompt;
        todo = resumed - covered;
    }
    run->truth->cached = cached;
    run->truth->recomputed = run->ask.resume_text != NULL ? todo : 0;
    return todo;
}

static void
run_start(struct en_run *run)
{
    struct en_engine *engine = run->engine;
    const struct ep_options *options = &engine->endpoint->options;
    int todo = prefill_tokens(run);
    int64_t wait = options->first_usec + todo * options->prefill_usec;
    wait = slowed(run, wait);
    if (run->fault.mode == FL_DELAY) {
        wait += run->fault.delay_usec;
        run->fault.mode = FL_NONE;
    }
    Ec_Add(engine->cache, run->ask.prompt, run->ask.prompt_len,
           Ck_Now(Ck_System()));
    Lp_TimerSet(run->timer, wait);
}

/* Starts waiting runs while slots are free. */
static void
pump(struct en_engine *engine)
{
    struct en_run *run;
    while (engine->running_count < engine->endpoint->options.slots &&
           (run = TAILQ_FIRST(&engine->waiting)) != NULL) {
        unlink_run(run);
        run->started = true;
        TAILQ_INSERT_TAIL(&engine->running, run, link);
        engine->running_count++;
        run_start(run);
    }
}

static void
enqueue(struct en_engine *engine, struct en_run *run)
{
    struct en_run *other;
    engine->waiting_count++;
    TAILQ_FOREACH (other, &engine->waiting, link) {
        if (other->ask.priority < run->ask.priority) {
            TAILQ_INSERT_BEFORE(other, run, link);
            return;
        }
    }
    TAILQ_INSERT_TAIL(&engine->waiting, run, link);
}

static void
begin_answer(struct en_run *run)
{
    if (run->fault.mode == FL_CROSSED) {
        strlcpy(run->shown_id, run->engine->last_id, sizeof(run->shown_id));
        run->hash = ~run->hash;
    }
    if (run->fault.mode == FL_RESET_AFTER ||
        run->fault.mode == FL_LOST_ANSWER) {
        run->quiet = true;
    }
    else if (run->ask.stream) {
        struct web_header header = {"x-request-id", run->shown_id};
        Hs_StreamBegin(run->request, 200, "text/event-stream", &header, 1);
    }
}

static struct en_run *
run_create(struct en_engine *engine, struct hs_request *request,
           const struct fl_fault *fault, const struct en_ask *ask)
{
    struct en_run *run = calloc(1, sizeof(*run));
    if (run == NULL) {
        abort();
    }
    run->job.gone = run_gone;
    run->job.drained = run_drained;
    run->engine = engine;
    run->request = request;
    run->fault = *fault;
    run->ask = *ask;
    run->truth = Ep_Begin(engine->endpoint, request);
    run->hash = An_Hash(ask->prompt, ask->prompt_len);
    run->total = An_Tokens(ask->prompt, ask->prompt_len, ask->max_tokens);
    run->first = ask->resume_tokens;
    run->next = run->first;
    strlcpy(run->shown_id, run->truth->request_id, sizeof(run->shown_id));
    run->timer =
        Lp_TimerCreate(Sv_Loop(engine->endpoint->program), next_token, run);
    Hs_SetUser(request, run);
    return run;
}

static void
fail_at_once(struct en_engine *engine, struct hs_request *request,
             const struct fl_fault *fault)
{
    struct ep_run *truth = Ep_Begin(engine->endpoint, request);
    Ep_End(engine->endpoint, truth, "error");
    struct sv_answer answer = {
        .code = 500,
        .request_id = truth->request_id,
        .body = json_pack("{s:{s:s}}", "error", "type", "internal"),
    };
    Sv_Answer(engine->endpoint->program, request, fault, &answer);
}

/* Serves one request of the completions API. */
void
En_Run(struct en_engine *engine, struct hs_request *request)
{
    struct fl_fault fault = Ep_Fault(engine->endpoint, "run", request);
    if (Sv_Before(request, &fault) || En_TurnsAway(engine, request)) {
        return;
    }
    if (fault.mode == FL_ERROR_500) {
        fail_at_once(engine, request, &fault);
        return;
    }
    struct en_ask ask;
    json_t *body = Sv_BodyJson(request);
    enum st_status status = En_AskParse(&ask, Hs_Path(request), body);
    json_decref(body);
    if (status != ST_OK) {
        En_AskFree(&ask);
        Sv_Reply(engine->endpoint->program, request, 400,
                 json_pack("{s:{s:s, s:s}}", "error", "type",
                           "invalid_request", "message", St_Message()));
        return;
    }
    struct en_run *run = run_create(engine, request, &fault, &ask);
    begin_answer(run);
    enqueue(engine, run);
    pump(engine);
}

static struct en_run *
find(const struct en_engine *engine, const char *id)
{
    const struct en_queue *queues[] = {&engine->running, &engine->waiting};
    for (size_t i = 0; i < 2; i++) {
        struct en_run *run;
        TAILQ_FOREACH (run, queues[i], link) {
            if (strcmp(run->truth->request_id, id) == 0) {
                return run;
            }
        }
    }
    return NULL;
}

/* Ends a run early; false when there is none of that id. */
bool
En_Cancel(struct en_engine *engine, const char *id)
{
    struct en_run *run = find(engine, id);
    if (run == NULL || run->cutting) {
        return false;
    }
    finish(run, "cancelled", "cancelled");
    return true;
}

/* A waiting or running run by its request id, or NULL. */
const struct en_run *
En_Find(const struct en_engine *engine, const char *id)
{
    return find(engine, id);
}

const struct en_ask *
En_RunAsk(const struct en_run *run)
{
    return &run->ask;
}

/* Tokens of the answer so far, resumed ones included. */
int
En_RunTokens(const struct en_run *run)
{
    return run->next;
}
