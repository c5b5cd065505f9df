#include "edge/fleet_index.h"

#include <stdlib.h>

#define Fl_SLOTS_MIN 64

struct fl_slot {
    uint32_t hash;
    struct fl_endpoint *endpoint; /* NULL: unused */
};

/* The slot with the hash, or the unused one in which it belongs. */
static size_t
probe(const struct fl_index *index, uint32_t hash)
{
    size_t at = hash & (index->size - 1);
    while (index->slots[at].endpoint != NULL &&
           index->slots[at].hash != hash) {
        at = (at + 1) & (index->size - 1);
    }
    return at;
}

struct fl_endpoint *
fl_index_find(const struct fl_index *index, uint32_t hash)
{
    return index->size == 0 ? NULL : index->slots[probe(index, hash)].endpoint;
}

/* At most half of the slots are used, so that probes end soon. */
static bool
make_room(struct fl_index *index)
{
    if (2 * (index->count + 1) <= index->size) {
        return true;
    }
    struct fl_index old = *index;
    size_t size = old.size == 0 ? Fl_SLOTS_MIN : 2 * old.size;
    struct fl_slot *slots = calloc(size, sizeof(*slots));
    if (slots == NULL) {
        return false;
    }
    index->slots = slots;
    index->size = size;
    for (size_t i = 0; i < old.size; i++) {
        if (old.slots[i].endpoint != NULL) {
            slots[probe(index, old.slots[i].hash)] = old.slots[i];
        }
    }
    free(old.slots);
    return true;
}

enum fl_added
fl_index_add(struct fl_index *index, struct fl_endpoint *endpoint)
{
    if (!make_room(index)) {
        return FL_NO_MEMORY;
    }
    struct fl_slot *slot = &index->slots[probe(index, endpoint->hash)];
    if (slot->endpoint != NULL) {
        return FL_HASH_IN_USE;
    }
    *slot = (struct fl_slot){endpoint->hash, endpoint};
    index->count++;
    return FL_ADDED;
}

/* The slots behind a removed one move up, as far as their probes pass it. */
void
fl_index_remove(struct fl_index *index, uint32_t hash)
{
    if (fl_index_find(index, hash) == NULL) {
        return;
    }
    size_t mask = index->size - 1;
    size_t hole = probe(index, hash);
    size_t at = (hole + 1) & mask;
    for (; index->slots[at].endpoint != NULL; at = (at + 1) & mask) {
        size_t passed = (at - index->slots[at].hash) & mask;
        if (passed >= ((at - hole) & mask)) {
            index->slots[hole] = index->slots[at];
            hole = at;
        }
    }
    index->slots[hole] = (struct fl_slot){0};
    index->count--;
}

void
fl_index_free(struct fl_index *index)
{
    free(index->slots);
    *index = (struct fl_index){0};
}
