/*
 * Forwards connections.  Each way of a connection has a queue of chunks with
 * the time from which they may be sent; a full queue stops the reading.
 */
#include <bsd/sys/queue.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "standins/proxy.h"

#define READ_BYTES 16384
#define QUEUE_MAX ((size_t)256 << 10)
#define SLOW_USEC (10 * Ck_USEC_PER_MSEC)
#define BACKLOG 512

struct chunk {
    STAILQ_ENTRY(chunk) link;
    int64_t due;
    size_t len;
    size_t sent;
    char data[];
};

struct tcp_link;

/* One way: read at one end, written at the other. */
struct way {
    struct tcp_link *link;
    enum px_way index;
    STAILQ_HEAD(chunks, chunk) chunks;
    size_t queued;
    int64_t forwarded;
    bool end_read; /* the sender has closed */
    bool end_sent; /* and the receiver knows */
    bool paused;
    struct lp_timer *timer;
};

/* One socket: the sender of its way, the receiver of the other. */
struct end {
    struct tcp_link *link;
    enum px_way index;
    int fd;
    struct lp_watch *watch;
};

struct tcp_link {
    LIST_ENTRY(tcp_link) link;
    struct px_tcp *tcp;
    bool connected;
    struct end ends[PX_WAYS];
    struct way ways[PX_WAYS];
};

struct px_tcp {
    struct px_proxy *proxy;
    int held_fd; /* keeps the port from others while nobody listens */
    struct lp_watch *listener;
    int listen_fd;
    LIST_HEAD(links, tcp_link) links;
};

static void
chunks_free(struct way *way)
{
    struct chunk *chunk;
    while ((chunk = STAILQ_FIRST(&way->chunks)) != NULL) {
        STAILQ_REMOVE_HEAD(&way->chunks, link);
        free(chunk);
    }
}

static void
link_close(struct tcp_link *link)
{
    LIST_REMOVE(link, link);
    link->tcp->proxy->counts.open--;
    for (int i = 0; i < PX_WAYS; i++) {
        Lp_WatchDestroy(link->ends[i].watch);
        Lp_TimerDestroy(link->ways[i].timer);
        chunks_free(&link->ways[i]);
    }
    free(link);
}

/* Closes so that both sides see a reset, not an orderly end. */
static void
link_reset(struct tcp_link *link)
{
    struct linger linger = {.l_onoff = 1, .l_linger = 0};
    for (int i = 0; i < PX_WAYS; i++) {
        if (link->ends[i].watch != NULL) {
            setsockopt(link->ends[i].fd, SOL_SOCKET, SO_LINGER, &linger,
                       sizeof(linger));
        }
    }
    link->tcp->proxy->counts.resets++;
    link_close(link);
}

static const struct px_way_faults *
way_faults(const struct way *way)
{
    return &way->link->tcp->proxy->faults.ways[way->index];
}

static struct end *
receiver(const struct way *way)
{
    return &way->link->ends[way->index == PX_UP ? PX_DOWN : PX_UP];
}

static struct end *
sender(const struct way *way)
{
    return &way->link->ends[way->index];
}

static void
pause_reading(struct way *way, bool pause)
{
    if (way->paused != pause && sender(way)->watch != NULL) {
        way->paused = pause;
        Lp_WatchPause(sender(way)->watch, pause);
    }
}

/* Bytes of a chunk that the faults let pass now. */
static size_t
allowed(const struct way *way, const struct chunk *chunk)
{
    const struct px_way_faults *faults = way_faults(way);
    size_t n = chunk->len - chunk->sent;
    if (faults->slow_bytes > 0 && n > (size_t)faults->slow_bytes) {
        n = (size_t)faults->slow_bytes;
    }
    if (faults->reset_after > 0) {
        int64_t left = faults->reset_after - way->forwarded;
        if (left < (int64_t)n) {
            n = left > 0 ? (size_t)left : 0;
        }
    }
    return n;
}

static void
count_sent(struct way *way, struct chunk *chunk, size_t sent)
{
    chunk->sent += sent;
    way->queued -= sent;
    way->forwarded += (int64_t)sent;
    way->link->tcp->proxy->counts.bytes[way->index] += (int64_t)sent;
    if (chunk->sent == chunk->len) {
        STAILQ_REMOVE_HEAD(&way->chunks, link);
        free(chunk);
    }
}

enum sending {
    SENDING_GOES_ON,
    SENDING_WAITS,
    SENDING_FAILED,
};

static enum sending
send_chunk(struct way *way, struct chunk *chunk)
{
    const struct px_way_faults *faults = way_faults(way);
    int64_t now = Ck_Now(Ck_System());
    if (chunk->due > now) {
        Lp_TimerSet(way->timer, chunk->due - now);
        return SENDING_WAITS;
    }
    size_t n = allowed(way, chunk);
    if (n == 0) {
        return SENDING_FAILED;
    }
    ssize_t sent = send(receiver(way)->fd, chunk->data + chunk->sent, n,
                        MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent < 0 && (errno == EAGAIN || errno == EINTR)) {
        Lp_WatchWritable(receiver(way)->watch);
        return SENDING_WAITS;
    }
    if (sent < 0) {
        return SENDING_FAILED;
    }
    count_sent(way, chunk, (size_t)sent);
    if (faults->reset_after > 0 && way->forwarded >= faults->reset_after) {
        return SENDING_FAILED;
    }
    if (faults->slow_bytes > 0) {
        Lp_TimerSet(way->timer, SLOW_USEC);
        return SENDING_WAITS;
    }
    return SENDING_GOES_ON;
}

/* Tells the receiver that the sender has ended, once all is forwarded. */
static void
send_end(struct way *way)
{
    bool ended = way->end_read || way_faults(way)->half_close;
    if (ended && !way->end_sent && STAILQ_EMPTY(&way->chunks)) {
        shutdown(receiver(way)->fd, SHUT_WR);
        way->end_sent = true;
    }
}

/* Forwards what may go now; false when that ended the connection. */
static bool
pump(struct way *way)
{
    struct tcp_link *link = way->link;
    if (!link->connected || way_faults(way)->blackhole) {
        return true;
    }
    enum sending state = SENDING_GOES_ON;
    struct chunk *chunk;
    while (state == SENDING_GOES_ON &&
           (chunk = STAILQ_FIRST(&way->chunks)) != NULL) {
        state = send_chunk(way, chunk);
    }
    if (state == SENDING_FAILED) {
        link_reset(link);
        return false;
    }
    send_end(way);
    pause_reading(way, way->end_read || way->queued >= QUEUE_MAX);
    if (link->ways[PX_UP].end_sent && link->ways[PX_DOWN].end_sent) {
        link_close(link);
        return false;
    }
    return true;
}

static void
timer_fired(void *arg)
{
    pump(arg);
}

static void
enqueue(struct way *way, const char *data, size_t len)
{
    if (way->end_sent) {
        return;
    }
    struct chunk *chunk = malloc(sizeof(*chunk) + len);
    if (chunk == NULL) {
        abort();
    }
    chunk->due = Ck_Now(Ck_System()) + way_faults(way)->delay_usec;
    chunk->len = len;
    chunk->sent = 0;
    memcpy(chunk->data, data, len);
    STAILQ_INSERT_TAIL(&way->chunks, chunk, link);
    way->queued += len;
}

static void
end_readable(void *arg)
{
    struct end *end = arg;
    struct way *way = &end->link->ways[end->index];
    char data[READ_BYTES];
    ssize_t got = recv(end->fd, data, sizeof(data), MSG_DONTWAIT);
    if (got < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (got < 0) {
        link_reset(end->link);
        return;
    }
    if (got == 0) {
        way->end_read = true;
    }
    else {
        enqueue(way, data, (size_t)got);
    }
    pause_reading(way, way->end_read || way->queued >= QUEUE_MAX);
    pump(way);
}

static bool
connect_ended(struct tcp_link *link)
{
    int error = 0;
    socklen_t len = sizeof(error);
    getsockopt(link->ends[PX_DOWN].fd, SOL_SOCKET, SO_ERROR, &error, &len);
    if (error != 0) {
        link_reset(link);
        return false;
    }
    link->connected = true;
    return pump(&link->ways[PX_DOWN]);
}

static void
end_writable(void *arg)
{
    struct end *end = arg;
    struct tcp_link *link = end->link;
    if (!link->connected && !connect_ended(link)) {
        return;
    }
    pump(&link->ways[end->index == PX_UP ? PX_DOWN : PX_UP]);
}

/* Both sides of the socket are shut, or it failed. */
static void
end_closed(void *arg)
{
    struct end *end = arg;
    Lp_WatchDestroy(end->watch);
    end->watch = NULL;
    link_reset(end->link);
}

static const struct lp_watch_ops end_ops = {
    .readable = end_readable,
    .writable = end_writable,
    .closed = end_closed,
};

static void
end_open(struct tcp_link *link, enum px_way index, int fd)
{
    struct end *end = &link->ends[index];
    end->link = link;
    end->index = index;
    end->fd = fd;
    end->watch = Lp_WatchCreate(link->tcp->proxy->loop, fd, &end_ops, end);
    if (end->watch == NULL) {
        abort();
    }
}

static int
connect_target(const struct px_proxy *proxy)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return -1;
    }
    if (connect(fd, (const struct sockaddr *)&proxy->target,
                sizeof(proxy->target)) != 0 &&
        errno != EINPROGRESS) {
        close(fd);
        return -1;
    }
    return fd;
}

static void
way_open(struct tcp_link *link, enum px_way index)
{
    struct way *way = &link->ways[index];
    way->link = link;
    way->index = index;
    STAILQ_INIT(&way->chunks);
    way->timer = Lp_TimerCreate(link->tcp->proxy->loop, timer_fired, way);
}

static void
link_open(struct px_tcp *tcp, int client_fd, int target_fd)
{
    struct tcp_link *link = calloc(1, sizeof(*link));
    if (link == NULL) {
        abort();
    }
    link->tcp = tcp;
    LIST_INSERT_HEAD(&tcp->links, link, link);
    tcp->proxy->counts.open++;
    way_open(link, PX_UP);
    way_open(link, PX_DOWN);
    end_open(link, PX_UP, client_fd);
    end_open(link, PX_DOWN, target_fd);
    Lp_WatchWritable(link->ends[PX_DOWN].watch);
}

static void
close_reset(int fd)
{
    struct linger linger = {.l_onoff = 1, .l_linger = 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
    close(fd);
}

static void
listener_readable(void *arg)
{
    struct px_tcp *tcp = arg;
    int client =
        accept4(tcp->listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (client < 0) {
        return;
    }
    tcp->proxy->counts.connections++;
    int target = -1;
    if (!tcp->proxy->faults.cut) {
        target = connect_target(tcp->proxy);
    }
    if (target < 0) {
        tcp->proxy->counts.resets++;
        close_reset(client);
        return;
    }
    link_open(tcp, client, target);
}

static void
listener_closed(void *arg)
{
    struct px_tcp *tcp = arg;
    Lp_WatchDestroy(tcp->listener);
    tcp->listener = NULL;
}

static const struct lp_watch_ops listener_ops = {
    .readable = listener_readable,
    .closed = listener_closed,
};

/* A socket at the proxy's address, whose port is set in it; -1: no port. */
static int
bind_socket(struct px_proxy *proxy)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    int on = 1;
    socklen_t len = sizeof(proxy->listen);
    struct sockaddr *address = (struct sockaddr *)&proxy->listen;
    if (fd < 0 ||
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) != 0 ||
        bind(fd, address, len) != 0 || getsockname(fd, address, &len) != 0) {
        if (fd >= 0) {
            close(fd);
        }
        return -1;
    }
    return fd;
}

static enum st_status
listen_again(struct px_tcp *tcp)
{
    struct px_proxy *proxy = tcp->proxy;
    int fd = bind_socket(proxy);
    if (fd < 0 || listen(fd, BACKLOG) != 0) {
        if (fd >= 0) {
            close(fd);
        }
        return St_Fail(ST_INVALID, "cannot listen; choose a free port");
    }
    tcp->listen_fd = fd;
    tcp->listener = Lp_WatchCreate(proxy->loop, fd, &listener_ops, tcp);
    return tcp->listener != NULL ? ST_OK : St_Fail(ST_NO_MEMORY, "no watch");
}

/* Starts to listen and sets the port in the proxy's address. */
enum st_status
Px_TcpCreate(struct px_proxy *proxy, struct px_tcp **out)
{
    struct px_tcp *tcp = calloc(1, sizeof(*tcp));
    if (tcp == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for the proxy");
    }
    tcp->proxy = proxy;
    LIST_INIT(&tcp->links);
    tcp->held_fd = bind_socket(proxy);
    if (tcp->held_fd < 0) {
        free(tcp);
        return St_Fail(ST_INVALID, "cannot listen; choose a free port");
    }
    enum st_status status = listen_again(tcp);
    if (status != ST_OK) {
        close(tcp->held_fd);
        free(tcp);
        return status;
    }
    *out = tcp;
    return ST_OK;
}

/* Closes every connection; call it before the loop is destroyed. */
void
Px_TcpDestroy(struct px_tcp *tcp)
{
    struct tcp_link *link;
    struct tcp_link *next;
    LIST_FOREACH_SAFE (link, &tcp->links, link, next) {
        link_close(link);
    }
    Lp_WatchDestroy(tcp->listener);
    close(tcp->held_fd);
    free(tcp);
}

static void
apply_to_link(struct tcp_link *link)
{
    if (link->tcp->proxy->faults.cut) {
        link_reset(link);
        return;
    }
    if (pump(&link->ways[PX_UP])) {
        pump(&link->ways[PX_DOWN]);
    }
}

/*
 * Puts changed faults in force for open connections; what a blackhole held
 * back goes out once it is lifted, as a network's repeated segments would.
 */
void
Px_TcpApply(struct px_tcp *tcp)
{
    bool refuse = tcp->proxy->faults.refuse;
    if (refuse && tcp->listener != NULL) {
        shutdown(tcp->listen_fd, SHUT_RD);
        Lp_WatchDestroy(tcp->listener);
        tcp->listener = NULL;
    }
    if (!refuse && tcp->listener == NULL) {
        listen_again(tcp);
    }
    struct tcp_link *link;
    struct tcp_link *next;
    LIST_FOREACH_SAFE (link, &tcp->links, link, next) {
        apply_to_link(link);
    }
}
