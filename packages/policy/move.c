/*
 * The state machine of a version move.  A change of state is written to the
 * log before anything acts on it; only the routers' circuit breakers act
 * without a log record.  If the holder of the move's lease dies between its
 * decision and the record, the next holder decides again, from the last
 * record, the routers' reports and the state of their circuit breakers.
 */
#include "policy/move.h"

#include <bsd/string.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/hash.h"

/* Duration of a move without a deadline. */
#define DEFAULT_SPAN_USEC (3600 * Ck_USEC_PER_SEC)
#define DEFAULT_FIRST_SHARE 0.02
/*
 * Minimum durations of a phase or step: the time from the start of the move
 * to its deadline divided by these, within the bounds below.
 */
#define SMALL_DIVISOR 6
#define STEP_DIVISOR 12
#define PROBATION_DIVISOR 3
#define SMALL_MIN_USEC (30 * Ck_USEC_PER_SEC)
#define SMALL_MAX_USEC (600 * Ck_USEC_PER_SEC)
#define STEP_MIN_USEC (20 * Ck_USEC_PER_SEC)
#define STEP_MAX_USEC (300 * Ck_USEC_PER_SEC)
#define PROBATION_MIN_USEC (60 * Ck_USEC_PER_SEC)
#define PROBATION_MAX_USEC (1800 * Ck_USEC_PER_SEC)
/* Requests for the old version during probation, bounded as a share. */
#define CONTROL_RATE_PER_SEC 0.5
#define CONTROL_SHARE_MIN 0.05
#define CONTROL_SHARE_MAX 0.3
#define GROWTH_FACTOR 3.0      /* of the share, per step */
#define HOLD_E_VALUE 10.0      /* from here on the share is not raised */
#define SMALL_REQUESTS_MIN 30  /* of the new version, before growing */
#define NEAR_PEAK_FRACTION 0.8 /* of the day's peak request rate */

static int64_t
clamp_time(int64_t value, int64_t min_usec, int64_t max_usec)
{
    if (value < min_usec) {
        return min_usec;
    }
    return value > max_usec ? max_usec : value;
}

static int64_t
span_usec(const struct mv_move *move)
{
    return move->plan.deadline > move->started
               ? move->plan.deadline - move->started
               : DEFAULT_SPAN_USEC;
}

static void
enter_phase(struct mv_move *move, enum mv_phase phase, double share,
            int64_t now)
{
    move->phase = phase;
    move->share = share;
    move->phase_since = now;
    move->step_since = now;
}

static void
roll_back(struct mv_move *move, const char *reason, int64_t now)
{
    enter_phase(move, MV_ROLLED_BACK, 0, now);
    strlcpy(move->reason, reason, sizeof(move->reason));
}

static void
set_plan(struct mv_move *move, const struct mv_plan *plan)
{
    move->plan = *plan;
    if (!(plan->first_share > 0 && plan->first_share <= 1)) {
        move->plan.first_share = DEFAULT_FIRST_SHARE;
    }
}

/* Starts a move in phase MV_PLANNED, without requests to the new version. */
enum st_status
Mv_Begin(struct mv_move *move, const struct mv_plan *plan, int64_t now)
{
    if (plan->to[0] == '\0' || strcmp(plan->from, plan->to) == 0) {
        return St_Fail(ST_INVALID,
                       "a move of %s needs two different versions; name the "
                       "present one as from and the new one as to",
                       plan->service);
    }
    memset(move, 0, sizeof(*move));
    set_plan(move, plan);
    move->started = now;
    enter_phase(move, MV_PLANNED, 0, now);
    if (plan->withdrawn) {
        roll_back(move, "withdrawn before it began", now);
    }
    return ST_OK;
}

bool
Mv_IsOver(const struct mv_move *move)
{
    return move->phase == MV_DONE || move->phase == MV_ROLLED_BACK;
}

/* The name of the phase in texts for operators. */
const char *
Mv_PhaseName(enum mv_phase phase)
{
    static const char *const names[] = {"planned", "small share",
                                        "growing", "probation",
                                        "done",    "taken back"};
    return names[phase];
}

/*
 * Applies a revised plan; true when the state changed and must be recorded.
 * A withdrawal rolls the move back at once.  A new deadline or first share
 * applies to the move in its present phase.  A new target version starts a
 * new move from the version that carries the traffic, because the statistics
 * of one version do not apply to another.  A version that was rolled back
 * stays so; the operator has to publish a new one.
 */
bool
Mv_Revise(struct mv_move *move, const struct mv_plan *plan, int64_t now)
{
    bool new_target = strcmp(plan->to, move->plan.to) != 0;
    if (!new_target && Mv_IsOver(move)) {
        return false;
    }
    if (!new_target && plan->withdrawn) {
        set_plan(move, plan);
        roll_back(move, "withdrawn by the operator", now);
        return true;
    }
    if (!new_target) {
        bool changed = plan->deadline != move->plan.deadline ||
                       plan->first_share != move->plan.first_share;
        set_plan(move, plan);
        return changed;
    }
    char from[Mv_NAME_MAX];
    strlcpy(from, move->phase == MV_DONE ? move->plan.to : move->plan.from,
            sizeof(from));
    if (strcmp(plan->to, from) == 0) {
        if (Mv_IsOver(move)) {
            return false;
        }
        roll_back(move, "revised to the version before", now);
        return true;
    }
    struct mv_plan next = *plan;
    strlcpy(next.from, from, sizeof(next.from));
    return Mv_Begin(move, &next, now) == ST_OK;
}

static bool
is_past_deadline(const struct mv_move *move, int64_t now)
{
    return move->plan.deadline > 0 && now >= move->plan.deadline;
}

static bool
tick_planned(struct mv_move *move, const struct mv_tick_input *input,
             int64_t now)
{
    if (input->new_endpoints > 0) {
        enter_phase(move, MV_SMALL, fmin(move->plan.first_share, 0.5), now);
        return true;
    }
    if (is_past_deadline(move, now)) {
        roll_back(move, "no endpoint of the version was ready in time", now);
        return true;
    }
    return false;
}

static bool
tick_small(struct mv_move *move, const struct mv_totals *totals, int64_t now)
{
    int64_t min_usec = clamp_time(span_usec(move) / SMALL_DIVISOR,
                                  SMALL_MIN_USEC, SMALL_MAX_USEC);
    int64_t phase_age = now - move->phase_since;
    bool enough = totals->count[MV_NEW] >= SMALL_REQUESTS_MIN;
    /* With too few requests, the move goes on after twice the time. */
    if (phase_age < min_usec || (!enough && phase_age < 2 * min_usec)) {
        return false;
    }
    enter_phase(move, MV_GROWING, move->share, now);
    return true;
}

/*
 * The share of the old version during probation, as a control group over the
 * same time.  It is larger at lower request rates.
 */
static double
control_share(const struct mv_tick_input *input)
{
    double share =
        input->per_sec > 0 ? CONTROL_RATE_PER_SEC / input->per_sec : 1;
    return fmin(fmax(share, CONTROL_SHARE_MIN), CONTROL_SHARE_MAX);
}

static bool
tick_growing(struct mv_move *move, const struct mv_tick_input *input,
             int64_t now)
{
    int64_t step = clamp_time(span_usec(move) / STEP_DIVISOR, STEP_MIN_USEC,
                              STEP_MAX_USEC);
    if (now - move->step_since < step && move->step_since > 0 &&
        move->phase_since != move->step_since) {
        return false;
    }
    double max_share = 1 - control_share(input);
    double next = fmin(move->share * GROWTH_FACTOR, max_share);
    next = fmin(next, input->new_capacity);
    if (next <= move->share) {
        return false;
    }
    if (next >= max_share) {
        enter_phase(move, MV_PROBATION, max_share, now);
        return true;
    }
    move->share = next;
    move->step_since = now;
    return true;
}

/*
 * Probation ends when its minimum time is over and the new version has served
 * a load near the day's peak, or at the deadline.  Otherwise a fault that
 * appears only under load would appear when the old version has been shut
 * down.
 */
static bool
tick_probation(struct mv_move *move, int64_t now)
{
    int64_t min_usec = clamp_time(span_usec(move) / PROBATION_DIVISOR,
                                  PROBATION_MIN_USEC, PROBATION_MAX_USEC);
    bool over = now - move->phase_since >= min_usec && move->peak_seen;
    if (!over && !is_past_deadline(move, now)) {
        return false;
    }
    enter_phase(move, MV_DONE, 1, now);
    strlcpy(move->reason,
            move->peak_seen ? "no fault found"
                            : "no fault found; it has not yet carried a load "
                              "near the day's peak",
            sizeof(move->reason));
    return true;
}

/* Rolls the move back for causes that apply in any phase; true if it did. */
static bool
tick_rollback(struct mv_move *move, const struct mv_finding *finding,
              const struct mv_tick_input *input, int64_t now)
{
    if (input->any_tripped) {
        roll_back(move, "routers saw requests fail one after another", now);
        return true;
    }
    if (finding->alarm) {
        static const char *const reasons[MV_METRICS] = {
            "more requests fail", "first tokens are late", "streams are slow"};
        roll_back(move, reasons[finding->metric], now);
        return true;
    }
    if (!is_past_deadline(move, now)) {
        return false;
    }
    if (finding->e_value >= HOLD_E_VALUE) {
        roll_back(move, "under suspicion at the deadline", now);
        return true;
    }
    if (move->phase == MV_SMALL || move->phase == MV_GROWING) {
        roll_back(move, "not enough of it was ready by the deadline", now);
        return true;
    }
    return false;
}

/*
 * Advances the state machine; true when the state changed and must be
 * recorded.  To be called about once a second.
 */
bool
Mv_Tick(struct mv_move *move, const struct mv_evidence *evidence,
        const struct mv_tick_input *input, int64_t now)
{
    struct mv_finding finding;
    struct mv_totals totals;
    bool changed = false;
    if (Mv_IsOver(move)) {
        return false;
    }
    Mv_Finding(evidence, &finding);
    Mv_Totals(evidence, &totals);
    if (move->phase == MV_PROBATION &&
        (input->peak_per_sec <= 0 ||
         input->per_sec >= NEAR_PEAK_FRACTION * input->peak_per_sec)) {
        move->peak_seen = true;
    }
    if (tick_rollback(move, &finding, input, now)) {
        changed = true;
    }
    else if (move->phase == MV_PLANNED) {
        changed = tick_planned(move, input, now);
    }
    else if (finding.e_value >= HOLD_E_VALUE) {
        return false; /* keep the share until the evidence is clear */
    }
    else if (move->phase == MV_SMALL) {
        changed = tick_small(move, &totals, now);
    }
    else if (move->phase == MV_GROWING) {
        changed = tick_growing(move, input, now);
    }
    else if (move->phase == MV_PROBATION) {
        changed = tick_probation(move, now);
    }
    if (changed) {
        move->finding = finding;
        move->totals = totals;
    }
    return changed;
}

static double
percent(uint64_t part, uint64_t all)
{
    return all > 0 ? 100.0 * (double)part / (double)all : 0;
}

static void
describe_timing(const struct mv_move *move, char *out, size_t size)
{
    if (move->plan.deadline <= 0) {
        strlcpy(out, "no deadline was set", size);
        return;
    }
    int64_t early = move->plan.deadline - move->phase_since;
    snprintf(out, size, "%lld s %s the deadline",
             (long long)(llabs((long long)early) / Ck_USEC_PER_SEC),
             early >= 0 ? "before" : "after");
}

static void
describe_evidence(const struct mv_move *move, char *out, size_t size)
{
    const struct mv_finding *finding = &move->finding;
    if (move->phase == MV_ROLLED_BACK && finding->alarm) {
        static const char *const verbs[MV_METRICS] = {"failed", "were late",
                                                      "were slow"};
        snprintf(out, size,
                 "on %s%s %llu of %llu requests %s, against %llu of %llu on "
                 "%s over the same minutes",
                 finding->route[0] != '\0' ? "route " : "all routes",
                 finding->route, (unsigned long long)finding->bad[MV_NEW],
                 (unsigned long long)finding->count[MV_NEW],
                 verbs[finding->metric],
                 (unsigned long long)finding->bad[MV_OLD],
                 (unsigned long long)finding->count[MV_OLD], move->plan.from);
        return;
    }
    const struct mv_totals *totals = &move->totals;
    snprintf(out, size,
             "%llu requests on %s, %.2f%% failed; %llu on %s, %.2f%% failed",
             (unsigned long long)totals->count[MV_NEW], move->plan.to,
             percent(totals->failed[MV_NEW], totals->count[MV_NEW]),
             (unsigned long long)totals->count[MV_OLD], move->plan.from,
             percent(totals->failed[MV_OLD], totals->count[MV_OLD]));
}

/* Writes the status of the move as a sentence for operators. */
void
Mv_Describe(const struct mv_move *move, char *out, size_t size)
{
    char time[64];
    char evidence[256];
    const struct mv_plan *plan = &move->plan;
    describe_timing(move, time, sizeof(time));
    describe_evidence(move, evidence, sizeof(evidence));
    if (!Mv_IsOver(move)) {
        snprintf(out, size,
                 "The move of %s from %s to %s is in phase \"%s\": %.0f%% of "
                 "the requests go to %s.",
                 plan->service, plan->from, plan->to,
                 Mv_PhaseName(move->phase), move->share * 100, plan->to);
        return;
    }
    bool done = move->phase == MV_DONE;
    snprintf(out, size,
             "The move of %s from %s to %s is %s, %s: %s (%s). All requests "
             "go to %s.",
             plan->service, plan->from, plan->to, done ? "done" : "taken back",
             time, move->reason, evidence, done ? plan->to : plan->from);
}

/*
 * Computes what one router may send to the new version.  In phase MV_SMALL the
 * requests in flight are limited as well as the share: at low request rates
 * a share of the arriving requests does not limit the harm, because one
 * hanging request of three in flight is a third of them.  The requests in
 * flight at the new version are capped over all routers at its share of all
 * requests in flight, but at one at least.  Where the cap is below the number
 * of routers, only as many routers, chosen by rendezvous hashing, send to the
 * new version, with a proportionally higher share.
 */
void
Mv_Allot(const struct mv_move *move, const char *router,
         const char *const *routers, size_t count, int total_in_flight,
         struct mv_allotment *out)
{
    out->share = move->share;
    out->max_in_flight = 0;
    if (move->phase != MV_SMALL || count == 0) {
        return;
    }
    int cap = (int)ceil(move->share * total_in_flight);
    cap = cap > 1 ? cap : 1;
    if (cap >= (int)count) {
        out->max_in_flight = (cap + (int)count - 1) / (int)count;
        return;
    }
    uint64_t own = Hash_Rendezvous(move->plan.service, router);
    int rank = 0;
    for (size_t i = 0; i < count; i++) {
        rank += Hash_Rendezvous(move->plan.service, routers[i]) > own;
    }
    if (rank >= cap) {
        out->share = 0;
        out->max_in_flight = -1;
        return;
    }
    out->max_in_flight = 1;
    out->share = fmin(0.5, move->share * (double)count / cap);
}
