/*
 * Splits a stream of server-sent events, fed in pieces of any size, into the
 * data of its events.
 */
#ifndef PLATFORM_SSE_H
#define PLATFORM_SSE_H

#include <stddef.h>

#include "base/status.h"

#ifdef __cplusplus
extern "C" {
#endif

struct ss_parser;

/* One event's data, NUL-terminated, without the field name. */
typedef void (*ss_event_fn)(void *arg, const char *data, size_t len);

struct ss_parser *Ss_Create(size_t event_max);
void Ss_Destroy(struct ss_parser *parser);
enum st_status Ss_Feed(struct ss_parser *parser, const void *data, size_t len,
                       ss_event_fn event, void *arg);

#ifdef __cplusplus
}
#endif

#endif
