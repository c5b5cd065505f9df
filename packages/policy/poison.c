#include "policy/poison.h"

#include <stdlib.h>

#include "policy/poison_internal.h"

/* Data that arrives this soon after a crash may have been in transit. */
#define Pz_IN_TRANSIT_USEC (50 * Ck_USEC_PER_MSEC)
/* A living endpoint has shown a sign of life by then. */
#define Pz_CONFIRM_USEC (1500 * Ck_USEC_PER_MSEC)
/* Keeps the keys of whole requests apart from those of parts. */
#define Pz_CONTENT_SCOPE UINT32_C(0x636f6e74)
/* Older crashes implicate nothing. */
#define Pz_CRASH_TTL_USEC (600 * Ck_USEC_PER_SEC)

struct pz_rule
Pz_DefaultRule(void)
{
    return (struct pz_rule){
        .crashes_after_head = 3,
        .crashes = 5,
        .content_crashes = 3,
        .answered_factor = 2,
        .requests = 2,
        .other_answers = 2,
        .in_sequence = true,
        .explain_crashes = true,
        .silence_confirms = true,
        .startup_grace_usec = 3 * Ck_USEC_PER_SEC,
    };
}

/* Returns NULL when out of memory. */
struct pz_table *
Pz_Create(const struct pz_rule *rule, const struct pz_ops *ops, void *arg,
          int64_t now)
{
    struct pz_table *table = calloc(1, sizeof(*table));
    if (table != NULL) {
        table->rule = *rule;
        table->ops = ops;
        table->arg = arg;
        table->started_at = now;
        TAILQ_INIT(&table->crashes);
        TAILQ_INIT(&table->free_entries);
        for (size_t i = 0; i < Pz_CRASHES_MAX; i++) {
            TAILQ_INSERT_TAIL(&table->free_entries, &table->pool[i], link);
        }
    }
    return table;
}

void
Pz_Destroy(struct pz_table *table)
{
    free(table);
}

bool
Pz_IsEmpty(const struct pz_table *table)
{
    return TAILQ_EMPTY(&table->crashes) && table->quarantine_count == 0;
}

struct pz_key
pz_content_key(const struct pz_request *request)
{
    return (struct pz_key){request->service ^ Pz_CONTENT_SCOPE,
                           request->customer, request->content};
}

uint32_t
pz_service_of(const struct pz_crash *crash)
{
    return crash->depth == Pz_CONTENT ? crash->key.service ^ Pz_CONTENT_SCOPE
                                      : crash->key.service;
}

static void
remove_entry(struct pz_table *table, struct pz_crash_entry *entry)
{
    table->content_count -= entry->crash.depth == Pz_CONTENT;
    TAILQ_REMOVE(&table->crashes, entry, link);
    TAILQ_INSERT_TAIL(&table->free_entries, entry, link);
}

/* An endpoint may start again under its identity, and crash once more. */
static bool
is_same_crash(const struct pz_crash *a, const struct pz_crash *b)
{
    return a->endpoint == b->endpoint && pz_same_key(&a->key, &b->key) &&
           a->sent_at < b->ended_at + Pz_RESTART_MIN_USEC &&
           b->sent_at < a->ended_at + Pz_RESTART_MIN_USEC;
}

static struct pz_crash_entry *
find_entry(const struct pz_table *table, const struct pz_crash *crash)
{
    struct pz_crash_entry *entry;
    TAILQ_FOREACH (entry, &table->crashes, link) {
        if (is_same_crash(&entry->crash, crash)) {
            return entry;
        }
    }
    return NULL;
}

static void
make_room(struct pz_table *table, bool for_content)
{
    struct pz_crash_entry *oldest = TAILQ_FIRST(&table->crashes);
    if (for_content && table->content_count == Pz_CONTENT_CRASHES_MAX) {
        while (oldest->crash.depth != Pz_CONTENT) {
            oldest = TAILQ_NEXT(oldest, link);
        }
        remove_entry(table, oldest);
    }
    else if (TAILQ_EMPTY(&table->free_entries)) {
        remove_entry(table, oldest);
    }
}

/*
 * Several requests with a part may wait at an endpoint when it crashes.  The
 * one that was sent last is kept: if any of them was sent after the previous
 * crash, that one was.
 */
struct pz_crash_entry *
pz_add_crash(struct pz_table *table, const struct pz_crash *crash, bool local)
{
    struct pz_crash_entry *entry = find_entry(table, crash);
    if (entry != NULL) {
        bool later = crash->sent_at > entry->crash.sent_at;
        table->changed |=
            later || (crash->head_received && !entry->crash.head_received) ||
            (!local && !entry->confirmed);
        entry->local |= local;
        entry->confirmed |= !local;
        entry->crash.relayed &= crash->relayed;
        entry->crash.head_received |= crash->head_received;
        if (later) {
            entry->crash.sent_at = crash->sent_at;
            entry->crash.request = crash->request;
        }
        return entry;
    }
    make_room(table, crash->depth == Pz_CONTENT);
    entry = TAILQ_FIRST(&table->free_entries);
    TAILQ_REMOVE(&table->free_entries, entry, link);
    *entry = (struct pz_crash_entry){0};
    entry->crash = *crash;
    entry->local = local;
    entry->confirmed = !local;
    table->content_count += crash->depth == Pz_CONTENT;
    TAILQ_INSERT_TAIL(&table->crashes, entry, link);
    table->changed = true;
    return entry;
}

void
Pz_NoteCrash(struct pz_table *table, const struct pz_request *request,
             const struct pz_crash *crash, bool begun)
{
    if (request->content != 0) {
        struct pz_crash whole = *crash;
        whole.key = pz_content_key(request);
        whole.request = request->id;
        whole.depth = Pz_CONTENT;
        pz_add_crash(table, &whole, true);
    }
    for (size_t i = 0; i < request->count && !begun; i++) {
        struct pz_crash one = *crash;
        one.key = (struct pz_key){request->service, request->customer,
                                  request->parts[i]};
        one.request = request->id;
        one.depth = (int)i;
        pz_add_crash(table, &one, true);
    }
}

void
Pz_NoteAnswer(struct pz_table *table, const struct pz_request *request,
              int64_t now)
{
    pz_note_service_answer(table, request->service, now);
    for (size_t i = 0; i < request->count; i++) {
        struct pz_key key = {request->service, request->customer,
                             request->parts[i]};
        struct pz_key all = pz_all_customers(&key);
        pz_note_answer(table, &key, 1, now);
        pz_note_answer(table, &all, 1, now);
        pz_lift_cleared(table, &key);
        pz_lift_cleared(table, &all);
    }
}

int64_t
pz_implicated_at(const struct pz_table *table, const struct pz_key *key,
                 int64_t now)
{
    int64_t at = 0;
    const struct pz_crash_entry *entry;
    TAILQ_FOREACH (entry, &table->crashes, link) {
        if (pz_same_key(&entry->crash.key, key) &&
            pz_is_counted(table, entry, now) && entry->crash.ended_at > at) {
            at = entry->crash.ended_at;
        }
    }
    return at;
}

/* Only a request that is accused is remembered: most are never seen again. */
void
Pz_NoteWholeAnswer(struct pz_table *table, const struct pz_request *request,
                   int64_t now)
{
    struct pz_key key = pz_content_key(request);
    if (request->content == 0 || (!pz_has_crash(table, &key) &&
                                  pz_find_quarantine(table, &key) == NULL)) {
        return;
    }
    pz_note_answer(table, &key, 1, now);
    pz_note_implicated(table, &key, pz_implicated_at(table, &key, now));
    pz_lift_cleared(table, &key);
}

void
Pz_NoteAlive(struct pz_table *table, uint32_t endpoint, int64_t at)
{
    struct pz_crash_entry *entry;
    struct pz_crash_entry *next;
    TAILQ_FOREACH_SAFE (entry, &table->crashes, link, next) {
        int64_t since = at - entry->crash.ended_at;
        if (entry->crash.endpoint == endpoint && since > Pz_IN_TRANSIT_USEC &&
            since < Pz_RESTART_MIN_USEC) {
            remove_entry(table, entry);
        }
    }
}

void
Pz_DropUnconfirmed(struct pz_table *table, uint32_t endpoint)
{
    struct pz_crash_entry *entry;
    struct pz_crash_entry *next;
    TAILQ_FOREACH_SAFE (entry, &table->crashes, link, next) {
        if (entry->crash.endpoint == endpoint && !entry->confirmed) {
            remove_entry(table, entry);
        }
    }
}

void
Pz_ConfirmDead(struct pz_table *table, uint32_t endpoint)
{
    struct pz_crash_entry *entry;
    TAILQ_FOREACH (entry, &table->crashes, link) {
        if (entry->crash.endpoint == endpoint && !entry->confirmed) {
            entry->confirmed = true;
            table->changed = true;
        }
    }
}

bool
pz_has_crash(const struct pz_table *table, const struct pz_key *key)
{
    const struct pz_crash_entry *entry;
    TAILQ_FOREACH (entry, &table->crashes, link) {
        if (pz_same_key(&entry->crash.key, key)) {
            return true;
        }
    }
    return false;
}

bool
pz_is_counted(const struct pz_table *table, const struct pz_crash_entry *entry,
              int64_t now)
{
    return entry->confirmed ||
           (table->rule.silence_confirms && !entry->crash.relayed &&
            now - entry->crash.ended_at >= Pz_CONFIRM_USEC);
}

struct pz_quarantine *
pz_find_quarantine(const struct pz_table *table, const struct pz_key *key)
{
    for (size_t i = 0; i < table->quarantine_count; i++) {
        if (pz_same_key(&table->quarantines[i].key, key)) {
            return (struct pz_quarantine *)&table->quarantines[i];
        }
    }
    return NULL;
}

bool
pz_add_quarantine(struct pz_table *table,
                  const struct pz_quarantine *quarantine)
{
    struct pz_quarantine *hold = pz_find_quarantine(table, &quarantine->key);
    if (hold != NULL) {
        *hold = *quarantine;
        table->changed = true;
        return true;
    }
    if (table->quarantine_count == Pz_QUARANTINES_MAX) {
        return false;
    }
    table->quarantines[table->quarantine_count++] = *quarantine;
    table->changed = true;
    return true;
}

static void
lift(struct pz_table *table, struct pz_quarantine *quarantine, const char *why)
{
    struct pz_quarantine lifted = *quarantine;
    *quarantine = table->quarantines[--table->quarantine_count];
    table->changed = true;
    table->ops->lifted(table->arg, &lifted, why);
}

/*
 * Lifts the quarantine of a part.  The part is recorded as answered, so that
 * hosts which still gossip a recent quarantine get a clear in return.
 */
static void
clear_and_lift(struct pz_table *table, const struct pz_key *key,
               const char *why, int64_t now)
{
    pz_note_answer(table, key, 1, now);
    struct pz_quarantine *quarantine = pz_find_quarantine(table, key);
    if (quarantine != NULL) {
        lift(table, quarantine, why);
    }
}

void
Pz_LiftService(struct pz_table *table, uint32_t service, const char *why,
               int64_t now)
{
    for (size_t i = table->quarantine_count; i > 0; i--) {
        struct pz_key key = table->quarantines[i - 1].key;
        if (key.service == service ||
            key.service == (service ^ Pz_CONTENT_SCOPE)) {
            clear_and_lift(table, &key, why, now);
        }
    }
}

void
pz_lift_cleared(struct pz_table *table, const struct pz_key *key)
{
    struct pz_quarantine *quarantine = pz_find_quarantine(table, key);
    if (quarantine != NULL &&
        pz_cleared_at(table, key) > quarantine->decided_at) {
        lift(table, quarantine, "began");
    }
}

static struct pz_quarantine *
find_for_request(struct pz_table *table, const struct pz_request *request)
{
    struct pz_quarantine *quarantine = NULL;
    if (table->quarantine_count == 0) {
        return NULL;
    }
    if (request->content != 0) {
        struct pz_key whole = pz_content_key(request);
        quarantine = pz_find_quarantine(table, &whole);
    }
    for (size_t i = 0; i < request->count && quarantine == NULL; i++) {
        struct pz_key key = {request->service, request->customer,
                             request->parts[i]};
        struct pz_key all = pz_all_customers(&key);
        quarantine = pz_find_quarantine(table, &key);
        quarantine =
            quarantine == NULL ? pz_find_quarantine(table, &all) : quarantine;
    }
    return quarantine;
}

const struct pz_quarantine *
Pz_PeekQuarantine(struct pz_table *table, const struct pz_request *request)
{
    return find_for_request(table, request);
}

const struct pz_quarantine *
Pz_FindQuarantine(struct pz_table *table, const struct pz_request *request,
                  int64_t now)
{
    struct pz_quarantine *quarantine = find_for_request(table, request);
    if (quarantine != NULL && quarantine->requested_at != Pz_HOLD) {
        quarantine->requested_at = now;
    }
    return quarantine;
}

int64_t
Pz_RetryUsec(const struct pz_quarantine *quarantine, int64_t now)
{
    return quarantine->requested_at == Pz_HOLD
               ? quarantine->decided_at + Pz_HOLD_TTL_USEC - now
               : Pz_QUARANTINE_TTL_USEC;
}

bool
pz_is_current(const struct pz_quarantine *quarantine, int64_t now)
{
    if (quarantine->requested_at == Pz_HOLD) {
        return now - quarantine->decided_at < Pz_HOLD_TTL_USEC;
    }
    return now - quarantine->requested_at < Pz_QUARANTINE_TTL_USEC;
}

void
pz_expire(struct pz_table *table, int64_t now)
{
    while (!TAILQ_EMPTY(&table->crashes) &&
           now - TAILQ_FIRST(&table->crashes)->crash.ended_at >
               Pz_CRASH_TTL_USEC) {
        remove_entry(table, TAILQ_FIRST(&table->crashes));
    }
    for (size_t i = table->quarantine_count; i > 0; i--) {
        if (!pz_is_current(&table->quarantines[i - 1], now)) {
            lift(table, &table->quarantines[i - 1], "not asked for");
        }
    }
}
