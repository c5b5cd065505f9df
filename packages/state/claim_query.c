#include <string.h>

#include "state/claim_internal.h"

/*
 * What a claim of a key with this body would be told: CL_NONE when it would
 * win.  Nothing changes.
 */
void
Cl_Lookup(const struct cl_table *table, const struct cl_key *key,
          const char *body_digest, struct cl_outcome *out)
{
    memset(out, 0, sizeof(*out));
    struct cl_entry probe;
    probe.claim.key = *key;
    /* RB_FIND() does not change the tree but takes no const one. */
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

/* Number of keys remembered. */
size_t
Cl_Count(const struct cl_table *table)
{
    return table->count;
}

/* Bytes of the bodies kept. */
size_t
Cl_BodyBytes(const struct cl_table *table)
{
    return table->body_bytes;
}

static json_t *
save_time(const struct cl_table *table)
{
    return json_pack(
        "{s:I, s:s, s:I, s:s, s:I}", "time", (json_int_t)table->time_ms, "n1",
        table->first.node, "t1", (json_int_t)table->first.wall_ms, "n2",
        table->second.node, "t2", (json_int_t)table->second.wall_ms);
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
                            json_integer((json_int_t)entry->done_order));
    }
    json_object_set_new(body, "since", json_integer(entry->since_ms));
    return body;
}

/* Gives the entries for Cl_Load() one by one; "emit" takes each over. */
void
Cl_Each(const struct cl_table *table, void (*emit)(void *arg, json_t *entry),
        void *arg)
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

/* The table as a list of entries for Cl_Load(). */
json_t *
Cl_Save(const struct cl_table *table)
{
    json_t *list = json_array();
    Cl_Each(table, append_entry, list);
    return list;
}

/* The slot, and so the stream, of a key. */
int
Cl_Slot(const struct cl_key *key)
{
    uint64_t seed = Hash_String(key->customer, 0);
    return (int)(Hash_String(key->digest, seed) % Cl_SLOTS);
}

/* Whether two attempts are the same one. */
bool
Cl_SameAttempt(const struct cl_attempt *a, const struct cl_attempt *b)
{
    return a->number == b->number &&
           Rc_CompareWriters(&a->owner, &b->owner) == 0;
}
