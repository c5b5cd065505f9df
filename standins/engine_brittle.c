/* An engine that falls over when it turns too many requests away. */
#include "base/clock.h"
#include "standins/engine.h"

#define DOWN_USEC (2 * Ck_USEC_PER_SEC)

/* While it is down connections end without an answer. */
bool
En_IsDown(const struct en_engine *engine)
{
    return Ck_Now(Ck_System()) < engine->brittle.down_until;
}

static void
fall(struct en_engine *engine, struct hs_request *request)
{
    struct en_brittle *brittle = &engine->brittle;
    brittle->falls++;
    brittle->refused = 0;
    brittle->down_until = Ck_Now(Ck_System()) + DOWN_USEC;
    Hs_Abort(request);
}

/* True when there was no room for the request, and it was answered so. */
bool
En_TurnsAway(struct en_engine *engine, struct hs_request *request)
{
    struct en_brittle *brittle = &engine->brittle;
    int64_t now = Ck_Now(Ck_System());
    if (brittle->most < 0 || engine->running_count + engine->waiting_count <
                                 engine->endpoint->options.slots) {
        return false;
    }
    if (now - brittle->since >= Ck_USEC_PER_SEC) {
        brittle->since = now;
        brittle->refused = 0;
    }
    brittle->refused++;
    if (brittle->refused > brittle->most) {
        fall(engine, request);
        return true;
    }
    Sv_Reply(engine->endpoint->program, request, 503,
             json_pack("{s:s}", "error", "no room"));
    return true;
}

static void
set_rate_limit(struct en_engine *engine, struct hs_request *request)
{
    json_t *body = Sv_BodyJson(request);
    engine->rate_limit = json_number_value(json_object_get(body, "per_s"));
    json_decref(body);
    Sv_Reply(engine->endpoint->program, request, 200, json_object());
}

/* Serves the controls of tests; true when the request was one of them. */
bool
En_BrittleControl(struct en_engine *engine, struct hs_request *request)
{
    if (Sv_Is(request, "POST", "/standin/brittle")) {
        json_t *body = Sv_BodyJson(request);
        const json_t *most = json_object_get(body, "most");
        engine->brittle.most =
            json_is_integer(most) ? (int)json_integer_value(most) : -1;
        json_decref(body);
        Sv_Reply(engine->endpoint->program, request, 200, json_object());
        return true;
    }
    if (Sv_Is(request, "POST", "/standin/rate-limit")) {
        set_rate_limit(engine, request);
        return true;
    }
    if (Sv_Is(request, "GET", "/standin/falls")) {
        Sv_Reply(engine->endpoint->program, request, 200,
                 json_pack("{s:i}", "falls", engine->brittle.falls));
        return true;
    }
    return false;
}
