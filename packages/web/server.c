/* Listening, connections, and their end. */
#include <arpa/inet.h>
#include <linux/sockios.h>
#include <linux/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "web/server_internal.h"

#define Hs_KEEPALIVE_SECS 60
#define Hs_RECEIVE_SECS 20
/* About what a connection takes in the library. */
#define Hs_PLAIN_BYTES 8192
#define Hs_TLS_BYTES 65536

/* Frees a request that no connection refers to any more. */
void
hs_request_free(struct hs_request *request)
{
    struct lg_holder *holder = &request->connection->holder;
    for (size_t i = 0; i < Hs_HEADERS_MAX; i++) {
        free(request->values[i]);
    }
    Lg_Set(holder, LG_BODY, 0);
    Lg_Set(holder, LG_COPY, 0);
    Lg_Set(holder, LG_COMING, 0);
    Lg_Set(holder, LG_ANSWER, 0);
    Lg_SetUnread(holder, 0);
    request->connection->request = NULL;
    request->server->open--;
    Bf_Free(&request->body);
    free(request->head);
    free(request->out);
    free(request);
}

uint64_t
hs_read_bytes(const struct hs_connection *connection)
{
    int fd = lws_get_socket_fd(connection->wsi);
    struct tcp_info info = {0};
    socklen_t len = sizeof(info);
    int unread = 0;
    if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &len) != 0 ||
        ioctl(fd, SIOCINQ, &unread) != 0) {
        return 0;
    }
    return info.tcpi_bytes_received - (uint64_t)unread;
}

void
hs_set_phase(struct hs_request *request, enum yd_phase phase)
{
    Lg_SetPhase(&request->connection->holder, phase);
}

/* The caller has gone, or is given up. */
static void
lose_request(struct hs_connection *connection)
{
    struct hs_request *request = connection->request;
    if (request == NULL) {
        return;
    }
    request->wsi = NULL;
    if (request->dispatched && !request->ended) {
        request->server->ops->gone(request->server->arg, request);
    }
    hs_request_free(request);
}

void
hs_kill(struct hs_connection *connection)
{
    connection->killed = true;
    Lg_Leave(&connection->holder);
    lws_set_timeout(connection->wsi, PENDING_TIMEOUT_CLOSE_SEND,
                    LWS_TO_KILL_ASYNC);
}

/*
 * Gives up what is held for a connection.  A request that was read in part is
 * refused: it has not run.  An answer that is not taken is broken off.
 */
static void
on_yield(void *arg, enum lg_why why)
{
    struct hs_connection *connection = arg;
    struct hs_request *request = connection->request;
    if (why == LG_MEMORY && request != NULL && !request->dispatched) {
        hs_refuse_for_room(request);
        return;
    }
    lose_request(connection);
    hs_kill(connection);
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

/* The first request came, or never will. */
static void
end_fresh(struct hs_connection *connection)
{
    connection->server->fresh -= connection->fresh ? 1 : 0;
    connection->fresh = false;
}

static void
on_destroyed(struct hs_connection *connection)
{
    end_fresh(connection);
    lose_request(connection);
    Lg_Leave(&connection->holder);
    lws_set_opaque_user_data(connection->wsi, NULL);
    free(connection);
}

static int
take_event(struct hs_connection *connection, enum lws_callback_reasons reason,
           void *in, size_t len)
{
    struct hs_request *request = connection->request;
    if (reason == LWS_CALLBACK_HTTP) {
        end_fresh(connection);
        /* A second request before the first one's answer: not supported. */
        return request == NULL ? hs_read_head(connection, in) : -1;
    }
    if (request == NULL) {
        return reason == LWS_CALLBACK_HTTP_BODY ? -1 : 0;
    }
    switch (reason) {
    case LWS_CALLBACK_HTTP_BODY:
        return hs_read_body(request, in, len);
    case LWS_CALLBACK_HTTP_BODY_COMPLETION:
        return hs_end_body(request);
    case LWS_CALLBACK_HTTP_WRITEABLE:
        return hs_write(request);
    case LWS_CALLBACK_CLOSED_HTTP:
        lose_request(connection);
        return 0;
    default:
        return 0;
    }
}

static int
server_callback(struct lws *wsi, enum lws_callback_reasons reason, void *user,
                void *in, size_t len)
{
    struct hs_connection *connection =
        wsi != NULL ? lws_get_opaque_user_data(wsi) : NULL;
    if (connection != NULL && reason == LWS_CALLBACK_WSI_DESTROY) {
        on_destroyed(connection);
        return 0;
    }
    if (is_raw(reason)) {
        return -1;
    }
    if (connection == NULL) {
        return reason == LWS_CALLBACK_HTTP ? -1 : 0;
    }
    if (connection->killed) {
        return -1;
    }
    return take_event(connection, reason, in, len);
}

static enum ls_take
on_accept(void *arg, int fd)
{
    struct hs_server *server = arg;
    if (!Lg_TakesConnection(server->ledger, server->account, fd)) {
        close(fd);
        return LS_CLOSED;
    }
    struct hs_connection *connection = calloc(1, sizeof(*connection));
    if (connection == NULL) {
        close(fd);
        return LS_LOST;
    }
    connection->server = server;
    /* On failure the library has closed the descriptor. */
    connection->wsi = lws_adopt_socket_vhost(server->vhost, fd);
    if (connection->wsi == NULL) {
        free(connection);
        return LS_LOST;
    }
    lws_set_opaque_user_data(connection->wsi, connection);
    connection->fresh = true;
    server->fresh++;
    connection->holder.fd = fd;
    connection->holder.port = server->account;
    connection->holder.yield = on_yield;
    connection->holder.arg = connection;
    Lg_Join(server->ledger, &connection->holder);
    Lg_Set(&connection->holder, LG_CONNECTION, server->connection_bytes);
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
    }
    if (status == ST_OK && server->ledger != NULL) {
        Ls_SetBuffers(server->listener, Lg_SOCKET_BYTES);
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
    server->ledger = options->ledger;
    server->account = options->account;
    server->connection_bytes =
        options->tls_cert_file == NULL ? Hs_PLAIN_BYTES : Hs_TLS_BYTES;
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
        Ls_Destroy(server->listener);
        free(server);
    }
}
