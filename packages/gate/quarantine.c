#include "gate/quarantine.h"

#include <stdlib.h>
#include <string.h>

#include "base/event.h"
#include "base/hash.h"
#include "gate/events.h"

/* Unchanged rows are repeated for daemons that joined or missed an update. */
#define Gq_REPUBLISH_USEC (2 * Ck_USEC_PER_SEC)
#define Gq_PUBLISH_USEC (100 * Ck_USEC_PER_MSEC)

struct gq_quarantine {
    struct gt_gate *gate;
    gq_publish_fn publish;
    void *arg;
    struct pz_table *table;
    struct lp_timer *cancel_timer;
    int64_t published_at;
    struct gq_rows published;
};

/*
 * Crash times are compared between hosts, so they use the wall clock; clock
 * skew is small against the time between two crashes of an engine.
 */
static int64_t
wall_now(const struct gq_quarantine *quarantine)
{
    return Ck_Wall(quarantine->gate->clock);
}

static struct pz_request
describe(const struct rq_request *request)
{
    struct pz_request described = {
        .service = (uint32_t)Hash_String(request->service->name, 0),
        .customer = (uint32_t)Hash_String(request->customer->name, 0) | 1,
        .id = (uint32_t)Hash_String(request->id, 0),
        .content = request->content,
    };
    while (described.count < request->prompt.part_count &&
           described.count < Pz_PARTS_MAX) {
        described.parts[described.count] =
            request->prompt.parts[described.count];
        described.count++;
    }
    return described;
}

static void
on_quarantined(void *arg, const struct pz_quarantine *added, int crashes,
               bool from_peer)
{
    struct gq_quarantine *quarantine = arg;
    Ev_Log(&GT_PART_STOPPED,
           "part=%08x service=%08x customer=%08x crashes=%d by=%s",
           added->key.part, added->key.service, added->key.customer, crashes,
           from_peer ? "peer" : "own");
    Gt_Count(quarantine->gate, "cg_parts_stopped_total", NULL, NULL);
    Lp_TimerSet(quarantine->cancel_timer, 0);
}

static void
on_lifted(void *arg, const struct pz_quarantine *lifted, const char *why)
{
    (void)arg;
    Ev_Log(&GT_PART_LIFTED, "part=%08x service=%08x customer=%08x reason=%s",
           lifted->key.part, lifted->key.service, lifted->key.customer, why);
}

static const struct pz_ops table_ops = {
    .quarantined = on_quarantined,
    .lifted = on_lifted,
};

/*
 * Refuses requests in flight that contain a quarantined part: those without a
 * first token may crash the engine that they were sent to.
 */
static void
on_cancel(void *arg)
{
    struct gq_quarantine *quarantine = arg;
    struct rq_request *request;
    struct rq_request *next;
    struct gq_verdict verdict;
    TAILQ_FOREACH_SAFE (request, &quarantine->gate->requests, link, next) {
        if (request->engine != NULL &&
            Gq_IsQuarantined(quarantine, request, &verdict)) {
            Rl_EngineQuarantined(request, verdict.part);
        }
    }
}

enum st_status
Gq_Create(struct gt_gate *gate, gq_publish_fn publish, void *arg,
          struct gq_quarantine **out)
{
    struct gq_quarantine *quarantine = calloc(1, sizeof(*quarantine));
    if (quarantine == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for the stopped parts");
    }
    struct pz_rule rule = Pz_DefaultRule();
    quarantine->gate = gate;
    quarantine->publish = publish;
    quarantine->arg = arg;
    quarantine->table =
        Pz_Create(&rule, &table_ops, quarantine, Ck_Wall(gate->clock));
    quarantine->cancel_timer =
        Lp_TimerCreate(gate->loop, on_cancel, quarantine);
    if (quarantine->table == NULL || quarantine->cancel_timer == NULL) {
        Gq_Destroy(quarantine);
        return St_Fail(ST_NO_MEMORY, "no memory for the stopped parts");
    }
    *out = quarantine;
    return ST_OK;
}

void
Gq_Destroy(struct gq_quarantine *quarantine)
{
    if (quarantine != NULL) {
        if (quarantine->cancel_timer != NULL) {
            Lp_TimerDestroy(quarantine->cancel_timer);
        }
        Pz_Destroy(quarantine->table);
        free(quarantine);
    }
}

void
Gq_RecordFirstToken(struct gq_quarantine *quarantine,
                    const struct rq_request *request)
{
    struct pz_request described = describe(request);
    Pz_NoteAnswer(quarantine->table, &described, wall_now(quarantine));
}

void
Gq_RecordAnswer(struct gq_quarantine *quarantine,
                const struct rq_request *request)
{
    struct pz_request described = describe(request);
    if (request->service->kind != CF_ENGINE) {
        Pz_NoteAnswer(quarantine->table, &described, wall_now(quarantine));
    }
    Pz_NoteWholeAnswer(quarantine->table, &described, wall_now(quarantine));
}

void
Gq_RecordBreak(struct gq_quarantine *quarantine,
               const struct rq_request *request, const struct gq_break *broke)
{
    struct pz_request described = describe(request);
    int64_t now = wall_now(quarantine);
    struct pz_crash crash = {
        .endpoint = (uint32_t)Hash_String(broke->endpoint, 0),
        .head_received = broke->head_received,
        .relayed = broke->relayed,
        .sent_at = now - (Ck_Now(quarantine->gate->clock) - broke->sent_at),
        .ended_at = now,
    };
    Pz_NoteCrash(quarantine->table, &described, &crash, broke->begun);
    Pz_Evaluate(quarantine->table, now);
}

void
Gq_RecordAlive(struct gq_quarantine *quarantine, const char *endpoint)
{
    Pz_NoteAlive(quarantine->table, (uint32_t)Hash_String(endpoint, 0),
                 wall_now(quarantine));
}

void
Gq_RecordDead(struct gq_quarantine *quarantine, const char *endpoint)
{
    Pz_ConfirmDead(quarantine->table, (uint32_t)Hash_String(endpoint, 0));
    Pz_Evaluate(quarantine->table, wall_now(quarantine));
}

bool
Gq_IsQuarantined(struct gq_quarantine *quarantine,
                 const struct rq_request *request, struct gq_verdict *out)
{
    int64_t now = wall_now(quarantine);
    struct pz_request described = describe(request);
    const struct pz_quarantine *found =
        Pz_FindQuarantine(quarantine->table, &described, now);
    if (found == NULL) {
        return false;
    }
    out->part = found->key.part;
    out->retry_sec = 1 + (int)(Pz_RetryUsec(found, now) / Ck_USEC_PER_SEC);
    return true;
}

bool
Gq_DeniesRetry(const struct gq_quarantine *quarantine,
               const struct rq_request *request)
{
    struct pz_request described = describe(request);
    return Pz_DeniesRetry(quarantine->table, &described, wall_now(quarantine));
}

void
Gq_Import(struct gq_quarantine *quarantine, const struct gq_rows *rows)
{
    for (size_t i = 0; i < rows->clear_count; i++) {
        Pz_ImportClear(quarantine->table, &rows->clears[i]);
    }
    for (size_t i = 0; i < rows->quarantine_count; i++) {
        Pz_ImportQuarantine(quarantine->table, &rows->quarantines[i],
                            wall_now(quarantine));
    }
    for (size_t i = 0; i < rows->crash_count; i++) {
        Pz_ImportCrash(quarantine->table, &rows->crashes[i]);
    }
    for (size_t i = 0; i < rows->content_crash_count; i++) {
        Pz_ImportCrash(quarantine->table, &rows->content_crashes[i]);
    }
}

static void
collect(const struct gq_quarantine *quarantine, struct gq_rows *rows)
{
    int64_t now = wall_now(quarantine);
    memset(rows, 0, sizeof(*rows));
    rows->crash_count = Pz_ExportCrashes(quarantine->table, PZ_PARTS,
                                         rows->crashes, Gq_CRASHES_MAX, now);
    rows->content_crash_count =
        Pz_ExportCrashes(quarantine->table, PZ_CONTENTS, rows->content_crashes,
                         Gq_CRASHES_MAX, now);
    rows->clear_count =
        Pz_ExportClears(quarantine->table, rows->clears, Gq_CLEARS_MAX, now);
    rows->quarantine_count = Pz_ExportQuarantines(
        quarantine->table, rows->quarantines, Gq_QUARANTINES_MAX);
}

static bool
has_newer_crash(const struct pz_crash *rows, size_t count,
                const struct pz_crash *published)
{
    return count > 0 && rows[0].ended_at != published[0].ended_at;
}

/* Compares the counts and the newest crash, which is in the first row. */
static bool
has_changed(const struct gq_rows *rows, const struct gq_rows *published)
{
    return rows->crash_count != published->crash_count ||
           rows->content_crash_count != published->content_crash_count ||
           rows->clear_count != published->clear_count ||
           rows->quarantine_count != published->quarantine_count ||
           has_newer_crash(rows->crashes, rows->crash_count,
                           published->crashes) ||
           has_newer_crash(rows->content_crashes, rows->content_crash_count,
                           published->content_crashes);
}

/*
 * Evaluates the crashes and publishes the rows when they have changed, or
 * again after a while.  Nothing is published while there are no rows.
 */
void
Gq_Tick(struct gq_quarantine *quarantine)
{
    int64_t now = Ck_Now(quarantine->gate->clock);
    Pz_Evaluate(quarantine->table, wall_now(quarantine));
    if (now - quarantine->published_at < Gq_PUBLISH_USEC) {
        return;
    }
    struct gq_rows rows;
    collect(quarantine, &rows);
    bool any = rows.crash_count + rows.content_crash_count + rows.clear_count +
                   rows.quarantine_count >
               0;
    bool changed = has_changed(&rows, &quarantine->published);
    if (any &&
        (changed || now - quarantine->published_at >= Gq_REPUBLISH_USEC)) {
        quarantine->published_at = now;
        quarantine->published = rows;
        quarantine->publish(quarantine->arg, &rows);
    }
}
