#include "state/claim.h"

#include <bsd/string.h>
#include <stdlib.h>
#include <string.h>

#include "state/claim_internal.h"

#define Cl_WINDOW_MS (INT64_C(24) * 3600 * 1000)
#define Cl_MAX_ENTRIES ((size_t)20000)
#define Cl_MAX_BODY_BYTES ((size_t)4 << 20)

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

/* Creates an empty table; returns NULL if out of memory. */
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
        table->options.max_entries = Cl_MAX_ENTRIES;
    }
    if (table->options.max_bodies == 0) {
        table->options.max_bodies = Cl_MAX_BODY_BYTES;
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

/* Clears the table, including its record time. */
void
Cl_Reset(struct cl_table *table)
{
    remove_all(table);
    memset(&table->latest, 0, sizeof(table->latest));
    memset(&table->second_latest, 0, sizeof(table->second_latest));
    table->record_time_ms = 0;
    table->result_count = 0;
}

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
max_ms(int64_t a, int64_t b)
{
    return a > b ? a : b;
}

static void
note_node_time(struct cl_table *table, const char *node, int64_t wall_ms)
{
    struct cl_node_time *latest = &table->latest;
    struct cl_node_time *second_latest = &table->second_latest;
    if (strcmp(node, latest->node) == 0) {
        latest->wall_ms = max_ms(latest->wall_ms, wall_ms);
        return;
    }
    if (strcmp(node, second_latest->node) == 0 ||
        wall_ms > second_latest->wall_ms) {
        strlcpy(second_latest->node, node, sizeof(second_latest->node));
        second_latest->wall_ms = max_ms(second_latest->wall_ms, wall_ms);
    }
    if (second_latest->wall_ms > latest->wall_ms) {
        struct cl_node_time swap = *latest;
        *latest = *second_latest;
        *second_latest = swap;
    }
}

/*
 * Advances record time to the latest time that two different nodes have
 * reported.  If one node were enough, a clock that runs days ahead would end
 * the retention window of every key at once, and a late retry of a charge
 * would run again.
 */
static void
advance_record_time(struct cl_table *table, const struct rc_record *record,
                    const struct cl_claim *claim)
{
    note_node_time(table, record->writer.node, record->wall_ms);
    note_node_time(table, claim->attempt.owner.node, claim->wall_ms);
    table->record_time_ms =
        max_ms(table->record_time_ms, table->second_latest.wall_ms);
}

/*
 * Removes keys whose retention window has ended.  Windows start at the latest
 * time known and record time lags behind it, so no key is removed early.
 */
static void
expire(struct cl_table *table)
{
    struct cl_entry *entry;
    struct cl_entry *next;
    TAILQ_FOREACH_SAFE (entry, &table->order, link, next) {
        if (entry->window_start_ms + table->options.window_ms >=
            table->record_time_ms) {
            return;
        }
        entry_remove(table, entry);
    }
}

static struct cl_entry *
entry_add(struct cl_table *table, const struct cl_claim *claim,
          int64_t window_start_ms)
{
    struct cl_entry *entry = calloc(1, sizeof(*entry));
    if (entry == NULL) {
        abort(); /* verdicts would differ from other daemons */
    }
    entry->claim = *claim;
    entry->window_start_ms = window_start_ms;
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
    advance_record_time(table, record, &claim);
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
     * Record time does not advance while the stream is idle, so a window that
     * starts at record time would start in the past.  The window starts at the
     * latest time known instead.
     */
    int64_t window_start =
        max_ms(max_ms(table->record_time_ms, table->latest.wall_ms),
               max_ms(claim.wall_ms, record->wall_ms));
    entry_add(table, &claim, window_start);
    out->verdict = CL_WON;
    out->holder = claim.attempt;
    out->expires_ms = claim.expires_ms;
}

/* Returns the entry that an attempt holds without a result, or NULL. */
static struct cl_entry *
find_in_progress(struct cl_table *table, const json_t *body)
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

/*
 * Inserts an entry by the order of results, in which bodies are dropped.  A
 * table that is loaded from a snapshot gets its entries in the order of
 * claims, so the place has to be searched.
 */
static void
insert_body(struct cl_table *table, struct cl_entry *entry)
{
    struct cl_entry *other;
    TAILQ_FOREACH_REVERSE(other, &table->bodies, cl_bodies, body_link)
    {
        if (other->result_order < entry->result_order) {
            TAILQ_INSERT_AFTER(&table->bodies, other, entry, body_link);
            return;
        }
    }
    TAILQ_INSERT_HEAD(&table->bodies, entry, body_link);
}

static void
set_answer(struct cl_table *table, struct cl_entry *entry, const json_t *body,
           uint64_t result_order)
{
    entry->done = Cl_ReadAnswer(body, &entry->answer, &entry->bytes);
    entry->result_order = result_order;
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
 * Applies the next record of the stream.  "out" gets the verdict on a claim,
 * and CL_NONE for other records.  A result or a release counts only from the
 * attempt that holds the key; one that arrives after a release and a new claim
 * is ignored.
 */
void
Cl_Apply(struct cl_table *table, const struct rc_record *record,
         struct cl_outcome *out)
{
    memset(out, 0, sizeof(*out));
    if (Rc_IsKind(record, Cl_CLAIM)) {
        apply_claim(table, record, out);
        return;
    }
    bool result = Rc_IsKind(record, Cl_RESULT);
    if (!result && !Rc_IsKind(record, Cl_RELEASE)) {
        return;
    }
    struct cl_entry *entry = find_in_progress(table, record->body);
    if (entry == NULL) {
        return;
    }
    if (result) {
        set_answer(table, entry, record->body, ++table->result_count);
    }
    else {
        entry_remove(table, entry);
    }
}

static void
load_time(struct cl_table *table, const json_t *entry)
{
    table->record_time_ms = Rc_Number(entry, "time");
    table->result_count = (uint64_t)Rc_Number(entry, "results");
    strlcpy(table->latest.node, Rc_Text(entry, "n1"),
            sizeof(table->latest.node));
    table->latest.wall_ms = Rc_Number(entry, "t1");
    strlcpy(table->second_latest.node, Rc_Text(entry, "n2"),
            sizeof(table->second_latest.node));
    table->second_latest.wall_ms = Rc_Number(entry, "t2");
}

/*
 * Loads one entry of Cl_Save(); entries must be loaded in the order in which
 * they were saved.
 */
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
