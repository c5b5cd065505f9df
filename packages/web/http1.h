/*
 * HTTP/1.1 messages as bytes, for both sides of a gateway: a head is handed
 * over with its fields exactly as they came, the body as it comes, and what
 * follows the message is left to the caller.  Framing is http_parser's; what
 * it would let pass is refused here first (see h1_check_head()).
 */
#ifndef WEB_HTTP1_H
#define WEB_HTTP1_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/status.h"

#ifdef __cplusplus
extern "C" {
#endif

#define H1_FIELDS_MAX 96
#define H1_HEAD_MAX_DEFAULT 65536

struct h1_text {
    const char *at;
    size_t len;
};

struct h1_field {
    struct h1_text name;
    struct h1_text value;
};

struct h1_head {
    bool keep_alive;
    bool chunked;
    bool has_body;
    int status;            /* answers */
    struct h1_text method; /* requests */
    struct h1_text target;
    struct h1_field fields[H1_FIELDS_MAX];
    size_t count;
};

struct h1_ops {
    /* Valid until the next message begins. */
    void (*head)(void *arg, const struct h1_head *head);
    void (*body)(void *arg, const char *data, size_t len);
    void (*end)(void *arg);
};

enum h1_error {
    H1_FINE,
    H1_MALFORMED, /* not HTTP/1.1, or ambiguous */
    H1_TOO_LARGE, /* the head or the framing is over the limit */
};

struct h1_parser;

struct h1_parser *H1_Create(bool request, const struct h1_ops *ops, void *arg);
void H1_Destroy(struct h1_parser *parser);
void H1_SetHeadMax(struct h1_parser *parser, size_t bytes);
void H1_ExpectNoBody(struct h1_parser *parser, bool none);
/* Begins the next message. */
void H1_Reset(struct h1_parser *parser);
/* Takes bytes up to the end of a message; *used tells how many. */
enum h1_error H1_Feed(struct h1_parser *parser, const char *data, size_t len,
                      size_t *used);
/* The connection ended: true when that ends a message without length. */
bool H1_Eof(struct h1_parser *parser);
bool H1_Complete(const struct h1_parser *parser);
const struct h1_head *H1_Head(const struct h1_parser *parser);
/* About what a parser takes, without a head. */
#define H1_BYTES (sizeof(struct h1_head) + 256)
/* Bytes allocated for a head. */
size_t H1_HeldBytes(const struct h1_parser *parser);

bool H1_Is(struct h1_text text, const char *word);
/* The first field of that name; NULL without one. */
const struct h1_field *H1_Find(const struct h1_head *head, const char *name);
size_t H1_CountOf(const struct h1_head *head, const char *name);
/* Copies a field's value; false when absent or too long. */
bool H1_Copy(const struct h1_head *head, const char *name, char *out,
             size_t size);
/* A whole number in a field; -1 when absent or not one. */
int64_t H1_Number(const struct h1_head *head, const char *name);
bool H1_HopByHop(const struct h1_head *head, struct h1_text name);
const char *H1_Reason(int status);

#ifdef __cplusplus
}
#endif

#endif
