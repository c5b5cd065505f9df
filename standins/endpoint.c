#include "standins/endpoint.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"

#define EXIT_RECLAIMED 3
#define EXIT_COLD 4
/* More than it bears, but for a burst, takes a cold endpoint down. */
#define COLD_OVER 1.5
#define COLD_SLACK 5

/* A reclaimed host goes without a word to anyone. */
static void
reclaimed(void *arg)
{
    (void)arg;
    _exit(EXIT_RECLAIMED);
}

/* Prepares an endpoint whose program has been created. */
void
Ep_Open(struct ep_endpoint *endpoint, const struct ep_options *options)
{
    endpoint->options = *options;
    TAILQ_INIT(&endpoint->runs);
    endpoint->cold_until = Ck_Now(Ck_System()) + options->cold_usec;
    endpoint->leave_timer =
        Lp_TimerCreate(Sv_Loop(endpoint->program), reclaimed, endpoint);
}

/* Frees the runs; the program itself is not touched. */
void
Ep_Close(struct ep_endpoint *endpoint)
{
    struct ep_run *run;
    struct ep_run *next;
    TAILQ_FOREACH_SAFE (run, &endpoint->runs, link, next) {
        free(run->request_id);
        free(run->key);
        free(run->path);
        free(run);
    }
    free(endpoint->leave_timer);
}

static char *
header_or(const struct hs_request *request, const char *name,
          const char *fallback)
{
    const char *value = Hs_Header(request, name);
    return strdup(value != NULL ? value : fallback);
}

int64_t
Ep_ColdUsec(const struct ep_endpoint *endpoint)
{
    int64_t left = endpoint->cold_until - Ck_Now(Ck_System());
    return left > 0 ? left : 0;
}

/* Goes down under more requests in a second than it bears while cold. */
static void
count_cold(struct ep_endpoint *endpoint)
{
    int most = endpoint->options.cold_per_sec;
    int64_t now = Ck_Now(Ck_System());
    if (most == 0 || Ep_ColdUsec(endpoint) == 0) {
        return;
    }
    if (now - endpoint->cold_second >= Ck_USEC_PER_SEC) {
        endpoint->cold_second = now;
        endpoint->cold_count = 0;
    }
    if (++endpoint->cold_count > most * COLD_OVER + COLD_SLACK) {
        _exit(EXIT_COLD);
    }
}

/* Notes that a run begins; it gets a request id when it came without. */
struct ep_run *
Ep_Begin(struct ep_endpoint *endpoint, const struct hs_request *request)
{
    struct ep_run *run = calloc(1, sizeof(*run));
    if (run == NULL) {
        abort();
    }
    char id[Ep_NAME_MAX];
    count_cold(endpoint);
    endpoint->run_count++;
    snprintf(id, sizeof(id), "endpoint-%d-%lld", Sv_Port(endpoint->program),
             (long long)endpoint->run_count);
    run->request_id = header_or(request, "x-request-id", id);
    run->key = header_or(request, "idempotency-key", "");
    run->path = strdup(Hs_Path(request));
    run->started = Ck_Now(Ck_System());
    run->leaving = endpoint->leaving;
    run->outcome = "running";
    endpoint->running++;
    TAILQ_INSERT_TAIL(&endpoint->runs, run, link);
    return run;
}

/* Notes how a run ended; "outcome" must stay valid. */
void
Ep_End(struct ep_endpoint *endpoint, struct ep_run *run, const char *outcome)
{
    run->finished = Ck_Now(Ck_System());
    run->outcome = outcome;
    endpoint->running--;
}

/* Milliseconds until the host is gone; -1 when it is not leaving. */
int64_t
Ep_LeftMsec(const struct ep_endpoint *endpoint)
{
    if (!endpoint->leaving) {
        return -1;
    }
    int64_t left = endpoint->leaves_at - Ck_Now(Ck_System());
    return left > 0 ? left / Ck_USEC_PER_MSEC : 0;
}

/* The fault that hits a request to this endpoint. */
struct fl_fault
Ep_Fault(struct ep_endpoint *endpoint, const char *target,
         const struct hs_request *request)
{
    struct fl_query query = {
        .target = target,
        .path = Hs_Path(request),
        .stream = "",
        .running = endpoint->running,
    };
    return Fl_Take(Sv_Faults(endpoint->program), &query);
}

static json_t *
run_json(const struct ep_run *run)
{
    return json_pack(
        "{s:s, s:s, s:s, s:I, s:I, s:i, s:i, s:i, s:b, s:s}", "request_id",
        run->request_id, "key", run->key, "path", run->path, "started",
        (json_int_t)run->started, "finished", (json_int_t)run->finished,
        "tokens", run->tokens, "recomputed", run->recomputed, "cached",
        run->cached, "leaving", run->leaving, "outcome", run->outcome);
}

static void
list_runs(struct ep_endpoint *endpoint, struct hs_request *request)
{
    json_t *list = json_array();
    json_t *keys = json_object();
    json_int_t tokens = 0;
    json_int_t recomputed = 0;
    const struct ep_run *run;
    TAILQ_FOREACH (run, &endpoint->runs, link) {
        json_array_append_new(list, run_json(run));
        tokens += run->tokens;
        recomputed += run->recomputed;
        if (run->key[0] != '\0') {
            json_int_t old =
                json_integer_value(json_object_get(keys, run->key));
            json_object_set_new(keys, run->key, json_integer(old + 1));
        }
    }
    json_t *totals = json_pack("{s:I, s:i, s:I, s:I}", "runs",
                               (json_int_t)endpoint->run_count, "running",
                               endpoint->running, "tokens", tokens,
                               "recomputed", recomputed);
    Sv_Reply(endpoint->program, request, 200,
             json_pack("{s:o, s:o, s:o}", "runs", list, "keys", keys, "totals",
                       totals));
}

/* A member of the body that is given in milliseconds, in microseconds. */
static int64_t
time_asked(struct hs_request *request, const char *name)
{
    json_t *body = Sv_BodyJson(request);
    int64_t msec = json_integer_value(json_object_get(body, name));
    json_decref(body);
    return msec * Ck_USEC_PER_MSEC;
}

static void
leave(struct ep_endpoint *endpoint, struct hs_request *request)
{
    int64_t left = time_asked(request, "left_ms");
    endpoint->leaving = true;
    endpoint->leaves_at = Ck_Now(Ck_System()) + left;
    Lp_TimerSet(endpoint->leave_timer, left);
    Sv_Reply(endpoint->program, request, 200, json_object());
}

static void
turn_cold(struct ep_endpoint *endpoint, struct hs_request *request)
{
    endpoint->cold_until =
        Ck_Now(Ck_System()) + time_asked(request, "cold_ms");
    Sv_Reply(endpoint->program, request, 200, json_object());
}

/* Serves the controls of tests; true when the request was one of them. */
bool
Ep_Control(struct ep_endpoint *endpoint, struct hs_request *request)
{
    if (Sv_Is(request, "GET", "/standin/runs")) {
        list_runs(endpoint, request);
        return true;
    }
    if (Sv_Is(request, "POST", "/standin/leave")) {
        leave(endpoint, request);
        return true;
    }
    if (Sv_Is(request, "POST", "/standin/cold")) {
        turn_cold(endpoint, request);
        return true;
    }
    return Sv_Control(endpoint->program, request);
}
