/*
 * Splits the body of a stream into whole events, so that what is passed on
 * never ends in the middle of one and a stream can go on elsewhere.
 */
#ifndef EDGE_EVENTS_H
#define EDGE_EVENTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/buffer.h"

#ifdef __cplusplus
extern "C" {
#endif

struct es_events {
    struct bf_buffer kept;
    size_t scanned;
    bool failed; /* without memory, or an event over the limit */
};

struct es_event {
    const char *data; /* with the empty line that ends it */
    size_t len;
    int64_t id;             /* -1: none */
    const char *first_line; /* not terminated */
    size_t first_len;
};

typedef void (*es_fn)(void *arg, const struct es_event *event);

void Es_Feed(struct es_events *events, const char *data, size_t len, es_fn fn,
             void *arg);
/* Bytes of an event that has not ended. */
size_t Es_Left(const struct es_events *events);
void Es_Clear(struct es_events *events);

#ifdef __cplusplus
}
#endif

#endif
