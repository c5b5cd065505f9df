/*
 * Finds endpoints by their hash, in one step: the load rows of all daemons are
 * looked up ten times a second.
 */
#ifndef EDGE_FLEET_INDEX_H
#define EDGE_FLEET_INDEX_H

#include "edge/fleet.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Open addressing with linear probing; all zero: empty. */
struct fl_index {
    size_t count;
    size_t size; /* 0, or a power of two */
    struct fl_slot *slots;
};

/* The index refers to the endpoint until fl_index_remove(). */
enum fl_added { FL_ADDED, FL_HASH_IN_USE, FL_NO_MEMORY };
enum fl_added fl_index_add(struct fl_index *index,
                           struct fl_endpoint *endpoint);
void fl_index_remove(struct fl_index *index, uint32_t hash);
/* NULL: there is none. */
struct fl_endpoint *fl_index_find(const struct fl_index *index, uint32_t hash);
void fl_index_free(struct fl_index *index);

#ifdef __cplusplus
}
#endif

#endif
