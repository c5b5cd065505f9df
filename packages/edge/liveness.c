#include "edge/liveness.h"

#include <stdlib.h>

#include "base/log_line.h"

struct el_liveness {
    struct fl_fleet *fleet;
    const struct ck_clock *clock;
    const struct el_ops *ops;
    void *arg;
    struct lv_table *table;
};

/* NULL: the list of endpoints does not have the start. */
static struct fl_endpoint *
find_start(const struct el_liveness *liveness, uint32_t start)
{
    struct fl_endpoint *endpoint;
    TAILQ_FOREACH (endpoint, Fl_All(liveness->fleet), link) {
        if (Fl_StartHash(endpoint) == start) {
            return endpoint;
        }
    }
    return NULL;
}

static void
on_judged(void *arg, uint32_t start, enum lv_state state,
          enum lv_witness witness)
{
    struct el_liveness *liveness = arg;
    struct fl_endpoint *endpoint = find_start(liveness, start);
    bool ended = state == LV_ENDED;
    Ln_Log(LN_STATE, ended ? "crash.confirmed" : "crash.denied",
           "\"endpoint\":\"%s\",\"by\":\"%s\"",
           endpoint == NULL ? "" : endpoint->entry.id,
           Lv_WitnessName(witness));
    if (endpoint != NULL) {
        endpoint->silent = Lv_IsSilent(liveness->table, start);
    }
    if (ended) {
        liveness->ops->ended(liveness->arg, start);
    }
    else {
        liveness->ops->denied(liveness->arg, start);
    }
}

static void
on_returned(void *arg, uint32_t start)
{
    struct el_liveness *liveness = arg;
    struct fl_endpoint *endpoint = find_start(liveness, start);
    if (endpoint != NULL) {
        endpoint->silent = false;
    }
}

static bool
is_listed(void *arg, uint32_t start)
{
    const struct el_liveness *liveness = arg;
    return find_start(liveness, start) != NULL;
}

static const struct lv_ops table_ops = {
    .judged = on_judged,
    .returned = on_returned,
    .listed = is_listed,
};

struct el_liveness *
El_Create(struct fl_fleet *fleet, const struct ck_clock *clock,
          const struct el_ops *ops, void *arg)
{
    struct el_liveness *liveness = calloc(1, sizeof(*liveness));
    if (liveness == NULL) {
        return NULL;
    }
    struct lv_rule rule = Lv_DefaultRule();
    liveness->fleet = fleet;
    liveness->clock = clock;
    liveness->ops = ops;
    liveness->arg = arg;
    liveness->table = Lv_Create(&rule, &table_ops, liveness);
    if (liveness->table == NULL) {
        El_Destroy(liveness);
        return NULL;
    }
    return liveness;
}

void
El_Destroy(struct el_liveness *liveness)
{
    if (liveness != NULL) {
        Lv_Destroy(liveness->table);
        free(liveness);
    }
}

void
El_Tick(struct el_liveness *liveness)
{
    if (Lv_IsEmpty(liveness->table)) {
        return;
    }
    const struct fl_endpoint *endpoint;
    TAILQ_FOREACH (endpoint, Fl_All(liveness->fleet), link) {
        if (endpoint->link_state.cut) {
            Lv_NoteCut(liveness->table, Fl_StartHash(endpoint));
        }
    }
    Lv_Tick(liveness->table, Ck_Now(liveness->clock));
}

bool
El_NoteBreak(struct el_liveness *liveness, const struct fl_endpoint *endpoint,
             bool relayed, int64_t sent_at)
{
    return (relayed || !endpoint->link_state.cut) &&
           Lv_NoteBreak(liveness->table, Fl_StartHash(endpoint), relayed,
                        sent_at, Ck_Now(liveness->clock));
}

void
El_NoteBytes(struct el_liveness *liveness, struct fl_endpoint *endpoint)
{
    endpoint->byte_at = Ck_Now(liveness->clock);
    if (!Lv_IsEmpty(liveness->table)) {
        Lv_NoteBytes(liveness->table, Fl_StartHash(endpoint),
                     endpoint->byte_at);
    }
}

void
El_NoteConnection(struct el_liveness *liveness,
                  const struct fl_endpoint *endpoint, bool accepted,
                  int64_t since)
{
    Lv_NoteConnection(liveness->table, Fl_StartHash(endpoint), accepted, since,
                      Ck_Now(liveness->clock));
}

void
El_NoteUnanswered(struct el_liveness *liveness, struct fl_endpoint *endpoint,
                  int64_t since)
{
    uint32_t start = Fl_StartHash(endpoint);
    Lv_NoteUnanswered(liveness->table, start, since);
    endpoint->silent = Lv_IsSilent(liveness->table, start);
}

void
El_NoteEnded(struct el_liveness *liveness, uint32_t start, int64_t ended_at)
{
    Lv_NoteEnded(liveness->table, start, ended_at);
}

bool
El_LivedSince(const struct el_liveness *liveness,
              const struct fl_endpoint *endpoint, int64_t since)
{
    return !endpoint->gone && (endpoint->byte_at > since ||
                               El_State(liveness, endpoint) == LV_LIVES);
}

enum lv_state
El_State(const struct el_liveness *liveness,
         const struct fl_endpoint *endpoint)
{
    return Lv_State(liveness->table, Fl_StartHash(endpoint));
}

bool
El_BeginCheck(struct el_liveness *liveness, const struct fl_endpoint *endpoint)
{
    return !Lv_IsEmpty(liveness->table) &&
           Lv_BeginCheck(liveness->table, Fl_StartHash(endpoint),
                         Ck_Now(liveness->clock));
}
