#include "edge/events.h"

#include <stdlib.h>
#include <string.h>

#define Es_EVENT_MAX (1u << 20)
#define Es_ID_DIGITS_MAX 15

static bool
keep(struct es_events *events, const char *data, size_t len)
{
    return events->kept.len + len <= Es_EVENT_MAX &&
           Bf_Add(&events->kept, data, len);
}

static int64_t
read_id(const char *line, size_t len)
{
    static const char field[] = "id:";
    size_t at = sizeof(field) - 1;
    if (len < at || memcmp(line, field, at) != 0) {
        return -1;
    }
    while (at < len && line[at] == ' ') {
        at++;
    }
    if (at == len || len - at > Es_ID_DIGITS_MAX) {
        return -1;
    }
    int64_t id = 0;
    for (; at < len && line[at] != '\r'; at++) {
        if (line[at] < '0' || line[at] > '9') {
            return -1;
        }
        id = id * 10 + (line[at] - '0');
    }
    return id;
}

static void
tell(const char *data, size_t len, es_fn fn, void *arg)
{
    struct es_event event = {.data = data, .len = len, .id = -1};
    size_t at = 0;
    while (at < len) {
        const char *end = memchr(data + at, '\n', len - at);
        size_t line = end == NULL ? len - at : (size_t)(end - (data + at));
        if (at == 0) {
            event.first_line = data;
            event.first_len = line;
        }
        int64_t id = read_id(data + at, line);
        if (id >= 0) {
            event.id = id;
        }
        at += line + 1;
    }
    fn(arg, &event);
}

/* Where the first event ends, behind its empty line; 0: not yet. */
static size_t
find_end(struct es_events *events, size_t from)
{
    size_t at = events->scanned > from + 3 ? events->scanned - 3 : from;
    while (at < events->kept.len) {
        const char *newline =
            memchr(events->kept.at + at, '\n', events->kept.len - at);
        if (newline == NULL) {
            break;
        }
        size_t i = (size_t)(newline - events->kept.at) + 1;
        if (i < events->kept.len && events->kept.at[i] == '\n') {
            return i + 1;
        }
        if (i + 1 < events->kept.len && events->kept.at[i] == '\r' &&
            events->kept.at[i + 1] == '\n') {
            return i + 2;
        }
        at = i;
    }
    events->scanned = events->kept.len;
    return 0;
}

void
Es_Feed(struct es_events *events, const char *data, size_t len, es_fn fn,
        void *arg)
{
    if (events->failed || !keep(events, data, len)) {
        events->failed = true;
        return;
    }
    size_t from = 0;
    size_t end;
    while (!events->failed && (end = find_end(events, from)) != 0) {
        tell(events->kept.at + from, end - from, fn, arg);
        from = end;
    }
    if (from > 0 && events->kept.at != NULL) {
        events->kept.len -= from;
        memmove(events->kept.at, events->kept.at + from, events->kept.len);
        events->scanned = 0;
    }
}

size_t
Es_Left(const struct es_events *events)
{
    return events->kept.len;
}

void
Es_Clear(struct es_events *events)
{
    Bf_Free(&events->kept);
    memset(events, 0, sizeof(*events));
}
