/* Reading a request: strictly, so that nothing can hide in it. */
#include <bsd/string.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "web/server_internal.h"

#define Hs_VALUE_MAX 1024
/* How often the library tells the end of a body within one turn. */
#define Hs_REPEATS_MAX 64
/* By then others have been read, or had to yield. */
#define Hs_RETRY_SEC "1"

/* NULL for a method that is not served. */
static const char *
method_name(int method)
{
    switch (method) {
    case LWSHUMETH_GET:
        return "GET";
    case LWSHUMETH_POST:
        return "POST";
    case LWSHUMETH_PUT:
        return "PUT";
    case LWSHUMETH_PATCH:
        return "PATCH";
    case LWSHUMETH_DELETE:
        return "DELETE";
    case LWSHUMETH_HEAD:
        return "HEAD";
    default:
        return NULL;
    }
}

static int
known_token(const char *name)
{
    if (strcmp(name, "authorization") == 0) {
        return WSI_TOKEN_HTTP_AUTHORIZATION;
    }
    if (strcmp(name, "content-type") == 0) {
        return WSI_TOKEN_HTTP_CONTENT_TYPE;
    }
    if (strcmp(name, "host") == 0) {
        return WSI_TOKEN_HOST;
    }
    return -1;
}

/* The length of a header's value, -1 when the header is absent. */
static int
header_length(struct lws *wsi, const char *name)
{
    char key[Hs_NAME_MAX];
    int token = known_token(name);
    if (token >= 0) {
        int len = lws_hdr_total_length(wsi, (enum lws_token_indexes)token);
        return len > 0 ? len : -1;
    }
    int key_len = snprintf(key, sizeof(key), "%s:", name);
    return lws_hdr_custom_length(wsi, key, key_len);
}

/*
 * Copies one header while libwebsockets still holds it.  False when it is too
 * long or holds a NUL: taken for absent or for its first part, such an
 * idempotency key would let a charge run twice.
 */
static bool
copy_header(struct lws *wsi, const char *name, char **out)
{
    char value[Hs_VALUE_MAX];
    int len = header_length(wsi, name);
    if (len < 0) {
        return true;
    }
    int token = known_token(name);
    if (token >= 0) {
        len = lws_hdr_copy(wsi, value, sizeof(value),
                           (enum lws_token_indexes)token);
    }
    else {
        char key[Hs_NAME_MAX];
        int key_len = snprintf(key, sizeof(key), "%s:", name);
        len = lws_hdr_custom_copy(wsi, value, sizeof(value), key, key_len);
    }
    if (len < 0 || memchr(value, '\0', (size_t)len) != NULL) {
        return false;
    }
    *out = strdup(value);
    return *out != NULL;
}

/* Keeps the headers that the handler asked for; false as copy_header(). */
static bool
copy_headers(struct hs_request *request)
{
    const char *const *names = request->server->headers;
    if (names == NULL) {
        return true;
    }
    for (size_t i = 0; i < Hs_HEADERS_MAX && names[i] != NULL; i++) {
        if (!copy_header(request->wsi, names[i], &request->values[i])) {
            return false;
        }
    }
    return true;
}

/*
 * True when a header that frames the body has a space before its colon.  One
 * server in a row may skip such a header and the next obey it, so that they
 * disagree where the request ends.
 */
static bool
has_hidden_framing(struct lws *wsi)
{
    static const char *const hidden[] = {
        "transfer-encoding :", "transfer-encoding\t:", "content-length :",
        "content-length\t:"};
    for (size_t i = 0; i < sizeof(hidden) / sizeof(hidden[0]); i++) {
        if (lws_hdr_custom_length(wsi, hidden[i], (int)strlen(hidden[i])) >=
            0) {
            return true;
        }
    }
    return false;
}

/*
 * Reads Content-Length strictly.  Two lengths, or a length beside a transfer
 * coding, let a caller hide a second request from one of two servers in a
 * row; such requests are refused.  Returns an HTTP status, 0 when fine.
 */
static int
body_length(struct lws *wsi, bool has_body, size_t *out)
{
    char text[32];
    *out = 0;
    if (has_hidden_framing(wsi)) {
        return 400;
    }
    if (lws_hdr_total_length(wsi, WSI_TOKEN_HTTP_TRANSFER_ENCODING) > 0) {
        return 411;
    }
    int total = lws_hdr_total_length(wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH);
    if (total == 0) {
        return has_body ? 411 : 0;
    }
    int len =
        lws_hdr_copy(wsi, text, sizeof(text), WSI_TOKEN_HTTP_CONTENT_LENGTH);
    if (len <= 0 || len > 18 || strspn(text, "0123456789") != strlen(text)) {
        return 400;
    }
    *out = (size_t)strtoull(text, NULL, 10);
    return 0;
}

static void
refuse(struct hs_request *request, int code, const char *type,
       const char *remedy)
{
    char body[256];
    int len = snprintf(body, sizeof(body),
                       "{\"error\":{\"type\":\"%s\","
                       "\"message\":\"%s\"}}",
                       type, remedy);
    struct web_header headers[] = {
        {"cornelgate-outcome", "not-run"},
        {"retry-after", Hs_RETRY_SEC},
    };
    request->dispatched = true;
    request->close_after = true;
    hs_set_phase(request, YD_SERVING);
    Hs_Reply(request, code, "application/json", headers, code == 503 ? 2 : 1,
             body, (size_t)len);
}

void
hs_refuse_for_room(struct hs_request *request)
{
    Bf_Free(&request->body);
    Lg_Set(&request->connection->holder, LG_BODY, 0);
    refuse(request, 503, "unavailable",
           "no memory for the request; come back later");
}

/*
 * Hands a whole request over.  Its body is copied once on its way to an
 * endpoint, for which there has to be room as well.
 */
void
hs_dispatch(struct hs_request *request)
{
    struct lg_holder *holder = &request->connection->holder;
    size_t copy = request->body.capacity;
    if (!Lg_MakeRoom(holder, copy)) {
        hs_refuse_for_room(request);
        return;
    }
    Lg_Set(holder, LG_COPY, copy);
    request->dispatched = true;
    hs_set_phase(request, YD_SERVING);
    lws_set_timeout(request->wsi, NO_PENDING_TIMEOUT, 0);
    request->server->ops->request(request->server->arg, request);
}

/*
 * Copies the query argument by argument: copied in one go, the library puts
 * commas between them, and every argument but the first is lost.  False when
 * it does not fit: cut short, another request than the caller's would run.
 */
static bool
copy_query(struct hs_request *request)
{
    size_t used = 0;
    if (lws_hdr_total_length(request->wsi, WSI_TOKEN_HTTP_URI_ARGS) >=
        (int)sizeof(request->query) - 1) {
        return false;
    }
    for (int i = 0;; i++) {
        size_t skip = i > 0 ? 1 : 0; /* room for the separator */
        if (used + skip + 1 >= sizeof(request->query)) {
            return false;
        }
        int len =
            lws_hdr_copy_fragment(request->wsi, request->query + used + skip,
                                  (int)(sizeof(request->query) - used - skip),
                                  WSI_TOKEN_HTTP_URI_ARGS, i);
        if (len < 0) {
            request->query[used] = '\0';
            return true;
        }
        if (skip > 0) {
            request->query[used] = '&';
        }
        used += skip + (size_t)len;
    }
}

/*
 * Reads everything that stands before the body.  Returns an HTTP status and
 * the remedy, 0 when fine.
 */
static int
check_head(struct hs_request *request, int method, const char *path,
           const char **remedy)
{
    if (request->method == NULL) {
        *remedy = "use GET, HEAD, POST, PUT, PATCH or DELETE";
        return 405;
    }
    if (strlcpy(request->path, path, sizeof(request->path)) >=
            sizeof(request->path) ||
        !copy_query(request)) {
        *remedy = "shorten the path and the query to 1000 bytes each";
        return 414;
    }
    bool has_body = method == LWSHUMETH_POST || method == LWSHUMETH_PUT ||
                    method == LWSHUMETH_PATCH;
    int code = body_length(request->wsi, has_body, &request->body_expected);
    if (code != 0) {
        *remedy = "send one Content-Length and no Transfer-Encoding";
        return code;
    }
    if (request->body_expected > request->server->body_max) {
        *remedy = "send a smaller body";
        return 413;
    }
    if (!copy_headers(request)) {
        *remedy = "send headers of at most 1023 bytes without NUL";
        return 400;
    }
    return 0;
}

/*
 * Whether a request was read together with the one before it.  The library
 * goes round for ever on the body of such a one, or uses its connection after
 * it has freed it.
 */
static bool
was_behind(const struct hs_connection *connection)
{
    return connection->read_bytes > 0 &&
           hs_read_bytes(connection) == connection->read_bytes;
}

/* Takes the headers of a request; -1 closes the connection. */
int
hs_read_head(struct hs_connection *connection, const char *path)
{
    struct hs_request *request = calloc(1, sizeof(*request));
    if (request == NULL) {
        return -1;
    }
    char *uri;
    int uri_len;
    int method = lws_http_get_uri_and_method(connection->wsi, &uri, &uri_len);
    request->connection = connection;
    request->server = connection->server;
    request->wsi = connection->wsi;
    request->method = method_name(method);
    request->server->open++;
    connection->request = request;
    const char *remedy = NULL;
    int code = check_head(request, method, path, &remedy);
    bool may_have_body = code != 0 || request->body_expected > 0;
    if (may_have_body && was_behind(connection)) {
        return -1;
    }
    if (code != 0) {
        refuse(request, code, "invalid_request", remedy);
        return 0;
    }
    if (request->body_expected == 0) {
        hs_dispatch(request);
        return connection->request == NULL ? -1 : 0;
    }
    hs_set_phase(request, YD_READING);
    return 0;
}

/* Takes bytes of a body; -1 closes the connection. */
int
hs_read_body(struct hs_request *request, const void *data, size_t len)
{
    if (request->dispatched) {
        return 0;
    }
    if (len > request->body_expected - request->body.len) {
        return -1;
    }
    struct lg_holder *holder = &request->connection->holder;
    size_t most = request->body_expected + 1;
    Lg_NoteReceived(holder, len);
    if (!Lg_MakeRoom(holder, Bf_Growth(&request->body, len, most)) ||
        !Bf_AddUpTo(&request->body, data, len, most)) {
        hs_refuse_for_room(request);
        return 0;
    }
    Lg_Set(holder, LG_BODY, request->body.capacity);
    return 0;
}

/*
 * The body is whole; -1 closes the connection.  While bytes are behind the
 * request the library calls this again and again.  When the request itself was
 * behind another one it does so without ever returning to its loop, and the
 * whole daemon would stand still: such a request is given up.  It has not been
 * handed over then, which is done once the connection can be written to.
 */
int
hs_end_body(struct hs_request *request)
{
    if (request->body_over) {
        lws_callback_on_writable(request->wsi);
        return ++request->repeats > Hs_REPEATS_MAX ? -1 : 0;
    }
    request->body_over = true;
    if (!request->dispatched) {
        if (!Bf_AddUpTo(&request->body, "", 1, request->body_expected + 1)) {
            return -1;
        }
        Lg_Set(&request->connection->holder, LG_BODY, request->body.capacity);
        lws_callback_on_writable(request->wsi);
    }
    return 0;
}
