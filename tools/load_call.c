#include "tools/load_call.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/hash.h"
#include "standins/answer.h"
#include "web/client.h"

#define HEADERS_MAX 4
#define KEY_MAX 64
#define PROMPT_WORD_BYTES 8 /* printed by "%03u-%03d " */

/* A charge that is sent once or twice; freed when its last call ends. */
struct ld_charge {
    struct ld_load *load;
    struct lp_timer *timer;
    char key[KEY_MAX];
    char body[KEY_MAX];
    int target;
    int open_calls;     /* open or still to be sent */
    char *first_answer; /* of the call that was answered first */
    bool retried;
    bool refused;
};

struct ld_call {
    LIST_ENTRY(ld_call) link;
    struct ld_load *load;
    struct hc_call *call;
    enum ld_class class_index;
    struct ld_charge *charge; /* NULL for completions */
    bool stream;
    char *prompt;
    uint64_t hash;
    int next_index; /* expected index of the next token of a stream */
    int64_t started;
    int64_t last_token;
    char *line; /* received bytes of a stream's incomplete line */
    size_t line_len;
    char *body; /* of an answer that is not a stream, or of a refusal */
    size_t body_len;
    bool outcome_not_run;
    bool outcome_unknown;
    bool mismatch;
    bool done;        /* "[DONE]" received */
    bool error_event; /* an error event received */
    int code;
};

static void
call_free(struct ld_call *call)
{
    LIST_REMOVE(call, link);
    call->load->open_count--;
    free(call->prompt);
    free(call->line);
    free(call->body);
    free(call);
}

static void
append(char **text, size_t *len, const char *data, size_t more)
{
    char *grown = realloc(*text, *len + more + 1);
    if (grown == NULL) {
        abort();
    }
    memcpy(grown + *len, data, more);
    *len += more;
    grown[*len] = '\0';
    *text = grown;
}

static void
check_token(struct ld_call *call, const json_t *event)
{
    struct ld_class_stats *stats =
        &call->load->stats.classes[call->class_index];
    const json_t *choice =
        json_array_get(json_object_get(event, "choices"), 0);
    const char *text = json_string_value(json_object_get(choice, "text"));
    json_int_t index = json_integer_value(json_object_get(event, "index"));
    char expected[An_TOKEN_SIZE];
    An_Token(call->hash, call->next_index, expected);
    if (text == NULL || index != call->next_index ||
        strcmp(text, expected) != 0) {
        call->mismatch = true;
        return;
    }
    int64_t now = Ck_Now(Ck_System());
    bool first = call->next_index == 0;
    Ld_AddSample(&stats->latencies[first ? LD_FIRST : LD_BETWEEN],
                 now - (first ? call->started : call->last_token));
    call->last_token = now;
    call->next_index++;
    call->load->stats.tokens++;
    call->load->stats.bytes_compared += (int64_t)strlen(text);
}

static void
handle_event(struct ld_call *call, const char *data)
{
    if (strcmp(data, "[DONE]") == 0) {
        call->done = true;
        return;
    }
    json_t *event = json_loads(data, 0, NULL);
    if (event == NULL) {
        call->mismatch = true;
    }
    else if (json_object_get(event, "error") != NULL) {
        call->error_event = true;
    }
    else if (json_array_size(json_object_get(event, "choices")) > 0) {
        check_token(call, event);
    }
    json_decref(event);
}

static void
parse_lines(struct ld_call *call)
{
    static const char mark[] = "data: ";
    char *at = call->line;
    char *end;
    while (
        (end = memchr(at, '\n', call->line_len - (size_t)(at - call->line))) !=
        NULL) {
        *end = '\0';
        if (strncmp(at, mark, strlen(mark)) == 0) {
            handle_event(call, at + strlen(mark));
        }
        at = end + 1;
    }
    call->line_len -= (size_t)(at - call->line);
    memmove(call->line, at, call->line_len + 1);
}

static void
on_headers(void *arg, struct hc_call *http, int code)
{
    struct ld_call *call = arg;
    call->code = code;
    const char *outcome = Hc_Header(http, "cornelgate-outcome");
    if (outcome != NULL) {
        call->outcome_not_run = strcmp(outcome, "not-run") == 0;
        call->outcome_unknown = strcmp(outcome, "unknown") == 0;
    }
}

static void
on_data(void *arg, struct hc_call *http, const void *data, size_t len)
{
    (void)http;
    struct ld_call *call = arg;
    if (call->stream && call->code == 200) {
        append(&call->line, &call->line_len, data, len);
        parse_lines(call);
    }
    else {
        append(&call->body, &call->body_len, data, len);
    }
}

/* Compares a complete completion with the expected one. */
static bool
completion_matches(struct ld_call *call)
{
    size_t len = strlen(call->prompt);
    int tokens = An_Tokens(call->prompt, len, 0);
    if (call->stream) {
        return !call->mismatch && call->next_index == tokens;
    }
    json_t *body = call->body != NULL ? json_loads(call->body, 0, NULL) : NULL;
    const json_t *choice = json_array_get(json_object_get(body, "choices"), 0);
    const char *text = json_string_value(json_object_get(choice, "text"));
    char *expected = An_Text(call->prompt, len, 0, tokens);
    bool same =
        text != NULL && expected != NULL && strcmp(text, expected) == 0;
    if (same) {
        call->load->stats.tokens += tokens;
        call->load->stats.bytes_compared += (int64_t)strlen(expected);
    }
    free(expected);
    json_decref(body);
    return same;
}

/* Checks that a charge's answer has its key and the digest of its body. */
static bool
charge_matches(struct ld_call *call)
{
    char digest[Hash_DIGEST_HEX];
    const struct ld_charge *charge = call->charge;
    Hash_Digest(charge->body, strlen(charge->body), digest);
    json_t *body = call->body != NULL ? json_loads(call->body, 0, NULL) : NULL;
    const char *key = json_string_value(json_object_get(body, "key"));
    const char *echo = json_string_value(json_object_get(body, "echo"));
    bool same = key != NULL && echo != NULL && strcmp(key, charge->key) == 0 &&
                strcmp(echo, digest) == 0;
    if (same) {
        call->load->stats.bytes_compared += (int64_t)call->body_len;
    }
    json_decref(body);
    return same;
}

static enum ld_outcome
classify_outcome(struct ld_call *call, const struct hc_result *result)
{
    if (result->code == 0) {
        return LD_NO_ANSWER;
    }
    if (call->outcome_not_run) {
        return LD_NOT_RUN;
    }
    if (call->outcome_unknown) {
        return LD_UNKNOWN;
    }
    if (result->code != 200) {
        return LD_FAILED;
    }
    if (result->status != ST_OK || call->error_event ||
        (call->stream && !call->done)) {
        return LD_CUT;
    }
    bool same =
        call->charge != NULL ? charge_matches(call) : completion_matches(call);
    return same ? LD_ANSWERED : LD_WRONG;
}

static void
count_code(struct ld_call *call, int code)
{
    char name[16];
    snprintf(name, sizeof(name), "%d", code);
    Ld_Count(call->load->stats.codes, name);
    if (code == 200 || call->body == NULL) {
        return;
    }
    json_t *body = json_loads(call->body, 0, NULL);
    const json_t *error = json_object_get(body, "error");
    const char *type = json_string_value(json_object_get(error, "type"));
    Ld_Count(call->load->stats.errors, type != NULL ? type : "other");
    json_decref(body);
}

static void
charge_release(struct ld_charge *charge)
{
    if (--charge->open_calls > 0) {
        return;
    }
    if (charge->retried && charge->refused) {
        charge->load->stats.retries.refused++;
    }
    Lp_TimerDestroy(charge->timer);
    free(charge->first_answer);
    free(charge);
}

/* Compares the two answers of a charge, which must be the same bytes. */
static void
charge_ended(struct ld_call *call, enum ld_outcome outcome)
{
    struct ld_charge *charge = call->charge;
    if (outcome != LD_ANSWERED) {
        charge->refused = true;
    }
    else if (charge->first_answer == NULL) {
        charge->first_answer = strdup(call->body);
    }
    else if (strcmp(charge->first_answer, call->body) == 0) {
        call->load->stats.retries.same++;
    }
    else {
        call->load->stats.retries.differ++;
    }
    charge_release(charge);
}

static void
call_end(struct ld_call *call, enum ld_outcome outcome)
{
    struct ld_class_stats *stats =
        &call->load->stats.classes[call->class_index];
    stats->outcomes[outcome]++;
    if (outcome == LD_ANSWERED) {
        Ld_AddSample(&stats->latencies[LD_WHOLE],
                     Ck_Now(Ck_System()) - call->started);
    }
    if (call->charge != NULL) {
        charge_ended(call, outcome);
    }
    call_free(call);
}

static void
on_done(void *arg, struct hc_call *http, const struct hc_result *result)
{
    (void)http;
    struct ld_call *call = arg;
    struct ld_load *load = call->load;
    count_code(call, result->code);
    call_end(call, classify_outcome(call, result));
    load->call_ended(load);
}

static const struct hc_ops call_ops = {
    .headers = on_headers,
    .data = on_data,
    .done = on_done,
};

static struct ld_call *
call_create(struct ld_load *load, enum ld_class class_index)
{
    struct ld_call *call = calloc(1, sizeof(*call));
    if (call == NULL) {
        abort();
    }
    call->load = load;
    call->class_index = class_index;
    call->started = Ck_Now(Ck_System());
    LIST_INSERT_HEAD(&load->open, call, link);
    load->open_count++;
    load->stats.classes[class_index].sent++;
    if (load->open_count > load->stats.most_open) {
        load->stats.most_open = load->open_count;
    }
    return call;
}

static size_t
add_key(struct ld_load *load, struct web_header *headers, char *value,
        size_t size)
{
    const struct ld_plan *plan = &load->plan;
    if (plan->key_count == 0) {
        return 0;
    }
    snprintf(value, size, "Bearer %s",
             plan->keys[load->sent % plan->key_count]);
    headers[0].name = "authorization";
    headers[0].value = value;
    return 1;
}

static void
start_call(struct ld_call *call, const struct ld_target *target,
           struct hc_request *request)
{
    request->address = target->address;
    request->port = target->port;
    request->method = "POST";
    request->type = "application/json";
    request->body_len = strlen(request->body);
    if (Hc_Start(call->load->loop, request, &call_ops, call, &call->call) !=
        ST_OK) {
        abort();
    }
}

/*
 * Makes a prompt of a shared prefix, a number that makes the prompt unique,
 * and the number of tokens of its answer.
 */
static char *
make_prompt(struct ld_load *load)
{
    const struct ld_plan *plan = &load->plan;
    uint32_t prefix = Rn_Below(&load->random, (uint32_t)plan->prefixes);
    int range = plan->tokens_max - plan->tokens_min + 1;
    int tokens =
        plan->tokens_min + (int)Rn_Below(&load->random, (uint32_t)range);
    char *prompt = NULL;
    size_t len = 0;
    FILE *out = open_memstream(&prompt, &len);
    if (out == NULL) {
        abort();
    }
    for (int i = 0; i < plan->prefix_bytes / PROMPT_WORD_BYTES; i++) {
        fprintf(out, "%03u-%03d ", prefix % 1000, i % 1000);
    }
    fprintf(out, "question %lld-%llu tokens=%d", (long long)load->sent,
            (unsigned long long)plan->seed, tokens);
    fclose(out);
    return prompt;
}

static char *
completion_body(const struct ld_call *call)
{
    json_t *body =
        json_pack("{s:s, s:s, s:b}", "model", call->load->plan.model, "prompt",
                  call->prompt, "stream", call->stream);
    char *text = json_dumps(body, JSON_COMPACT);
    json_decref(body);
    return text;
}

/* Sends one completion to a random target. */
void
Ld_SendCompletion(struct ld_load *load, enum ld_class class_index)
{
    const struct ld_plan *plan = &load->plan;
    struct ld_call *call = call_create(load, class_index);
    struct web_header headers[HEADERS_MAX];
    char key[KEY_MAX * 2];
    char deadline[32];
    load->sent++;
    call->stream = Rn_Unit(&load->random) < plan->stream_share;
    call->prompt = make_prompt(load);
    call->hash = An_Hash(call->prompt, strlen(call->prompt));
    size_t count = add_key(load, headers, key, sizeof(key));
    headers[count].name = "cornelgate-class";
    headers[count++].value = Ld_ClassName(class_index);
    if (plan->deadline_msec > 0) {
        snprintf(deadline, sizeof(deadline), "%lld",
                 (long long)plan->deadline_msec);
        headers[count].name = "cornelgate-deadline-ms";
        headers[count++].value = deadline;
    }
    char *body = completion_body(call);
    struct hc_request request = {
        .path = "/v1/completions",
        .headers = headers,
        .header_count = count,
        .body = body,
    };
    uint32_t target = Rn_Below(&load->random, (uint32_t)plan->target_count);
    start_call(call, &plan->targets[target], &request);
    free(body);
}

static void
charge_send(struct ld_charge *charge)
{
    struct ld_load *load = charge->load;
    struct ld_call *call = call_create(load, LD_CHARGE);
    struct web_header headers[HEADERS_MAX];
    char key[KEY_MAX * 2];
    call->charge = charge;
    size_t count = add_key(load, headers, key, sizeof(key));
    headers[count].name = "idempotency-key";
    headers[count++].value = charge->key;
    struct hc_request request = {
        .path = load->plan.charge_path,
        .headers = headers,
        .header_count = count,
        .body = charge->body,
    };
    start_call(call, &load->plan.targets[charge->target], &request);
}

/* Retries a charge at another daemon, as a caller does after a time-out. */
static void
retry_fired(void *arg)
{
    struct ld_charge *charge = arg;
    struct ld_load *load = charge->load;
    charge->target = (charge->target + 1) % load->plan.target_count;
    load->pending_retries--;
    load->stats.retries.sent++;
    charge_send(charge);
}

/* Sends one charge; retries it with the probability retry_share. */
void
Ld_SendCharge(struct ld_load *load)
{
    const struct ld_plan *plan = &load->plan;
    struct ld_charge *charge = calloc(1, sizeof(*charge));
    if (charge == NULL) {
        abort();
    }
    load->sent++;
    charge->load = load;
    charge->open_calls = 1;
    charge->target =
        (int)Rn_Below(&load->random, (uint32_t)plan->target_count);
    snprintf(charge->key, sizeof(charge->key), "load-%llu-%lld",
             (unsigned long long)plan->seed, (long long)load->sent);
    snprintf(charge->body, sizeof(charge->body), "{\"seat\":%lld}",
             (long long)load->sent);
    charge->timer = Lp_TimerCreate(load->loop, retry_fired, charge);
    if (Rn_Unit(&load->random) < plan->retry_share) {
        charge->retried = true;
        charge->open_calls++;
        load->pending_retries++;
        Lp_TimerSet(charge->timer, (int64_t)(Rn_Unit(&load->random) *
                                             (double)plan->retry_delay_usec));
    }
    charge_send(charge);
}

/* Cancels every open call and counts it as unfinished. */
void
Ld_CancelAll(struct ld_load *load)
{
    struct ld_call *call;
    struct ld_call *next;
    LIST_FOREACH_SAFE (call, &load->open, link, next) {
        Hc_Cancel(call->call);
        call_end(call, LD_UNFINISHED);
    }
}
