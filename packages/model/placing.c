#include "model/placing.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/hash.h"
#include "base/random.h"
#include "edge/place.h"
#include "edge/prefix.h"
#include "model/agenda.h"
#include "model/placing_internal.h"

#define Mp_ENGINES_MAX 512
#define Mp_FILL 1.25 /* requests an engine is given, of its places */
/* Lanes are asked for as if there were this many endpoints. */
#define Mp_MANY_ENDPOINTS 128
/* Requests that the part of long prompts is found from. */
#define Mp_SAMPLE 2000

enum happening {
    MP_ARRIVAL,
    MP_STEP,
    MP_WORD,
};

/* What a host has at an engine, and what of it the others were told. */
struct at_engine {
    int running;
    int told_running;
    int64_t reading;
    int64_t told_reading;
};

struct engine {
    struct model *model;
    struct me_engine *engine;
    bool steps;
    bool long_lane;
    int told_running; /* by all hosts */
    int64_t told_reading;
};

struct model {
    const struct mp_load *load;
    const struct mp_ways *ways;
    struct rn_random random;
    struct ag_agenda *agenda;
    struct engine *engines;
    struct at_engine *at; /* by host and engine */
    struct px_table **prefixes;
    struct mp_request *requests;
    size_t request_count;
    size_t arrived;
    double long_part; /* of the engines, that long prompts have alone */
    int64_t now;
    bool failed; /* without memory */
};

static void
expect(struct model *model, int64_t at, enum happening kind, size_t index)
{
    model->failed |= !Ag_Add(model->agenda, at, kind, index);
}

static struct at_engine *
at_of(struct model *model, size_t host, size_t engine)
{
    return &model->at[host * model->load->engines + engine];
}

static void
on_first(void *arg, struct me_job *job, int64_t now)
{
    struct engine *engine = arg;
    struct mp_request *request = (struct mp_request *)job;
    struct at_engine *at =
        at_of(engine->model, request->host, request->engine);
    at->reading -= request->reading;
    request->first_msec =
        (double)(now - request->arrived_at) / (double)Ck_USEC_PER_MSEC;
}

static void
on_ended(void *arg, struct me_job *job, int64_t now)
{
    struct engine *engine = arg;
    struct mp_request *request = (struct mp_request *)job;
    at_of(engine->model, request->host, request->engine)->running--;
}

static const struct me_ops engine_ops = {
    .first = on_first,
    .ended = on_ended,
};

/* From -6 to 6: twelve even draws come close enough to the normal one. */
static double
normal(struct rn_random *random)
{
    double sum = -6;
    for (int i = 0; i < 12; i++) {
        sum += Rn_Unit(random);
    }
    return sum;
}

static double
draw_size(struct rn_random *random, const struct mp_size *size)
{
    double spread = size->spread;
    double drawn =
        size->mean * exp(spread * normal(random) - spread * spread / 2);
    drawn = size->most > 0 && drawn > size->most ? size->most : drawn;
    return drawn < 1 ? 1 : drawn;
}

static size_t
draw_kind(struct model *model)
{
    const struct mp_load *load = model->load;
    double all = 0;
    for (size_t i = 0; i < load->kind_count; i++) {
        all += load->kinds[i].weight;
    }
    double at = Rn_Unit(&model->random) * all;
    size_t kind = 0;
    while (kind + 1 < load->kind_count && at >= load->kinds[kind].weight) {
        at -= load->kinds[kind].weight;
        kind++;
    }
    return kind;
}

/* A subject has the same tokens each time it is drawn. */
static int64_t
subject_tokens(const struct mp_shared *shared, uint64_t id)
{
    struct rn_random random;
    Rn_Seed(&random, id);
    return (int64_t)draw_size(&random, &shared->tokens);
}

static void
add_part(struct me_job *job, uint64_t id, int64_t tokens)
{
    job->parts[job->part_count] = id;
    job->part_tokens[job->part_count] = tokens;
    job->part_count++;
}

static void
draw_request(struct model *model, size_t number, struct mp_request *request)
{
    request->kind = draw_kind(model);
    request->host = Rn_Below(&model->random, (uint32_t)model->load->hosts);
    request->first_msec = -1;
    const struct mp_kind *kind = &model->load->kinds[request->kind];
    for (size_t i = 0; i + 1 < Me_PARTS_MAX; i++) {
        const struct mp_shared *shared = &kind->shared[i];
        if (shared->subjects == 0) {
            continue;
        }
        uint64_t name[3] = {
            request->kind, i,
            Rn_Below(&model->random, (uint32_t)shared->subjects)};
        uint64_t id = Hash_Bytes(name, sizeof(name), 0);
        int64_t tokens = subject_tokens(shared, id);
        add_part(&request->job, id, tokens);
        request->shared += tokens;
    }
    int64_t own = (int64_t)draw_size(&model->random, &kind->own_tokens);
    uint64_t name[2] = {number, UINT64_MAX};
    add_part(&request->job, Hash_Bytes(name, sizeof(name), 0), own);
    request->prompt = request->shared + own;
    request->job.answer_tokens =
        (int64_t)draw_size(&model->random, &kind->answer_tokens);
}

static void
ask_of(const struct mp_request *request, struct hd_request_info *ask)
{
    memset(ask, 0, sizeof(*ask));
    ask->tokens_in = request->prompt;
    ask->part_count = request->job.part_count;
    for (size_t i = 0; i < ask->part_count; i++) {
        ask->parts[i].id = request->job.parts[i];
        ask->parts[i].tokens = (int)request->job.part_tokens[i];
    }
}

/* What others wait for has been read in part since they told it. */
static int64_t
others_reading(const struct model *model, const struct engine *engine,
               const struct at_engine *at)
{
    int64_t told = engine->told_reading - at->told_reading;
    double read =
        (double)model->load->word_usec / 2 / model->load->speed.token_usec;
    return (double)told > read ? told - (int64_t)read : 0;
}

static void
describe(struct model *model, const struct mp_request *request,
         const struct hd_request_info *ask, struct pl_candidate *candidates)
{
    const struct mp_load *load = model->load;
    uint64_t own_id = ask->parts[ask->part_count - 1].id;
    uint64_t group = Px_Group(ask);
    group = group == 0 || model->ways->no_homes ? own_id : group;
    for (size_t i = 0; i < load->engines; i++) {
        const struct engine *engine = &model->engines[i];
        const struct at_engine *at = at_of(model, request->host, i);
        uint64_t home[2] = {group, i};
        uint64_t lot[2] = {own_id, i};
        struct px_uncached missing = Px_CountUncached(
            model->prefixes[request->host], ask, (uint32_t)i, model->now);
        candidates[i] = (struct pl_candidate){
            .slots = load->speed.places,
            .running = at->running + engine->told_running - at->told_running,
            .prefill_tokens = at->reading + others_reading(model, engine, at),
            .uncached_tokens = missing.tokens,
            .uncached_shared = missing.shared,
            .same_zone =
                i % load->data_centres == request->host % load->data_centres,
            .home_hash = Hash_Bytes(home, sizeof(home), 0),
            .sample_hash =
                (double)Hash_Bytes(lot, sizeof(lot), 0) / (double)UINT64_MAX,
            .long_lane = engine->long_lane,
        };
    }
}

static void
begin_step(struct model *model, size_t index)
{
    struct engine *engine = &model->engines[index];
    int64_t usec = Me_BeginStep(engine->engine);
    engine->steps = usec > 0;
    if (usec > 0) {
        expect(model, model->now + usec, MP_STEP, index);
    }
}

static void
place(struct model *model, struct mp_request *request)
{
    static struct pl_candidate candidates[Mp_ENGINES_MAX];
    const struct mp_load *load = model->load;
    struct hd_request_info ask;
    ask_of(request, &ask);
    describe(model, request, &ask, candidates);
    double unheard =
        load->per_sec * (double)load->word_usec / (double)Ck_USEC_PER_SEC;
    struct pl_limits limits = {
        .engine = true,
        .fill_max = Mp_FILL,
        .lanes = model->long_part > 0,
        .is_long = Pl_IsLong(request->prompt),
        .sampled_fraction = model->ways->all_look
                                ? 1
                                : Pl_SampledFraction(load->engines, unheard),
    };
    struct pl_choice choice = {0, 0};
    if (Pl_Choose(candidates, load->engines, &limits, &choice) != PL_CHOSEN) {
        return;
    }
    struct at_engine *at = at_of(model, request->host, choice.index);
    at->running++;
    at->reading += choice.prefill_tokens;
    request->engine = choice.index;
    request->reading = choice.prefill_tokens;
    Px_NoteSent(model->prefixes[request->host], &ask, (uint32_t)choice.index,
                model->now);
    Me_Take(model->engines[choice.index].engine, &request->job);
    if (!model->engines[choice.index].steps) {
        begin_step(model, choice.index);
    }
}

static void
on_arrival(struct model *model)
{
    struct mp_request *request = &model->requests[model->arrived];
    draw_request(model, model->arrived++, request);
    request->arrived_at = model->now;
    place(model, request);
    if (model->arrived < model->request_count) {
        double gap = -log(1 - Rn_Unit(&model->random)) / model->load->per_sec;
        expect(model, model->now + (int64_t)(gap * (double)Ck_USEC_PER_SEC),
               MP_ARRIVAL, 0);
    }
}

static void
on_word(struct model *model, size_t host)
{
    for (size_t i = 0; i < model->load->engines; i++) {
        struct engine *engine = &model->engines[i];
        struct at_engine *at = at_of(model, host, i);
        engine->told_running += at->running - at->told_running;
        engine->told_reading += at->reading - at->told_reading;
        at->told_running = at->running;
        at->told_reading = at->reading;
    }
    if (model->arrived < model->request_count) {
        expect(model, model->now + model->load->word_usec, MP_WORD, host);
    }
}

static void
on_step(struct model *model, size_t engine)
{
    Me_EndStep(model->engines[engine].engine, model->now);
    begin_step(model, engine);
}

static void
play(struct model *model)
{
    struct ag_entry entry;
    while (Ag_Next(model->agenda, &entry)) {
        model->now = entry.at;
        switch (entry.kind) {
        case MP_ARRIVAL:
            on_arrival(model);
            break;
        case MP_WORD:
            on_word(model, entry.index);
            break;
        default:
            on_step(model, entry.index);
            break;
        }
    }
}

/* The part of all prompt tokens that long prompts bring, from a sample. */
static double
find_long_share(struct model *model)
{
    double all = 0;
    double in_long = 0;
    for (size_t i = 0; i < Mp_SAMPLE; i++) {
        struct mp_request request = {0};
        draw_request(model, 0, &request);
        double prompt = (double)request.prompt;
        all += prompt;
        in_long += Pl_IsLong(request.prompt) ? prompt : 0;
    }
    return in_long / all;
}

static double
find_long_part(struct model *model)
{
    double share = find_long_share(model);
    switch (model->ways->lanes) {
    case MP_AS_DECIDED:
        return Pl_LongLaneFraction(model->load->engines, share);
    case MP_ALWAYS:
        return Pl_LongLaneFraction(Mp_MANY_ENDPOINTS, share);
    default:
        return 0;
    }
}

static void
set_lanes(struct model *model)
{
    model->long_part = find_long_part(model);
    for (size_t i = 0; i < model->load->engines; i++) {
        uint64_t name[2] = {i, 0};
        model->engines[i].long_lane =
            (double)Hash_Bytes(name, sizeof(name), 1) <
            model->long_part * (double)UINT64_MAX;
    }
}

static bool
create_engines(struct model *model)
{
    const struct mp_load *load = model->load;
    model->engines = calloc(load->engines, sizeof(*model->engines));
    for (size_t i = 0; model->engines != NULL && i < load->engines; i++) {
        struct engine *engine = &model->engines[i];
        engine->model = model;
        engine->engine = Me_Create(&load->speed, &engine_ops, engine);
        if (engine->engine == NULL) {
            return false;
        }
    }
    return model->engines != NULL;
}

/* Hosts say their first words at drawn moments. */
static bool
create_hosts(struct model *model)
{
    const struct mp_load *load = model->load;
    model->at = calloc(load->hosts * load->engines, sizeof(*model->at));
    model->prefixes = calloc(load->hosts, sizeof(*model->prefixes));
    if (model->at == NULL || model->prefixes == NULL) {
        return false;
    }
    for (size_t i = 0; i < load->hosts; i++) {
        double draw = Rn_Unit(&model->random);
        model->prefixes[i] = Px_Create();
        if (model->prefixes[i] == NULL) {
            return false;
        }
        expect(model, (int64_t)(draw * (double)load->word_usec), MP_WORD, i);
    }
    return true;
}

static bool
set_up(struct model *model)
{
    const struct mp_load *load = model->load;
    model->request_count = (size_t)(load->per_sec * load->seconds);
    model->requests = calloc(model->request_count, sizeof(*model->requests));
    model->agenda = Ag_Create();
    if (model->requests == NULL || model->agenda == NULL ||
        !create_engines(model) || !create_hosts(model)) {
        return false;
    }
    set_lanes(model);
    expect(model, 0, MP_ARRIVAL, 0);
    return true;
}

static void
tear_down(struct model *model)
{
    for (size_t i = 0; model->engines != NULL && i < model->load->engines;
         i++) {
        Me_Destroy(model->engines[i].engine);
    }
    for (size_t i = 0; model->prefixes != NULL && i < model->load->hosts;
         i++) {
        Px_Destroy(model->prefixes[i]);
    }
    Ag_Destroy(model->agenda);
    free(model->engines);
    free(model->at);
    free(model->prefixes);
    free(model->requests);
}

static bool
is_playable(const struct mp_load *load)
{
    return load->hosts > 0 && load->data_centres > 0 && load->engines > 0 &&
           load->engines <= Mp_ENGINES_MAX && load->kind_count > 0 &&
           load->kind_count <= Mp_KINDS_MAX &&
           load->per_sec * load->seconds >= 1;
}

bool
Mp_Run(const struct mp_load *load, const struct mp_ways *ways, uint64_t seed,
       struct mp_result *out)
{
    struct model model = {.load = load, .ways = ways};
    memset(out, 0, sizeof(*out));
    if (!is_playable(load)) {
        return false;
    }
    Rn_Seed(&model.random, seed);
    bool fine = set_up(&model);
    if (fine) {
        play(&model);
        fine = !model.failed &&
               mp_judge(load, model.requests, model.request_count, out);
    }
    tear_down(&model);
    return fine;
}
