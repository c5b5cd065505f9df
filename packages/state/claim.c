#include "state/claim.h"

#include <bsd/string.h>
#include <stdlib.h>
#include <string.h>

#include "state/claim_internal.h"

#define Cl_WINDOW_MS (INT64_C(24) * 3600 * 1000)
#define Cl_ENTRIES ((size_t)20000)
#define Cl_BODIES ((size_t)4 << 20)

static int
compare(struct cl_entry *a, struct cl_entry *b)
{
    int order = strcmp(a->claim.key.digest, b->claim.key.digest);
    if (order != 0) {
        return order;
    }
    return strcmp(a->claim.key.customer, b->claim.key.customer);
}

RB_GENERATE(cl_tree, cl_entry, node, compare)

/* Makes an empty table; NULL without memory. */
struct cl_table *
Cl_Create(const struct cl_options *options)
{
    struct cl_table *table = calloc(1, sizeof(*table));
    if (table == NULL) {
        return NULL;
    }
    table->options = *options;
    if (table->options.window_ms <= 0) {
        table->options.window_ms = Cl_WINDOW_MS;
    }
    if (table->options.max_entries == 0) {
        table->options.max_entries = Cl_ENTRIES;
    }
    if (table->options.max_bodies == 0) {
        table->options.max_bodies = Cl_BODIES;
    }
    RB_INIT(&table->tree);
    TAILQ_INIT(&table->order);
    TAILQ_INIT(&table->bodies);
    return table;
}

static void
drop_body(struct cl_table *table, struct cl_entry *entry)
{
    if (entry->bytes == NULL) {
        return;
    }
    TAILQ_REMOVE(&table->bodies, entry, body_link);
    table->body_bytes -= entry->answer.len;
    free(entry->bytes);
    entry->bytes = NULL;
    entry->answer.body = NULL;
    entry->answer.len = 0;
    entry->answer.truncated = true;
}

static void
entry_remove(struct cl_table *table, struct cl_entry *entry)
{
    drop_body(table, entry);
    RB_REMOVE(cl_tree, &table->tree, entry);
    TAILQ_REMOVE(&table->order, entry, link);
    table->count--;
    free(entry);
}

static void
remove_all(struct cl_table *table)
{
    struct cl_entry *entry;
    struct cl_entry *next;
    TAILQ_FOREACH_SAFE (entry, &table->order, link, next) {
        entry_remove(table, entry);
    }
}

/* Forgets everything, the time included. */
void
Cl_Reset(struct cl_table *table)
{
    remove_all(table);
    memset(&table->first, 0, sizeof(table->first));
    memset(&table->second, 0, sizeof(table->second));
    table->time_ms = 0;
    table->results = 0;
}

/* Frees a table. */
void
Cl_Destroy(struct cl_table *table)
{
    if (table != NULL) {
        remove_all(table);
        free(table);
    }
}

static struct cl_entry *
find(struct cl_table *table, const struct cl_key *key)
{
    struct cl_entry probe;
    probe.claim.key = *key;
    return RB_FIND(cl_tree, &table->tree, &probe);
}

static int64_t
later(int64_t a, int64_t b)
{
    return a > b ? a : b;
}

static void
state_time(struct cl_table *table, const char *node, int64_t wall_ms)
{
    struct cl_voucher *first = &table->first;
    struct cl_voucher *second = &table->second;
    if (strcmp(node, first->node) == 0) {
        first->wall_ms = later(first->wall_ms, wall_ms);
        return;
    }
    if (strcmp(node, second->node) == 0 || wall_ms > second->wall_ms) {
        strlcpy(second->node, node, sizeof(second->node));
        second->wall_ms = later(second->wall_ms, wall_ms);
    }
    if (second->wall_ms > first->wall_ms) {
        struct cl_voucher swap = *first;
        *first = *second;
        *second = swap;
    }
}

/*
 * Advances record time to what two different nodes have stated.  One node
 * whose clock runs days ahead would otherwise end the window of every key at
 * once, and a late repeat of a charge would run again.
 */
static void
advance(struct cl_table *table, const struct rc_record *record,
        const struct cl_claim *claim)
{
    state_time(table, record->writer.node, record->wall_ms);
    state_time(table, claim->attempt.owner.node, claim->wall_ms);
    table->time_ms = later(table->time_ms, table->second.wall_ms);
}

/* Ends the window of old keys; it holds at least as long as was promised. */
static void
expire(struct cl_table *table)
{
    struct cl_entry *entry;
    struct cl_entry *next;
    TAILQ_FOREACH_SAFE (entry, &table->order, link, next) {
        if (entry->since_ms + table->options.window_ms >= table->time_ms) {
            return;
        }
        entry_remove(table, entry);
    }
}

static struct cl_entry *
entry_add(struct cl_table *table, const struct cl_claim *claim,
          int64_t since_ms)
{
    struct cl_entry *entry = calloc(1, sizeof(*entry));
    if (entry == NULL) {
        abort(); /* a table without this claim would judge unlike others */
    }
    entry->claim = *claim;
    entry->since_ms = since_ms;
    RB_INSERT(cl_tree, &table->tree, entry);
    TAILQ_INSERT_TAIL(&table->order, entry, link);
    table->count++;
    return entry;
}

static void
apply_claim(struct cl_table *table, const struct rc_record *record,
            struct cl_outcome *out)
{
    struct cl_claim claim;
    Cl_ReadClaim(record->body, &claim);
    advance(table, record, &claim);
    expire(table);
    Cl_Lookup(table, &claim.key, claim.body_digest, out);
    if (out->verdict != CL_NONE) {
        return;
    }
    if (table->count >= table->options.max_entries) {
        out->verdict = CL_FULL;
        return;
    }
    /*
     * Record time stands still while a stream is idle, so it alone would
     * begin the window of this key in the past: the latest time known
     * counts.
     */
    int64_t since = later(later(table->time_ms, table->first.wall_ms),
                          later(claim.wall_ms, record->wall_ms));
    entry_add(table, &claim, since);
    out->verdict = CL_WON;
    out->holder = claim.attempt;
    out->expires_ms = claim.expires_ms;
}

/* The entry that an attempt holds without a result, or NULL. */
static struct cl_entry *
find_held(struct cl_table *table, const json_t *body)
{
    struct cl_key key;
    struct cl_attempt attempt;
    Cl_ReadKey(body, &key);
    Cl_ReadAttempt(body, &attempt);
    struct cl_entry *entry = find(table, &key);
    if (entry == NULL || entry->done ||
        !Cl_SameAttempt(&entry->claim.attempt, &attempt)) {
        return NULL;
    }
    return entry;
}

/* Bodies are dropped in the order of their results, which a table that was
 * loaded must know as well: it gets the entries in the order of claims. */
static void
insert_body(struct cl_table *table, struct cl_entry *entry)
{
    struct cl_entry *other;
    TAILQ_FOREACH_REVERSE(other, &table->bodies, cl_bodies, body_link)
    {
        if (other->done_order < entry->done_order) {
            TAILQ_INSERT_AFTER(&table->bodies, other, entry, body_link);
            return;
        }
    }
    TAILQ_INSERT_HEAD(&table->bodies, entry, body_link);
}

static void
set_answer(struct cl_table *table, struct cl_entry *entry, const json_t *body,
           uint64_t done_order)
{
    entry->done = Cl_ReadAnswer(body, &entry->answer, &entry->bytes);
    entry->done_order = done_order;
    if (entry->bytes == NULL) {
        return;
    }
    insert_body(table, entry);
    table->body_bytes += entry->answer.len;
    while (table->body_bytes > table->options.max_bodies) {
        drop_body(table, TAILQ_FIRST(&table->bodies));
    }
}

/*
 * Applies the next record of the stream.  "out" tells a claim's verdict; for
 * other records it is CL_NONE.  A result or a release counts only from the
 * attempt that holds the key: one that comes late, after a release and a new
 * claim, changes nothing.
 */
void
Cl_Apply(struct cl_table *table, const struct rc_record *record,
         struct cl_outcome *out)
{
    memset(out, 0, sizeof(*out));
    if (Rc_Is(record, Cl_CLAIM)) {
        apply_claim(table, record, out);
        return;
    }
    bool result = Rc_Is(record, Cl_RESULT);
    if (!result && !Rc_Is(record, Cl_RELEASE)) {
        return;
    }
    struct cl_entry *entry = find_held(table, record->body);
    if (entry == NULL) {
        return;
    }
    if (result) {
        set_answer(table, entry, record->body, ++table->results);
    }
    else {
        entry_remove(table, entry);
    }
}

static void
load_time(struct cl_table *table, const json_t *entry)
{
    table->time_ms = Rc_Number(entry, "time");
    table->results = (uint64_t)Rc_Number(entry, "results");
    strlcpy(table->first.node, Rc_Text(entry, "n1"),
            sizeof(table->first.node));
    table->first.wall_ms = Rc_Number(entry, "t1");
    strlcpy(table->second.node, Rc_Text(entry, "n2"),
            sizeof(table->second.node));
    table->second.wall_ms = Rc_Number(entry, "t2");
}

/* Adds one entry of Cl_Save(), in the order it was saved. */
void
Cl_Load(struct cl_table *table, const json_t *entry)
{
    if (json_object_get(entry, "time") != NULL) {
        load_time(table, entry);
        return;
    }
    struct cl_claim claim;
    Cl_ReadClaim(entry, &claim);
    if (find(table, &claim.key) == NULL) {
        struct cl_entry *added =
            entry_add(table, &claim, Rc_Number(entry, "since"));
        set_answer(table, added, entry, (uint64_t)Rc_Number(entry, "order"));
    }
}
