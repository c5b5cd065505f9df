/*
 * The weight store: loads that take their time, over a limited rate.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "standins/bucket.h"
#include "standins/platform.h"

#define LOADS_PATH "/weights/v1/loads"

struct pl_weights {
    struct sv_program *program;
    struct bk_bucket bucket;
    int64_t load_usec;
    json_t *loads; /* load N at N - 1 */
};

/* Creates the store; its rate starts with one load in hand. */
struct pl_weights *
Pl_WeightsCreate(struct sv_program *program, const struct pl_options *options)
{
    struct pl_weights *weights = calloc(1, sizeof(*weights));
    if (weights == NULL) {
        return NULL;
    }
    weights->program = program;
    weights->load_usec = options->load_usec;
    weights->loads = json_array();
    Bk_Init(&weights->bucket, options->load_rate, 1, Ck_Now(Ck_System()));
    return weights;
}

/* Frees the store with its loads. */
void
Pl_WeightsDestroy(struct pl_weights *weights)
{
    json_decref(weights->loads);
    free(weights);
}

static void
start_load(struct pl_weights *weights, struct hs_request *request, bool fail,
           struct sv_answer *answer)
{
    int64_t now = Ck_Now(Ck_System());
    if (!Bk_Take(&weights->bucket, now)) {
        answer->code = 429;
        answer->retry_after_sec = 1;
        answer->body = json_pack("{s:s}", "error", "load rate exceeded");
        return;
    }
    json_t *load = Sv_BodyJson(request);
    json_object_set_new(load, "started", json_integer(now));
    json_object_set_new(load, "fails", json_boolean(fail));
    json_array_append_new(weights->loads, load);
    char id[32];
    snprintf(id, sizeof(id), "%zu", json_array_size(weights->loads));
    answer->code = 202;
    answer->body = json_pack("{s:s}", "id", id);
}

static const char *
load_state(const struct pl_weights *weights, const json_t *load)
{
    int64_t age = Ck_Now(Ck_System()) -
                  json_integer_value(json_object_get(load, "started"));
    if (age < weights->load_usec / 4) {
        return "queued";
    }
    if (age < weights->load_usec) {
        return "loading";
    }
    return json_is_true(json_object_get(load, "fails")) ? "failed" : "done";
}

static void
show_load(struct pl_weights *weights, const char *id, struct sv_answer *answer)
{
    size_t number = strtoul(id, NULL, 10);
    const json_t *load =
        number > 0 ? json_array_get(weights->loads, number - 1) : NULL;
    if (load == NULL) {
        answer->code = 404;
        answer->body = json_pack("{s:s}", "error", "no such load");
        return;
    }
    answer->body = json_pack("{s:s}", "state", load_state(weights, load));
}

/* Serves loads and the list of them. */
bool
Pl_WeightsServe(struct pl_weights *weights, struct hs_request *request)
{
    const char *path = Hs_Path(request);
    if (Sv_Is(request, "GET", "/standin/loads")) {
        Sv_Reply(weights->program, request, 200,
                 json_pack("{s:O}", "loads", weights->loads));
        return true;
    }
    if (strncmp(path, LOADS_PATH, strlen(LOADS_PATH)) != 0) {
        return false;
    }
    struct fl_query query = {
        .target = "weights",
        .path = path,
        .stream = Hs_Method(request),
    };
    struct fl_fault fault = Fl_Take(Sv_Faults(weights->program), &query);
    if (Sv_Before(request, &fault)) {
        return true;
    }
    struct sv_answer answer = {.code = 200};
    if (Sv_Is(request, "POST", LOADS_PATH)) {
        start_load(weights, request, fault.mode == FL_FAIL, &answer);
    }
    else {
        const char *id = strrchr(path, '/') + 1;
        show_load(weights, id, &answer);
    }
    Sv_Answer(weights->program, request, &fault, &answer);
    return true;
}
