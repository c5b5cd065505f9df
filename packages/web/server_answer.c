/* Answers, whole or as streams, and writing them out. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "web/server_internal.h"

#define Hs_HEADER_BLOCK 4096
#define Hs_WRITE_BYTES 16384
#define Hs_CHUNK_SLACK 32
#define Hs_STALL_SECS 30

static int
write_head(struct hs_request *request)
{
    int wrote = lws_write(request->wsi, request->head + LWS_PRE,
                          request->head_len, LWS_WRITE_HTTP_HEADERS);
    free(request->head);
    request->head = NULL;
    lws_callback_on_writable(request->wsi);
    return wrote < 0 ? -1 : 0;
}

static int
write_some(struct hs_request *request)
{
    unsigned char buffer[LWS_PRE + Hs_WRITE_BYTES];
    size_t n = request->out_len;
    if (n > Hs_WRITE_BYTES) {
        n = Hs_WRITE_BYTES;
    }
    memcpy(buffer + LWS_PRE, request->out + request->out_start, n);
    /* A caller that stops reading is cut off, or it would pin memory. */
    lws_set_timeout(request->wsi, PENDING_TIMEOUT_HTTP_CONTENT, Hs_STALL_SECS);
    if (lws_write(request->wsi, buffer + LWS_PRE, n, LWS_WRITE_HTTP) < 0) {
        return -1;
    }
    request->out_start += n;
    request->out_len -= n;
    Lg_SetUnread(&request->connection->holder, request->out_len);
    if (request->out_len == 0) {
        request->out_start = 0;
        lws_set_timeout(request->wsi, NO_PENDING_TIMEOUT, 0);
    }
    lws_callback_on_writable(request->wsi);
    return 0;
}

static int
finish(struct hs_request *request)
{
    struct hs_connection *connection = request->connection;
    bool close_after = request->close_after;
    hs_set_phase(request, close_after ? YD_ENDING : YD_IDLE);
    Lg_SetServed(&connection->holder);
    hs_request_free(request);
    if (close_after) {
        return -1;
    }
    connection->read_bytes = hs_read_bytes(connection);
    return lws_http_transaction_completed(connection->wsi) != 0 ? -1 : 0;
}

/* Writes what is due; -1 closes the connection. */
int
hs_write(struct hs_request *request)
{
    struct hs_connection *connection = request->connection;
    if (request->cut) {
        return -1;
    }
    request->repeats = 0;
    if (request->body_over && !request->dispatched) {
        hs_dispatch(request);
        return connection->request == NULL ? -1 : 0;
    }
    if (request->head != NULL) {
        return write_head(request);
    }
    if (request->out_len > 0) {
        return write_some(request);
    }
    if (request->ended) {
        return finish(request);
    }
    if (request->stream && request->server->ops->drained != NULL) {
        request->server->ops->drained(request->server->arg, request);
    }
    /* The handler may have aborted the request. */
    return connection->request == NULL ? -1 : 0;
}

/* Without room for all of an answer its connection breaks off. */
static void
cut(struct hs_request *request)
{
    request->cut = true;
    lws_callback_on_writable(request->wsi);
}

/* Makes room for an answer's bytes; false when it is cut. */
static bool
reserve(struct hs_request *request, size_t len)
{
    if (request->cut || request->out_len + len <= request->out_size) {
        return !request->cut;
    }
    size_t size = request->out_len + len;
    size += size < Hs_WRITE_BYTES ? size : Hs_WRITE_BYTES;
    struct lg_holder *holder = &request->connection->holder;
    unsigned char *grown = Lg_MakeRoom(holder, size - request->out_size)
                               ? realloc(request->out, size)
                               : NULL;
    if (grown == NULL) {
        cut(request);
        return false;
    }
    request->out = grown;
    request->out_size = size;
    Lg_Set(holder, LG_ANSWER, size);
    return true;
}

static void
append(struct hs_request *request, const void *data, size_t len)
{
    if (request->out_start > 0 &&
        request->out_start + request->out_len + len > request->out_size) {
        memmove(request->out, request->out + request->out_start,
                request->out_len);
        request->out_start = 0;
    }
    if (!reserve(request, len)) {
        return;
    }
    memcpy(request->out + request->out_start + request->out_len, data, len);
    request->out_len += len;
    Lg_SetUnread(&request->connection->holder, request->out_len);
}

static bool
add(struct hs_request *request, const char *name, const char *value,
    unsigned char **at, unsigned char *end)
{
    char key[64];
    snprintf(key, sizeof(key), "%s:", name);
    return lws_add_http_header_by_name(
               request->wsi, (const unsigned char *)key,
               (const unsigned char *)value, (int)strlen(value), at, end) == 0;
}

/* Builds the header block; an answer whose headers do not fit is a defect. */
static void
build_head(struct hs_request *request, int code, const char *type,
           const struct web_header *headers, size_t header_count,
           const char *length)
{
    request->head = malloc(LWS_PRE + Hs_HEADER_BLOCK);
    if (request->head == NULL) {
        cut(request);
        return;
    }
    unsigned char *start = request->head + LWS_PRE;
    unsigned char *at = start;
    unsigned char *end = start + Hs_HEADER_BLOCK - 1;
    bool fits = lws_add_http_header_status(request->wsi, (unsigned int)code,
                                           &at, end) == 0;
    if (type != NULL) {
        fits = fits && add(request, "content-type", type, &at, end);
    }
    for (size_t i = 0; i < header_count; i++) {
        fits =
            fits && add(request, headers[i].name, headers[i].value, &at, end);
    }
    if (length != NULL) {
        fits = fits && add(request, "content-length", length, &at, end);
    }
    else {
        fits = fits && add(request, "transfer-encoding", "chunked", &at, end);
    }
    request->close_after = request->close_after || request->server->closing;
    if (request->close_after) {
        fits = fits && add(request, "connection", "close", &at, end);
    }
    if (!fits || lws_finalize_http_header(request->wsi, &at, end) != 0) {
        abort();
    }
    request->head_len = (size_t)(at - start);
    lws_callback_on_writable(request->wsi);
}

/* Begins an answer of that length, which is whole as soon as it is given. */
static void
begin_whole(struct hs_request *request, int code, const char *type,
            const struct web_header *headers, size_t header_count, size_t len)
{
    char length[32];
    snprintf(length, sizeof(length), "%zu", len);
    build_head(request, code, type, headers, header_count, length);
    request->ended = true;
}

/* Answers whole.  The request must not be used afterwards. */
void
Hs_Reply(struct hs_request *request, int code, const char *type,
         const struct web_header *headers, size_t header_count,
         const void *body, size_t len)
{
    begin_whole(request, code, type, headers, header_count, len);
    if (len > 0) {
        append(request, body, len);
    }
}

void
Hs_HoldAnswer(struct hs_request *request, size_t len)
{
    Lg_Set(&request->connection->holder, LG_COMING, len);
}

void
Hs_ReplyOwned(struct hs_request *request, int code, const char *type,
              const struct web_header *headers, size_t header_count,
              char *body, size_t len)
{
    struct lg_holder *holder = &request->connection->holder;
    begin_whole(request, code, type, headers, header_count, len);
    Hs_HoldAnswer(request, 0);
    request->out = (unsigned char *)body;
    request->out_size = len;
    request->out_len = len;
    Lg_Set(holder, LG_ANSWER, len);
    Lg_SetUnread(holder, len);
}

/* Begins an answer of unknown length. */
void
Hs_StreamBegin(struct hs_request *request, int code, const char *type,
               const struct web_header *headers, size_t header_count)
{
    request->stream = true;
    build_head(request, code, type, headers, header_count, NULL);
}

/*
 * Sends bytes of a stream.  The chunk framing is written here, since
 * libwebsockets would end an answer of unknown length by closing the
 * connection, and then a cut answer looks like a whole one.
 */
void
Hs_StreamWrite(struct hs_request *request, const void *data, size_t len)
{
    if (len == 0) {
        return;
    }
    char size[Hs_CHUNK_SLACK];
    int n = snprintf(size, sizeof(size), "%zx\r\n", len);
    append(request, size, (size_t)n);
    append(request, data, len);
    append(request, "\r\n", 2);
    lws_callback_on_writable(request->wsi);
}

/* Ends a stream.  The request must not be used afterwards. */
void
Hs_StreamEnd(struct hs_request *request)
{
    append(request, "0\r\n\r\n", 5);
    request->ended = true;
    lws_callback_on_writable(request->wsi);
}

/* Bytes given to the stream that the caller has not taken yet. */
size_t
Hs_Pending(const struct hs_request *request)
{
    return request->out_len;
}

/* Closes the connection without (the rest of) an answer; "gone" is not
 * called and the request must not be used afterwards. */
void
Hs_Abort(struct hs_request *request)
{
    struct hs_connection *connection = request->connection;
    hs_request_free(request);
    hs_kill(connection);
}
