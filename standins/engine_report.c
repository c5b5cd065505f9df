/* The engine's load report, which may lag, and the orders it takes. */
#include <bsd/string.h>
#include <stdlib.h>

#include "base/clock.h"
#include "standins/engine.h"

#define WINDOW_USEC Ck_USEC_PER_SEC
#define MSEC_A_YEAR INT64_C(31536000000)

/* Counts a token for the rate, taken over windows of a second. */
void
En_CountToken(struct en_engine *engine)
{
    int64_t now = Ck_Now(Ck_System());
    int64_t age = now - engine->window_start;
    if (age >= WINDOW_USEC) {
        engine->tokens_per_sec =
            (double)engine->window_tokens * Ck_USEC_PER_SEC / (double)age;
        engine->window_start = now;
        engine->window_tokens = 0;
    }
    engine->window_tokens++;
}

static void
take_report(struct en_engine *engine)
{
    const struct ep_options *options = &engine->endpoint->options;
    int64_t now = Ck_Now(Ck_System());
    bool idle = now - engine->window_start > 2 * WINDOW_USEC;
    json_decref(engine->load);
    engine->load_taken = now;
    engine->load = json_pack(
        "{s:s, s:s, s:i, s:i, s:i, s:f, s:s}", "service", options->service,
        "version", options->version, "running", engine->running_count,
        "waiting", engine->waiting_count, "slots", options->slots,
        "tokens_per_s", idle ? 0.0 : engine->tokens_per_sec, "state",
        engine->endpoint->leaving ? "leaving" : "live");
    json_object_set_new(
        engine->load, "cold_ms",
        json_integer(Ep_ColdUsec(engine->endpoint) / Ck_USEC_PER_MSEC));
    if (engine->brittle.most >= 0) {
        json_object_set_new(engine->load, "refusals_borne",
                            json_integer(engine->brittle.most));
    }
    if (engine->rate_limit > 0) {
        json_object_set_new(engine->load, "requests_per_s",
                            json_real(engine->rate_limit));
    }
    int64_t left = Ep_LeftMsec(engine->endpoint);
    if (left >= 0) {
        json_object_set_new(engine->load, "left_ms", json_integer(left));
    }
}

static void
report_due(void *arg)
{
    struct en_engine *engine = arg;
    take_report(engine);
    Lp_TimerSet(engine->load_timer, engine->endpoint->options.load_lag_usec);
}

/* Takes the first report; with a lag a new one every period. */
void
En_LoadOpen(struct en_engine *engine)
{
    engine->window_start = Ck_Now(Ck_System());
    engine->load_timer =
        Lp_TimerCreate(Sv_Loop(engine->endpoint->program), report_due, engine);
    if (engine->endpoint->options.load_lag_usec > 0) {
        report_due(engine);
    }
}

/* Frees the report; the loop is gone already. */
void
En_LoadClose(struct en_engine *engine)
{
    free(engine->load_timer);
    json_decref(engine->load);
}

/* The report of section 6, with its age. */
json_t *
En_Load(struct en_engine *engine)
{
    if (engine->endpoint->options.load_lag_usec == 0) {
        take_report(engine);
    }
    int64_t age = Ck_Now(Ck_System()) - engine->load_taken;
    json_t *report = json_copy(engine->load);
    json_object_set_new(report, "age_ms",
                        json_integer(age / Ck_USEC_PER_MSEC));
    return report;
}

static void
copy_name(const json_t *order, const char *name, char out[Ep_NAME_MAX])
{
    const char *text = json_string_value(json_object_get(order, name));
    if (text != NULL) {
        strlcpy(out, text, Ep_NAME_MAX);
    }
}

/* An expiry is calendar time; small numbers are a mistake of the sender. */
static bool
expired(const json_t *order)
{
    json_int_t at = json_integer_value(json_object_get(order, "expires_ms"));
    return at > MSEC_A_YEAR && at < Ck_Wall(Ck_System()) / Ck_USEC_PER_MSEC;
}

/* Takes an order, unless it has expired or its fence is too old. */
void
En_Order(struct en_engine *engine, const json_t *order,
         struct sv_answer *answer)
{
    struct ep_options *options = &engine->endpoint->options;
    json_int_t fence = json_integer_value(json_object_get(order, "fence"));
    if (options->fenced && fence < engine->fence) {
        answer->code = 409;
        answer->body = json_pack("{s:I}", "fence", (json_int_t)engine->fence);
        return;
    }
    if (expired(order)) {
        answer->code = 410;
        answer->body = json_pack("{s:s}", "error", "the order has expired");
        return;
    }
    if (fence > engine->fence) {
        engine->fence = fence;
    }
    copy_name(order, "service", options->service);
    copy_name(order, "version", options->version);
    json_array_append_new(engine->orders, json_deep_copy(order));
    answer->body = json_pack("{s:I}", "fence", (json_int_t)engine->fence);
}
