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
/* Most requests at an engine, as a multiple of its slots. */
#define Mp_FILL_MAX 1.25
/* Number of endpoints assumed with MP_LANES_ALWAYS. */
#define Mp_MANY_ENDPOINTS 128
/* Sample from which the fraction of tokens in long prompts is estimated. */
#define Mp_SAMPLE_REQUESTS 2000

enum event_kind {
    MP_ARRIVAL,
    MP_STEP,
    MP_REPORT,
};

/* Load that a host has placed at an engine, and as last reported to peers. */
struct host_load {
    int running;
    int reported_running;
    int64_t prefill;
    int64_t reported_prefill;
};

struct engine {
    struct model *model;
    struct me_engine *engine;
    bool stepping; /* between Me_BeginStep and Me_EndStep */
    bool long_lane;
    int reported_running; /* sum over all hosts */
    int64_t reported_prefill;
};

struct model {
    const struct mp_load *load;
    const struct mp_policy *policy;
    struct rn_random random;
    struct ag_agenda *agenda;
    struct engine *engines;
    struct host_load *host_loads; /* indexed by host, then engine */
    struct px_table **prefixes;
    struct mp_request *requests;
    size_t request_count;
    size_t arrived;
    double long_fraction; /* of the engines, reserved for long prompts */
    int64_t now;
    bool failed; /* an allocation failed */
};

static void
schedule(struct model *model, int64_t at, enum event_kind kind, size_t index)
{
    model->failed |= !Ag_Add(model->agenda, at, kind, index);
}

static struct host_load *
host_load_of(struct model *model, size_t host, size_t engine)
{
    return &model->host_loads[host * model->load->engines + engine];
}

static void
on_first_token(void *arg, struct me_job *job, int64_t now)
{
    struct engine *engine = arg;
    struct mp_request *request = (struct mp_request *)job;
    struct host_load *own =
        host_load_of(engine->model, request->host, request->engine);
    own->prefill -= request->prefill_tokens;
    request->first_token_msec =
        (double)(now - request->arrived_at) / (double)Ck_USEC_PER_MSEC;
}

static void
on_ended(void *arg, struct me_job *job, int64_t now)
{
    struct engine *engine = arg;
    struct mp_request *request = (struct mp_request *)job;
    host_load_of(engine->model, request->host, request->engine)->running--;
}

static const struct me_ops engine_ops = {
    .first_token = on_first_token,
    .ended = on_ended,
};

/*
 * Approximates a standard normal variate by the sum of twelve uniform ones,
 * which lies between -6 and 6.
 */
static double
draw_normal(struct rn_random *random)
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
        size->mean * exp(spread * draw_normal(random) - spread * spread / 2);
    drawn = size->max > 0 && drawn > size->max ? size->max : drawn;
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

/* Seeded by the id, so a variant has the same size each time it is drawn. */
static int64_t
variant_tokens(const struct mp_shared *shared, uint64_t id)
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
    request->first_token_msec = -1;
    const struct mp_kind *kind = &model->load->kinds[request->kind];
    for (size_t i = 0; i + 1 < Me_PARTS_MAX; i++) {
        const struct mp_shared *shared = &kind->shared[i];
        if (shared->variants == 0) {
            continue;
        }
        uint64_t name[3] = {
            request->kind, i,
            Rn_Below(&model->random, (uint32_t)shared->variants)};
        uint64_t id = Hash_Bytes(name, sizeof(name), 0);
        int64_t tokens = variant_tokens(shared, id);
        add_part(&request->job, id, tokens);
        request->shared_tokens += tokens;
    }
    int64_t own = (int64_t)draw_size(&model->random, &kind->own_tokens);
    uint64_t name[2] = {number, UINT64_MAX};
    add_part(&request->job, Hash_Bytes(name, sizeof(name), 0), own);
    request->prompt_tokens = request->shared_tokens + own;
    request->job.answer_tokens =
        (int64_t)draw_size(&model->random, &kind->answer_tokens);
}

static void
fill_request_info(const struct mp_request *request,
                  struct hd_request_info *ask)
{
    memset(ask, 0, sizeof(*ask));
    ask->tokens_in = request->prompt_tokens;
    ask->part_count = request->job.part_count;
    for (size_t i = 0; i < ask->part_count; i++) {
        ask->parts[i].id = request->job.parts[i];
        ask->parts[i].tokens = (int)request->job.part_tokens[i];
    }
}

/*
 * Returns the prompt tokens queued by peers.  The peers' reports are half a
 * report interval old on average, so what the engine has read since then is
 * subtracted.
 */
static int64_t
peer_prefill(const struct model *model, const struct engine *engine,
             const struct host_load *own)
{
    int64_t reported = engine->reported_prefill - own->reported_prefill;
    double read =
        (double)model->load->report_usec / 2 / model->load->speed.prefill_usec;
    return (double)reported > read ? reported - (int64_t)read : 0;
}

static void
fill_candidates(struct model *model, const struct mp_request *request,
                const struct hd_request_info *ask,
                struct pl_candidate *candidates)
{
    const struct mp_load *load = model->load;
    uint64_t own_id = ask->parts[ask->part_count - 1].id;
    uint64_t group = Px_Group(ask);
    group = group == 0 || model->policy->no_preferred ? own_id : group;
    for (size_t i = 0; i < load->engines; i++) {
        const struct engine *engine = &model->engines[i];
        const struct host_load *own = host_load_of(model, request->host, i);
        uint64_t home_key[2] = {group, i};
        uint64_t sample_key[2] = {own_id, i};
        struct px_uncached missing = Px_CountUncached(
            model->prefixes[request->host], ask, (uint32_t)i, model->now);
        candidates[i] = (struct pl_candidate){
            .slots = load->speed.slots,
            .running = own->running + engine->reported_running -
                       own->reported_running,
            .prefill_tokens = own->prefill + peer_prefill(model, engine, own),
            .uncached_tokens = missing.tokens,
            .uncached_shared = missing.shared,
            .same_zone =
                i % load->data_centres == request->host % load->data_centres,
            .home_hash = Hash_Bytes(home_key, sizeof(home_key), 0),
            .sample_hash =
                (double)Hash_Bytes(sample_key, sizeof(sample_key), 0) /
                (double)UINT64_MAX,
            .long_lane = engine->long_lane,
        };
    }
}

static void
begin_step(struct model *model, size_t index)
{
    struct engine *engine = &model->engines[index];
    int64_t usec = Me_BeginStep(engine->engine);
    engine->stepping = usec > 0;
    if (usec > 0) {
        schedule(model, model->now + usec, MP_STEP, index);
    }
}

static void
place_request(struct model *model, struct mp_request *request)
{
    static struct pl_candidate candidates[Mp_ENGINES_MAX];
    const struct mp_load *load = model->load;
    struct hd_request_info ask;
    fill_request_info(request, &ask);
    fill_candidates(model, request, &ask, candidates);
    double unreported = load->requests_per_sec * (double)load->report_usec /
                        (double)Ck_USEC_PER_SEC;
    struct pl_limits limits = {
        .engine = true,
        .fill_max = Mp_FILL_MAX,
        .lanes = model->long_fraction > 0,
        .is_long = Pl_IsLong(request->prompt_tokens),
        .sampled_fraction =
            model->policy->no_sampling
                ? 1
                : Pl_SampledFraction(load->engines, unreported),
    };
    struct pl_choice choice = {0};
    if (Pl_Choose(candidates, load->engines, &limits, &choice) != PL_CHOSEN) {
        return;
    }
    struct host_load *own = host_load_of(model, request->host, choice.index);
    own->running++;
    own->prefill += choice.prefill_tokens;
    request->engine = choice.index;
    request->prefill_tokens = choice.prefill_tokens;
    Px_NoteSent(model->prefixes[request->host], &ask, (uint32_t)choice.index,
                model->now);
    Me_Submit(model->engines[choice.index].engine, &request->job);
    if (!model->engines[choice.index].stepping) {
        begin_step(model, choice.index);
    }
}

static void
on_arrival(struct model *model)
{
    struct mp_request *request = &model->requests[model->arrived];
    draw_request(model, model->arrived++, request);
    request->arrived_at = model->now;
    place_request(model, request);
    if (model->arrived < model->request_count) {
        double gap =
            -log(1 - Rn_Unit(&model->random)) / model->load->requests_per_sec;
        schedule(model, model->now + (int64_t)(gap * (double)Ck_USEC_PER_SEC),
                 MP_ARRIVAL, 0);
    }
}

static void
on_report(struct model *model, size_t host)
{
    for (size_t i = 0; i < model->load->engines; i++) {
        struct engine *engine = &model->engines[i];
        struct host_load *own = host_load_of(model, host, i);
        engine->reported_running += own->running - own->reported_running;
        engine->reported_prefill += own->prefill - own->reported_prefill;
        own->reported_running = own->running;
        own->reported_prefill = own->prefill;
    }
    if (model->arrived < model->request_count) {
        schedule(model, model->now + model->load->report_usec, MP_REPORT,
                 host);
    }
}

static void
on_step(struct model *model, size_t engine)
{
    Me_EndStep(model->engines[engine].engine, model->now);
    begin_step(model, engine);
}

static void
run_events(struct model *model)
{
    struct ag_entry entry;
    while (Ag_Next(model->agenda, &entry)) {
        model->now = entry.at;
        switch (entry.kind) {
        case MP_ARRIVAL:
            on_arrival(model);
            break;
        case MP_REPORT:
            on_report(model, entry.index);
            break;
        default:
            on_step(model, entry.index);
            break;
        }
    }
}

/* Estimates from a sample the fraction of prompt tokens in long prompts. */
static double
long_token_fraction(struct model *model)
{
    double all = 0;
    double long_tokens = 0;
    for (size_t i = 0; i < Mp_SAMPLE_REQUESTS; i++) {
        struct mp_request request = {0};
        draw_request(model, 0, &request);
        double prompt = (double)request.prompt_tokens;
        all += prompt;
        long_tokens += Pl_IsLong(request.prompt_tokens) ? prompt : 0;
    }
    return long_tokens / all;
}

static double
find_long_fraction(struct model *model)
{
    double share = long_token_fraction(model);
    switch (model->policy->lanes) {
    case MP_LANES_BY_COUNT:
        return Pl_LongLaneFraction(model->load->engines, share);
    case MP_LANES_ALWAYS:
        return Pl_LongLaneFraction(Mp_MANY_ENDPOINTS, share);
    default:
        return 0;
    }
}

static void
set_lanes(struct model *model)
{
    model->long_fraction = find_long_fraction(model);
    for (size_t i = 0; i < model->load->engines; i++) {
        uint64_t name[2] = {i, 0};
        model->engines[i].long_lane =
            (double)Hash_Bytes(name, sizeof(name), 1) <
            model->long_fraction * (double)UINT64_MAX;
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

/* The first report of each host is sent at a random time. */
static bool
create_hosts(struct model *model)
{
    const struct mp_load *load = model->load;
    model->host_loads =
        calloc(load->hosts * load->engines, sizeof(*model->host_loads));
    model->prefixes = calloc(load->hosts, sizeof(*model->prefixes));
    if (model->host_loads == NULL || model->prefixes == NULL) {
        return false;
    }
    for (size_t i = 0; i < load->hosts; i++) {
        double draw = Rn_Unit(&model->random);
        model->prefixes[i] = Px_Create();
        if (model->prefixes[i] == NULL) {
            return false;
        }
        schedule(model, (int64_t)(draw * (double)load->report_usec), MP_REPORT,
                 i);
    }
    return true;
}

static bool
set_up(struct model *model)
{
    const struct mp_load *load = model->load;
    model->request_count = (size_t)(load->requests_per_sec * load->seconds);
    model->requests = calloc(model->request_count, sizeof(*model->requests));
    model->agenda = Ag_Create();
    if (model->requests == NULL || model->agenda == NULL ||
        !create_engines(model) || !create_hosts(model)) {
        return false;
    }
    set_lanes(model);
    schedule(model, 0, MP_ARRIVAL, 0);
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
    free(model->host_loads);
    free(model->prefixes);
    free(model->requests);
}

static bool
is_valid_load(const struct mp_load *load)
{
    return load->hosts > 0 && load->data_centres > 0 && load->engines > 0 &&
           load->engines <= Mp_ENGINES_MAX && load->kind_count > 0 &&
           load->kind_count <= Mp_KINDS_MAX &&
           load->requests_per_sec * load->seconds >= 1;
}

bool
Mp_Run(const struct mp_load *load, const struct mp_policy *policy,
       uint64_t seed, struct mp_result *out)
{
    struct model model = {.load = load, .policy = policy};
    memset(out, 0, sizeof(*out));
    if (!is_valid_load(load)) {
        return false;
    }
    Rn_Seed(&model.random, seed);
    bool ok = set_up(&model);
    if (ok) {
        run_events(&model);
        ok = !model.failed &&
             mp_score(load, model.requests, model.request_count, out);
    }
    tear_down(&model);
    return ok;
}
