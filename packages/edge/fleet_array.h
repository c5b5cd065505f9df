/*
 * Endpoints in the order in which they were added.  An array, because the
 * reads of a list's elements wait for each other.
 */
#ifndef EDGE_FLEET_ARRAY_H
#define EDGE_FLEET_ARRAY_H

#include <stdbool.h>
#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

struct fl_endpoint;

/* All zero: empty. */
struct fl_array {
    size_t count;
    size_t size;
    struct fl_endpoint **list;
};

/* Makes room for one more; returns false when out of memory. */
bool fl_array_reserve(struct fl_array *array);
/* Inserts by the endpoint's number; room must have been reserved. */
void fl_array_insert(struct fl_array *array, struct fl_endpoint *endpoint);
void fl_array_remove(struct fl_array *array,
                     const struct fl_endpoint *endpoint);
void fl_array_free(struct fl_array *array);

#ifdef __cplusplus
}
#endif

#endif
