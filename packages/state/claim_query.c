#include <string.h>

#include "state/claim_internal.h"

/*
 * Gets the verdict that a claim of this key and body would get, or CL_NONE if
 * it would win.  Does not modify the table.
 */
void
Cl_Lookup(const struct cl_table *table, const struct cl_key *key,
          const char *body_digest, struct cl_outcome *out)
{
    memset(out, 0, sizeof(*out));
    struct cl_entry probe;
    probe.claim.key = *key;
    /* RB_FIND() does not modify the tree but takes no const pointer. */
    struct cl_tree *tree = (struct cl_tree *)&table->tree;
    const struct cl_entry *entry = RB_FIND(cl_tree, tree, &probe);
    if (entry == NULL) {
        return;
    }
    out->holder = entry->claim.attempt;
    out->expires_ms = entry->claim.expires_ms;
    if (strcmp(entry->claim.body_digest, body_digest) != 0) {
        out->verdict = CL_REUSED;
    }
    else if (entry->done) {
        out->verdict = CL_DONE;
        out->answer = entry->answer;
    }
    else {
        out->verdict = CL_IN_PROGRESS;
    }
}

size_t
Cl_Count(const struct cl_table *table)
{
    return table->count;
}

/* Total bytes of the kept bodies. */
size_t
Cl_BodyBytes(const struct cl_table *table)
{
    return table->body_bytes;
}

static json_t *
save_time(const struct cl_table *table)
{
    return json_pack(
        "{s:I, s:s, s:I, s:s, s:I}", "time", (json_int_t)table->record_time_ms,
        "n1", table->latest.node, "t1", (json_int_t)table->latest.wall_ms,
        "n2", table->second_latest.node, "t2",
        (json_int_t)table->second_latest.wall_ms);
}

static json_t *
save_entry(const struct cl_entry *entry)
{
    json_t *body = Cl_ClaimBody(&entry->claim);
    if (entry->done) {
        json_t *answer = Cl_ResultBody(&entry->claim.key,
                                       &entry->claim.attempt, &entry->answer);
        json_object_update(body, answer);
        json_decref(answer);
        json_object_set_new(body, "order",
                            json_integer((json_int_t)entry->result_order));
    }
    json_object_set_new(body, "since", json_integer(entry->window_start_ms));
    return body;
}

/*
 * Passes the entries for Cl_Load() to "emit" one by one; "emit" takes
 * ownership of each.
 */
void
Cl_ForEach(const struct cl_table *table,
           void (*emit)(void *arg, json_t *entry), void *arg)
{
    emit(arg, save_time(table));
    const struct cl_entry *entry;
    TAILQ_FOREACH (entry, &table->order, link) {
        emit(arg, save_entry(entry));
    }
}

static void
append_entry(void *arg, json_t *entry)
{
    json_array_append_new(arg, entry);
}

/* Returns the table as a list of entries for Cl_Load(). */
json_t *
Cl_Save(const struct cl_table *table)
{
    json_t *list = json_array();
    Cl_ForEach(table, append_entry, list);
    return list;
}

/* Returns the slot of a key, which selects its stream. */
int
Cl_Slot(const struct cl_key *key)
{
    uint64_t seed = Hash_String(key->customer, 0);
    return (int)(Hash_String(key->digest, seed) % Cl_SLOTS);
}

bool
Cl_SameAttempt(const struct cl_attempt *a, const struct cl_attempt *b)
{
    return a->number == b->number &&
           Rc_CompareWriters(&a->owner, &b->owner) == 0;
}
