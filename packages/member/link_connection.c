/* A TCP connection between daemons: hello, sending and receiving frames. */
#include <arpa/inet.h>
#include <bsd/stdlib.h>
#include <bsd/string.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "member/address.h"
#include "member/link.h"
#include "member/link_internal.h"

#define Lk_BACKLOG 512
#define Lk_READ_BYTES 16384 /* free space for each read */
#define Lk_PORT "peers"     /* in the ledger */
#define Lk_ACCEPTS 64       /* connections accepted per loop iteration */

static void
free_frames(struct lk_connection *connection)
{
    struct lk_frame *frame;
    struct lk_frame *next;
    TAILQ_FOREACH_SAFE (frame, &connection->frames, link, next) {
        lk_unqueue(connection, frame);
    }
}

/*
 * Closes a connection and ends its calls in flight.  The timer frees the
 * connection later, since one of its event handlers may be running now.
 */
void
lk_close(struct lk_connection *connection)
{
    if (connection->closed) {
        return;
    }
    struct lk_links *links = connection->links;
    connection->closed = true;
    Lg_Leave(&connection->holder);
    TAILQ_REMOVE(&links->connections, connection, link);
    TAILQ_INSERT_TAIL(&links->closed, connection, link);
    links->connection_count--;
    Lp_WatchDestroy(connection->watch);
    connection->watch = NULL;
    free_frames(connection);
    lk_connection_lost(connection);
    lk_arm(links);
}

static void
deny(struct lk_connection *connection)
{
    connection->links->counters.denied++;
    lk_close(connection);
}

static size_t
read_length(const uint8_t *bytes)
{
    size_t len = 0;
    for (int i = 0; i < Wr_FRAME_HEAD_BYTES; i++) {
        len = len << 8 | bytes[i];
    }
    return len;
}

static void
frame_sent(struct lk_connection *connection, struct lk_frame *frame)
{
    connection->links->counters.frames_out++;
    lk_unqueue(connection, frame);
}

/*
 * Sends queued frames until the socket would block.  May close the connection.
 */
void
lk_flush(struct lk_connection *connection)
{
    struct lk_frame *frame;
    if (connection->closed || !connection->connected) {
        return;
    }
    while ((frame = lk_next_frame(connection)) != NULL) {
        if (!frame->sealed && !lk_seal(connection, frame)) {
            lk_close(connection);
            return;
        }
        size_t left = lk_frame_bytes(frame) - frame->sent;
        ssize_t sent = send(connection->fd, frame->bytes + frame->sent, left,
                            MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent < 0 && (errno == EAGAIN || errno == EINTR)) {
            Lp_WatchWritable(connection->watch);
            return;
        }
        if (sent < 0) {
            lk_close(connection);
            return;
        }
        if (frame->call != NULL) {
            frame->call->maybe_sent = true;
        }
        frame->sent += (size_t)sent;
        connection->links->counters.bytes_out += (size_t)sent;
        if ((size_t)sent == left) {
            frame_sent(connection, frame);
        }
    }
}

static enum st_status
queue_hello(struct lk_connection *connection)
{
    arc4random_buf(connection->nonce, sizeof(connection->nonce));
    struct wr_frame hello = {.kind = WR_HELLO,
                             .payload = connection->nonce,
                             .len = sizeof(connection->nonce)};
    strlcpy(hello.name, connection->links->node, sizeof(hello.name));
    return lk_queue(connection, &hello, NULL);
}

/*
 * Handles the hello of the peer.  A hello with the nonce of this node is its
 * own hello reflected by an attacker; accepting it would make the frames of
 * this node pass as frames of the peer.
 */
static void
on_hello(struct lk_connection *connection, const struct wr_frame *frame)
{
    if (frame->kind != WR_HELLO || frame->len != Wr_NONCE_BYTES ||
        memcmp(frame->payload, connection->nonce, Wr_NONCE_BYTES) == 0) {
        deny(connection);
        return;
    }
    memcpy(connection->peer_nonce, frame->payload, Wr_NONCE_BYTES);
    strlcpy(connection->node, frame->name, sizeof(connection->node));
    connection->ready = true;
    Lg_SetPhase(&connection->holder, YD_SERVING);
    lk_flush(connection);
}

static void
on_frame(struct lk_connection *connection, const uint8_t *body, size_t len)
{
    struct wr_frame frame;
    if (!lk_check_mac(connection, body, len) ||
        Wr_UnpackFrame(body, len, &frame) != ST_OK) {
        deny(connection);
        return;
    }
    connection->links->counters.frames_in++;
    connection->used_usec = Ck_Now(connection->links->clock);
    if (!connection->ready) {
        on_hello(connection, &frame);
    }
    else if (frame.kind == WR_ANSWER && connection->outgoing) {
        lk_on_answer(connection, &frame);
    }
    else if (frame.kind == WR_REQUEST && !connection->outgoing) {
        lk_on_request(connection, &frame);
    }
    else {
        deny(connection);
    }
}

/* Processes every complete frame in the input buffer. */
static void
process_input(struct lk_connection *connection)
{
    size_t offset = 0;
    while (!connection->closed &&
           connection->in_len - offset >= Wr_FRAME_HEAD_BYTES) {
        size_t len = read_length(connection->in + offset);
        size_t max_len = connection->ready ? Wr_FRAME_MAX : Lk_HELLO_MAX;
        if (len > max_len) {
            deny(connection);
            return;
        }
        size_t frame_len = Wr_FRAME_HEAD_BYTES + len + Wr_MAC_BYTES;
        if (connection->in_len - offset < frame_len) {
            break;
        }
        on_frame(connection, connection->in + offset + Wr_FRAME_HEAD_BYTES,
                 len);
        offset += frame_len;
    }
    if (!connection->closed && offset > 0) {
        memmove(connection->in, connection->in + offset,
                connection->in_len - offset);
        connection->in_len -= offset;
    }
}

static bool
reserve_input(struct lk_connection *connection)
{
    /* Nobody gets more than a hello's room who has not shown the key. */
    size_t wanted =
        connection->ready ? connection->in_len + Lk_READ_BYTES : Lk_HELLO_ROOM;
    if (wanted <= connection->in_max) {
        return connection->in_len < connection->in_max;
    }
    size_t room = connection->ready ? 2 * wanted : wanted;
    uint8_t *in = realloc(connection->in, room);
    if (in == NULL) {
        return false;
    }
    connection->in = in;
    connection->in_max = room;
    Lg_Set(&connection->holder, LG_BODY, room);
    return true;
}

static void
release_input(struct lk_connection *connection)
{
    if (!connection->closed && connection->in_len == 0) {
        free(connection->in);
        connection->in = NULL;
        connection->in_max = 0;
        Lg_Set(&connection->holder, LG_BODY, 0);
    }
}

static void
on_readable(void *arg)
{
    struct lk_connection *connection = arg;
    if (!reserve_input(connection)) {
        lk_close(connection);
        return;
    }
    ssize_t received =
        recv(connection->fd, connection->in + connection->in_len,
             connection->in_max - connection->in_len, MSG_DONTWAIT);
    if (received < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (received <= 0) {
        lk_close(connection);
        return;
    }
    connection->in_len += (size_t)received;
    connection->links->counters.bytes_in += (size_t)received;
    process_input(connection);
    release_input(connection);
}

static void
on_writable(void *arg)
{
    struct lk_connection *connection = arg;
    if (!connection->connected) {
        int error = 0;
        socklen_t len = sizeof(error);
        if (getsockopt(connection->fd, SOL_SOCKET, SO_ERROR, &error, &len) !=
                0 ||
            error != 0) {
            lk_close(connection);
            return;
        }
        connection->connected = true;
    }
    lk_flush(connection);
}

static void
on_closed(void *arg)
{
    lk_close(arg);
}

static const struct lp_watch_ops connection_ops = {on_readable, on_writable,
                                                   on_closed};

/* Creates a connection for a socket.  On failure the socket is closed. */
static enum st_status
add_connection(struct lk_links *links, int fd, bool outgoing,
               struct lk_connection **out)
{
    int on = 1;
    struct lk_connection *connection = calloc(1, sizeof(*connection));
    if (connection == NULL || links->connection_count >= Lk_CONNECTIONS_MAX) {
        free(connection);
        close(fd);
        return St_Fail(ST_OVERLOAD, "too many connections between daemons");
    }
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    connection->links = links;
    connection->fd = fd;
    connection->outgoing = outgoing;
    connection->connected = !outgoing;
    connection->created_usec = Ck_Now(links->clock);
    connection->used_usec = connection->created_usec;
    TAILQ_INIT(&connection->frames);
    connection->watch =
        Lp_WatchCreate(links->loop, fd, &connection_ops, connection);
    if (connection->watch == NULL) {
        free(connection);
        close(fd);
        return St_Fail(ST_NO_MEMORY, "no memory to watch a connection");
    }
    TAILQ_INSERT_TAIL(&links->connections, connection, link);
    links->connection_count++;
    enum st_status status = queue_hello(connection);
    if (status != ST_OK) {
        lk_close(connection);
        return status;
    }
    Lp_WatchWritable(connection->watch);
    *out = connection;
    return ST_OK;
}

/*
 * Starts a connection.  A connection that fails later is closed, which ends
 * its calls.
 */
enum st_status
lk_connect(struct lk_links *links, const struct mb_endpoint *to,
           struct lk_connection **out)
{
    struct sockaddr_storage address;
    socklen_t len = Ad_ToSocket(to, &address);
    if (len == 0) {
        return St_Fail(ST_INVALID, "%s is no IP number", to->address);
    }
    int fd = socket(address.ss_family,
                    SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return St_Fail(ST_UNAVAILABLE, "socket: %s", strerror(errno));
    }
    if (connect(fd, (struct sockaddr *)&address, len) != 0 &&
        errno != EINPROGRESS) {
        close(fd);
        return St_Fail(ST_UNAVAILABLE, "connect to %s port %d: %s",
                       to->address, to->port, strerror(errno));
    }
    enum st_status status = add_connection(links, fd, true, out);
    if (status == ST_OK) {
        (*out)->peer = *to;
    }
    return status;
}

static void
on_yield(void *arg, enum lg_why why)
{
    (void)why;
    lk_close(arg);
}

static void
account(struct lk_connection *connection)
{
    struct lg_holder *holder = &connection->holder;
    holder->fd = connection->fd;
    holder->port = Lk_PORT;
    holder->yield = on_yield;
    holder->arg = connection;
    Lg_Join(connection->links->ledger, holder);
    Lg_SetPhase(holder, YD_READING);
    Lg_Set(holder, LG_CONNECTION, sizeof(*connection));
}

static void
on_acceptable(void *arg)
{
    struct lk_links *links = arg;
    for (int i = 0; i < Lk_ACCEPTS; i++) {
        int fd = accept4(links->listener_fd, NULL, NULL,
                         SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0) {
            return;
        }
        if (!Lg_TakesConnection(links->ledger, Lk_PORT, fd)) {
            close(fd);
            continue;
        }
        struct lk_connection *connection = NULL;
        if (add_connection(links, fd, false, &connection) == ST_OK &&
            connection != NULL) {
            account(connection);
            lk_arm(links);
        }
    }
}

static void
on_listener_closed(void *arg)
{
    struct lk_links *links = arg;
    Lp_WatchDestroy(links->listener);
    links->listener = NULL;
}

static const struct lp_watch_ops listener_ops = {on_acceptable, NULL,
                                                 on_listener_closed};

/* Listens for other daemons; port 0 selects any free port. */
enum st_status
lk_listen(struct lk_links *links, const char *address, uint16_t port)
{
    int on = 1;
    struct sockaddr_storage bind_address;
    struct mb_endpoint endpoint = {.port = port};
    strlcpy(endpoint.address, address, sizeof(endpoint.address));
    socklen_t len = Ad_ToSocket(&endpoint, &bind_address);
    if (len == 0) {
        return St_Fail(ST_INVALID, "%s is no IP number", address);
    }
    int fd = socket(bind_address.ss_family,
                    SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return St_Fail(ST_UNAVAILABLE, "socket: %s", strerror(errno));
    }
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(fd, (struct sockaddr *)&bind_address, len) != 0 ||
        listen(fd, Lk_BACKLOG) != 0) {
        close(fd);
        return St_Fail(ST_UNAVAILABLE,
                       "listening on %s port %d: %s; choose another peer port",
                       address, port, strerror(errno));
    }
    links->port = Ad_LocalPort(fd);
    links->listener_fd = fd;
    links->listener = Lp_WatchCreate(links->loop, fd, &listener_ops, links);
    if (links->listener == NULL) {
        close(fd);
        return St_Fail(ST_NO_MEMORY, "no memory to watch a socket");
    }
    return ST_OK;
}
