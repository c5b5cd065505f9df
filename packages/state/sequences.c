#include "state/sequences.h"

#include <bsd/string.h>
#include <bsd/sys/queue.h>
#include <bsd/sys/tree.h>
#include <stdlib.h>

struct se_writer {
    RB_ENTRY(se_writer) node;
    TAILQ_ENTRY(se_writer) link;
    struct rc_writer writer;
    uint64_t sequence;
};

static int
compare(struct se_writer *a, struct se_writer *b)
{
    return Rc_CompareWriters(&a->writer, &b->writer);
}

RB_HEAD(se_tree, se_writer);
RB_GENERATE_INTERNAL(se_tree, se_writer, node, compare,
                     static __attribute__((unused)))

struct se_table {
    struct se_tree tree;
    TAILQ_HEAD(se_order, se_writer) order; /* by last offset, lowest first */
    size_t count;
    size_t max;
};

/*
 * Creates an empty table of at most "max" writers; returns NULL if out of
 * memory.
 */
struct se_table *
Se_Create(size_t max)
{
    struct se_table *table = calloc(1, sizeof(*table));
    if (table != NULL) {
        RB_INIT(&table->tree);
        TAILQ_INIT(&table->order);
        table->max = max;
    }
    return table;
}

static void
evict_oldest(struct se_table *table)
{
    struct se_writer *oldest = TAILQ_FIRST(&table->order);
    TAILQ_REMOVE(&table->order, oldest, link);
    RB_REMOVE(se_tree, &table->tree, oldest);
    table->count--;
    free(oldest);
}

void
Se_Reset(struct se_table *table)
{
    while (table->count > 0) {
        evict_oldest(table);
    }
}

void
Se_Destroy(struct se_table *table)
{
    if (table != NULL) {
        Se_Reset(table);
        free(table);
    }
}

static struct se_writer *
add(struct se_table *table, const struct rc_writer *writer)
{
    struct se_writer *entry = calloc(1, sizeof(*entry));
    if (entry == NULL) {
        abort(); /* the state would diverge from other readers */
    }
    entry->writer = *writer;
    RB_INSERT(se_tree, &table->tree, entry);
    TAILQ_INSERT_TAIL(&table->order, entry, link);
    table->count++;
    return entry;
}

/*
 * Whether the record is new: its sequence number is above the highest one read
 * from its writer.  If the table is full, the writer whose last record is
 * oldest is evicted.  The choice depends only on the order of the records, so
 * every reader evicts the same writer.
 */
bool
Se_Accept(struct se_table *table, const struct rc_record *record)
{
    struct se_writer key = {.writer = record->writer};
    struct se_writer *entry = RB_FIND(se_tree, &table->tree, &key);
    if (entry != NULL && record->sequence <= entry->sequence) {
        return false;
    }
    if (entry == NULL) {
        entry = add(table, &record->writer);
    }
    entry->sequence = record->sequence;
    TAILQ_REMOVE(&table->order, entry, link);
    TAILQ_INSERT_TAIL(&table->order, entry, link);
    if (table->count > table->max) {
        evict_oldest(table);
    }
    return true;
}

size_t
Se_Count(const struct se_table *table)
{
    return table->count;
}

/*
 * Returns the table as a list of entries for Se_Load(), the writer whose last
 * record is oldest first.
 */
json_t *
Se_Save(const struct se_table *table)
{
    json_t *list = json_array();
    const struct se_writer *entry;
    TAILQ_FOREACH (entry, &table->order, link) {
        json_array_append_new(
            list, json_pack("{s:s, s:I, s:I}", "n", entry->writer.node, "i",
                            (json_int_t)entry->writer.incarnation, "s",
                            (json_int_t)entry->sequence));
    }
    return list;
}

/* Loads one entry of Se_Save(). */
void
Se_Load(struct se_table *table, const json_t *entry)
{
    struct rc_record record = {
        .sequence = (uint64_t)Rc_Number(entry, "s"),
        .writer.incarnation = (uint64_t)Rc_Number(entry, "i"),
    };
    strlcpy(record.writer.node, Rc_Text(entry, "n"),
            sizeof(record.writer.node));
    Se_Accept(table, &record);
}
