/*
 * Structured log lines on standard output, one JSON object each.  Logging
 * never blocks: lines are rate-limited and buffered.  Near the limit ordinary
 * lines are suppressed, so that failures can still be logged.  A
 * "log.suppressed" line reports the number of suppressed lines.
 */
#ifndef BASE_LOG_LINE_H
#define BASE_LOG_LINE_H

#include "base/clock.h"

#ifdef __cplusplus
extern "C" {
#endif

enum ln_class {
    LN_ORDINARY, /* expected, such as a successful request */
    LN_FAILURE,  /* a failed request or operation */
    LN_STATE,    /* a change in the process's view of the system */
};

void Ln_Open(int fd, const struct ck_clock *clock, const char *node);
/* "fmt" formats the JSON members that follow "ev", without braces. */
void Ln_Log(enum ln_class weight, const char *event, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));
/*
 * Writes buffered lines until the descriptor would block.  Call it about ten
 * times a second.
 */
void Ln_Flush(void);
/* Replaces bytes that are unsafe inside a JSON string by '?'. */
void Ln_Sanitize(char *text);

#ifdef __cplusplus
}
#endif

#endif
