#include "model/agenda.h"

#include <stdlib.h>

#define Ag_INITIAL_ENTRIES 256

struct ag_agenda {
    struct ag_entry *heap;
    size_t count;
    size_t capacity;
    uint64_t order;
};

struct ag_agenda *
Ag_Create(void)
{
    return calloc(1, sizeof(struct ag_agenda));
}

void
Ag_Destroy(struct ag_agenda *agenda)
{
    if (agenda != NULL) {
        free(agenda->heap);
        free(agenda);
    }
}

static bool
is_before(const struct ag_entry *a, const struct ag_entry *b)
{
    return a->at < b->at || (a->at == b->at && a->order < b->order);
}

static bool
grow(struct ag_agenda *agenda)
{
    size_t capacity =
        agenda->capacity == 0 ? Ag_INITIAL_ENTRIES : agenda->capacity * 2;
    struct ag_entry *heap =
        reallocarray(agenda->heap, capacity, sizeof(*agenda->heap));
    if (heap == NULL) {
        return false;
    }
    agenda->heap = heap;
    agenda->capacity = capacity;
    return true;
}

bool
Ag_Add(struct ag_agenda *agenda, int64_t at, int kind, size_t index)
{
    if (agenda->count == agenda->capacity && !grow(agenda)) {
        return false;
    }
    struct ag_entry entry = {at, agenda->order++, kind, index};
    struct ag_entry *heap = agenda->heap;
    size_t i = agenda->count++;
    while (i > 0 && is_before(&entry, &heap[(i - 1) / 2])) {
        heap[i] = heap[(i - 1) / 2];
        i = (i - 1) / 2;
    }
    heap[i] = entry;
    return true;
}

/* Inserts the entry at the root, which is free, and restores heap order. */
static void
sift_down(struct ag_agenda *agenda, const struct ag_entry *entry)
{
    struct ag_entry *heap = agenda->heap;
    size_t i = 0;
    for (;;) {
        size_t child = 2 * i + 1;
        if (child >= agenda->count) {
            break;
        }
        if (child + 1 < agenda->count &&
            is_before(&heap[child + 1], &heap[child])) {
            child++;
        }
        if (!is_before(&heap[child], entry)) {
            break;
        }
        heap[i] = heap[child];
        i = child;
    }
    heap[i] = *entry;
}

bool
Ag_Next(struct ag_agenda *agenda, struct ag_entry *out)
{
    if (agenda->count == 0) {
        return false;
    }
    *out = agenda->heap[0];
    struct ag_entry last = agenda->heap[--agenda->count];
    if (agenda->count > 0) {
        sift_down(agenda, &last);
    }
    return true;
}
