#include "web/listening.h"

#include <arpa/inet.h>
#include <errno.h>
#include <linux/filter.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "web/halfopen.h"

#define Ls_BACKLOG 1024
#define Ls_ACCEPTS_AT_ONCE 64
/* Byte of a TCP header that holds the flags (RFC 9293, 3.1). */
#define Ls_TCP_FLAGS_OFFSET 13
/* An opening that was under way when openings were dropped shows by then. */
#define Ls_LEAST (10 * Ck_USEC_PER_MSEC)

struct ls_listener {
    struct lp_watch *watch;
    int fd;
    struct sockaddr_in at;
    ls_accept_fn fn;
    void *arg;
    size_t lost;
    int error;
    bool ending;
    int64_t ending_since;
    struct ls_ending end;
};

/*
 * Takes up to "most" connections, besides those that are closed unread: who
 * waits behind them would be read too late as well.  Returns how many.  True
 * in "empty" when none waits any more.
 */
static size_t
take(struct ls_listener *listener, size_t most, bool *empty)
{
    size_t count = 0;
    size_t closed = 0;
    *empty = false;
    while (count < most) {
        int fd =
            accept4(listener->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0 && (errno == EINTR || errno == ECONNABORTED)) {
            continue;
        }
        if (fd < 0) {
            *empty = errno == EAGAIN || errno == EWOULDBLOCK;
            listener->error = *empty ? listener->error : errno;
            break;
        }
        enum ls_take end = listener->fn(listener->arg, fd);
        listener->lost += end == LS_LOST;
        count += end != LS_CLOSED;
        if (end == LS_CLOSED && ++closed == Ls_BACKLOG) {
            break;
        }
    }
    return count;
}

static void
on_readable(void *arg)
{
    struct ls_listener *listener = arg;
    bool empty;
    size_t taken = take(listener, Ls_ACCEPTS_AT_ONCE, &empty);
    listener->end.taken_late += listener->ending ? taken : 0;
}

static void
on_closed(void *arg)
{
    struct ls_listener *listener = arg;
    Lp_WatchDestroy(listener->watch);
    listener->watch = NULL;
}

static const struct lp_watch_ops watch_ops = {
    .readable = on_readable,
    .closed = on_closed,
};

/*
 * Listens on an address; port 0 picks one.  ST_INVALID names an address that
 * cannot be used.
 */
enum st_status
Ls_Open(struct lp_loop *loop, const struct sockaddr_in *at, ls_accept_fn fn,
        void *arg, struct ls_listener **out)
{
    enum st_status status = ST_OK;
    struct ls_listener *listener = calloc(1, sizeof(*listener));
    if (listener == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory to listen");
    }
    listener->fn = fn;
    listener->arg = arg;
    listener->at = *at;
    listener->fd =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (listener->fd < 0) {
        status = St_Fail(ST_UNAVAILABLE, "no socket; allow more descriptors");
        goto fail;
    }
    int on = 1;
    setsockopt(listener->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    struct sockaddr *generic = (struct sockaddr *)&listener->at;
    socklen_t len = sizeof(listener->at);
    if (bind(listener->fd, generic, len) != 0 ||
        listen(listener->fd, Ls_BACKLOG) != 0 ||
        getsockname(listener->fd, generic, &len) != 0) {
        char ip[INET_ADDRSTRLEN] = "";
        const char *why = strerror(errno);
        inet_ntop(AF_INET, &at->sin_addr, ip, sizeof(ip));
        status = St_Fail(ST_INVALID,
                         "cannot listen on %s port %d (%s); choose a free "
                         "port and an address of this host",
                         ip, ntohs(at->sin_port), why);
        goto fail;
    }
    listener->watch = Lp_WatchCreate(loop, listener->fd, &watch_ops, listener);
    if (listener->watch == NULL) {
        status = St_Fail(ST_NO_MEMORY, "no memory to listen");
        goto fail;
    }
    *out = listener;
    return ST_OK;

fail:
    if (listener->fd >= 0) {
        close(listener->fd);
    }
    free(listener);
    return status;
}

void
Ls_SetBuffers(struct ls_listener *listener, int bytes)
{
    setsockopt(listener->fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
    setsockopt(listener->fd, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof(bytes));
}

/* The port listened on. */
int
Ls_Port(const struct ls_listener *listener)
{
    return ntohs(listener->at.sin_port);
}

/*
 * Lets no further connection begin, while those that have begun complete.  An
 * opening segment (SYN) that is dropped is sent again by its caller, and then
 * refused before a byte of a request.
 */
static bool
drop_openings(const struct ls_listener *listener)
{
    struct sock_filter code[] = {
        BPF_STMT(BPF_LD | BPF_B | BPF_ABS, Ls_TCP_FLAGS_OFFSET),
        BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, TH_SYN, 0, 1),
        BPF_STMT(BPF_RET | BPF_K, 0),
        BPF_STMT(BPF_RET | BPF_K, UINT32_MAX),
    };
    struct sock_fprog filter = {
        .len = sizeof(code) / sizeof(code[0]),
        .filter = code,
    };
    return setsockopt(listener->fd, SOL_SOCKET, SO_ATTACH_FILTER, &filter,
                      sizeof(filter)) == 0;
}

/*
 * Listening may end when nobody is left whose connection is half open: such a
 * caller may hold it for made and have sent its request, and would be reset.
 * One that missed the answer to its opening gets it again after a second; who
 * has not completed it by then is not waited for.
 */
bool
Ls_MayEnd(int64_t waited, int half_open, bool queue_empty)
{
    if (waited >= Ls_ENDING_MOST) {
        return true;
    }
    return waited >= Ls_LEAST && half_open == 0 && queue_empty;
}

static void
begin(struct ls_listener *listener, int64_t now)
{
    listener->ending = true;
    listener->ending_since = now;
    listener->end.filtered = drop_openings(listener);
    bool empty;
    take(listener, SIZE_MAX, &empty);
}

/*
 * A step towards the end: openings are dropped first, then connections go on
 * being taken by the loop until listening may end.  The socket stops
 * listening within the last step: the loop closes it only at its next turn.
 */
bool
Ls_End(struct ls_listener *listener, int64_t now, struct ls_ending *ending)
{
    if (listener->watch == NULL) {
        return true;
    }
    if (!listener->ending) {
        begin(listener, now);
        return false;
    }
    /* Counted before the queue is emptied: none can come after that. */
    int half_open = Ho_Count(&listener->at);
    bool empty;
    struct ls_ending *end = &listener->end;
    end->taken_late += take(listener, SIZE_MAX, &empty);
    if (half_open < 0 || half_open > end->half_open) {
        end->half_open = half_open;
    }
    int64_t waited = now - listener->ending_since;
    if (!Ls_MayEnd(waited, half_open, empty)) {
        return false;
    }
    shutdown(listener->fd, SHUT_RDWR);
    Lp_WatchDestroy(listener->watch);
    listener->watch = NULL;
    end->took = waited;
    end->lost = listener->lost;
    end->error = listener->error;
    *ending = *end;
    return true;
}

/* Ends listening at once; what has connected and was not taken is reset. */
void
Ls_Destroy(struct ls_listener *listener)
{
    if (listener != NULL) {
        if (listener->watch != NULL) {
            Lp_WatchDestroy(listener->watch);
        }
        free(listener);
    }
}
