#include "edge/fleet_array.h"

#include <stdlib.h>
#include <string.h>

#include "edge/fleet.h"

#define Fl_ARRAY_MIN 16

bool
fl_array_reserve(struct fl_array *array)
{
    if (array->count < array->size) {
        return true;
    }
    size_t size = array->size == 0 ? Fl_ARRAY_MIN : 2 * array->size;
    struct fl_endpoint **list = reallocarray(array->list, size, sizeof(*list));
    if (list == NULL) {
        return false;
    }
    array->list = list;
    array->size = size;
    return true;
}

void
fl_array_insert(struct fl_array *array, struct fl_endpoint *endpoint)
{
    size_t at = array->count++;
    for (; at > 0 && array->list[at - 1]->number > endpoint->number; at--) {
        array->list[at] = array->list[at - 1];
    }
    array->list[at] = endpoint;
}

void
fl_array_remove(struct fl_array *array, const struct fl_endpoint *endpoint)
{
    size_t at = 0;
    while (at < array->count && array->list[at] != endpoint) {
        at++;
    }
    if (at < array->count) {
        array->count--;
        memmove(&array->list[at], &array->list[at + 1],
                (array->count - at) * sizeof(struct fl_endpoint *));
    }
}

void
fl_array_free(struct fl_array *array)
{
    free(array->list);
    *array = (struct fl_array){0};
}
