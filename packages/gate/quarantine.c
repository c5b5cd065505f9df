#include "gate/quarantine.h"

#include <stdlib.h>
#include <string.h>

#include "base/event.h"
#include "base/hash.h"
#include "gate/events.h"

/* Often enough for those who joined, or missed a word. */
#define Gq_RETELL_USEC (2 * Ck_USEC_PER_SEC)
#define Gq_TELL_USEC (100 * Ck_USEC_PER_MSEC)

struct gq_quarantine {
    struct gt_gate *gate;
    gq_tell_fn tell;
    void *arg;
    struct pz_table *table;
    struct lp_timer *close_timer;
    int64_t told_at;
    struct gq_word told;
};

/* The hosts' clocks agree well enough to tell one end from the next. */
static int64_t
wall_now(const struct gq_quarantine *quarantine)
{
    return Ck_Wall(quarantine->gate->clock);
}

static struct pz_request
asked_of(const struct rq_request *request)
{
    struct pz_request asked = {
        .service = (uint32_t)Hash_String(request->service->name, 0),
        .customer = (uint32_t)Hash_String(request->customer->name, 0) | 1,
        .id = (uint32_t)Hash_String(request->id, 0),
    };
    while (asked.count < request->prompt.part_count &&
           asked.count < Pz_PARTS_MAX) {
        asked.parts[asked.count] = request->prompt.parts[asked.count];
        asked.count++;
    }
    return asked;
}

static void
on_stopped(void *arg, const struct pz_stop *stop, int crashes, bool heard)
{
    struct gq_quarantine *quarantine = arg;
    Ev_Log(&GT_PART_STOPPED,
           "part=%08x service=%08x customer=%08x crashes=%d by=%s",
           stop->key.part, stop->key.service, stop->key.customer, crashes,
           heard ? "peer" : "own");
    Gt_Count(quarantine->gate, "cg_parts_stopped_total", NULL, NULL);
    Lp_TimerSet(quarantine->close_timer, 0);
}

static void
on_lifted(void *arg, const struct pz_stop *stop, const char *why)
{
    (void)arg;
    Ev_Log(&GT_PART_LIFTED, "part=%08x service=%08x customer=%08x reason=%s",
           stop->key.part, stop->key.service, stop->key.customer, why);
}

static const struct pz_ops table_ops = {
    .stopped = on_stopped,
    .lifted = on_lifted,
};

/* What waits for its first token would end the engines where it is. */
static void
on_close(void *arg)
{
    struct gq_quarantine *quarantine = arg;
    struct rq_request *request;
    struct rq_request *next;
    uint32_t part;
    TAILQ_FOREACH_SAFE (request, &quarantine->gate->requests, link, next) {
        if (request->engine != NULL &&
            Gq_Refuses(quarantine, request, &part)) {
            Rl_EngineStopped(request, part);
        }
    }
}

enum st_status
Gq_Create(struct gt_gate *gate, gq_tell_fn tell, void *arg,
          struct gq_quarantine **out)
{
    struct gq_quarantine *quarantine = calloc(1, sizeof(*quarantine));
    if (quarantine == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for the stopped parts");
    }
    struct pz_rule rule = Pz_Rule();
    quarantine->gate = gate;
    quarantine->tell = tell;
    quarantine->arg = arg;
    quarantine->table =
        Pz_Create(&rule, &table_ops, quarantine, Ck_Wall(gate->clock));
    quarantine->close_timer = Lp_TimerCreate(gate->loop, on_close, quarantine);
    if (quarantine->table == NULL || quarantine->close_timer == NULL) {
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
        if (quarantine->close_timer != NULL) {
            Lp_TimerDestroy(quarantine->close_timer);
        }
        Pz_Destroy(quarantine->table);
        free(quarantine);
    }
}

void
Gq_Began(struct gq_quarantine *quarantine, const struct rq_request *request)
{
    struct pz_request asked = asked_of(request);
    Pz_Began(quarantine->table, &asked, wall_now(quarantine));
}

void
Gq_Broke(struct gq_quarantine *quarantine, const struct rq_request *request,
         const struct gq_break *broke)
{
    struct pz_request asked = asked_of(request);
    int64_t now = wall_now(quarantine);
    struct pz_crash crash = {
        .endpoint = (uint32_t)Hash_String(broke->endpoint, 0),
        .begun = broke->begun,
        .sent_at = now - (Ck_Now(quarantine->gate->clock) - broke->sent_at),
        .ended_at = now,
    };
    Pz_Ended(quarantine->table, &asked, &crash);
    Pz_Judge(quarantine->table, now);
}

void
Gq_Lives(struct gq_quarantine *quarantine, const char *endpoint)
{
    Pz_Lives(quarantine->table, (uint32_t)Hash_String(endpoint, 0),
             wall_now(quarantine));
}

void
Gq_Dead(struct gq_quarantine *quarantine, const char *endpoint)
{
    Pz_Dead(quarantine->table, (uint32_t)Hash_String(endpoint, 0));
    Pz_Judge(quarantine->table, wall_now(quarantine));
}

bool
Gq_Refuses(struct gq_quarantine *quarantine, const struct rq_request *request,
           uint32_t *part)
{
    struct pz_request asked = asked_of(request);
    const struct pz_stop *stop =
        Pz_Refuses(quarantine->table, &asked, wall_now(quarantine));
    *part = stop == NULL ? 0 : stop->key.part;
    return stop != NULL;
}

bool
Gq_Doubts(const struct gq_quarantine *quarantine,
          const struct rq_request *request)
{
    struct pz_request asked = asked_of(request);
    return Pz_Doubts(quarantine->table, &asked, wall_now(quarantine));
}

void
Gq_Hear(struct gq_quarantine *quarantine, const struct gq_word *word)
{
    for (size_t i = 0; i < word->clear_count; i++) {
        Pz_HearClear(quarantine->table, &word->clears[i]);
    }
    for (size_t i = 0; i < word->stop_count; i++) {
        Pz_HearStop(quarantine->table, &word->stops[i], wall_now(quarantine));
    }
    for (size_t i = 0; i < word->crash_count; i++) {
        Pz_HearCrash(quarantine->table, &word->crashes[i]);
    }
}

static void
fill(const struct gq_quarantine *quarantine, struct gq_word *word)
{
    int64_t now = wall_now(quarantine);
    memset(word, 0, sizeof(*word));
    word->crash_count =
        Pz_TellCrashes(quarantine->table, word->crashes, Gq_CRASHES_MAX, now);
    word->clear_count =
        Pz_TellClears(quarantine->table, word->clears, Gq_CLEARS_MAX, now);
    word->stop_count =
        Pz_TellStops(quarantine->table, word->stops, Gq_STOPS_MAX);
}

/* The newest row comes first. */
static bool
has_news(const struct gq_word *word, const struct gq_word *told)
{
    return word->crash_count != told->crash_count ||
           word->clear_count != told->clear_count ||
           word->stop_count != told->stop_count ||
           (word->crash_count > 0 &&
            word->crashes[0].ended_at != told->crashes[0].ended_at);
}

/* Daemons with nothing to say say nothing. */
void
Gq_Tick(struct gq_quarantine *quarantine)
{
    int64_t now = Ck_Now(quarantine->gate->clock);
    Pz_Judge(quarantine->table, wall_now(quarantine));
    if (now - quarantine->told_at < Gq_TELL_USEC) {
        return;
    }
    struct gq_word word;
    fill(quarantine, &word);
    bool any = word.crash_count + word.clear_count + word.stop_count > 0;
    bool news = has_news(&word, &quarantine->told);
    if (any && (news || now - quarantine->told_at >= Gq_RETELL_USEC)) {
        quarantine->told_at = now;
        quarantine->told = word;
        quarantine->tell(quarantine->arg, &word);
    }
}
