/* Listening, connections, and their end. */
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>

#include "web/server_internal.h"

#define Hs_KEEPALIVE_SECS 60
#define Hs_RECEIVE_SECS 20

/* Every server of this process; see server_of(). */
static struct hs_servers servers = TAILQ_HEAD_INITIALIZER(servers);

/* Frees a request that no connection refers to any more. */
void
hs_request_free(struct hs_request *request)
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
static void
on_closed(struct hs_request *request)
{
    lws_set_opaque_user_data(request->wsi, NULL);
    request->wsi = NULL;
    if (request->dispatched && !request->ended) {
        request->server->ops->gone(request->server->arg, request);
    }
    hs_request_free(request);
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
        return request == NULL && server != NULL
                   ? hs_read_head(server, wsi, in)
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
        return hs_read_body(request, in, len);
    case LWS_CALLBACK_HTTP_BODY_COMPLETION:
        hs_end_body(request);
        return lws_get_opaque_user_data(wsi) == NULL ? -1 : 0;
    case LWS_CALLBACK_HTTP_WRITEABLE:
        return hs_write(request);
    case LWS_CALLBACK_CLOSED_HTTP:
        on_closed(request);
        return 0;
    default:
        return 0;
    }
}

static enum ls_take
on_accept(void *arg, int fd)
{
    struct hs_server *server = arg;
    /* On failure the library has closed the descriptor. */
    struct lws *wsi = lws_adopt_socket_vhost(server->vhost, fd);
    if (wsi == NULL) {
        return LS_LOST;
    }
    lws_set_opaque_user_data(wsi, &server->mark);
    server->fresh++;
    return LS_TAKEN;
}

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
    if (inet_pton(AF_INET, options->address, &at.sin_addr) != 1) {
        return St_Fail(ST_INVALID, "'%s' is no IP address to listen on",
                       options->address);
    }
    enum st_status status =
        Ls_Open(server->loop, &at, on_accept, server, &server->listener);
    if (status == ST_OK) {
        server->port = Ls_Port(server->listener);
        server->address = at.sin_addr;
    }
    return status;
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
 * Refuses new connections, in steps: to be called until it is true.  Those
 * that have begun are taken meanwhile, so that they are answered rather than
 * reset.
 */
bool
Hs_StopListening(struct hs_server *server, int64_t now,
                 struct ls_ending *ending)
{
    return Ls_End(server->listener, now, ending);
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
        Ls_Destroy(server->listener);
        free(server);
    }
}
