#include "platform/sse.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

struct ss_parser {
    size_t event_max;
    char *line;
    size_t line_len;
    char *data;
    size_t data_len;
    bool has_data;
};

/*
 * Creates a parser that accepts lines and events of at most event_max bytes.
 * Returns NULL when memory runs out.
 */
struct ss_parser *
Ss_Create(size_t event_max)
{
    struct ss_parser *parser = calloc(1, sizeof(*parser));
    if (parser == NULL) {
        return NULL;
    }
    parser->event_max = event_max;
    parser->line = malloc(event_max + 1);
    parser->data = malloc(event_max + 1);
    if (parser->line == NULL || parser->data == NULL) {
        Ss_Destroy(parser);
        return NULL;
    }
    return parser;
}

/* Frees the parser, which may be NULL. */
void
Ss_Destroy(struct ss_parser *parser)
{
    if (parser == NULL) {
        return;
    }
    free(parser->line);
    free(parser->data);
    free(parser);
}

static enum st_status
add_data(struct ss_parser *parser, const char *value, size_t len)
{
    size_t separator = parser->has_data ? 1 : 0;
    if (parser->data_len + separator + len > parser->event_max) {
        return St_Fail(ST_INVALID, "an event is longer than %zu bytes",
                       parser->event_max);
    }
    if (separator != 0) {
        parser->data[parser->data_len++] = '\n';
    }
    memcpy(parser->data + parser->data_len, value, len);
    parser->data_len += len;
    parser->has_data = true;
    return ST_OK;
}

static enum st_status
end_line(struct ss_parser *parser, ss_event_fn event, void *arg)
{
    size_t len = parser->line_len;
    parser->line_len = 0;
    if (len > 0 && parser->line[len - 1] == '\r') {
        len--;
    }
    if (len == 0) {
        if (parser->has_data) {
            size_t data_len = parser->data_len;
            parser->data[data_len] = '\0';
            parser->data_len = 0;
            parser->has_data = false;
            event(arg, parser->data, data_len);
        }
        return ST_OK;
    }
    if (len < 5 || memcmp(parser->line, "data:", 5) != 0) {
        return ST_OK;
    }
    size_t skip = len > 5 && parser->line[5] == ' ' ? 6 : 5;
    return add_data(parser, parser->line + skip, len - skip);
}

/*
 * Parses the next bytes and calls "event" for each event that they complete.
 * The callback must not destroy the parser.  Returns ST_INVALID when a line
 * or an event exceeds event_max bytes.
 */
enum st_status
Ss_Feed(struct ss_parser *parser, const void *data, size_t len,
        ss_event_fn event, void *arg)
{
    const char *at = data;
    const char *end = at + len;
    while (at < end) {
        const char *newline = memchr(at, '\n', (size_t)(end - at));
        const char *stop = newline != NULL ? newline : end;
        size_t n = (size_t)(stop - at);
        if (parser->line_len + n > parser->event_max) {
            return St_Fail(ST_INVALID, "a line is longer than %zu bytes",
                           parser->event_max);
        }
        memcpy(parser->line + parser->line_len, at, n);
        parser->line_len += n;
        at = stop;
        if (newline != NULL) {
            at++;
            enum st_status status = end_line(parser, event, arg);
            if (status != ST_OK) {
                return status;
            }
        }
    }
    return ST_OK;
}
