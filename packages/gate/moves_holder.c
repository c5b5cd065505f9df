/*
 * The lease holder of a version move merges the reports of the routers,
 * decides on the next step, and writes each decision to the log with the
 * fencing token of its lease.  A new holder continues from the last record in
 * the log, but collects new evidence.  A version on which a router's circuit
 * breaker has tripped gets no requests meanwhile.
 */
#include <stdlib.h>
#include <string.h>

#include "base/event.h"
#include "gate/endpoints.h"
#include "gate/events.h"
#include "gate/moves_internal.h"

#define Mo_FALSE_ALARM_RATE 0.01
#define Mo_APPEND_USEC (5 * Ck_USEC_PER_SEC)
/* Reports arrive some seconds after their block has ended. */
#define Mo_CLOSE_USEC Mv_BLOCK_USEC

/* Frees the state that only the lease holder has. */
void
Mo_HolderStop(struct mo_service *service)
{
    service->holding = false;
    if (service->evidence != NULL) {
        Mv_EvidenceDestroy(service->evidence);
        service->evidence = NULL;
    }
}

static bool
start_holding(struct mo_moves *moves, struct mo_service *service)
{
    int64_t wall = Ck_Wall(moves->gate->clock);
    service->evidence = Mv_EvidenceCreate(Mo_FALSE_ALARM_RATE);
    if (service->evidence == NULL) {
        return false;
    }
    service->holding = true;
    service->block_closed_at = Ck_Now(moves->gate->clock);
    if (service->recorded) {
        service->working = service->record.move;
        return true;
    }
    return Mv_Begin(&service->working, &service->plan, wall) == ST_OK;
}

static void
record_written(void *arg, enum wr_result result, uint64_t sequence)
{
    struct mo_service *service = arg;
    (void)result;
    (void)sequence;
    service->appending = false;
}

static bool
is_recorded(const struct mo_service *service)
{
    const struct mv_move *working = &service->working;
    const struct mv_move *recorded = &service->record.move;
    return service->recorded && working->phase == recorded->phase &&
           working->share == recorded->share &&
           working->started == recorded->started &&
           strcmp(working->plan.to, recorded->plan.to) == 0 &&
           strcmp(working->plan.from, recorded->plan.from) == 0 &&
           working->plan.deadline == recorded->plan.deadline &&
           working->plan.withdrawn == recorded->plan.withdrawn;
}

/*
 * Appends the working state to the log.  No further decision is made until it
 * has been read back: the routers act on the state in the log, and reports
 * made under one state must not count as evidence for the next.
 */
static void
write_state(struct mo_moves *moves, struct mo_service *service)
{
    struct ls_permit permit;
    if (service->appending || is_recorded(service) ||
        !Le_MayAct(Ct_Leases(moves->control), service->job, &permit)) {
        return;
    }
    struct mw_record record = {
        .fence = permit.fence,
        .move = service->working,
    };
    Mv_Describe(&service->working, record.sentence, sizeof(record.sentence));
    int64_t deadline = Ck_Now(moves->gate->clock) + Mo_APPEND_USEC;
    service->appending =
        Ct_Append(moves->control, Mw_KIND, Mw_WriteRecord(&record), deadline,
                  record_written, service) == ST_OK;
}

static void
collect_input(struct mo_moves *moves, struct mo_service *service,
              struct mv_tick_input *input)
{
    struct ch_table *table = Ep_Table(moves->gate->endpoints, service->name);
    const char *routers[Mo_ROUTERS_MAX];
    struct ch_capacity capacity = {0};
    int new_slots = 0;
    int old_slots = 0;
    memset(input, 0, sizeof(*input));
    if (table == NULL) {
        return;
    }
    struct ch_endpoint *endpoint = Ch_First(table);
    for (; endpoint != NULL; endpoint = Ch_Next(endpoint)) {
        const struct ch_info *info = Ch_Info(endpoint);
        int slots = info->slots > 0 ? info->slots : 1;
        if (Ch_State(endpoint) != CH_LIVE) {
            continue;
        }
        if (strcmp(info->version, service->working.plan.to) == 0) {
            new_slots += slots;
            input->new_endpoints++;
        }
        else if (strcmp(info->version, service->working.plan.from) == 0) {
            old_slots += slots;
        }
    }
    Ch_Capacity(table, Ck_Now(moves->gate->clock), &capacity);
    input->new_capacity =
        old_slots > new_slots ? (double)new_slots / old_slots : 1;
    input->any_tripped = !Ch_Trusted(table, service->working.plan.to);
    /* The load is spread evenly, so each router has about the same. */
    input->per_sec =
        capacity.per_sec *
        (double)moves->ops->routers(moves->arg, routers, Mo_ROUTERS_MAX);
    if (input->per_sec > service->peak_per_sec) {
        service->peak_per_sec = input->per_sec;
    }
    input->peak_per_sec = service->peak_per_sec;
}

static void
decide(struct mo_moves *moves, struct mo_service *service)
{
    int64_t now = Ck_Now(moves->gate->clock);
    int64_t wall = Ck_Wall(moves->gate->clock);
    struct mv_tick_input input;
    if (now - service->block_closed_at >= Mo_CLOSE_USEC) {
        service->block_closed_at = now;
        Mv_CloseBlock(service->evidence);
    }
    if (is_recorded(service)) {
        Mv_Revise(&service->working, &service->plan, wall);
        collect_input(moves, service, &input);
        Mv_Tick(&service->working, service->evidence, &input, wall);
    }
    write_state(moves, service);
}

/* Acquires or releases the lease, and advances the move while held. */
void
Mo_HolderTick(struct mo_moves *moves, struct mo_service *service)
{
    struct le_table *leases = Ct_Leases(moves->control);
    bool wanted = Mo_NeedsHolder(service) &&
                  moves->ops->should_hold(moves->arg, service->job);
    if (!wanted && !service->holding && !Le_Holds(leases, service->job)) {
        return;
    }
    Le_Want(leases, service->job, wanted, 0);
    if (!wanted || !Le_Holds(leases, service->job)) {
        Mo_HolderStop(service);
        return;
    }
    if (!service->holding && !start_holding(moves, service)) {
        Mo_HolderStop(service);
        return;
    }
    decide(moves, service);
}

/* Handles a report of a router; ignored unless this daemon is the holder. */
void
Mo_HandleReport(struct mo_moves *moves, const char *text, size_t len)
{
    struct mw_report *report = calloc(1, sizeof(*report));
    if (report == NULL) {
        return;
    }
    if (Mw_ReadReport(text, len, report)) {
        struct mo_service *service = Mo_Find(moves, report->service);
        if (service != NULL && service->holding &&
            strcmp(report->to, service->working.plan.to) == 0) {
            Mv_Merge(service->evidence, report->router, report->sequence,
                     report->cells, report->count);
        }
    }
    free(report);
}
