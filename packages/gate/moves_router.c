/*
 * The router's side of a version move: the traffic share of the new version,
 * this router's circuit breaker, and the outcome counts that it reports to the
 * lease holder.
 */
#include <bsd/string.h>
#include <stdlib.h>
#include <string.h>

#include "base/event.h"
#include "base/hash.h"
#include "gate/endpoints.h"
#include "gate/events.h"
#include "gate/moves_internal.h"

#define Mo_NAMED_CELLS_MAX 12
#define Mo_VERY_SLOW_FACTOR 8 /* times the target for the first token */
#define Mo_VERSIONS 2

static int
in_flight(const struct ch_table *table)
{
    int sum = 0;
    struct ch_endpoint *endpoint = Ch_First(table);
    for (; endpoint != NULL; endpoint = Ch_Next(endpoint)) {
        sum += Ch_InFlight(endpoint);
    }
    return sum;
}

static void
set_shares(struct mo_moves *moves, struct mo_service *service)
{
    const char *routers[Mo_ROUTERS_MAX];
    struct ch_share shares[Mo_VERSIONS] = {{.share = 1}, {.share = 0}};
    const struct mv_move *move = Mo_LoggedMove(service);
    struct ch_table *table = Ep_Table(moves->gate->endpoints, service->name);
    strlcpy(shares[0].version, service->plan.from, sizeof(shares[0].version));
    strlcpy(shares[1].version, service->plan.to, sizeof(shares[1].version));
    if (move != NULL && table != NULL) {
        struct mv_allotment allotment;
        size_t count =
            moves->ops->routers(moves->arg, routers, Mo_ROUTERS_MAX);
        /* The load is spread evenly, so each router has about the same. */
        int total = in_flight(table) * (int)count;
        Mv_Allot(move, moves->gate->options->node_id, routers, count, total,
                 &allotment);
        shares[1].share = allotment.share;
        shares[1].max_in_flight = allotment.max_in_flight;
        shares[0].share = 1 - allotment.share;
    }
    bool over = move != NULL && Mv_IsOver(move);
    Ep_SetShares(moves->gate->endpoints, service->name, shares, Mo_VERSIONS);
    Ep_SetTrial(moves->gate->endpoints, service->name,
                over ? NULL : service->plan.to);
}

static void
distrust_new(struct mo_moves *moves, struct mo_service *service)
{
    Ev_Log(&GT_MOVE_TRIPPED, "service=%s version=%s", service->name,
           service->plan.to);
    Ep_Distrust(moves->gate->endpoints, service->name, service->plan.to);
    moves->ops->distrust(moves->arg, service->name, service->plan.to);
}

static struct mv_cell *
find_or_add_cell(struct mw_report *report, const char *route,
                 int request_class)
{
    for (size_t i = 0; i < report->count; i++) {
        struct mv_cell *cell = &report->cells[i];
        if (cell->request_class == request_class &&
            strcmp(cell->route, route) == 0) {
            return cell;
        }
    }
    if (report->count >= Mv_CELLS_MAX) {
        return NULL;
    }
    struct mv_cell *cell = &report->cells[report->count++];
    memset(cell, 0, sizeof(*cell));
    strlcpy(cell->route, route, sizeof(cell->route));
    cell->request_class = request_class;
    return cell;
}

static void
count_pace(struct mo_service *service, const struct mo_outcome *outcome,
           enum mv_side side, struct mv_cell *cell)
{
    if (outcome->pace.usec <= 0) {
        return;
    }
    enum pa_verdict verdict =
        Pa_Judge(&service->typical_pace, side == MV_NEW, &outcome->pace);
    cell->paced[side] += verdict != PA_UNKNOWN;
    cell->slow_pace[side] += verdict == PA_SLOW;
}

static void
count_outcome(struct mo_service *service, const struct mo_outcome *outcome,
              enum mv_side side)
{
    /* Once these cells are in use, the rest counts as route "other". */
    bool full = service->report.count >= Mo_NAMED_CELLS_MAX;
    struct mv_cell *cell =
        find_or_add_cell(&service->report, full ? "other" : outcome->route,
                         outcome->patient ? 1 : 0);
    if (cell == NULL) {
        return;
    }
    cell->count[side]++;
    if (outcome->failed) {
        cell->failed[side]++;
    }
    else {
        cell->first_token[side][Mv_Bucket(outcome->first_token_usec)]++;
        count_pace(service, outcome, side, cell);
    }
}

static enum mv_outcome
classify(const struct mo_outcome *outcome)
{
    if (outcome->failed) {
        return MV_FAILED;
    }
    if (outcome->target_usec > 0 &&
        outcome->first_token_usec >
            Mo_VERY_SLOW_FACTOR * outcome->target_usec) {
        return MV_VERY_SLOW;
    }
    return MV_GOOD;
}

/*
 * Counts the outcome of a request for its version.  If the circuit breaker
 * trips, this router sends the new version no more requests at once, without
 * waiting for the log or for a peer.
 */
void
Mo_RecordOutcome(struct mo_moves *moves, const struct mo_outcome *outcome)
{
    struct mo_service *service = Mo_Find(moves, outcome->service);
    if (service == NULL || service->plan.to[0] == '\0') {
        return;
    }
    enum mv_side side;
    if (strcmp(outcome->version, service->plan.to) == 0) {
        side = MV_NEW;
    }
    else if (strcmp(outcome->version, service->plan.from) == 0) {
        side = MV_OLD;
    }
    else {
        return;
    }
    count_outcome(service, outcome, side);
    bool before = service->trip.tripped;
    uint64_t endpoint = Hash_String(outcome->endpoint, 0);
    if (Mv_TripNoteAt(&service->trip, side, classify(outcome), endpoint) &&
        !before) {
        distrust_new(moves, service);
    }
}

static void
send_report(struct mo_moves *moves, struct mo_service *service)
{
    struct mw_report *report = &service->report;
    if (report->count == 0) {
        return;
    }
    report->sequence++;
    strlcpy(report->service, service->name, sizeof(report->service));
    strlcpy(report->to, service->plan.to, sizeof(report->to));
    strlcpy(report->router, moves->gate->incarnation, sizeof(report->router));
    char *text = Mw_WriteReport(report);
    if (text != NULL) {
        moves->ops->send_report(moves->arg, service->job, text, strlen(text));
    }
    free(text);
    report->count = 0;
}

/* Updates the traffic share of this router and sends the report when due. */
void
Mo_RouterTick(struct mo_moves *moves, struct mo_service *service)
{
    int64_t now = Ck_Now(moves->gate->clock);
    if (service->plan.to[0] == '\0') {
        return;
    }
    set_shares(moves, service);
    if (now - service->block_started_at >= Mv_BLOCK_USEC) {
        service->block_started_at = now;
        send_report(moves, service);
    }
}
