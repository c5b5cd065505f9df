#include "edge/event_stream.h"

#include <stdlib.h>
#include <string.h>

#define Es_EVENT_MAX (256u << 10)
#define Es_ID_DIGITS_MAX 15

static bool
append(struct es_parser *parser, const char *data, size_t len)
{
    return parser->buffer.len + len <= Es_EVENT_MAX &&
           Bf_Add(&parser->buffer, data, len);
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
emit(const char *data, size_t len, es_fn fn, void *arg)
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

/* Offset after the empty line of the first event; 0: it is incomplete. */
static size_t
find_end(struct es_parser *parser, size_t from)
{
    size_t at = parser->scanned > from + 3 ? parser->scanned - 3 : from;
    while (at < parser->buffer.len) {
        const char *newline =
            memchr(parser->buffer.data + at, '\n', parser->buffer.len - at);
        if (newline == NULL) {
            break;
        }
        size_t i = (size_t)(newline - parser->buffer.data) + 1;
        if (i < parser->buffer.len && parser->buffer.data[i] == '\n') {
            return i + 1;
        }
        if (i + 1 < parser->buffer.len && parser->buffer.data[i] == '\r' &&
            parser->buffer.data[i + 1] == '\n') {
            return i + 2;
        }
        at = i;
    }
    parser->scanned = parser->buffer.len;
    return 0;
}

void
Es_Feed(struct es_parser *parser, const char *data, size_t len, es_fn fn,
        void *arg)
{
    if (parser->failed || !append(parser, data, len)) {
        parser->failed = true;
        return;
    }
    size_t from = 0;
    size_t end;
    while (!parser->failed && (end = find_end(parser, from)) != 0) {
        emit(parser->buffer.data + from, end - from, fn, arg);
        from = end;
    }
    if (from > 0 && parser->buffer.data != NULL) {
        parser->buffer.len -= from;
        memmove(parser->buffer.data, parser->buffer.data + from,
                parser->buffer.len);
        parser->scanned = 0;
    }
}

size_t
Es_BufferedLen(const struct es_parser *parser)
{
    return parser->buffer.len;
}

void
Es_Clear(struct es_parser *parser)
{
    Bf_Free(&parser->buffer);
    memset(parser, 0, sizeof(*parser));
}
