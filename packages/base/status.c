#include "base/status.h"

#include <stdarg.h>
#include <stdio.h>

#define St_MESSAGE_MAX 512

static char last_message[St_MESSAGE_MAX];

/*
 * Records a failure of the given kind with a printf-style message that names
 * the remedy, and returns the kind so that callers can write
 * "return St_Fail(...)".  Messages are truncated to 511 bytes.
 */
enum st_status
St_Fail(enum st_status kind, const char *fmt, ...)
{
    va_list args;
    va_start(args, fmt);
    vsnprintf(last_message, sizeof(last_message), fmt, args);
    va_end(args);
    return kind;
}

/* Returns the message of the last failure; empty before the first one. */
const char *
St_Message(void)
{
    return last_message;
}

/* Returns the stable lower-case name of a kind, as used on the wire. */
const char *
St_Name(enum st_status kind)
{
    switch (kind) {
    case ST_OK:
        return "ok";
    case ST_INVALID:
        return "invalid";
    case ST_NOT_FOUND:
        return "not_found";
    case ST_CONFLICT:
        return "conflict";
    case ST_DENIED:
        return "denied";
    case ST_OVERLOAD:
        return "overload";
    case ST_TIMEOUT:
        return "timeout";
    case ST_UNAVAILABLE:
        return "unavailable";
    case ST_UNKNOWN:
        return "unknown";
    case ST_NO_MEMORY:
        return "no_memory";
    case ST_INTERNAL:
        return "internal";
    }
    return "internal";
}
