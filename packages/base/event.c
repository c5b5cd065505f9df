#include "base/event.h"

#include <log4c.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#define Ev_LINE_MAX 1024

static log4c_category_t *category;

static int
to_priority(enum ev_level level)
{
    switch (level) {
    case EV_ERROR:
        return LOG4C_PRIORITY_ERROR;
    case EV_WARN:
        return LOG4C_PRIORITY_WARN;
    case EV_INFO:
        return LOG4C_PRIORITY_INFO;
    case EV_DEBUG:
        return LOG4C_PRIORITY_DEBUG;
    }
    return LOG4C_PRIORITY_ERROR;
}

/*
 * Starts logging for a program; events less severe than "max_level" are
 * dropped.  Before this call all events are dropped, so tests log nothing.
 */
void
Ev_Open(const char *program, enum ev_level max_level)
{
    /* Hosts have no disk that could hold a log4c configuration file. */
    setenv("LOG4C_RCPATH", "/nonexistent", 0);
    log4c_init();
    category = log4c_category_get(program);
    log4c_appender_t *appender = log4c_appender_get("stderr");
    log4c_appender_set_layout(appender, log4c_layout_get("dated"));
    log4c_category_set_appender(category, appender);
    log4c_category_set_additivity(category, 0);
    log4c_category_set_priority(category, to_priority(max_level));
}

/*
 * Logs one event with a printf-style list of key=value pairs.  Pass digests of
 * secrets, never the secrets.
 */
void
Ev_Log(const struct ev_event *event, const char *fmt, ...)
{
    if (category == NULL) {
        return;
    }
    char line[Ev_LINE_MAX];
    va_list args;
    va_start(args, fmt);
    vsnprintf(line, sizeof(line), fmt, args);
    va_end(args);
    log4c_category_log(category, to_priority(event->level),
                       "event=%d name=%s %s", event->number, event->name,
                       line);
}

/* Stops logging and frees the resources of log4c. */
void
Ev_Close(void)
{
    category = NULL;
    log4c_fini();
}
