/* Read-only queries on the membership table. */
#include <string.h>

#include "base/hash.h"
#include "member/table.h"
#include "member/table_internal.h"

static const struct mb_entry *
entry_of(const struct mb_record *record)
{
    return (const struct mb_entry *)((const char *)record -
                                     offsetof(struct mb_entry, record));
}

const struct mb_record *
Mb_Self(const struct mb_table *table)
{
    return &table->self->record;
}

/* Finds a member by its id, in any state; NULL when there is none. */
const struct mb_record *
Mb_Find(const struct mb_table *table, const char *id)
{
    const struct mb_entry *entry = mb_find(table, id);
    return entry != NULL ? &entry->record : NULL;
}

/*
 * Returns the first member in order of ids.  The order includes this node and
 * dead members.
 */
const struct mb_record *
Mb_First(const struct mb_table *table)
{
    const struct mb_entry *entry =
        RB_MIN(mb_tree, (struct mb_tree *)&table->members);
    return entry != NULL ? &entry->record : NULL;
}

/* Returns the next member in order of ids; NULL after the last one. */
const struct mb_record *
Mb_Next(const struct mb_record *record)
{
    const struct mb_entry *next =
        RB_NEXT(mb_tree, NULL, (struct mb_entry *)entry_of(record));
    return next != NULL ? &next->record : NULL;
}

/* Returns the number of members in a state, including this node. */
size_t
Mb_Count(const struct mb_table *table, enum mb_state state)
{
    size_t count = 0;
    const struct mb_record *record;
    for (record = Mb_First(table); record != NULL; record = Mb_Next(record)) {
        if (record->state == state) {
            count++;
        }
    }
    return count;
}

/* Returns true while updates are queued for gossip. */
bool
Mb_HasUpdates(const struct mb_table *table)
{
    return !TAILQ_EMPTY(&table->queue);
}

static const struct mb_dc *
find_dc(const struct mb_table *table, const char *name)
{
    const struct mb_dc *dc;
    TAILQ_FOREACH (dc, &table->dcs, link) {
        if (strcmp(dc->name, name) == 0) {
            return dc;
        }
    }
    return NULL;
}

/* Returns false when the bridges get no answer from the data centre. */
bool
Mb_Reachable(const struct mb_table *table, const char *data_centre)
{
    const struct mb_dc *dc = find_dc(table, data_centre);
    return dc == NULL || !dc->unreachable;
}

/* Returns true when this node probes that data centre on behalf of its own. */
bool
Mb_IsBridge(const struct mb_table *table, const char *data_centre)
{
    const struct mb_dc *dc = find_dc(table, data_centre);
    return dc != NULL && dc->bridged;
}

/* Returns true when this node itself is probably isolated from its group. */
bool
Mb_Isolated(const struct mb_table *table)
{
    return mb_isolated(table, Ck_Now(table->clock));
}

/*
 * Returns true for a member that may get new work: it is alive and its data
 * centre reachable.
 */
bool
Mb_Usable(const struct mb_table *table, const struct mb_record *record)
{
    return record->state == MB_ALIVE && !entry_of(record)->dc->unreachable;
}

enum mb_distance
Mb_Distance(const struct mb_table *table, const struct mb_record *record)
{
    const struct mb_record *self = &table->self->record;
    if (strcmp(record->data_centre, self->data_centre) == 0) {
        return MB_SAME_DATA_CENTRE;
    }
    if (strcmp(record->region, self->region) == 0) {
        return MB_SAME_REGION;
    }
    return MB_FAR;
}

/* Returns a number that grows with every change of the table. */
uint64_t
Mb_Generation(const struct mb_table *table)
{
    return table->generation;
}

/* Returns the digest bucket of a member. */
size_t
Mb_Bucket(const struct mb_record *record, size_t count)
{
    return Hash_String(record->id, 0) % count;
}

/*
 * Computes a hash for each bucket of members that are not dead; the hash of
 * the id selects the bucket.  Two nodes with the same records in a bucket
 * compute the same hash.
 */
void
Mb_Digest(const struct mb_table *table, uint64_t *buckets, size_t count)
{
    memset(buckets, 0, count * sizeof(*buckets));
    const struct mb_record *record;
    for (record = Mb_First(table); record != NULL; record = Mb_Next(record)) {
        if (record->state == MB_DEAD) {
            continue;
        }
        uint64_t name = Hash_String(record->id, 0);
        uint64_t version[] = {record->incarnation, record->state};
        buckets[name % count] += Hash_Bytes(version, sizeof(version), name);
    }
}

struct mb_ranking {
    const struct mb_record **records;
    uint64_t *weights;
    size_t count;
    size_t max;
};

static void
rank(struct mb_ranking *ranking, const struct mb_record *record,
     uint64_t weight)
{
    size_t at = ranking->count;
    while (at > 0 && ranking->weights[at - 1] < weight) {
        at--;
    }
    if (at >= ranking->max) {
        return;
    }
    if (ranking->count < ranking->max) {
        ranking->count++;
    }
    size_t moved = ranking->count - 1 - at;
    memmove(&ranking->records[at + 1], &ranking->records[at],
            moved * sizeof(ranking->records[0]));
    memmove(&ranking->weights[at + 1], &ranking->weights[at],
            moved * sizeof(ranking->weights[0]));
    ranking->records[at] = record;
    ranking->weights[at] = weight;
}

/*
 * Selects up to "max" (at most 16) usable members responsible for a key by
 * rendezvous hashing, best first, from one data centre or, when "data_centre"
 * is NULL, from all.  Returns their number.
 */
size_t
Mb_RankByKey(const struct mb_table *table, const char *key,
             const char *data_centre, const struct mb_record **out, size_t max)
{
    uint64_t weights[16];
    struct mb_ranking ranking = {.records = out, .weights = weights};
    ranking.max = max < 16 ? max : 16;
    const struct mb_record *record;
    for (record = Mb_First(table); record != NULL; record = Mb_Next(record)) {
        if (!Mb_Usable(table, record)) {
            continue;
        }
        if (data_centre == NULL ||
            strcmp(record->data_centre, data_centre) == 0) {
            rank(&ranking, record, Hash_Rendezvous(key, record->id));
        }
    }
    return ranking.count;
}

/* Returns the name of a state as shown to operators. */
const char *
Mb_StateName(enum mb_state state)
{
    static const char *const names[] = {"alive", "leaving", "suspect", "dead"};
    return names[state];
}
