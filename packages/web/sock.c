#include "web/sock.h"

#include <arpa/inet.h>
#include <bsd/stdlib.h>
#include <bsd/string.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"

#define Sk_READ_BYTES 65536
/* Read from one connection before the others have their turn. */
#define Sk_TURN_BYTES (4 * (size_t)Sk_READ_BYTES)
#define Sk_ADDRESS_MAX 64
/* Of the buffer for bytes to send, while there are none. */
#define Sk_KEPT_BYTES 4096
/*
 * A peer without power sends neither data nor a reset.  Probes after two
 * seconds of silence, and a limit on unacknowledged data, end such a
 * connection in four seconds; a request waiting on it could not be answered
 * later than that in any case.  The limit also decides when probes give up,
 * whatever their count, so it is the time that they take.
 */
#define Sk_PROBE_IDLE_SEC 2
#define Sk_PROBE_EVERY_SEC 1
#define Sk_PROBE_COUNT 2
#define Sk_UNACKED_MSEC                                                       \
    (1000 * (Sk_PROBE_IDLE_SEC + Sk_PROBE_COUNT * Sk_PROBE_EVERY_SEC))
/* How long a finished connection is read so that its end is not a reset. */
#define Sk_LINGER_USEC (1 * Ck_USEC_PER_SEC)
/* How long the other side of a finished connection may take no byte. */
#define Sk_STALL_USEC (4 * Ck_USEC_PER_SEC)

struct sk_sock {
    struct lp_loop *loop;
    struct lp_watch *watch;
    struct lp_timer *linger;
    const struct sk_ops *ops;
    void *arg;
    int fd;
    struct lp_later later;
    bool connecting;
    bool dead;     /* Sk_Close() was called */
    bool broken;   /* "closed" was told */
    bool finished; /* Sk_Finish() was called */
    bool shut;     /* our direction is closed */
    bool sent;
    bool paused;
    bool overrun; /* without room for what was written: it breaks off */
    struct lp_later breaking;
    char *out;
    size_t out_start;
    size_t out_len;
    size_t out_size;
    size_t stalled_len; /* out_len when the linger timer was set */
    struct lg_holder holder;
};

/* Reads "IP:PORT".  ST_INVALID names the text. */
enum st_status
Sk_Address(const char *text, struct sockaddr_in *out)
{
    char ip[Sk_ADDRESS_MAX];
    const char *colon = strrchr(text, ':');
    if (colon == NULL || (size_t)(colon - text) >= sizeof(ip)) {
        return St_Fail(ST_INVALID, "address '%s' is not IP:PORT", text);
    }
    memcpy(ip, text, (size_t)(colon - text));
    ip[colon - text] = '\0';
    const char *problem = NULL;
    long long port = strtonum(colon + 1, 0, UINT16_MAX, &problem);
    memset(out, 0, sizeof(*out));
    out->sin_family = AF_INET;
    out->sin_port = htons((uint16_t)port);
    if (problem != NULL || inet_pton(AF_INET, ip, &out->sin_addr) != 1) {
        return St_Fail(ST_INVALID, "address '%s' is not IP:PORT", text);
    }
    return ST_OK;
}

static void
release(void *arg)
{
    struct sk_sock *sock = arg;
    free(sock->out);
    free(sock);
}

static void
tell_closed(struct sk_sock *sock, bool clean)
{
    if (sock->broken || sock->dead) {
        return;
    }
    sock->broken = true;
    if (sock->watch != NULL) {
        Lp_WatchDestroy(sock->watch);
        sock->watch = NULL;
    }
    if (sock->finished) {
        Sk_Close(sock);
        return;
    }
    sock->ops->closed(sock->arg, clean);
}

/* Waits until what is buffered has left, or bytes have stopped to leave. */
static void
set_linger(struct sk_sock *sock)
{
    sock->stalled_len = sock->out_len;
    Lp_TimerSet(sock->linger,
                sock->out_len == 0 ? Sk_LINGER_USEC : Sk_STALL_USEC);
}

static void
shut_when_empty(struct sk_sock *sock)
{
    if (sock->finished && !sock->shut && sock->out_len == 0) {
        sock->shut = true;
        shutdown(sock->fd, SHUT_WR);
        if (sock->linger != NULL) {
            set_linger(sock);
        }
    }
}

/* Frees what a large answer needed, once it has left. */
static void
trim(struct sk_sock *sock)
{
    sock->out_start = 0;
    if (sock->out_size > Sk_KEPT_BYTES) {
        free(sock->out);
        sock->out = NULL;
        sock->out_size = 0;
    }
}

static void
account(struct sk_sock *sock)
{
    Lg_Set(&sock->holder, LG_ANSWER, sock->out_size);
    Lg_SetUnread(&sock->holder, sock->out_len);
}

static bool
flush(struct sk_sock *sock)
{
    while (sock->out_len > 0) {
        ssize_t n = send(sock->fd, sock->out + sock->out_start, sock->out_len,
                         MSG_NOSIGNAL);
        if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            Lp_WatchWritable(sock->watch);
            return true;
        }
        if (n < 0 && errno == EINTR) {
            continue;
        }
        if (n <= 0) {
            return false;
        }
        sock->sent = true;
        sock->out_start += (size_t)n;
        sock->out_len -= (size_t)n;
    }
    trim(sock);
    account(sock);
    shut_when_empty(sock);
    return true;
}

/*
 * Reads what is there, but for a bounded number of bytes and only until the
 * owner pauses: the sender may be as fast as this loop.
 */
static void
on_readable(void *arg)
{
    struct sk_sock *sock = arg;
    static char buffer[Sk_READ_BYTES];
    size_t left = Sk_TURN_BYTES;
    while (!sock->dead && !sock->broken && !sock->paused && left > 0) {
        ssize_t n = recv(sock->fd, buffer, sizeof(buffer), 0);
        if (n < 0 && errno == EINTR) {
            continue;
        }
        if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            break;
        }
        if (n <= 0) {
            tell_closed(sock, n == 0);
            break;
        }
        if (!sock->finished) {
            sock->ops->data(sock->arg, buffer, (size_t)n);
        }
        left -= (size_t)n < left ? (size_t)n : left;
        if ((size_t)n < sizeof(buffer)) {
            break;
        }
    }
}

static bool
finish_connect(struct sk_sock *sock)
{
    int error = 0;
    socklen_t len = sizeof(error);
    getsockopt(sock->fd, SOL_SOCKET, SO_ERROR, &error, &len);
    if (error != 0) {
        tell_closed(sock, false);
        return false;
    }
    sock->connecting = false;
    if (sock->ops->connected != NULL) {
        sock->ops->connected(sock->arg);
    }
    return !sock->dead && !sock->broken;
}

static void
on_writable(void *arg)
{
    struct sk_sock *sock = arg;
    if (!sock->connecting || finish_connect(sock)) {
        bool had = sock->out_len > 0;
        if (!flush(sock)) {
            tell_closed(sock, false);
        }
        else if (had && sock->out_len == 0 && sock->ops->drained != NULL &&
                 !sock->finished) {
            sock->ops->drained(sock->arg);
        }
    }
}

/* The loop saw a hang-up; what is still unread is delivered first. */
static void
on_gone(void *arg)
{
    struct sk_sock *sock = arg;
    Lp_WatchDestroy(sock->watch);
    sock->watch = NULL;
    if (!sock->dead && !sock->broken) {
        tell_closed(sock, false);
    }
}

static const struct lp_watch_ops watch_ops = {
    .readable = on_readable,
    .writable = on_writable,
    .closed = on_gone,
};

static void
set_option(int fd, int level, int name, int value)
{
    setsockopt(fd, level, name, &value, sizeof(value));
}

static void
set_options(int fd)
{
    set_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
    set_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(fd, IPPROTO_TCP, TCP_KEEPIDLE, Sk_PROBE_IDLE_SEC);
    set_option(fd, IPPROTO_TCP, TCP_KEEPINTVL, Sk_PROBE_EVERY_SEC);
    set_option(fd, IPPROTO_TCP, TCP_KEEPCNT, Sk_PROBE_COUNT);
    set_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, Sk_UNACKED_MSEC);
}

/* Takes over an established, non-blocking descriptor. */
enum st_status
Sk_Adopt(struct lp_loop *loop, int fd, const struct sk_ops *ops, void *arg,
         struct sk_sock **out)
{
    struct sk_sock *sock = calloc(1, sizeof(*sock));
    if (sock == NULL) {
        close(fd);
        return St_Fail(ST_NO_MEMORY, "no memory for a connection");
    }
    set_options(fd);
    sock->loop = loop;
    sock->fd = fd;
    sock->ops = ops;
    sock->arg = arg;
    sock->watch = Lp_WatchCreate(loop, fd, &watch_ops, sock);
    if (sock->watch == NULL) {
        close(fd);
        free(sock);
        return St_Fail(ST_NO_MEMORY, "no memory for a connection");
    }
    *out = sock;
    return ST_OK;
}

/* Starts to connect; "connected" or "closed" follows, never from here. */
enum st_status
Sk_Connect(struct lp_loop *loop, const char *address, const struct sk_ops *ops,
           void *arg, struct sk_sock **out)
{
    struct sockaddr_in to;
    if (Sk_Address(address, &to) != ST_OK) {
        return ST_INVALID;
    }
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return St_Fail(ST_UNAVAILABLE, "no descriptor for a connection; "
                                       "raise the limit of open files");
    }
    if (connect(fd, (struct sockaddr *)&to, sizeof(to)) != 0 &&
        errno != EINPROGRESS) {
        close(fd);
        return St_Fail(ST_UNAVAILABLE, "connection to %s refused at once",
                       address);
    }
    enum st_status status = Sk_Adopt(loop, fd, ops, arg, out);
    if (status == ST_OK) {
        (*out)->connecting = true;
        Lp_WatchWritable((*out)->watch);
    }
    return status;
}

static void
on_yield(void *arg, enum lg_why why)
{
    struct sk_sock *sock = arg;
    if (sock->finished) {
        Sk_Reset(sock);
    }
    else if (sock->ops->yield != NULL) {
        sock->ops->yield(sock->arg, why);
    }
}

void
Sk_Account(struct sk_sock *sock, struct lg_ledger *ledger, const char *port)
{
    sock->holder.port = port;
    sock->holder.fd = sock->fd;
    sock->holder.yield = on_yield;
    sock->holder.arg = sock;
    Lg_Join(ledger, &sock->holder);
}

struct lg_holder *
Sk_Holder(struct sk_sock *sock)
{
    return &sock->holder;
}

void
Sk_SetOwner(struct sk_sock *sock, const struct sk_ops *ops, void *arg)
{
    sock->ops = ops;
    sock->arg = arg;
}

/* The other side shall see no end in order when the descriptor is closed. */
static void
set_reset(const struct sk_sock *sock)
{
    struct linger none = {.l_onoff = 1, .l_linger = 0};
    setsockopt(sock->fd, SOL_SOCKET, SO_LINGER, &none, sizeof(none));
}

static bool
reserve(struct sk_sock *sock, size_t len)
{
    if (sock->out_start + sock->out_len + len <= sock->out_size) {
        return true;
    }
    if (sock->out_start > 0) {
        memmove(sock->out, sock->out + sock->out_start, sock->out_len);
        sock->out_start = 0;
    }
    size_t size = sock->out_size == 0 ? 1024 : sock->out_size;
    while (size < sock->out_len + len) {
        size *= 2;
    }
    char *grown = Lg_MakeRoom(&sock->holder, size - sock->out_size)
                      ? realloc(sock->out, size)
                      : NULL;
    if (grown == NULL) {
        return false;
    }
    sock->out = grown;
    sock->out_size = size;
    return true;
}

/* Ends a connection to which not all could be written: never in order. */
static void
break_off(void *arg)
{
    struct sk_sock *sock = arg;
    if (!sock->dead && !sock->broken) {
        set_reset(sock);
        tell_closed(sock, false);
    }
}

/* Sends what can be sent now and keeps the rest. */
void
Sk_Write(struct sk_sock *sock, const void *data, size_t len)
{
    if (sock->dead || sock->broken || sock->finished || sock->overrun ||
        len == 0) {
        return;
    }
    if (sock->out_len == 0 && !sock->connecting) {
        ssize_t n = send(sock->fd, data, len, MSG_NOSIGNAL);
        if (n > 0) {
            sock->sent = true;
            data = (const char *)data + n;
            len -= (size_t)n;
        }
        /* A failed send shows again as a hang-up in the loop. */
    }
    if (len == 0) {
        return;
    }
    if (reserve(sock, len)) {
        memcpy(sock->out + sock->out_start + sock->out_len, data, len);
        sock->out_len += len;
        account(sock);
        Lp_WatchWritable(sock->watch);
    }
    else if (!sock->overrun) {
        sock->overrun = true;
        Lp_Later(sock->loop, &sock->breaking, break_off, sock);
    }
}

/* Bytes written that have not left yet. */
size_t
Sk_Pending(const struct sk_sock *sock)
{
    return sock->out_len;
}

/* Whether any byte has left: only without one is "not run" certain. */
bool
Sk_Sent(const struct sk_sock *sock)
{
    return sock->sent;
}

/* Stops or resumes reading. */
void
Sk_Pause(struct sk_sock *sock, bool pause)
{
    sock->paused = pause;
    if (sock->watch != NULL) {
        Lp_WatchPause(sock->watch, pause);
    }
}

/* Closes at once; no callback follows. */
void
Sk_Close(struct sk_sock *sock)
{
    if (sock == NULL || sock->dead) {
        return;
    }
    sock->dead = true;
    Lg_Leave(&sock->holder);
    if (sock->watch != NULL) {
        Lp_WatchDestroy(sock->watch);
        sock->watch = NULL;
    }
    Lp_TimerDestroy(sock->linger);
    sock->linger = NULL;
    Lp_Later(sock->loop, &sock->later, release, sock);
}

/* Closes at once, and the other side sees no end in order. */
void
Sk_Reset(struct sk_sock *sock)
{
    if (sock == NULL || sock->dead) {
        return;
    }
    if (sock->watch != NULL) {
        set_reset(sock);
    }
    Sk_Close(sock);
}

/* An end in order behind a part would make it look whole. */
static void
linger_over(void *arg)
{
    struct sk_sock *sock = arg;
    if (sock->stalled_len == 0) {
        Sk_Close(sock);
    }
    else if (sock->out_len == sock->stalled_len) {
        Sk_Reset(sock);
    }
    else {
        set_linger(sock);
    }
}

/*
 * Sends what is buffered, then ends the connection by itself; no callback
 * follows.  Closing with unread bytes would reset it, and the other side
 * could lose the answer; so it is read for a while after our end.
 */
void
Sk_Finish(struct sk_sock *sock)
{
    if (sock->dead || sock->finished) {
        return;
    }
    if (sock->broken) {
        Sk_Close(sock);
        return;
    }
    if (sock->overrun) {
        Sk_Reset(sock);
        return;
    }
    sock->finished = true;
    sock->paused = false;
    Lg_SetPhase(&sock->holder, YD_ENDING);
    Lp_WatchPause(sock->watch, false);
    shut_when_empty(sock);
    sock->linger = Lp_TimerCreate(sock->loop, linger_over, sock);
    if (sock->linger == NULL) {
        Sk_Close(sock);
        return;
    }
    set_linger(sock);
}
