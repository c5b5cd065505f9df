#include "unknown_model.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/hash.h"
#include "base/random.h"
#include "policy/choose.h"
#include "policy/move.h"

#define REQUESTS_MAX 1024
#define TRIED_MAX 16
#define ATTEMPTS_MAX 6   /* as in gate/relay_engine.c */
#define UNREACHED_MAX 16 /* as in gate/relay_engine.c */
#define RETRY_RATIO 0.2  /* as in gate/endpoints.c */
#define RETRY_MAX 50     /* as in gate/endpoints.c */
#define DEADLINE_USEC (60 * Ck_USEC_PER_SEC)
#define QUEUE_USEC (20 * Ck_USEC_PER_MSEC)
#define FAIL_FAST_USEC Ck_USEC_PER_MSEC
#define NEVER INT64_MAX

/* The next event of a request; "due" is its time. */
enum next {
    NEXT_NONE, /* this element is free */
    NEXT_SEND,
    NEXT_TOKEN,
    NEXT_END,
    NEXT_BREAK,
    NEXT_REFUSED,
};

struct request {
    enum next next;
    int64_t due;
    int64_t arrived;
    struct ch_flight flight;
    int64_t answered;     /* time of the first token of this attempt */
    bool partly_answered; /* the caller has part of the answer */
    enum next after_token;
    int attempts;
    int unreached;
    bool failed_on_trial;
    int failed;           /* attempts that failed otherwise */
    int unreached_in_row; /* attempts and choices without an endpoint in a row
                           */
    int full_in_row;      /* choices in a row with every engine full */
    uint64_t prefix;
    char tried[TRIED_MAX][Ch_NAME_MAX];
    const char *tried_list[TRIED_MAX];
    size_t tried_count;
    char sent_to[sizeof(((struct um_counts *)0)->first_avoidable) / 2];
};

struct engine {
    char id[Ch_NAME_MAX];
    char version[Ch_NAME_MAX];
    enum um_health health;
    int health_count;
    int64_t delay_usec;
    int delay_count;
    bool leaving;
};

struct um_model {
    struct um_settings settings;
    struct ch_table *table;
    struct rt_budget retries;
    struct mv_trip trip;
    struct rn_random random;
    int prompt_tokens;
    int64_t now;
    int64_t next_arrival;
    struct engine engines[UM_ENGINES_MAX];
    int engine_count;
    struct request requests[REQUESTS_MAX];
    int requests_end; /* one past the highest element in use */
    struct um_counts counts;
};

/* A lightly loaded service: few of its many slots are in use. */
void
Um_Defaults(struct um_settings *settings)
{
    settings->arrival_gap = 10 * Ck_USEC_PER_MSEC;
    settings->first_token = 8 * Ck_USEC_PER_MSEC;
    settings->whole_answer = 40 * Ck_USEC_PER_MSEC;
    settings->slots = 8;
    settings->share = 0.1;
}

/* Creates a router without engines; NULL if out of memory. */
struct um_model *
Um_Create(const struct um_settings *settings, uint64_t seed)
{
    struct ch_settings choice;
    struct um_model *model = calloc(1, sizeof(*model));
    if (model == NULL) {
        return NULL;
    }
    struct ch_share shares[] = {
        {.version = UM_OLD, .share = 1 - settings->share},
        {.version = UM_NEW, .share = settings->share},
    };
    model->settings = *settings;
    Ch_Defaults(&choice);
    /* A prompt length for which the router predicts the right time. */
    model->prompt_tokens =
        (int)((settings->first_token - choice.base) / choice.per_token);
    model->table = Ch_Create("a", Ch_Predictive(), &choice);
    Ch_SetShares(model->table, shares, 2);
    Ch_SetTrial(model->table, UM_NEW);
    Rt_Init(&model->retries, RETRY_RATIO, RETRY_MAX);
    Mv_TripInit(&model->trip);
    Rn_Seed(&model->random, seed);
    model->now = 1000 * Ck_USEC_PER_SEC;
    model->next_arrival = model->now;
    model->counts.retries_min = RETRY_MAX;
    return model;
}

void
Um_Destroy(struct um_model *model)
{
    for (int i = 0; i < REQUESTS_MAX; i++) {
        if (model->requests[i].flight.endpoint != NULL) {
            Ch_End(model->table, &model->requests[i].flight, CH_CANCELLED,
                   model->now);
        }
    }
    Ch_Destroy(model->table);
    free(model);
}

/* Draws a time uniformly from 0.5 to 1.5 of the mean. */
static int64_t
draw(struct um_model *model, int64_t mean)
{
    return (int64_t)((double)mean * (0.5 + Rn_Unit(&model->random)));
}

static struct engine *
engine_of(struct um_model *model, const struct ch_flight *flight)
{
    for (int i = 0; i < model->engine_count; i++) {
        if (strcmp(model->engines[i].id, Ch_Info(flight->endpoint)->id) == 0) {
            return &model->engines[i];
        }
    }
    return NULL;
}

/* Whether an engine of the good version could take a request now. */
static bool
has_free_good_engine(const struct um_model *model)
{
    for (int i = 0; i < model->engine_count; i++) {
        const struct engine *engine = &model->engines[i];
        const struct ch_endpoint *endpoint = Ch_Find(model->table, engine->id);
        if (strcmp(engine->version, UM_OLD) == 0 && !engine->leaving &&
            engine->health == UM_HEALTHY &&
            Ch_InFlight(endpoint) < Ch_Limit(endpoint)) {
            return true;
        }
    }
    return false;
}

static void
append_state(const struct um_model *model, char *out, size_t size)
{
    size_t len = strlen(out);
    for (int i = 0; i < model->engine_count && len < size; i++) {
        const struct engine *engine = &model->engines[i];
        const struct ch_endpoint *endpoint = Ch_Find(model->table, engine->id);
        len += (size_t)snprintf(out + len, size - len, " %s:%s:%s:%d/%d",
                                engine->id, engine->version,
                                Ch_Obstacle(endpoint, model->now),
                                Ch_InFlight(endpoint), Ch_Limit(endpoint));
    }
}

/* Ends a request that gets no further attempt. */
static void
fail_request(struct um_model *model, struct request *request,
             enum rt_reason reason)
{
    struct um_counts *counts = &model->counts;
    request->next = NEXT_NONE;
    if (request->attempts - request->unreached == 0) {
        counts->not_run++;
        return;
    }
    counts->unknown++;
    if (!has_free_good_engine(model)) {
        return;
    }
    counts->by_reason[reason]++;
    if (counts->avoidable++ == 0) {
        snprintf(counts->first_avoidable, sizeof(counts->first_avoidable),
                 "%s sent_to=%s",
                 reason == RT_ALLOWED ? "no-engine" : Rt_ReasonName(reason),
                 request->sent_to);
        append_state(model, counts->first_avoidable,
                     sizeof(counts->first_avoidable));
    }
}

/* Schedules the first event of the attempt, by the health of its engine. */
static void
start_attempt(struct um_model *model, struct request *request)
{
    struct engine *engine = engine_of(model, &request->flight);
    enum um_health health = engine->health;
    size_t len = strlen(request->sent_to);
    snprintf(request->sent_to + len, sizeof(request->sent_to) - len, "%s%s",
             len > 0 ? "," : "", engine->id);
    if (health != UM_HEALTHY && engine->health_count > 0 &&
        --engine->health_count == 0) {
        engine->health = UM_HEALTHY;
    }
    request->attempts++;
    request->answered = 0;
    request->due = model->now + FAIL_FAST_USEC;
    if (health == UM_REFUSES) {
        request->next = NEXT_REFUSED;
        return;
    }
    if (health == UM_FAILS) {
        request->next = NEXT_BREAK;
        return;
    }
    request->due = model->now + draw(model, model->settings.first_token);
    if (engine->delay_count > 0) {
        engine->delay_count--;
        request->due += engine->delay_usec;
    }
    bool early = health == UM_DISCONNECTS && Rn_Below(&model->random, 2) == 0;
    request->next = early ? NEXT_BREAK : NEXT_TOKEN;
    request->after_token = health == UM_DISCONNECTS ? NEXT_BREAK : NEXT_END;
}

/*
 * Chooses the engine of an attempt and sends to it, as Rq_Choose() in
 * packages/gate/request.c and attempt() in relay_engine.c do.
 */
static void
choose_and_send(struct um_model *model, struct request *request)
{
    struct ch_request choice_request = {
        .prefix = request->prefix,
        .prompt_tokens = model->prompt_tokens,
        .budget = request->arrived + DEADLINE_USEC - model->now,
        .is_retry = request->attempts > 0,
        .failed = request->failed_on_trial || request->failed > 0,
        .tried = request->tried_list,
        .tried_count = request->tried_count,
    };
    enum st_status status =
        Ch_Choose(model->table, &choice_request, model->now, &model->random,
                  &request->flight);
    bool waited = request->full_in_row >= UNREACHED_MAX;
    if (status != ST_OK && request->tried_count > 0 &&
        (status != ST_OVERLOAD || waited)) {
        request->tried_count = 0;
        choice_request.tried_count = 0;
        status = Ch_Choose(model->table, &choice_request, model->now,
                           &model->random, &request->flight);
    }
    if (status == ST_OK) {
        Ch_Start(model->table, &request->flight, model->now);
        Rt_RaiseCapacity(&model->retries, Ch_AllInFlight(model->table));
        snprintf(request->tried[request->tried_count], Ch_NAME_MAX, "%s",
                 Ch_Info(request->flight.endpoint)->id);
        request->tried_count += request->tried_count + 1 < TRIED_MAX;
        request->full_in_row = 0;
        start_attempt(model, request);
        return;
    }
    request->flight.endpoint = NULL;
    request->next = NEXT_SEND;
    if (request->attempts == 0 && status == ST_OVERLOAD) {
        request->due = model->now + QUEUE_USEC; /* waits in the queue */
        return;
    }
    bool ran = request->attempts > request->unreached;
    if (ran && status == ST_OVERLOAD) {
        request->full_in_row++;
    }
    else {
        request->unreached_in_row++;
    }
    if (!ran || request->unreached_in_row >= UNREACHED_MAX ||
        model->now - request->arrived >= DEADLINE_USEC) {
        fail_request(model, request, RT_ALLOWED);
        return;
    }
    request->due = model->now + Rt_Backoff(request->unreached_in_row +
                                           request->full_in_row);
}

/* Does what Rq_RecordFailure() in packages/gate/request.c does. */
static void
note_failed(struct request *request, bool reached)
{
    if (!reached) {
        request->unreached++;
    }
    else if (request->flight.on_trial && request->failed == 0 &&
             !request->failed_on_trial) {
        request->failed_on_trial = true;
    }
    else {
        request->failed++;
    }
}

/*
 * Retries or ends a request after a failed attempt, as Rq_MayRetry() in
 * packages/gate/request.c and attempt_failed() in relay_engine.c do.
 */
static void
retry_or_fail(struct um_model *model, struct request *request, bool reached)
{
    note_failed(request, reached);
    request->unreached_in_row = reached ? 0 : request->unreached_in_row + 1;
    struct rt_attempt attempt = {
        .stage = reached ? RT_SENT : RT_NOT_SENT,
        .idempotent = true,
        .attempts = request->failed,
        .connect_failures = request->unreached,
        .time_left = request->arrived + DEADLINE_USEC - model->now,
    };
    bool ran = request->attempts > request->unreached;
    if (!request->partly_answered) {
        enum rt_reason why = Rt_DenyReason(&model->retries, &attempt);
        if (Rt_Decide(&model->retries, &attempt) != RT_RETRY) {
            fail_request(model, request, why);
            return;
        }
        model->counts.retries_min =
            fmin(model->counts.retries_min, model->retries.tokens);
    }
    if (attempt.attempts >= ATTEMPTS_MAX) {
        fail_request(model, request, RT_ATTEMPTS_SPENT);
        return;
    }
    if ((ran ? request->unreached_in_row : request->unreached) >=
        UNREACHED_MAX) {
        fail_request(model, request, RT_NOBODY_REACHED);
        return;
    }
    if (ran && request->unreached_in_row > 0) {
        request->next = NEXT_SEND;
        request->due = model->now + Rt_Backoff(request->unreached_in_row);
        return;
    }
    choose_and_send(model, request);
}

/*
 * Ends an attempt, as Re_EndFlight() and Mo_RecordOutcome() in packages/gate
 * do.
 */
static void
end_flight(struct um_model *model, struct request *request,
           enum ch_outcome outcome)
{
    const char *version = Ch_Info(request->flight.endpoint)->version;
    enum mv_side side = strcmp(version, UM_NEW) == 0 ? MV_NEW : MV_OLD;
    bool bad = outcome != CH_GOOD;
    bool before = model->trip.tripped;
    model->counts.failed[side] += bad;
    model->counts.new_failed_before_trip += bad && side == MV_NEW && !before;
    uint64_t endpoint = Hash_String(Ch_Info(request->flight.endpoint)->id, 0);
    if (Mv_TripNoteAt(&model->trip, side, bad ? MV_FAILED : MV_GOOD,
                      endpoint) &&
        !before) {
        Ch_Distrust(model->table, UM_NEW);
    }
    Ch_End(model->table, &request->flight, outcome, model->now);
}

static void
step(struct um_model *model, struct request *request)
{
    switch (request->next) {
    case NEXT_NONE:
        return;
    case NEXT_SEND:
        choose_and_send(model, request);
        return;
    case NEXT_TOKEN:
        Ch_FirstToken(model->table, &request->flight, model->now);
        request->partly_answered = true;
        request->next = request->after_token;
        request->due =
            model->now + draw(model, model->settings.whole_answer -
                                         model->settings.first_token);
        return;
    case NEXT_END:
        end_flight(model, request, CH_GOOD);
        Rt_Success(&model->retries);
        model->counts.good++;
        request->next = NEXT_NONE;
        return;
    case NEXT_BREAK:
        end_flight(model, request, CH_FAILED);
        retry_or_fail(model, request, true);
        return;
    case NEXT_REFUSED:
        end_flight(model, request, CH_UNREACHED);
        retry_or_fail(model, request, false);
        return;
    }
}

static void
arrive(struct um_model *model)
{
    model->next_arrival =
        model->now + 1 + draw(model, model->settings.arrival_gap);
    for (int i = 0; i < REQUESTS_MAX; i++) {
        struct request *request = &model->requests[i];
        if (request->next == NEXT_NONE) {
            memset(request, 0, sizeof(*request));
            for (int t = 0; t < TRIED_MAX; t++) {
                request->tried_list[t] = request->tried[t];
            }
            request->arrived = model->now;
            request->prefix = 1 + Rn_Below(&model->random, UINT32_MAX);
            model->counts.arrived++;
            model->requests_end =
                i < model->requests_end ? model->requests_end : i + 1;
            choose_and_send(model, request);
            return;
        }
    }
}

static struct request *
first_due(struct um_model *model)
{
    struct request *first = NULL;
    while (model->requests_end > 0 &&
           model->requests[model->requests_end - 1].next == NEXT_NONE) {
        model->requests_end--;
    }
    for (int i = 0; i < model->requests_end; i++) {
        struct request *request = &model->requests[i];
        if (request->next != NEXT_NONE &&
            (first == NULL || request->due < first->due)) {
            first = request;
        }
    }
    return first;
}

static void
run_until(struct um_model *model, int64_t until)
{
    for (;;) {
        struct request *request = first_due(model);
        int64_t due = request != NULL ? request->due : NEVER;
        bool arrival = model->next_arrival < due;
        int64_t at = arrival ? model->next_arrival : due;
        if (at > until || at == NEVER) {
            break;
        }
        model->now = at > model->now ? at : model->now;
        if (arrival) {
            arrive(model);
        }
        else {
            step(model, request);
        }
    }
}

void
Um_Run(struct um_model *model, int64_t usec)
{
    int64_t until = model->now + usec;
    run_until(model, until);
    model->now = until;
}

void
Um_Drain(struct um_model *model)
{
    model->next_arrival = NEVER;
    run_until(model, NEVER - 1);
}

int
Um_AddEngine(struct um_model *model, const char *version)
{
    int number = model->engine_count++;
    struct engine *engine = &model->engines[number];
    struct ch_info info = {.slots = model->settings.slots, .price = 1};
    snprintf(engine->id, sizeof(engine->id), "engine-%d", number);
    snprintf(engine->version, sizeof(engine->version), "%s", version);
    snprintf(info.id, sizeof(info.id), "%s", engine->id);
    snprintf(info.version, sizeof(info.version), "%s", version);
    snprintf(info.data_centre, sizeof(info.data_centre), "a");
    Ch_Put(model->table, &info);
    return number;
}

/* A count of 0 makes the engine healthy. */
void
Um_SetHealth(struct um_model *model, int engine, enum um_health health,
             int count)
{
    model->engines[engine].health = count != 0 ? health : UM_HEALTHY;
    model->engines[engine].health_count = count;
}

/* Delayed answers are still good ones. */
void
Um_Delay(struct um_model *model, int engine, int64_t usec, int count)
{
    model->engines[engine].delay_usec = usec;
    model->engines[engine].delay_count = count;
}

void
Um_Kill(struct um_model *model, int engine)
{
    Um_SetHealth(model, engine, UM_REFUSES, -1);
    for (int i = 0; i < model->requests_end; i++) {
        struct request *request = &model->requests[i];
        if (request->next != NEXT_NONE && request->flight.endpoint != NULL &&
            engine_of(model, &request->flight) == &model->engines[engine]) {
            request->next = NEXT_BREAK;
            request->due = model->now;
        }
    }
}

/* Reports the engine to the router as suspect. */
void
Um_Suspect(struct um_model *model, int engine)
{
    Ch_SetState(model->table, model->engines[engine].id, CH_SUSPECT, 0,
                model->now);
}

/* Reports the engine to the router as permanently gone. */
void
Um_Leave(struct um_model *model, int engine)
{
    model->engines[engine].leaving = true;
    Ch_SetState(model->table, model->engines[engine].id, CH_LEAVING, 0,
                model->now);
}

/* Whether the router's circuit breaker for the new version has tripped. */
bool
Um_Tripped(const struct um_model *model)
{
    return model->trip.tripped;
}

bool
Um_IsEjected(const struct um_model *model, int engine)
{
    return Ch_Ejected(Ch_Find(model->table, model->engines[engine].id),
                      model->now);
}

const struct um_counts *
Um_Counts(const struct um_model *model)
{
    return &model->counts;
}
