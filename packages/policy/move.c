/*
 * The state machine of a version move.  A change is first recorded, then
 * acted on; only distrust works without a record.  A holder that dies between
 * its decision and the record leaves a move that its successor decides anew
 * from the last record, the same evidence and the same distrust.
 */
#include "policy/move.h"

#include <bsd/string.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/hash.h"

#define DEFAULT_SPAN (3600 * Ck_USEC_PER_SEC)
#define DEFAULT_FIRST_SHARE 0.02
#define SMALL_PART 6 /* parts of the time from start to deadline */
#define STEP_PART 12
#define PROBATION_PART 3
#define SMALL_LEAST (30 * Ck_USEC_PER_SEC)
#define SMALL_MOST (600 * Ck_USEC_PER_SEC)
#define STEP_LEAST (20 * Ck_USEC_PER_SEC)
#define STEP_MOST (300 * Ck_USEC_PER_SEC)
#define PROBATION_LEAST (60 * Ck_USEC_PER_SEC)
#define PROBATION_MOST (1800 * Ck_USEC_PER_SEC)
#define CONTROL_PER_SEC 0.5 /* to the old version in probation */
#define CONTROL_LEAST 0.05  /* the same as a share, at least */
#define CONTROL_MOST 0.3
#define GROWTH 3.0
#define SUSPICION 10.0 /* e-value above which nothing grows */
#define REQUESTS_MIN 30
#define NEAR_PEAK 0.8

static int64_t
clamp_time(int64_t value, int64_t least, int64_t most)
{
    if (value < least) {
        return least;
    }
    return value > most ? most : value;
}

static int64_t
span(const struct mv_move *move)
{
    return move->plan.deadline > move->started
               ? move->plan.deadline - move->started
               : DEFAULT_SPAN;
}

static void
enter(struct mv_move *move, enum mv_phase phase, double share, int64_t now)
{
    move->phase = phase;
    move->share = share;
    move->phase_since = now;
    move->step_since = now;
}

static void
take_back(struct mv_move *move, const char *reason, int64_t now)
{
    enter(move, MV_TAKEN_BACK, 0, now);
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

/* Starts a move as planned; nothing is sent to the new version yet. */
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
    enter(move, MV_PLANNED, 0, now);
    if (plan->withdrawn) {
        take_back(move, "withdrawn before it began", now);
    }
    return ST_OK;
}

/* Whether the move has its final phase. */
bool
Mv_IsOver(const struct mv_move *move)
{
    return move->phase == MV_DONE || move->phase == MV_TAKEN_BACK;
}

/* The phase as operators read it. */
const char *
Mv_PhaseName(enum mv_phase phase)
{
    static const char *const names[] = {"planned", "small share",
                                        "growing", "probation",
                                        "done",    "taken back"};
    return names[phase];
}

/*
 * Takes in a revised plan; true when something changed that is to be
 * recorded.  A withdrawal sends everything back at once.  Another deadline or
 * first share applies to the move as it stands.  Another target begins anew
 * from the version that carries the traffic: nothing that was seen of the
 * one target says anything of the other.  A version taken back for a fault
 * stays so; the operator publishes a new one.
 */
bool
Mv_Revise(struct mv_move *move, const struct mv_plan *plan, int64_t now)
{
    bool other = strcmp(plan->to, move->plan.to) != 0;
    if (!other && Mv_IsOver(move)) {
        return false;
    }
    if (!other && plan->withdrawn) {
        set_plan(move, plan);
        take_back(move, "withdrawn by the operator", now);
        return true;
    }
    if (!other) {
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
        take_back(move, "revised to the version before", now);
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
tick_planned(struct mv_move *move, const struct mv_view *view, int64_t now)
{
    if (view->new_endpoints > 0) {
        enter(move, MV_SMALL, fmin(move->plan.first_share, 0.5), now);
        return true;
    }
    if (is_past_deadline(move, now)) {
        take_back(move, "no endpoint of the version was ready in time", now);
        return true;
    }
    return false;
}

static bool
tick_small(struct mv_move *move, const struct mv_totals *totals, int64_t now)
{
    int64_t least =
        clamp_time(span(move) / SMALL_PART, SMALL_LEAST, SMALL_MOST);
    int64_t here = now - move->phase_since;
    bool seen = totals->count[MV_NEW] >= REQUESTS_MIN;
    /* Too little traffic to fill the count must not stop the move. */
    if (here < least || (!seen && here < 2 * least)) {
        return false;
    }
    enter(move, MV_GROWING, move->share, now);
    return true;
}

/*
 * Share kept on the old version in probation, to compare with over the same
 * minutes: the fewer requests there are, the larger.
 */
static double
control_share(const struct mv_view *view)
{
    double share = view->per_sec > 0 ? CONTROL_PER_SEC / view->per_sec : 1;
    return fmin(fmax(share, CONTROL_LEAST), CONTROL_MOST);
}

static bool
tick_growing(struct mv_move *move, const struct mv_view *view, int64_t now)
{
    int64_t step = clamp_time(span(move) / STEP_PART, STEP_LEAST, STEP_MOST);
    if (now - move->step_since < step && move->step_since > 0 &&
        move->phase_since != move->step_since) {
        return false;
    }
    double most = 1 - control_share(view);
    double next = fmin(move->share * GROWTH, most);
    next = fmin(next, view->new_capacity);
    if (next <= move->share) {
        return false;
    }
    if (next >= most) {
        enter(move, MV_PROBATION, most, now);
        return true;
    }
    move->share = next;
    move->step_since = now;
    return true;
}

/*
 * Probation lasts its time and until the new version has carried a load near
 * the day's peak, at most to the deadline: a fault that shows only under
 * load would otherwise show when the old version is gone.
 */
static bool
tick_probation(struct mv_move *move, int64_t now)
{
    int64_t least = clamp_time(span(move) / PROBATION_PART, PROBATION_LEAST,
                               PROBATION_MOST);
    bool over = now - move->phase_since >= least && move->peak_seen;
    if (!over && !is_past_deadline(move, now)) {
        return false;
    }
    enter(move, MV_DONE, 1, now);
    strlcpy(move->reason,
            move->peak_seen ? "no fault found"
                            : "no fault found; it has not yet carried a load "
                              "near the day's peak",
            sizeof(move->reason));
    return true;
}

/* What ends a move at whatever phase; true when it did. */
static bool
tick_faults(struct mv_move *move, const struct mv_finding *finding,
            const struct mv_view *view, int64_t now)
{
    if (view->distrusted) {
        take_back(move, "routers saw requests fail one after another", now);
        return true;
    }
    if (finding->alarm) {
        take_back(move,
                  finding->slow ? "first tokens are late"
                                : "more requests fail",
                  now);
        return true;
    }
    if (!is_past_deadline(move, now)) {
        return false;
    }
    if (finding->e_value >= SUSPICION) {
        take_back(move, "under suspicion at the deadline", now);
        return true;
    }
    if (move->phase == MV_SMALL || move->phase == MV_GROWING) {
        take_back(move, "not enough of it was ready by the deadline", now);
        return true;
    }
    return false;
}

/*
 * Decides anew; true when the state changed and is to be recorded.  Call it
 * every second or so.
 */
bool
Mv_Tick(struct mv_move *move, const struct mv_evidence *evidence,
        const struct mv_view *view, int64_t now)
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
        (view->peak_per_sec <= 0 ||
         view->per_sec >= NEAR_PEAK * view->peak_per_sec)) {
        move->peak_seen = true;
    }
    if (tick_faults(move, &finding, view, now)) {
        changed = true;
    }
    else if (move->phase == MV_PLANNED) {
        changed = tick_planned(move, view, now);
    }
    else if (finding.e_value >= SUSPICION) {
        return false; /* hold the share until it is one or the other */
    }
    else if (move->phase == MV_SMALL) {
        changed = tick_small(move, &totals, now);
    }
    else if (move->phase == MV_GROWING) {
        changed = tick_growing(move, view, now);
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
timeliness(const struct mv_move *move, char *out, size_t size)
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
evidence_text(const struct mv_move *move, char *out, size_t size)
{
    const struct mv_finding *finding = &move->finding;
    if (move->phase == MV_TAKEN_BACK && finding->alarm) {
        snprintf(out, size,
                 "on %s%s %llu of %llu requests %s, against %llu of %llu on "
                 "%s over the same minutes",
                 finding->route[0] != '\0' ? "route " : "all routes",
                 finding->route, (unsigned long long)finding->bad[MV_NEW],
                 (unsigned long long)finding->count[MV_NEW],
                 finding->slow ? "were late" : "failed",
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

/* Writes the sentence that tells an operator where the move stands. */
void
Mv_Sentence(const struct mv_move *move, char *out, size_t size)
{
    char time[64];
    char evidence[256];
    const struct mv_plan *plan = &move->plan;
    timeliness(move, time, sizeof(time));
    evidence_text(move, evidence, sizeof(evidence));
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
 * One router's part of a small share.  At small traffic a share by count
 * says little: one hanging request of the three in flight is a third.  So
 * the requests in flight on the new version are capped over all routers at
 * the share of those in flight, at least one; where the cap is below the
 * number of routers only the first by hash send to the new version, each as
 * much more often.
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
    int before = 0;
    for (size_t i = 0; i < count; i++) {
        before += Hash_Rendezvous(move->plan.service, routers[i]) > own;
    }
    if (before >= cap) {
        out->share = 0;
        out->max_in_flight = -1;
        return;
    }
    out->max_in_flight = 1;
    out->share = fmin(0.5, move->share * (double)count / cap);
}
