#include "gate/moves_internal.h"

#include <bsd/string.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/event.h"
#include "gate/endpoints.h"
#include "gate/events.h"

#define Mo_PERIOD_USEC (500 * Ck_USEC_PER_MSEC)

/* Mo_SetControl() must be called before the first tick. */
enum st_status
Mo_Create(struct gt_gate *gate, const struct mo_ops *ops, void *arg,
          struct mo_moves **out)
{
    struct mo_moves *moves = calloc(1, sizeof(*moves));
    if (moves == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for version moves");
    }
    moves->gate = gate;
    moves->ops = ops;
    moves->arg = arg;
    TAILQ_INIT(&moves->services);
    *out = moves;
    return ST_OK;
}

/* Must be called after the control stream is destroyed. */
void
Mo_Destroy(struct mo_moves *moves)
{
    if (moves == NULL) {
        return;
    }
    struct mo_service *service;
    while ((service = TAILQ_FIRST(&moves->services)) != NULL) {
        TAILQ_REMOVE(&moves->services, service, link);
        Mo_HolderStop(service);
        free(service);
    }
    free(moves);
}

/* Sets the stream that holds the state and the leases of the moves. */
void
Mo_SetControl(struct mo_moves *moves, struct ct_control *control)
{
    moves->control = control;
}

struct mo_service *
Mo_Find(const struct mo_moves *moves, const char *name)
{
    struct mo_service *service;
    TAILQ_FOREACH (service, &moves->services, link) {
        if (strcmp(service->name, name) == 0) {
            return service;
        }
    }
    return NULL;
}

static struct mo_service *
find_or_add(struct mo_moves *moves, const char *name)
{
    struct mo_service *service = Mo_Find(moves, name);
    if (service != NULL) {
        return service;
    }
    service = calloc(1, sizeof(*service));
    if (service == NULL) {
        return NULL;
    }
    strlcpy(service->name, name, sizeof(service->name));
    snprintf(service->job, sizeof(service->job), "move/%s", name);
    Mv_TripInit(&service->trip);
    TAILQ_INSERT_TAIL(&moves->services, service, link);
    return service;
}

/* The logged state of the configured move, or NULL if it has none yet. */
const struct mv_move *
Mo_LoggedMove(const struct mo_service *service)
{
    if (!service->recorded || service->plan.to[0] == '\0' ||
        strcmp(service->record.move.plan.to, service->plan.to) != 0) {
        return NULL;
    }
    return &service->record.move;
}

/* Whether the configured move needs a lease holder. */
bool
Mo_NeedsHolder(const struct mo_service *service)
{
    if (service->plan.to[0] == '\0') {
        return false;
    }
    const struct mv_move *move = Mo_LoggedMove(service);
    if (move == NULL || !Mv_IsOver(move)) {
        return true;
    }
    /* The operator may withdraw a move even after it is done. */
    return service->plan.withdrawn && move->phase == MV_DONE;
}

static void
reset(void *arg)
{
    struct mo_moves *moves = arg;
    struct mo_service *service;
    TAILQ_FOREACH (service, &moves->services, link) {
        service->recorded = false;
    }
}

static void
log_end(const struct mw_record *record)
{
    if (Mv_IsOver(&record->move)) {
        Ev_Log(&GT_MOVE_OVER, "service=%s phase=%s sentence=\"%s\"",
               record->move.plan.service, Mv_PhaseName(record->move.phase),
               record->sentence);
    }
}

/*
 * Applies a record of a lease holder.  A record whose fencing token is not
 * that of the lease at this point of the log was written by a former holder.
 * All daemons skip it, so that a paused former holder cannot overwrite the
 * state of its successor.
 */
static void
apply(void *arg, const struct rc_record *record)
{
    struct mo_moves *moves = arg;
    struct mw_record state;
    struct ls_lease lease;
    if (!Rc_IsKind(record, Mw_KIND) || !Mw_ReadRecord(record->body, &state)) {
        return;
    }
    struct mo_service *service = find_or_add(moves, state.move.plan.service);
    if (service == NULL ||
        !Le_Get(Ct_Leases(moves->control), service->job, &lease) ||
        lease.fence != state.fence ||
        Rc_CompareWriters(&lease.holder, &record->writer) != 0) {
        return;
    }
    service->record = state;
    service->recorded = true;
    log_end(&state);
}

static void
save(void *arg, json_t *list)
{
    struct mo_moves *moves = arg;
    struct mo_service *service;
    TAILQ_FOREACH (service, &moves->services, link) {
        if (service->recorded) {
            json_array_append_new(
                list,
                json_pack("{s:o}", Mw_KIND, Mw_WriteRecord(&service->record)));
        }
    }
}

static void
load(void *arg, const json_t *entry)
{
    struct mo_moves *moves = arg;
    struct mw_record record;
    const json_t *body = json_object_get(entry, Mw_KIND);
    if (body == NULL || !Mw_ReadRecord(body, &record)) {
        return;
    }
    struct mo_service *service = find_or_add(moves, record.move.plan.service);
    if (service != NULL) {
        service->record = record;
        service->recorded = true;
    }
}

/* The replicated state of the moves, for the control stream. */
struct ct_component
Mo_Component(struct mo_moves *moves)
{
    struct ct_component component = {
        .reset = reset,
        .apply = apply,
        .save = save,
        .load = load,
        .arg = moves,
    };
    return component;
}

static void
update_plan(struct mo_moves *moves, const struct cf_service *configured)
{
    const struct cf_move *wanted = &configured->move;
    struct mv_plan plan = {0};
    if (wanted->from[0] != '\0') {
        strlcpy(plan.service, configured->name, sizeof(plan.service));
        strlcpy(plan.from, wanted->from, sizeof(plan.from));
        strlcpy(plan.to, wanted->to, sizeof(plan.to));
        plan.first_share = wanted->first_share;
        plan.deadline = wanted->deadline_sec * Ck_USEC_PER_SEC;
        plan.withdrawn = wanted->withdrawn;
    }
    struct mo_service *service = Mo_Find(moves, configured->name);
    if (service == NULL && plan.to[0] == '\0') {
        return;
    }
    service = find_or_add(moves, configured->name);
    if (service == NULL) {
        return;
    }
    if (strcmp(service->plan.to, plan.to) != 0) {
        /* Outcomes of the former new version do not apply to this one. */
        Mv_TripInit(&service->trip);
        service->report.count = 0;
    }
    service->plan = plan;
}

static void
update_plans(struct mo_moves *moves)
{
    const struct cf_config *config = moves->gate->config;
    for (size_t i = 0; config != NULL && i < config->service_count; i++) {
        update_plan(moves, &config->services[i]);
    }
}

/* Whether a move is configured whose state is not yet read from the log. */
bool
Mo_IsStateUnread(const struct mo_moves *moves)
{
    const struct cf_config *config = moves->gate->config;
    if (Ct_Ready(moves->control)) {
        return false;
    }
    for (size_t i = 0; config != NULL && i < config->service_count; i++) {
        if (config->services[i].move.from[0] != '\0') {
            return true;
        }
    }
    return false;
}

/*
 * Does the periodic work of router and lease holder.  A new configuration is
 * handled at once, since requests are routed by it from now on.
 */
void
Mo_Tick(struct mo_moves *moves)
{
    const struct cf_config *config = moves->gate->config;
    int64_t now = Ck_Now(moves->gate->clock);
    uint64_t offset = config != NULL ? config->offset : 0;
    bool due = now >= moves->next_tick || offset != moves->config_offset;
    if (!due || !Ct_Ready(moves->control)) {
        return;
    }
    moves->next_tick = now + Mo_PERIOD_USEC;
    moves->config_offset = offset;
    update_plans(moves);
    struct mo_service *service;
    TAILQ_FOREACH (service, &moves->services, link) {
        Mo_RouterTick(moves, service);
        Mo_HolderTick(moves, service);
    }
}

static json_t *
move_status(const struct mo_service *service)
{
    const struct mv_move *move = Mo_LoggedMove(service);
    char sentence[Mw_SENTENCE_MAX] = "planned; not begun";
    if (move != NULL) {
        strlcpy(sentence, service->record.sentence, sizeof(sentence));
    }
    return json_pack(
        "{s:s,s:s,s:s,s:s,s:f,s:s}", "service", service->name, "from",
        service->plan.from, "to", service->plan.to, "phase",
        Mv_PhaseName(move != NULL ? move->phase : MV_PLANNED), "share",
        move != NULL ? move->share : 0.0, "sentence", sentence);
}

/* A new array of the configured moves; the same on every daemon. */
json_t *
Mo_Status(const struct mo_moves *moves)
{
    json_t *list = json_array();
    const struct mo_service *service;
    TAILQ_FOREACH (service, &moves->services, link) {
        if (service->plan.to[0] != '\0') {
            json_array_append_new(list, move_status(service));
        }
    }
    return list;
}
