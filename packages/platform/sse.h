/*
 * An incremental parser of server-sent events.  The input may be split at
 * any byte; the parser passes the data of each complete event to a callback.
 */
#ifndef PLATFORM_SSE_H
#define PLATFORM_SSE_H

#include <stddef.h>

#include "base/status.h"

#ifdef __cplusplus
extern "C" {
#endif

struct ss_parser;

/* Receives the data of one event, NUL-terminated, without "data:". */
typedef void (*ss_event_fn)(void *arg, const char *data, size_t len);

struct ss_parser *Ss_Create(size_t event_max);
void Ss_Destroy(struct ss_parser *parser);
enum st_status Ss_Feed(struct ss_parser *parser, const void *data, size_t len,
                       ss_event_fn event, void *arg);

#ifdef __cplusplus
}
#endif

#endif
