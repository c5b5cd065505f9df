/*
 * Splits the body of a stream into whole server-sent events.  Only whole
 * events go to the caller, so that a stream can resume at another endpoint.
 */
#ifndef EDGE_EVENT_STREAM_H
#define EDGE_EVENT_STREAM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/buffer.h"

#ifdef __cplusplus
extern "C" {
#endif

struct es_parser {
    struct bf_buffer buffer;
    size_t scanned;
    bool failed; /* out of memory, or an event exceeded the size limit */
};

struct es_event {
    const char *data; /* including the empty line that ends the event */
    size_t len;
    int64_t id;             /* -1: none */
    const char *first_line; /* not NUL-terminated */
    size_t first_len;
};

typedef void (*es_fn)(void *arg, const struct es_event *event);

void Es_Feed(struct es_parser *parser, const char *data, size_t len, es_fn fn,
             void *arg);
/* Number of buffered bytes of an incomplete event. */
size_t Es_BufferedLen(const struct es_parser *parser);
void Es_Clear(struct es_parser *parser);

#ifdef __cplusplus
}
#endif

#endif
