/* Finds, adds and removes members and data centres. */
#include <bsd/string.h>
#include <stdlib.h>
#include <string.h>

#include "member/table.h"
#include "member/table_internal.h"

RB_GENERATE(mb_tree, mb_entry, node, mb_compare);

/* Orders members by id. */
int
mb_compare(const struct mb_entry *a, const struct mb_entry *b)
{
    return strcmp(a->record.id, b->record.id);
}

/* Finds a member by its id; NULL when there is none. */
struct mb_entry *
mb_find(const struct mb_table *table, const char *id)
{
    struct mb_entry wanted;
    strlcpy(wanted.record.id, id, sizeof(wanted.record.id));
    return RB_FIND(mb_tree, (struct mb_tree *)&table->members, &wanted);
}

/*
 * Finds or creates the data centre of a record.  Returns NULL when the table
 * is full or on lack of memory.
 */
struct mb_dc *
mb_dc_of(struct mb_table *table, const struct mb_record *record)
{
    struct mb_dc *dc;
    TAILQ_FOREACH (dc, &table->dcs, link) {
        if (strcmp(dc->name, record->data_centre) == 0) {
            return dc;
        }
    }
    if (table->dc_count >= Mb_DATA_CENTRES_MAX) {
        return NULL;
    }
    dc = calloc(1, sizeof(*dc));
    if (dc == NULL) {
        return NULL;
    }
    strlcpy(dc->name, record->data_centre, sizeof(dc->name));
    strlcpy(dc->region, record->region, sizeof(dc->region));
    TAILQ_INSERT_TAIL(&table->dcs, dc, link);
    table->dc_count++;
    return dc;
}

/* Returns true for a state in which a member may still answer. */
bool
mb_is_live(enum mb_state state)
{
    return state != MB_DEAD;
}

/*
 * Adds a member as MB_DEAD; the caller sets its state.  Returns NULL when the
 * table is full or on lack of memory.
 */
struct mb_entry *
mb_add(struct mb_table *table, const struct mb_record *record)
{
    if (table->member_count >= Mb_MEMBERS_MAX) {
        return NULL;
    }
    struct mb_entry *entry = calloc(1, sizeof(*entry));
    if (entry == NULL) {
        return NULL;
    }
    entry->record = *record;
    entry->record.state = MB_DEAD;
    entry->dc = mb_dc_of(table, record);
    if (entry->dc == NULL) {
        free(entry);
        return NULL;
    }
    RB_INSERT(mb_tree, &table->members, entry);
    table->member_count++;
    table->generation++;
    return entry;
}

/* Removes a member from the table and frees it. */
void
mb_remove(struct mb_table *table, struct mb_entry *entry)
{
    if (mb_is_live(entry->record.state)) {
        mb_set_state(table, entry, MB_DEAD);
    }
    if (entry->sends_left > 0) {
        TAILQ_REMOVE(&table->queue, entry, queued);
    }
    for (size_t i = 0; i < table->order_len; i++) {
        if (table->order[i] == entry) {
            table->order[i] = NULL;
        }
    }
    RB_REMOVE(mb_tree, &table->members, entry);
    table->member_count--;
    table->generation++;
    free(entry);
}
