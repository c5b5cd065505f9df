/*
 * Numbered log events.  Each package lists its events in events.def as
 *     EV(number, NAME, LEVEL, "meaning", "what to do")
 * and docs/EVENTS.md is generated from these lists.  Events are written to
 * standard error through log4c, because hosts keep no log files.
 */
#ifndef BASE_EVENT_H
#define BASE_EVENT_H

#ifdef __cplusplus
extern "C" {
#endif

enum ev_level {
    EV_ERROR,
    EV_WARN,
    EV_INFO,
    EV_DEBUG,
};

struct ev_event {
    int number;
    const char *name;
    enum ev_level level;
};

/* Declares an event; define EV by this macro and include events.def. */
#define Ev_DEFINE(number, name, level)                                        \
    static const struct ev_event name                                         \
        __attribute__((unused)) = {number, #name, EV_##level};

void Ev_Open(const char *program, enum ev_level max_level);
void Ev_Log(const struct ev_event *event, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
void Ev_Close(void);

#ifdef __cplusplus
}
#endif

#endif
