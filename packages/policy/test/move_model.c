#include "move_model.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/random.h"

#define USEC_PER_SEC INT64_C(1000000)
#define DEADLINE_USEC (3600 * USEC_PER_SEC)
#define LATE_FAULT_USEC (2100 * USEC_PER_SEC)
#define LOAD_PERIOD_USEC (1800 * USEC_PER_SEC)
#define ROUTES 4
#define CLASSES 2
#define ENGINES 2 /* engines per version */
#define STALL_MIN_USEC (200 * 1000)
#define STALL_MAX_USEC (2 * USEC_PER_SEC)

struct simulation {
    const struct move_model *model;
    struct rn_random random;
    struct mv_evidence *evidence;
    struct mv_trip *trips;
    struct mv_cell (*cells)[ROUTES * CLASSES]; /* counts of each router */
    int64_t now;
    int64_t stalled_until[MV_SIDES][ENGINES];
    struct move_outcome *out;
};

static double
load(int64_t now)
{
    return 0.75 - 0.25 * cos(2 * M_PI * (double)now / LOAD_PERIOD_USEC);
}

static double
failure_rate(const struct simulation *run, enum mv_side side, int route)
{
    double usual_rate = run->model->usual_failure_rate;
    if (side == MV_OLD) {
        return usual_rate;
    }
    switch (run->model->fault) {
    case FAULT_FAILS:
        return 0.3;
    case FAULT_FAILS_LITTLE:
        return 0.03;
    case FAULT_LATE:
        return run->now >= LATE_FAULT_USEC ? 0.3 : usual_rate;
    case FAULT_LOAD:
        return load(run->now) > 0.8 ? 0.2 : usual_rate;
    case FAULT_ROUTE:
        return route == 0 ? 0.2 : usual_rate;
    default:
        return usual_rate;
    }
}

static double
normal(struct rn_random *random)
{
    double u = 1 - Rn_Unit(random);
    return sqrt(-2 * log(u)) * cos(2 * M_PI * Rn_Unit(random));
}

/* Draws at random whether an engine stalls from this second on. */
static void
draw_stall(struct simulation *run)
{
    double rate = run->model->stalls_per_min / 60;
    if (Rn_Unit(&run->random) >= rate) {
        return;
    }
    int side = (int)Rn_Below(&run->random, MV_SIDES);
    int engine = (int)Rn_Below(&run->random, ENGINES);
    int64_t duration =
        STALL_MIN_USEC +
        (int64_t)Rn_Below(&run->random, STALL_MAX_USEC - STALL_MIN_USEC);
    run->stalled_until[side][engine] = run->now + duration;
}

/* The remaining stall, at its arrival, of a request's random engine. */
static int64_t
remaining_stall(struct simulation *run, enum mv_side side)
{
    int engine = (int)Rn_Below(&run->random, ENGINES);
    int64_t arrives = run->now + (int64_t)Rn_Below(&run->random, USEC_PER_SEC);
    int64_t left = run->stalled_until[side][engine] - arrives;
    return left > 0 ? left : 0;
}

static void
simulate_request(struct simulation *run, struct mv_move *move)
{
    int router = (int)Rn_Below(&run->random, (uint32_t)run->model->routers);
    double drawn = Rn_Unit(&run->random);
    int route = drawn < 0.1 ? 0 : 1 + (int)((drawn - 0.1) / 0.3001);
    int cls = Rn_Unit(&run->random) < 0.3;
    struct mv_trip *trip = &run->trips[router];
    double share =
        Mv_TripSuspects(trip) ? fmin(0.5, move->share) : move->share;
    bool new = Rn_Unit(&run->random) < share;
    if (new && trip->tripped && !run->model->without_trip) {
        new = false;
    }
    enum mv_side side = new ? MV_NEW : MV_OLD;
    struct mv_cell *cell = &run->cells[router][route * CLASSES + cls];
    double median = 120000 * (1 + 0.5 * load(run->now));
    if (new && run->model->fault == FAULT_SLOWS) {
        median *= 2;
    }
    int64_t first = (int64_t)(median * exp(0.5 * normal(&run->random)));
    if (run->model->stalls_per_min > 0) {
        first += remaining_stall(run, side);
    }
    bool failed = Rn_Unit(&run->random) < failure_rate(run, side, route);
    cell->count[side]++;
    cell->failed[side] += failed;
    cell->first_token[side][Mv_Bucket(first)] += !failed;
    run->out->requests += new;
    run->out->new_failures += new &&failed;
    Mv_TripNote(trip, side, failed ? MV_FAILED : MV_GOOD);
}

static void
send_reports(struct simulation *run, uint64_t sequence)
{
    for (int r = 0; r < run->model->routers; r++) {
        char id[16];
        snprintf(id, sizeof(id), "r%d", r);
        Mv_Merge(run->evidence, id, sequence, run->cells[r], ROUTES * CLASSES);
        for (int c = 0; c < ROUTES * CLASSES; c++) {
            struct mv_cell *cell = &run->cells[r][c];
            memset(cell->count, 0, sizeof(cell->count));
            memset(cell->failed, 0, sizeof(cell->failed));
            memset(cell->first_token, 0, sizeof(cell->first_token));
        }
    }
    Mv_CloseBlock(run->evidence);
}

static void
set_up(struct simulation *run)
{
    const struct move_model *model = run->model;
    size_t routers = (size_t)model->routers;
    Rn_Seed(&run->random, model->seed * 7919 + 1);
    run->evidence = Mv_EvidenceCreate(0.01);
    run->trips = calloc(routers, sizeof(*run->trips));
    run->cells = calloc(routers, sizeof(*run->cells));
    for (size_t r = 0; r < routers; r++) {
        Mv_TripInit(&run->trips[r]);
        for (int c = 0; c < ROUTES * CLASSES; c++) {
            struct mv_cell *cell = &run->cells[r][c];
            snprintf(cell->route, sizeof(cell->route), "/r%d", c / CLASSES);
            cell->request_class = c % CLASSES;
        }
    }
    run->out->fault_at = -1;
    if (model->fault == FAULT_LATE) {
        run->out->fault_at = LATE_FAULT_USEC;
    }
    else if (model->fault != FAULT_NONE) {
        run->out->fault_at = 0;
    }
}

void
Move_Run(const struct move_model *model, struct move_outcome *out)
{
    struct simulation run = {.model = model, .out = out};
    struct mv_plan plan = {
        "rink", "v1", "v2", 0.02, DEADLINE_USEC + USEC_PER_SEC, false};
    memset(out, 0, sizeof(*out));
    set_up(&run);
    Mv_Begin(&out->move, &plan, USEC_PER_SEC);
    double due = 0;
    uint64_t sequence = 0;
    while (!Mv_IsOver(&out->move) &&
           run.now < DEADLINE_USEC + 60 * USEC_PER_SEC) {
        double per_sec = model->per_sec * load(run.now);
        due += per_sec;
        int arrivals = (int)due;
        due -= arrivals;
        if (model->stalls_per_min > 0) {
            draw_stall(&run);
        }
        for (int i = 0; i < arrivals; i++) {
            simulate_request(&run, &out->move);
        }
        run.now += USEC_PER_SEC;
        if (run.now % Mv_BLOCK_USEC == 0) {
            send_reports(&run, ++sequence);
        }
        struct mv_tick_input input = {2, 1, false, per_sec, model->per_sec};
        for (int r = 0; r < model->routers; r++) {
            input.any_tripped |= run.trips[r].tripped && !model->without_trip;
        }
        out->tripped = input.any_tripped;
        out->share_at_end = out->move.share;
        Mv_Tick(&out->move, run.evidence, &input, run.now + USEC_PER_SEC);
    }
    out->ended_at = run.now;
    Mv_EvidenceDestroy(run.evidence);
    free(run.trips);
    free(run.cells);
}

bool
Outage_Run(uint64_t seed, double bad, double share)
{
    struct rn_random random;
    struct mv_trip trip;
    Rn_Seed(&random, seed * 77 + 1);
    Mv_TripInit(&trip);
    for (int i = 0; i < 8000; i++) {
        bool outage = i / 2000 % 2 == 1;
        double share_now = Mv_TripSuspects(&trip) ? fmin(0.5, share) : share;
        enum mv_side side = Rn_Unit(&random) < share_now ? MV_NEW : MV_OLD;
        bool failed = Rn_Unit(&random) < (outage ? bad : 0.01);
        Mv_TripNote(&trip, side, failed ? MV_FAILED : MV_GOOD);
    }
    return trip.tripped;
}

#define EJECT_AFTER 5      /* successive failures */
#define EJECT_REQUESTS 100 /* doubled for each further ejection */
#define EJECT_DOUBLINGS_MAX 6
#define USUAL_FAILURE_RATE 0.005

struct engine {
    uint64_t id;
    int failure_streak;
    int ejections;
    int ejected_until;
};

struct router {
    const struct trip_model *model;
    struct rn_random random;
    struct mv_trip trip;
    struct engine engines[MV_SIDES][ENGINES];
    int refused;
    struct trip_outcome *out;
};

static void
record_outcome(struct router *router, enum mv_side side,
               const struct engine *engine, int request, bool failed)
{
    bool bad = router->model->new_failure_rate > 0 &&
               request >= router->model->bad_at;
    router->out->new_failures += side == MV_NEW && failed && bad;
    bool tripped = Mv_TripNoteAt(&router->trip, side,
                                 failed ? MV_FAILED : MV_GOOD, engine->id);
    if (tripped && !router->out->tripped) {
        router->out->tripped = true;
        router->out->early = !bad;
    }
}

static bool
is_dead(const struct router *router, enum mv_side side, int engine,
        int request)
{
    const struct trip_model *model = router->model;
    return engine == 0 && model->killed && side == model->killed_side &&
           request >= model->killed_at;
}

static bool
is_failed(struct router *router, enum mv_side side, int engine, int request)
{
    const struct trip_model *model = router->model;
    double drawn = Rn_Unit(&router->random);
    bool outage = request >= model->outage_at &&
                  request < model->outage_at + model->outage_for;
    bool bad = side == MV_NEW && request >= model->bad_at;
    bool broken = engine == 0 && model->failing &&
                  side == model->failing_side && request >= model->failing_at;
    bool resets = engine == 0 && side == MV_OLD && drawn < model->resets;
    return drawn <
               (outage ? model->outage_failure_rate : USUAL_FAILURE_RATE) ||
           (bad && drawn < model->new_failure_rate) || broken || resets;
}

/* Models the endpoint ejection of choose.h. */
static void
eject(struct engine *engines, int which, int count, int request, bool failed)
{
    struct engine *engine = &engines[which];
    engine->failure_streak = failed ? engine->failure_streak + 1 : 0;
    if (engine->failure_streak >= EJECT_AFTER && count > 1 &&
        engines[1 - which].ejected_until <= request) {
        int doublings = engine->ejections < EJECT_DOUBLINGS_MAX
                            ? engine->ejections
                            : EJECT_DOUBLINGS_MAX;
        engine->ejected_until = request + (EJECT_REQUESTS << doublings);
        engine->ejections++;
        engine->failure_streak = EJECT_AFTER - 1;
    }
}

static void
send_one(struct router *router, int request)
{
    const struct trip_model *model = router->model;
    double share = Mv_TripSuspects(&router->trip) ? fmin(0.5, model->share)
                                                  : model->share;
    enum mv_side side = Rn_Unit(&router->random) < share ? MV_NEW : MV_OLD;
    struct engine *engines = router->engines[side];
    int count = side == MV_NEW ? model->new_engines : ENGINES;
    int which = (int)Rn_Below(&router->random, (uint32_t)count);
    if (engines[which].ejected_until > request && count > 1) {
        which = 1 - which;
    }
    bool failed = is_failed(router, side, which, request);
    if (is_dead(router, side, which, request)) {
        if (router->refused > 0) {
            router->refused--;
            failed = true;
        }
        else if (count > 1) {
            which = 1;
        }
        else {
            return;
        }
    }
    eject(engines, which, count, request, failed);
    record_outcome(router, side, &engines[which], request, failed);
}

void
Trip_Run(const struct trip_model *model, struct trip_outcome *out)
{
    struct router router = {
        .model = model, .refused = model->refused, .out = out};
    memset(out, 0, sizeof(*out));
    Rn_Seed(&router.random, model->seed * 977 + 13);
    Mv_TripInit(&router.trip);
    for (int i = 0; i < MV_SIDES * ENGINES; i++) {
        router.engines[i / ENGINES][i % ENGINES].id = (uint64_t)i + 1;
    }
    for (int request = 0; request < model->requests && !out->tripped;
         request++) {
        for (int i = 0; i < model->in_flight && model->killed &&
                        request == model->killed_at && !out->tripped;
             i++) {
            record_outcome(&router, model->killed_side,
                           &router.engines[model->killed_side][0], request,
                           true);
        }
        if (!out->tripped) {
            send_one(&router, request);
        }
    }
}

int
Trip_AfterOldFailures(int known, int old_failed, int between)
{
    struct mv_trip trip;
    Mv_TripInit(&trip);
    for (int i = 0; i < known; i++) {
        Mv_TripNoteAt(&trip, MV_OLD, MV_GOOD, 1 + (uint64_t)i % 2);
    }
    int failures = 1;
    Mv_TripNoteAt(&trip, MV_NEW, MV_FAILED, 3);
    for (int i = 0; i < old_failed; i++) {
        Mv_TripNoteAt(&trip, MV_OLD, MV_FAILED, 1);
    }
    while (!trip.tripped && failures < 1000) {
        failures++;
        Mv_TripNoteAt(&trip, MV_NEW, MV_FAILED, 3 + (uint64_t)failures % 2);
        for (int i = 0; i < between; i++) {
            Mv_TripNoteAt(&trip, MV_OLD, MV_GOOD, 2);
        }
    }
    return failures;
}
