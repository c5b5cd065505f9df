#include "gate/moves_internal.h"

#include <bsd/string.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/event.h"
#include "gate/endpoints.h"
#include "gate/events.h"

#define Mo_PERIOD (500 * Ck_USEC_PER_MSEC)

/* Creates the moves; Mo_SetControl() must follow before the first tick. */
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

/* Frees the moves; call it after the control stream is destroyed. */
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

/* The stream that holds the moves' state and leases. */
void
Mo_SetControl(struct mo_moves *moves, struct ct_control *control)
{
    moves->control = control;
}

/* The entry of a service, or NULL. */
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

/* The move as the log has it for the configured plan, or NULL. */
const struct mv_move *
Mo_InForce(const struct mo_service *service)
{
    if (!service->recorded || service->plan.to[0] == '\0' ||
        strcmp(service->record.move.plan.to, service->plan.to) != 0) {
        return NULL;
    }
    return &service->record.move;
}

/* Whether the configured move still has to be worked on. */
bool
Mo_Active(const struct mo_service *service)
{
    if (service->plan.to[0] == '\0') {
        return false;
    }
    const struct mv_move *move = Mo_InForce(service);
    if (move == NULL || !Mv_IsOver(move)) {
        return true;
    }
    /* A move that is done can still be withdrawn. */
    return service->plan.withdrawn && move->phase == MV_DONE;
}

/* ---- the component of the control stream's state ---- */

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
say_end(const struct mw_record *record)
{
    if (Mv_IsOver(&record->move)) {
        Ev_Log(&GT_MOVE_OVER, "service=%s phase=%s sentence=\"%s\"",
               record->move.plan.service, Mv_PhaseName(record->move.phase),
               record->sentence);
    }
}

/*
 * Takes a holder's record.  One that does not carry the fence of the job's
 * lease at this point of the log comes from a holder that was replaced; all
 * daemons skip it alike, so that a paused holder cannot overrule the next.
 */
static void
apply(void *arg, const struct rc_record *record)
{
    struct mo_moves *moves = arg;
    struct mw_record move;
    struct ls_lease lease;
    if (!Rc_Is(record, Mw_KIND) || !Mw_Read(record->body, &move)) {
        return;
    }
    struct mo_service *service = find_or_add(moves, move.move.plan.service);
    if (service == NULL ||
        !Le_Get(Ct_Leases(moves->control), service->job, &lease) ||
        lease.fence != move.fence ||
        Rc_CompareWriters(&lease.holder, &record->writer) != 0) {
        return;
    }
    service->record = move;
    service->recorded = true;
    say_end(&move);
}

static void
save(void *arg, json_t *list)
{
    struct mo_moves *moves = arg;
    struct mo_service *service;
    TAILQ_FOREACH (service, &moves->services, link) {
        if (service->recorded) {
            json_array_append_new(
                list, json_pack("{s:o}", Mw_KIND, Mw_Body(&service->record)));
        }
    }
}

static void
load(void *arg, const json_t *entry)
{
    struct mo_moves *moves = arg;
    struct mw_record record;
    const json_t *body = json_object_get(entry, Mw_KIND);
    if (body == NULL || !Mw_Read(body, &record)) {
        return;
    }
    struct mo_service *service = find_or_add(moves, record.move.plan.service);
    if (service != NULL) {
        service->record = record;
        service->recorded = true;
    }
}

/* The moves' component of the control stream. */
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

/* ---- the plan of the configuration ---- */

static void
take_plan(struct mo_moves *moves, const struct cf_service *configured)
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
        /* Nothing seen of one version says anything of another. */
        Mv_TripInit(&service->trip);
        service->report.count = 0;
    }
    service->plan = plan;
}

static void
take_plans(struct mo_moves *moves)
{
    const struct cf_config *config = moves->gate->config;
    for (size_t i = 0; config != NULL && i < config->service_count; i++) {
        take_plan(moves, &config->services[i]);
    }
}

/* Whether it is not known yet how a configured move stands. */
bool
Mo_IsLearning(const struct mo_moves *moves)
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
 * Does what is due, as router and as holder; with a new configuration at once,
 * as requests are sent by it from now on.
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
    moves->next_tick = now + Mo_PERIOD;
    moves->config_offset = offset;
    take_plans(moves);
    struct mo_service *service;
    TAILQ_FOREACH (service, &moves->services, link) {
        Mo_RouterTick(moves, service);
        Mo_HolderTick(moves, service);
    }
}

static json_t *
move_status(const struct mo_service *service)
{
    const struct mv_move *move = Mo_InForce(service);
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

/* The moves of the configuration, the same from every daemon. */
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
