/*
 * Structured log lines on standard output, one JSON object each.  Lines are
 * bounded in number and never wait: under load ordinary ones give way to
 * failures first, and what was left out is counted in a line of its own.
 */
#ifndef BASE_LINE_H
#define BASE_LINE_H

#include "base/clock.h"

#ifdef __cplusplus
extern "C" {
#endif

enum ln_weight {
    LN_ORDINARY, /* a request that went well */
    LN_FAILURE,  /* a request that did not */
    LN_STATE,    /* what the process believes has changed */
};

void Ln_Open(int fd, const struct ck_clock *clock, const char *node);
/* "fmt" gives the members after the event, as JSON without the braces. */
void Ln_Log(enum ln_weight weight, const char *event, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));
/* Writes what the descriptor takes; to be called some ten times a second. */
void Ln_Flush(void);
/* Bytes that are safe inside a JSON string; others become '?'. */
void Ln_Clean(char *text);

#ifdef __cplusplus
}
#endif

#endif
