#include "web/http1.h"

#include <http_parser.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "base/buffer.h"

/* Far above any limit of ours, which is checked before the parser runs. */
#define H1_LIBRARY_HEAD_MAX (1u << 24)
#define H1_NUMBER_DIGITS_MAX 15
#define H1_END "\r\n\r\n"
#define H1_END_LEN 4
/* More 1xx answers before one answer are none. */
#define H1_INTERIM_MAX 16
/* Bytes of chunk sizes, extensions and trailers without one of the body. */
#define H1_FRAMING_MAX (64u << 10)
/* Of the buffer for heads, between two messages. */
#define H1_KEPT_BYTES 4096

enum h1_phase {
    H1_HEAD,
    H1_BODY,
    H1_DONE,
};

struct h1_parser {
    http_parser parser;
    const struct h1_ops *ops;
    void *arg;
    enum h1_phase phase;
    bool request;
    bool no_body;
    bool interim; /* a 1xx answer: skipped */
    int interim_count;
    size_t skipped;     /* bytes of empty lines before the head */
    size_t framing_len; /* bytes since the last one of the body */
    bool overflow;
    size_t head_max;
    struct bf_buffer raw; /* the head as it came */
    struct h1_head head;
};

static struct h1_parser *
self(http_parser *parser)
{
    return parser->data;
}

static int
on_url(http_parser *parser, const char *at, size_t len)
{
    self(parser)->head.target = (struct h1_text){at, len};
    return 0;
}

/*
 * Trailer fields come here too, behind the body.  They are dropped, as RFC
 * 9110 allows (6.5.1): the head is the sender's as it stood, and their bytes
 * are the reader's, not the parser's.
 */
static int
on_field(http_parser *parser, const char *at, size_t len)
{
    if (self(parser)->phase != H1_HEAD) {
        return 0;
    }
    struct h1_head *head = &self(parser)->head;
    if (head->count == H1_FIELDS_MAX) {
        self(parser)->overflow = true;
        return -1;
    }
    head->fields[head->count].name = (struct h1_text){at, len};
    head->fields[head->count].value = (struct h1_text){at + len, 0};
    head->count++;
    return 0;
}

static int
on_value(http_parser *parser, const char *at, size_t len)
{
    if (self(parser)->phase != H1_HEAD) {
        return 0;
    }
    struct h1_head *head = &self(parser)->head;
    while (len > 0 && (at[len - 1] == ' ' || at[len - 1] == '\t')) {
        len--;
    }
    head->fields[head->count - 1].value = (struct h1_text){at, len};
    return 0;
}

static int
on_head(http_parser *parser)
{
    struct h1_parser *owner = self(parser);
    struct h1_head *head = &owner->head;
    head->status = (int)parser->status_code;
    head->keep_alive = http_should_keep_alive(parser) != 0;
    head->chunked = (parser->flags & F_CHUNKED) != 0;
    head->has_body = head->chunked || (parser->content_length != 0 &&
                                       parser->content_length != UINT64_MAX);
    if (owner->request) {
        const char *name = http_method_str((enum http_method)parser->method);
        head->method = (struct h1_text){name, strlen(name)};
        /* CONNECT and upgrades would turn the rest into a tunnel. */
        return parser->upgrade ? -1 : 0;
    }
    owner->interim = head->status < 200;
    if (owner->interim) {
        return head->status == 101 ? -1 : 1;
    }
    owner->phase = H1_BODY;
    owner->ops->head(owner->arg, head);
    return owner->no_body ? 1 : 0;
}

static int
on_body(http_parser *parser, const char *at, size_t len)
{
    self(parser)->framing_len = 0;
    self(parser)->ops->body(self(parser)->arg, at, len);
    return 0;
}

static int
on_end(http_parser *parser)
{
    self(parser)->phase = H1_DONE;
    http_parser_pause(parser, 1);
    return 0;
}

static const http_parser_settings settings = {
    .on_url = on_url,
    .on_header_field = on_field,
    .on_header_value = on_value,
    .on_headers_complete = on_head,
    .on_body = on_body,
    .on_message_complete = on_end,
};

/* NULL without memory. */
struct h1_parser *
H1_Create(bool request, const struct h1_ops *ops, void *arg)
{
    struct h1_parser *parser = calloc(1, sizeof(*parser));
    if (parser == NULL) {
        return NULL;
    }
    http_parser_set_max_header_size(H1_LIBRARY_HEAD_MAX);
    parser->request = request;
    parser->ops = ops;
    parser->arg = arg;
    parser->head_max = H1_HEAD_MAX_DEFAULT;
    H1_Reset(parser);
    return parser;
}

void
H1_Destroy(struct h1_parser *parser)
{
    if (parser != NULL) {
        Bf_Free(&parser->raw);
        free(parser);
    }
}

void
H1_SetHeadMax(struct h1_parser *parser, size_t bytes)
{
    parser->head_max = bytes;
}

/* The next answer has no body whatever its head says (HEAD requests). */
void
H1_ExpectNoBody(struct h1_parser *parser, bool none)
{
    parser->no_body = none;
}

/* Begins the next head, of the same message after an interim answer. */
static void
reset_head(struct h1_parser *parser)
{
    http_parser_init(&parser->parser,
                     parser->request ? HTTP_REQUEST : HTTP_RESPONSE);
    parser->parser.data = parser;
    parser->phase = H1_HEAD;
    parser->interim = false;
    parser->overflow = false;
    parser->raw.len = 0;
    if (parser->raw.capacity > H1_KEPT_BYTES) {
        Bf_Free(&parser->raw);
    }
    memset(&parser->head, 0, offsetof(struct h1_head, fields));
    parser->head.count = 0;
}

void
H1_Reset(struct h1_parser *parser)
{
    parser->interim_count = 0;
    parser->framing_len = 0;
    parser->skipped = 0;
    reset_head(parser);
}

static bool
is_token(unsigned char c)
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') ||
           (c >= 'A' && c <= 'Z') || strchr("!#$%&'*+-.^_`|~", c) != NULL;
}

/*
 * A head that two programs could read differently carries a second request
 * past the first of them.  http_parser takes lines that end in a bare LF,
 * folded fields and spaces in names; they are refused, as RFC 9112 allows.
 */
static bool
check_head(const char *raw, size_t len)
{
    bool first = true;
    size_t start = 0;
    for (size_t i = 0; i < len; i++) {
        unsigned char c = (unsigned char)raw[i];
        if (c == '\0' || (c == '\n' && (i == 0 || raw[i - 1] != '\r')) ||
            (c == '\r' && (i + 1 >= len || raw[i + 1] != '\n'))) {
            return false;
        }
        if (c != '\n') {
            continue;
        }
        if (!first && i - start > 1) {
            const char *colon = memchr(raw + start, ':', i - start);
            if (colon == NULL || colon == raw + start) {
                return false;
            }
            for (const char *at = raw + start; at < colon; at++) {
                if (*at == '\0' || !is_token((unsigned char)*at)) {
                    return false;
                }
            }
        }
        first = false;
        start = i + 1;
    }
    return true;
}

/* A head whose lines, from "start" on, end so would never be complete. */
static bool
has_bare_newline(const char *raw, size_t start, size_t len)
{
    for (size_t i = start; i < len; i++) {
        if (raw[i] == '\n' && (i == 0 || raw[i - 1] != '\r')) {
            return true;
        }
    }
    return false;
}

static enum h1_error
run(struct h1_parser *parser, const char *data, size_t len, size_t *used)
{
    *used = http_parser_execute(&parser->parser, &settings, data, len);
    enum http_errno error = HTTP_PARSER_ERRNO(&parser->parser);
    if (error == HPE_PAUSED) {
        http_parser_pause(&parser->parser, 0);
        return H1_FINE;
    }
    if (error != HPE_OK) {
        return parser->overflow ? H1_TOO_LARGE : H1_MALFORMED;
    }
    return H1_FINE;
}

/*
 * How many bytes of "data" are of the head: all when its end is not among
 * them.  What follows a head is not kept with it.
 */
static size_t
head_share(const struct h1_parser *parser, const char *data, size_t len)
{
    char seam[2 * (H1_END_LEN - 1)];
    size_t had = parser->raw.len;
    size_t before = had < H1_END_LEN - 1 ? had : H1_END_LEN - 1;
    size_t after = len < H1_END_LEN - 1 ? len : H1_END_LEN - 1;
    if (before > 0) {
        memcpy(seam, parser->raw.data + had - before, before);
    }
    memcpy(seam + before, data, after);
    const char *end = memmem(seam, before + after, H1_END, H1_END_LEN);
    if (end != NULL) {
        return (size_t)(end - seam) + H1_END_LEN - before;
    }
    end = memmem(data, len, H1_END, H1_END_LEN);
    return end != NULL ? (size_t)(end - data) + H1_END_LEN : len;
}

/* Looks for the end of the head; *used counts bytes taken from "data". */
static enum h1_error
feed_head(struct h1_parser *parser, const char *data, size_t len, size_t *used)
{
    size_t skip = 0;
    /* Empty lines before a request are to be ignored. */
    while (parser->request && parser->raw.len == 0 && skip + 1 < len &&
           data[skip] == '\r' && data[skip + 1] == '\n') {
        skip += 2;
    }
    parser->skipped += skip;
    if (parser->skipped > parser->head_max) {
        return H1_TOO_LARGE;
    }
    size_t had = parser->raw.len;
    size_t take = head_share(parser, data + skip, len - skip);
    if (had + take > parser->head_max ||
        !Bf_Add(&parser->raw, data + skip, take)) {
        return H1_TOO_LARGE;
    }
    *used = skip + take;
    size_t head_len = parser->raw.len;
    if (head_len < H1_END_LEN ||
        memcmp(parser->raw.data + head_len - H1_END_LEN, H1_END, H1_END_LEN) !=
            0) {
        return has_bare_newline(parser->raw.data, had, head_len) ? H1_MALFORMED
                                                                 : H1_FINE;
    }
    if (!check_head(parser->raw.data, head_len)) {
        return H1_MALFORMED;
    }
    size_t eaten;
    enum h1_error error = run(parser, parser->raw.data, head_len, &eaten);
    if (error != H1_FINE) {
        return error;
    }
    if (parser->interim) {
        reset_head(parser);
        parser->interim_count++;
        return parser->interim_count > H1_INTERIM_MAX ? H1_TOO_LARGE : H1_FINE;
    }
    if (parser->request) {
        bool done = parser->phase == H1_DONE;
        parser->phase = done ? H1_DONE : H1_BODY;
        parser->ops->head(parser->arg, &parser->head);
    }
    return H1_FINE;
}

/* Takes bytes of the body and its framing. */
static enum h1_error
feed_body(struct h1_parser *parser, const char *data, size_t len, size_t *used)
{
    parser->framing_len += len;
    enum h1_error error = run(parser, data, len, used);
    return error == H1_FINE && parser->framing_len > H1_FRAMING_MAX
               ? H1_TOO_LARGE
               : error;
}

enum h1_error
H1_Feed(struct h1_parser *parser, const char *data, size_t len, size_t *used)
{
    *used = 0;
    while (*used < len && parser->phase != H1_DONE) {
        size_t took = 0;
        enum h1_error error =
            parser->phase == H1_HEAD
                ? feed_head(parser, data + *used, len - *used, &took)
                : feed_body(parser, data + *used, len - *used, &took);
        *used += took;
        if (error != H1_FINE) {
            return error;
        }
    }
    if (parser->phase == H1_DONE) {
        parser->ops->end(parser->arg);
    }
    return H1_FINE;
}

bool
H1_Eof(struct h1_parser *parser)
{
    if (parser->phase != H1_BODY) {
        return false;
    }
    size_t used;
    return run(parser, "", 0, &used) == H1_FINE && parser->phase == H1_DONE;
}

size_t
H1_HeldBytes(const struct h1_parser *parser)
{
    return parser->raw.capacity;
}

bool
H1_Complete(const struct h1_parser *parser)
{
    return parser->phase == H1_DONE;
}

const struct h1_head *
H1_Head(const struct h1_parser *parser)
{
    return &parser->head;
}

/* Compares without regard to case. */
bool
H1_Is(struct h1_text text, const char *word)
{
    return strlen(word) == text.len &&
           strncasecmp(text.at, word, text.len) == 0;
}

const struct h1_field *
H1_Find(const struct h1_head *head, const char *name)
{
    for (size_t i = 0; i < head->count; i++) {
        if (H1_Is(head->fields[i].name, name)) {
            return &head->fields[i];
        }
    }
    return NULL;
}

size_t
H1_CountOf(const struct h1_head *head, const char *name)
{
    size_t count = 0;
    for (size_t i = 0; i < head->count; i++) {
        count += H1_Is(head->fields[i].name, name);
    }
    return count;
}

bool
H1_Copy(const struct h1_head *head, const char *name, char *out, size_t size)
{
    const struct h1_field *field = H1_Find(head, name);
    if (field == NULL || field->value.len >= size) {
        return false;
    }
    memcpy(out, field->value.at, field->value.len);
    out[field->value.len] = '\0';
    return true;
}

int64_t
H1_Number(const struct h1_head *head, const char *name)
{
    const struct h1_field *field = H1_Find(head, name);
    if (field == NULL || field->value.len == 0 ||
        field->value.len > H1_NUMBER_DIGITS_MAX) {
        return -1;
    }
    int64_t number = 0;
    for (size_t i = 0; i < field->value.len; i++) {
        char c = field->value.at[i];
        if (c < '0' || c > '9') {
            return -1;
        }
        number = number * 10 + (c - '0');
    }
    return number;
}

/* Whether "Connection" names the field. */
static bool
named_by_connection(const struct h1_head *head, struct h1_text name)
{
    for (size_t i = 0; i < head->count; i++) {
        if (!H1_Is(head->fields[i].name, "connection")) {
            continue;
        }
        struct h1_text value = head->fields[i].value;
        size_t at = 0;
        while (at < value.len) {
            while (at < value.len &&
                   (value.at[at] == ' ' || value.at[at] == ',')) {
                at++;
            }
            size_t start = at;
            while (at < value.len && value.at[at] != ',' &&
                   value.at[at] != ' ') {
                at++;
            }
            if (at - start == name.len && name.len > 0 &&
                strncasecmp(value.at + start, name.at, name.len) == 0) {
                return true;
            }
        }
    }
    return false;
}

/* Fields that concern one connection only and are not forwarded. */
bool
H1_HopByHop(const struct h1_head *head, struct h1_text name)
{
    static const char *const fixed[] = {
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "upgrade",
        "transfer-encoding",
        "proxy-authenticate",
        "content-length",
        "proxy-authorization",
        "expect",
    };
    for (size_t i = 0; i < sizeof(fixed) / sizeof(fixed[0]); i++) {
        if (H1_Is(name, fixed[i])) {
            return true;
        }
    }
    return named_by_connection(head, name);
}

const char *
H1_Reason(int status)
{
    switch (status) {
#define XX(num, name, string)                                                 \
    case num:                                                                 \
        return #string;
        HTTP_STATUS_MAP(XX)
#undef XX
    default:
        return "Other";
    }
}
