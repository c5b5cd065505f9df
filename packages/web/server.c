#include "web/server.h"

#include <arpa/inet.h>
#include <bsd/string.h>
#include <bsd/sys/queue.h>
#include <ctype.h>
#include <libwebsockets.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "web/internal.h"

#define Hs_NAME_MAX 64
#define Hs_HEADER_BLOCK 4096
#define Hs_VALUE_MAX 1024
#define Hs_PATH_MAX 1024
#define Hs_QUERY_MAX 1024
#define Hs_HEADERS_MAX 24
#define Hs_WRITE_BYTES 16384
#define Hs_CHUNK_SLACK 32
#define Hs_KEEPALIVE_SECS 60
#define Hs_RECEIVE_SECS 20
#define Hs_STALL_SECS 30
#define Hs_BACKLOG 1024
#define Hs_ACCEPTS_AT_ONCE 64

struct hs_server {
    TAILQ_ENTRY(hs_server) link;
    struct lp_loop *loop;
    struct lws_vhost *vhost;
    struct lp_watch *listener;
    int listen_fd;
    int port;
    struct in_addr address;
    bool closing; /* every answer ends its connection */
    char mark;    /* its address marks connections without a request yet */
    size_t fresh; /* how many of these there are */
    struct lws_protocols protocols[2];
    const struct hs_ops *ops;
    void *arg;
    const char *const *headers;
    size_t body_max;
    size_t open;
    char name[Hs_NAME_MAX];
};

TAILQ_HEAD(hs_servers, hs_server);

/* Every server of this process; see server_of(). */
static struct hs_servers servers = TAILQ_HEAD_INITIALIZER(servers);

struct hs_request {
    struct hs_server *server;
    struct lws *wsi;
    void *user;
    const char *method;
    char path[Hs_PATH_MAX];
    char query[Hs_QUERY_MAX];
    char *values[Hs_HEADERS_MAX];
    char *body;
    size_t body_len;
    size_t body_expected;
    bool dispatched;
    bool ended;  /* the handler has given the whole answer */
    bool stream; /* the body is sent in chunks */
    bool close_after;
    unsigned char *head; /* answer's header block, behind LWS_PRE */
    size_t head_len;
    unsigned char *out; /* bytes to send */
    size_t out_start;
    size_t out_len;
    size_t out_size;
};

static void
request_free(struct hs_request *request)
{
    for (size_t i = 0; i < Hs_HEADERS_MAX; i++) {
        free(request->values[i]);
    }
    request->server->open--;
    free(request->body);
    free(request->head);
    free(request->out);
    free(request);
}

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
refuse(struct hs_request *request, int code, const char *remedy)
{
    char body[256];
    int len = snprintf(body, sizeof(body),
                       "{\"error\":{\"type\":\"invalid_request\","
                       "\"message\":\"%s\"}}",
                       remedy);
    struct web_header header = {"cornelgate-outcome", "not-run"};
    request->close_after = true;
    Hs_Reply(request, code, "application/json", &header, 1, body, (size_t)len);
}

static void
dispatch(struct hs_request *request)
{
    request->dispatched = true;
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

static int
on_headers(struct hs_server *server, struct lws *wsi, const char *path)
{
    struct hs_request *request = calloc(1, sizeof(*request));
    if (request == NULL) {
        return -1;
    }
    char *uri;
    int uri_len;
    int method = lws_http_get_uri_and_method(wsi, &uri, &uri_len);
    request->server = server;
    request->wsi = wsi;
    request->method = method_name(method);
    server->open++;
    lws_set_opaque_user_data(wsi, request);
    const char *remedy = NULL;
    int code = check_head(request, method, path, &remedy);
    if (code != 0) {
        request->dispatched = true;
        refuse(request, code, remedy);
        return 0;
    }
    if (request->body_expected == 0) {
        dispatch(request);
        return 0;
    }
    request->body = malloc(request->body_expected + 1);
    return request->body != NULL ? 0 : -1;
}

static int
on_body(struct hs_request *request, const void *data, size_t len)
{
    if (request->dispatched) {
        return 0;
    }
    if (len > request->body_expected - request->body_len) {
        return -1;
    }
    memcpy(request->body + request->body_len, data, len);
    request->body_len += len;
    return 0;
}

static void
on_body_end(struct hs_request *request)
{
    if (request->dispatched) {
        return;
    }
    request->body[request->body_len] = '\0';
    dispatch(request);
}

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
    struct lws *wsi = request->wsi;
    bool close_after = request->close_after;
    lws_set_opaque_user_data(wsi, NULL);
    request_free(request);
    if (close_after) {
        return -1;
    }
    return lws_http_transaction_completed(wsi) != 0 ? -1 : 0;
}

static int
on_writable(struct hs_request *request)
{
    if (request->head != NULL) {
        return write_head(request);
    }
    if (request->out_len > 0) {
        return write_some(request);
    }
    if (request->ended) {
        return finish(request);
    }
    struct lws *wsi = request->wsi;
    if (request->stream && request->server->ops->drained != NULL) {
        request->server->ops->drained(request->server->arg, request);
    }
    /* The handler may have aborted the request. */
    return lws_get_opaque_user_data(wsi) == NULL ? -1 : 0;
}

static void
on_closed(struct hs_request *request)
{
    lws_set_opaque_user_data(request->wsi, NULL);
    request->wsi = NULL;
    if (request->dispatched && !request->ended) {
        request->server->ops->gone(request->server->arg, request);
    }
    request_free(request);
}

/*
 * The server a connection came in by, told by its local address.  The
 * library picks a virtual host of its own by the Host header once it has
 * read it, and with two servers in one process that may be the other one: an
 * operator's request would be answered as a caller's.
 */
static struct hs_server *
server_of(struct lws *wsi)
{
    struct sockaddr_in at = {0};
    socklen_t len = sizeof(at);
    if (getsockname(lws_get_socket_fd(wsi), (struct sockaddr *)&at, &len) !=
        0) {
        return NULL;
    }
    struct hs_server *server;
    TAILQ_FOREACH (server, &servers, link) {
        if (server->port == ntohs(at.sin_port) &&
            (server->address.s_addr == at.sin_addr.s_addr ||
             server->address.s_addr == htonl(INADDR_ANY)) &&
            Lp_Context(server->loop) == lws_get_context(wsi)) {
            return server;
        }
    }
    return NULL;
}

/*
 * True for the callbacks of a connection that is no HTTP.  The library turns
 * a connection raw after CONNECT and lifts its timeouts; kept open, such
 * connections use up the descriptors.
 */
static bool
is_raw(enum lws_callback_reasons reason)
{
    return reason == LWS_CALLBACK_RAW_ADOPT ||
           reason == LWS_CALLBACK_RAW_CONNECTED ||
           reason == LWS_CALLBACK_RAW_RX ||
           reason == LWS_CALLBACK_RAW_WRITEABLE;
}

/* The server of a connection that has not sent its first request, or NULL. */
static struct hs_server *
fresh_server(struct lws *wsi)
{
    const void *opaque = lws_get_opaque_user_data(wsi);
    struct hs_server *server;
    TAILQ_FOREACH (server, &servers, link) {
        if (opaque == &server->mark) {
            return server;
        }
    }
    return NULL;
}

/* Ends the wait for a connection's first request when it came, or never will.
 */
static void
end_fresh(struct lws *wsi, struct hs_server *server,
          enum lws_callback_reasons reason)
{
    if (reason == LWS_CALLBACK_HTTP || reason == LWS_CALLBACK_WSI_DESTROY) {
        lws_set_opaque_user_data(wsi, NULL);
        server->fresh--;
    }
}

static int
server_callback(struct lws *wsi, enum lws_callback_reasons reason, void *user,
                void *in, size_t len)
{
    struct hs_request *request = NULL;
    struct hs_server *waiting = wsi != NULL ? fresh_server(wsi) : NULL;
    if (waiting != NULL) {
        end_fresh(wsi, waiting, reason);
    }
    else if (wsi != NULL) {
        request = lws_get_opaque_user_data(wsi);
    }
    if (is_raw(reason)) {
        return -1;
    }
    if (reason == LWS_CALLBACK_HTTP) {
        struct hs_server *server = server_of(wsi);
        /* A second request before the first one's answer: not supported. */
        return request == NULL && server != NULL ? on_headers(server, wsi, in)
                                                 : -1;
    }
    if (request == NULL) {
        if (reason == LWS_CALLBACK_HTTP_WRITEABLE) {
            return 0;
        }
        return reason == LWS_CALLBACK_HTTP_BODY ? -1 : 0;
    }
    switch (reason) {
    case LWS_CALLBACK_HTTP_BODY:
        return on_body(request, in, len);
    case LWS_CALLBACK_HTTP_BODY_COMPLETION:
        on_body_end(request);
        return lws_get_opaque_user_data(wsi) == NULL ? -1 : 0;
    case LWS_CALLBACK_HTTP_WRITEABLE:
        return on_writable(request);
    case LWS_CALLBACK_CLOSED_HTTP:
        on_closed(request);
        return 0;
    default:
        return 0;
    }
}

static void
accept_some(void *arg)
{
    struct hs_server *server = arg;
    for (int i = 0; i < Hs_ACCEPTS_AT_ONCE; i++) {
        int fd = accept4(server->listen_fd, NULL, NULL,
                         SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0) {
            return;
        }
        /* On failure the library has closed the descriptor. */
        struct lws *wsi = lws_adopt_socket_vhost(server->vhost, fd);
        if (wsi != NULL) {
            lws_set_opaque_user_data(wsi, &server->mark);
            server->fresh++;
        }
    }
}

static void
listener_closed(void *arg)
{
    struct hs_server *server = arg;
    Lp_WatchDestroy(server->listener);
    server->listener = NULL;
}

static const struct lp_watch_ops listener_ops = {
    .readable = accept_some,
    .closed = listener_closed,
};

/*
 * Listens on a socket of our own: the library cannot close its listener
 * without its connections, and a planned stop needs just that.
 */
static enum st_status
start_listener(struct hs_server *server, const struct hs_options *options)
{
    struct sockaddr_in at = {
        .sin_family = AF_INET,
        .sin_port = htons((uint16_t)options->port),
    };
    socklen_t at_len = sizeof(at);
    int on = 1;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return St_Fail(ST_UNAVAILABLE, "no socket; allow more descriptors");
    }
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (inet_pton(AF_INET, options->address, &at.sin_addr) != 1 ||
        bind(fd, (struct sockaddr *)&at, sizeof(at)) != 0 ||
        listen(fd, Hs_BACKLOG) != 0 ||
        getsockname(fd, (struct sockaddr *)&at, &at_len) != 0) {
        close(fd);
        return St_Fail(ST_INVALID,
                       "cannot listen on %s port %d; choose a free port and "
                       "an address of this host",
                       options->address, options->port);
    }
    server->listen_fd = fd;
    server->port = ntohs(at.sin_port);
    server->address = at.sin_addr;
    server->listener = Lp_WatchCreate(server->loop, fd, &listener_ops, server);
    if (server->listener == NULL) {
        close(fd);
        return St_Fail(ST_NO_MEMORY, "no memory to listen");
    }
    return ST_OK;
}

static enum st_status
start_vhost(struct hs_server *server, const struct hs_options *options)
{
    struct lws_context_creation_info info = {0};
    /* The library keeps this pointer as long as the vhost lives. */
    snprintf(server->name, sizeof(server->name), "server-%p", (void *)server);
    info.port = CONTEXT_PORT_NO_LISTEN_SERVER;
    info.vhost_name = server->name;
    info.protocols = server->protocols;
    info.keepalive_timeout = Hs_KEEPALIVE_SECS;
    info.timeout_secs = Hs_RECEIVE_SECS;
    info.ssl_cert_filepath = options->tls_cert_file;
    info.ssl_private_key_filepath = options->tls_key_file;
    info.alpn = "http/1.1";
    if (options->tls_cert_file != NULL) {
        /*
         * Without this option the library passes over the certificate and
         * serves in the clear, and keys cross the network unprotected.
         */
        info.options = LWS_SERVER_OPTION_DO_SSL_GLOBAL_INIT;
    }
    server->vhost = lws_create_vhost(Lp_Context(server->loop), &info);
    if (server->vhost == NULL) {
        return St_Fail(ST_INVALID, "cannot serve; check the TLS files");
    }
    return ST_OK;
}

/*
 * Starts to listen.  Fails with ST_INVALID when the address or the TLS files
 * cannot be used.
 */
enum st_status
Hs_Create(struct lp_loop *loop, const struct hs_options *options,
          struct hs_server **out)
{
    struct hs_server *server = calloc(1, sizeof(*server));
    if (server == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for a server");
    }
    server->loop = loop;
    server->ops = options->ops;
    server->arg = options->arg;
    server->headers = options->headers;
    server->body_max = options->body_max;
    server->protocols[0].name = "http";
    server->protocols[0].callback = server_callback;
    enum st_status status = start_vhost(server, options);
    if (status == ST_OK) {
        status = start_listener(server, options);
    }
    if (status != ST_OK) {
        if (server->vhost != NULL) {
            lws_vhost_destroy(server->vhost);
        }
        free(server);
        return status;
    }
    TAILQ_INSERT_TAIL(&servers, server, link);
    *out = server;
    return ST_OK;
}

/* The port in use, also when 0 was asked for. */
int
Hs_Port(const struct hs_server *server)
{
    return server->port;
}

/* From now on every answer asks the caller to connect anew, elsewhere. */
void
Hs_CloseConnections(struct hs_server *server)
{
    server->closing = true;
}

/*
 * Refuses new connections.  Those that have connected already are taken
 * first, so that they are answered rather than reset.  The socket stops
 * listening here and now: the loop closes it only at its next turn, and what
 * connected until then would be reset.
 */
void
Hs_StopListening(struct hs_server *server)
{
    if (server->listener != NULL) {
        accept_some(server);
        shutdown(server->listen_fd, SHUT_RDWR);
        Lp_WatchDestroy(server->listener);
        server->listener = NULL;
    }
}

/* Connections that have not sent their first request yet. */
size_t
Hs_Fresh(const struct hs_server *server)
{
    return server->fresh;
}

/* Requests that were taken and whose answer has not been written out. */
size_t
Hs_OpenRequests(const struct hs_server *server)
{
    return server->open;
}

/* Frees the server; call it after Lp_Destroy(), which closes its sockets. */
void
Hs_Destroy(struct hs_server *server)
{
    if (server != NULL) {
        TAILQ_REMOVE(&servers, server, link);
        free(server);
    }
}

/* The method in upper case. */
const char *
Hs_Method(const struct hs_request *request)
{
    return request->method;
}

/* The decoded path without the query. */
const char *
Hs_Path(const struct hs_request *request)
{
    return request->path;
}

/* Percent-encodes what may not stand in a path or query as it is. */
static size_t
encode(const char *text, const char *keep, char *out, size_t size)
{
    static const char hex[] = "0123456789ABCDEF";
    size_t n = 0;
    for (; *text != '\0' && n + 4 < size; text++) {
        unsigned char c = (unsigned char)*text;
        if (isalnum(c) || strchr(keep, c) != NULL) {
            out[n++] = (char)c;
            continue;
        }
        out[n++] = '%';
        out[n++] = hex[c >> 4];
        out[n++] = hex[c & 15];
    }
    out[n] = '\0';
    return *text == '\0' ? n : size;
}

/*
 * The path and query as they are sent on to an endpoint.  The library has
 * decoded both; a "&" that was encoded within a query value cannot be told
 * from a separator any more.  False when it does not fit.
 */
bool
Hs_Target(const struct hs_request *request, char *out, size_t size)
{
    size_t n = encode(request->path, "/-._~!$'()*+,;:@=&", out, size);
    if (n >= size || request->query[0] == '\0') {
        return n < size;
    }
    if (n + 2 >= size) {
        return false;
    }
    out[n++] = '?';
    return encode(request->query, "/?-._~!$'()*,;:@=&", out + n, size - n) <
           size - n;
}

/* A kept header by its lower-case name, or NULL. */
const char *
Hs_Header(const struct hs_request *request, const char *name)
{
    const char *const *names = request->server->headers;
    for (size_t i = 0; names != NULL && names[i] != NULL && i < Hs_HEADERS_MAX;
         i++) {
        if (strcmp(names[i], name) == 0) {
            return request->values[i];
        }
    }
    return NULL;
}

/* Copies one query argument; false when it is missing or too long. */
bool
Hs_Query(const struct hs_request *request, const char *name, char *out,
         size_t size)
{
    size_t name_len = strlen(name);
    const char *at = request->query;
    while (at != NULL && *at != '\0') {
        if (strncmp(at, name, name_len) == 0 && at[name_len] == '=') {
            const char *value = at + name_len + 1;
            size_t len = strcspn(value, "&");
            if (len >= size) {
                return false;
            }
            memcpy(out, value, len);
            out[len] = '\0';
            return true;
        }
        at = strchr(at, '&');
        at = at != NULL ? at + 1 : NULL;
    }
    return false;
}

/* The body, NUL-terminated; an empty string when there is none. */
const char *
Hs_Body(const struct hs_request *request, size_t *len)
{
    if (len != NULL) {
        *len = request->body_len;
    }
    return request->body != NULL ? request->body : "";
}

/* Keeps a pointer of the handler with the request. */
void
Hs_SetUser(struct hs_request *request, void *user)
{
    request->user = user;
}

/* The pointer given to Hs_SetUser(), NULL before. */
void *
Hs_User(const struct hs_request *request)
{
    return request->user;
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
    if (request->out_len + len > request->out_size) {
        size_t size = (request->out_len + len) * 2;
        unsigned char *grown = realloc(request->out, size);
        if (grown == NULL) {
            abort();
        }
        request->out = grown;
        request->out_size = size;
    }
    memcpy(request->out + request->out_start + request->out_len, data, len);
    request->out_len += len;
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
        abort();
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

/* Answers whole.  The request must not be used afterwards. */
void
Hs_Reply(struct hs_request *request, int code, const char *type,
         const struct web_header *headers, size_t header_count,
         const void *body, size_t len)
{
    char length[32];
    snprintf(length, sizeof(length), "%zu", len);
    build_head(request, code, type, headers, header_count, length);
    if (len > 0) {
        append(request, body, len);
    }
    request->ended = true;
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
    lws_set_opaque_user_data(request->wsi, NULL);
    lws_set_timeout(request->wsi, PENDING_TIMEOUT_CLOSE_SEND,
                    LWS_TO_KILL_ASYNC);
    request_free(request);
}
