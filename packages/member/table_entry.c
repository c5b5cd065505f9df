/* Finding, adding and dropping members and data centres. */
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

/* The entry of a member, or NULL. */
struct mb_entry *
mb_find(const struct mb_table *table, const char *id)
{
    struct mb_entry wanted;
    strlcpy(wanted.record.id, id, sizeof(wanted.record.id));
    return RB_FIND(mb_tree, (struct mb_tree *)&table->members, &wanted);
}

/* The data centre of a record, made when new; NULL without room. */
struct mb_place *
mb_place_of(struct mb_table *table, const struct mb_record *record)
{
    struct mb_place *place;
    TAILQ_FOREACH (place, &table->places, link) {
        if (strcmp(place->name, record->data_centre) == 0) {
            return place;
        }
    }
    if (table->place_count >= Mb_DATA_CENTRES_MAX) {
        return NULL;
    }
    place = calloc(1, sizeof(*place));
    if (place == NULL) {
        return NULL;
    }
    strlcpy(place->name, record->data_centre, sizeof(place->name));
    strlcpy(place->region, record->region, sizeof(place->region));
    TAILQ_INSERT_TAIL(&table->places, place, link);
    table->place_count++;
    return place;
}

/* Whether a member in this state may still answer. */
bool
mb_is_living(enum mb_state state)
{
    return state != MB_DEAD;
}

/* Adds a member, dead until its state is set; NULL without room. */
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
    entry->place = mb_place_of(table, record);
    if (entry->place == NULL) {
        free(entry);
        return NULL;
    }
    RB_INSERT(mb_tree, &table->members, entry);
    table->member_count++;
    table->generation++;
    return entry;
}

/* Drops a member and all that is remembered of it. */
void
mb_forget(struct mb_table *table, struct mb_entry *entry)
{
    if (mb_is_living(entry->record.state)) {
        mb_set_state(table, entry, MB_DEAD);
    }
    if (entry->left > 0) {
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
