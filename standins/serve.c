#include "standins/serve.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"

#define Sv_BODY_MAX ((size_t)8 << 20)
#define Sv_HEADERS_MAX 2
#define Sv_SLOW_BYTE_USEC (10 * Ck_USEC_PER_MSEC)

static const char *const kept_headers[] = {
    "authorization", "content-type", "idempotency-key", "x-request-id", NULL,
};

struct sv_program {
    struct lp_loop *loop;
    struct hs_server *server;
    struct fl_table *faults;
    struct sv_options options;
    const char *also_name; /* a second number of the "ready" line */
    int also_number;
};

/* An answer that is given late, slowly or only in part. */
struct late {
    struct sv_job job;
    struct hs_request *request;
    struct lp_timer *timer;
    char *text;
    size_t len;
    size_t sent;
    int code;
    enum fl_mode mode;
    int64_t delay_usec;
    struct web_header headers[Sv_HEADERS_MAX];
    size_t header_count;
    char retry_after[16];
    char *request_id;
};

static struct lp_loop *signalled_loop;

static void
on_signal(int number)
{
    (void)number;
    Lp_Stop(signalled_loop);
}

static void
on_request(void *arg, struct hs_request *request)
{
    struct sv_program *program = arg;
    program->options.request(program->options.arg, request);
}

static void
on_gone(void *arg, struct hs_request *request)
{
    (void)arg;
    struct sv_job *job = Hs_User(request);
    if (job != NULL && job->gone != NULL) {
        job->gone(job);
    }
}

static void
on_drained(void *arg, struct hs_request *request)
{
    (void)arg;
    struct sv_job *job = Hs_User(request);
    if (job != NULL && job->drained != NULL) {
        job->drained(job);
    }
}

static const struct hs_ops server_ops = {
    .request = on_request,
    .gone = on_gone,
    .drained = on_drained,
};

/* Starts to listen; fails when the port is taken. */
enum st_status
Sv_Create(const struct sv_options *options, struct sv_program **out)
{
    struct sv_program *program = calloc(1, sizeof(*program));
    if (program == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for the program");
    }
    program->options = *options;
    program->faults = Fl_Create();
    enum st_status status = Lp_Create(&program->loop);
    if (status == ST_OK) {
        struct hs_options server = {
            .address = options->address,
            .port = options->port,
            .body_max = Sv_BODY_MAX,
            .headers = kept_headers,
            .ops = &server_ops,
            .arg = program,
        };
        status = Hs_Create(program->loop, &server, &program->server);
    }
    if (status != ST_OK) {
        Lp_Destroy(program->loop);
        Fl_Destroy(program->faults);
        free(program);
        return status;
    }
    *out = program;
    return ST_OK;
}

struct lp_loop *
Sv_Loop(const struct sv_program *program)
{
    return program->loop;
}

struct fl_table *
Sv_Faults(const struct sv_program *program)
{
    return program->faults;
}

int
Sv_Port(const struct sv_program *program)
{
    return Hs_Port(program->server);
}

/* Adds "name=number" to the "ready" line; the name must stay valid. */
void
Sv_ReadyAlso(struct sv_program *program, const char *name, int number)
{
    program->also_name = name;
    program->also_number = number;
}

/* Says "ready" on standard output and serves until a signal to end. */
void
Sv_Run(struct sv_program *program)
{
    signalled_loop = program->loop;
    signal(SIGTERM, on_signal);
    signal(SIGINT, on_signal);
    printf("ready port=%d", Sv_Port(program));
    if (program->also_name != NULL) {
        printf(" %s=%d", program->also_name, program->also_number);
    }
    printf("\n");
    fflush(stdout);
    Lp_Run(program->loop);
}

/* Closes everything; jobs still open learn of it by "gone". */
void
Sv_Destroy(struct sv_program *program)
{
    Lp_Destroy(program->loop);
    Hs_Destroy(program->server);
    Fl_Destroy(program->faults);
    free(program);
}

/* Whether the request has this method and exactly this path. */
bool
Sv_Is(const struct hs_request *request, const char *method, const char *path)
{
    return strcmp(Hs_Method(request), method) == 0 &&
           strcmp(Hs_Path(request), path) == 0;
}

/* A numeric query argument. */
int64_t
Sv_QueryNumber(const struct hs_request *request, const char *name,
               int64_t fallback)
{
    char text[32];
    if (!Hs_Query(request, name, text, sizeof(text))) {
        return fallback;
    }
    return strtoll(text, NULL, 10);
}

/* The body as JSON, an empty object when it is none; to be released. */
json_t *
Sv_BodyJson(const struct hs_request *request)
{
    size_t len;
    const char *body = Hs_Body(request, &len);
    json_t *json = json_loadb(body, len, 0, NULL);
    return json != NULL ? json : json_object();
}

static void
late_free(struct late *late)
{
    Lp_TimerDestroy(late->timer);
    free(late->text);
    free(late->request_id);
    free(late);
}

static void
late_gone(struct sv_job *job)
{
    late_free((struct late *)job);
}

static void
late_reply(struct late *late)
{
    Hs_SetUser(late->request, NULL);
    Hs_Reply(late->request, late->code, "application/json", late->headers,
             late->header_count, late->text, late->len);
    late_free(late);
}

static void
late_abort(struct late *late)
{
    Hs_SetUser(late->request, NULL);
    Hs_Abort(late->request);
    late_free(late);
}

/* Cuts a truncated answer once its first part has been written. */
static void
late_drained(struct sv_job *job)
{
    struct late *late = (struct late *)job;
    if (late->mode == FL_TRUNCATE) {
        late_abort(late);
    }
}

static void
late_slow_byte(struct late *late)
{
    Hs_StreamWrite(late->request, late->text + late->sent, 1);
    late->sent++;
    if (late->sent < late->len) {
        Lp_TimerSet(late->timer, late->delay_usec);
        return;
    }
    Hs_SetUser(late->request, NULL);
    Hs_StreamEnd(late->request);
    late_free(late);
}

static void
late_fired(void *arg)
{
    struct late *late = arg;
    if (late->mode == FL_LOST_ANSWER) {
        late_abort(late);
    }
    else if (late->mode == FL_SLOW_BYTES) {
        late_slow_byte(late);
    }
    else {
        late_reply(late);
    }
}

static void
late_headers(struct late *late, const struct sv_answer *answer)
{
    if (answer->retry_after_sec > 0) {
        snprintf(late->retry_after, sizeof(late->retry_after), "%d",
                 answer->retry_after_sec);
        late->headers[late->header_count].name = "retry-after";
        late->headers[late->header_count++].value = late->retry_after;
    }
    if (answer->request_id != NULL) {
        late->request_id = strdup(answer->request_id);
        late->headers[late->header_count].name = "x-request-id";
        late->headers[late->header_count++].value = late->request_id;
    }
}

static struct late *
late_create(struct sv_program *program, struct hs_request *request,
            const struct fl_fault *fault, struct sv_answer *answer)
{
    struct late *late = calloc(1, sizeof(*late));
    if (late == NULL) {
        abort();
    }
    late->job.gone = late_gone;
    late->job.drained = late_drained;
    late->request = request;
    late->timer = Lp_TimerCreate(program->loop, late_fired, late);
    late->text = json_dumps(answer->body, JSON_COMPACT | JSON_ENCODE_ANY);
    json_decref(answer->body);
    late->len = strlen(late->text);
    late->code = answer->code;
    late->mode = fault->mode;
    late->delay_usec = fault->delay_usec;
    late_headers(late, answer);
    Hs_SetUser(request, late);
    return late;
}

static void
begin_stream(struct late *late)
{
    Hs_StreamBegin(late->request, late->code, "application/json",
                   late->headers, late->header_count);
}

/*
 * Applies a fault that strikes before any effect.  True when the request has
 * been dealt with.
 */
bool
Sv_Before(struct hs_request *request, const struct fl_fault *fault)
{
    if (fault->mode == FL_RESET_BEFORE) {
        Hs_Abort(request);
        return true;
    }
    if (fault->mode == FL_REFUSE) {
        static const char body[] = "{\"error\":\"outage\"}";
        Hs_Reply(request, 503, "application/json", NULL, 0, body,
                 sizeof(body) - 1);
        return true;
    }
    return false;
}

/* Answers, unless the fault wants the answer lost, late or spoilt. */
void
Sv_Answer(struct sv_program *program, struct hs_request *request,
          const struct fl_fault *fault, struct sv_answer *answer)
{
    static const char garbage[] = "<html>\x01 not json {";
    struct late *late = late_create(program, request, fault, answer);
    switch (fault->mode) {
    case FL_RESET_AFTER:
        late_abort(late);
        break;
    case FL_LOST_ANSWER:
    case FL_DELAY:
        Lp_TimerSet(late->timer, fault->delay_usec);
        break;
    case FL_GARBAGE:
        free(late->text);
        late->text = strdup(garbage);
        late->len = strlen(garbage);
        late_reply(late);
        break;
    case FL_TRUNCATE:
        begin_stream(late);
        Hs_StreamWrite(request, late->text, (late->len + 1) / 2);
        break;
    case FL_SLOW_BYTES:
        if (late->delay_usec == 0) {
            late->delay_usec = Sv_SLOW_BYTE_USEC;
        }
        begin_stream(late);
        late_slow_byte(late);
        break;
    default:
        late_reply(late);
        break;
    }
}

/* Answers at once; the reference to "body" is handed over. */
void
Sv_Reply(struct sv_program *program, struct hs_request *request, int code,
         json_t *body)
{
    struct fl_fault none = {.mode = FL_NONE};
    struct sv_answer answer = {.code = code, .body = body};
    Sv_Answer(program, request, &none, &answer);
}

static void
add_fault(struct sv_program *program, struct hs_request *request)
{
    json_t *spec = Sv_BodyJson(request);
    const char *target = program->options.default_target;
    if (target != NULL && json_object_get(spec, "target") == NULL) {
        json_object_set_new(spec, "target", json_string(target));
    }
    if (Fl_Add(program->faults, spec) == ST_OK) {
        Sv_Reply(program, request, 200, json_object());
    }
    else {
        Sv_Reply(program, request, 400,
                 json_pack("{s:s}", "error", St_Message()));
    }
    json_decref(spec);
}

/* Serves the fault controls; true when the request was one of them. */
bool
Sv_Control(struct sv_program *program, struct hs_request *request)
{
    if (Sv_Is(request, "POST", "/standin/fault")) {
        add_fault(program, request);
        return true;
    }
    if (Sv_Is(request, "POST", "/standin/clear")) {
        Fl_Clear(program->faults);
        Sv_Reply(program, request, 200, json_object());
        return true;
    }
    if (Sv_Is(request, "GET", "/standin/faults")) {
        Sv_Reply(program, request, 200,
                 json_pack("{s:o}", "faults", Fl_List(program->faults)));
        return true;
    }
    return false;
}
