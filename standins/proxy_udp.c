/*
 * Forwards datagrams.  Each client gets a socket of its own towards the
 * target, so that answers find their way back.
 */
#include <bsd/sys/queue.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "standins/proxy.h"

#define DATAGRAM_MAX 65536
#define PERCENT 100

struct session {
    LIST_ENTRY(session) link;
    struct px_udp *udp;
    struct sockaddr_in client;
    int fd;
    struct lp_watch *watch;
};

/* A datagram that is sent later. */
struct late {
    LIST_ENTRY(late) link;
    struct session *session;
    enum px_way way;
    struct lp_timer *timer;
    size_t len;
    char data[];
};

struct px_udp {
    struct px_proxy *proxy;
    int fd;
    struct lp_watch *watch;
    LIST_HEAD(sessions, session) sessions;
    LIST_HEAD(lates, late) lates;
};

static void
send_now(struct session *session, enum px_way way, const char *data,
         size_t len)
{
    struct px_udp *udp = session->udp;
    udp->proxy->counts.datagrams[way]++;
    udp->proxy->counts.bytes[way] += (int64_t)len;
    if (way == PX_UP) {
        send(session->fd, data, len, MSG_DONTWAIT);
        return;
    }
    sendto(udp->fd, data, len, MSG_DONTWAIT,
           (const struct sockaddr *)&session->client, sizeof(session->client));
}

static void
late_free(struct late *late)
{
    LIST_REMOVE(late, link);
    Lp_TimerDestroy(late->timer);
    free(late);
}

static void
late_fired(void *arg)
{
    struct late *late = arg;
    send_now(late->session, late->way, late->data, late->len);
    late_free(late);
}

static void
send_later(struct session *session, enum px_way way, const char *data,
           size_t len, int64_t delay_usec)
{
    struct late *late = malloc(sizeof(*late) + len);
    if (late == NULL) {
        abort();
    }
    late->session = session;
    late->way = way;
    late->len = len;
    memcpy(late->data, data, len);
    late->timer = Lp_TimerCreate(session->udp->proxy->loop, late_fired, late);
    LIST_INSERT_HEAD(&session->udp->lates, late, link);
    Lp_TimerSet(late->timer, delay_usec);
}

static bool
chance(struct px_proxy *proxy, int percent)
{
    return percent > 0 &&
           Rn_Below(&proxy->random, PERCENT) < (uint32_t)percent;
}

static void
forward(struct session *session, enum px_way way, const char *data, size_t len)
{
    struct px_proxy *proxy = session->udp->proxy;
    const struct px_way_faults *faults = &proxy->faults.ways[way];
    if (proxy->faults.cut || proxy->faults.refuse || faults->blackhole ||
        chance(proxy, faults->drop_percent)) {
        proxy->counts.dropped++;
        return;
    }
    int copies = 1;
    if (chance(proxy, faults->duplicate_percent)) {
        proxy->counts.duplicated++;
        copies = 2;
    }
    for (int i = 0; i < copies; i++) {
        if (faults->delay_usec > 0) {
            send_later(session, way, data, len, faults->delay_usec);
        }
        else {
            send_now(session, way, data, len);
        }
    }
}

static void
session_readable(void *arg)
{
    struct session *session = arg;
    static char data[DATAGRAM_MAX];
    ssize_t got = recv(session->fd, data, sizeof(data), MSG_DONTWAIT);
    if (got >= 0) {
        forward(session, PX_DOWN, data, (size_t)got);
    }
}

static void
session_closed(void *arg)
{
    struct session *session = arg;
    Lp_WatchDestroy(session->watch);
    session->watch = NULL;
}

static const struct lp_watch_ops session_ops = {
    .readable = session_readable,
    .closed = session_closed,
};

static int
open_socket(void)
{
    return socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

static struct session *
session_open(struct px_udp *udp, const struct sockaddr_in *client)
{
    struct session *session = calloc(1, sizeof(*session));
    if (session == NULL) {
        abort();
    }
    session->udp = udp;
    session->client = *client;
    session->fd = open_socket();
    if (connect(session->fd, (const struct sockaddr *)&udp->proxy->target,
                sizeof(udp->proxy->target)) != 0) {
        abort();
    }
    session->watch =
        Lp_WatchCreate(udp->proxy->loop, session->fd, &session_ops, session);
    LIST_INSERT_HEAD(&udp->sessions, session, link);
    return session;
}

static struct session *
session_of(struct px_udp *udp, const struct sockaddr_in *client)
{
    struct session *session;
    LIST_FOREACH (session, &udp->sessions, link) {
        if (session->client.sin_port == client->sin_port &&
            session->client.sin_addr.s_addr == client->sin_addr.s_addr) {
            return session;
        }
    }
    return session_open(udp, client);
}

static void
udp_readable(void *arg)
{
    struct px_udp *udp = arg;
    static char data[DATAGRAM_MAX];
    struct sockaddr_in client = {0};
    socklen_t len = sizeof(client);
    ssize_t got = recvfrom(udp->fd, data, sizeof(data), MSG_DONTWAIT,
                           (struct sockaddr *)&client, &len);
    if (got >= 0) {
        forward(session_of(udp, &client), PX_UP, data, (size_t)got);
    }
}

static void
udp_closed(void *arg)
{
    struct px_udp *udp = arg;
    Lp_WatchDestroy(udp->watch);
    udp->watch = NULL;
}

static const struct lp_watch_ops udp_ops = {
    .readable = udp_readable,
    .closed = udp_closed,
};

/* Listens for datagrams on the proxy's address and port. */
enum st_status
Px_UdpCreate(struct px_proxy *proxy, struct px_udp **out)
{
    struct px_udp *udp = calloc(1, sizeof(*udp));
    if (udp == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for the proxy");
    }
    udp->proxy = proxy;
    LIST_INIT(&udp->sessions);
    LIST_INIT(&udp->lates);
    udp->fd = open_socket();
    if (bind(udp->fd, (const struct sockaddr *)&proxy->listen,
             sizeof(proxy->listen)) != 0) {
        close(udp->fd);
        free(udp);
        return St_Fail(ST_INVALID, "cannot bind; choose a free port");
    }
    udp->watch = Lp_WatchCreate(proxy->loop, udp->fd, &udp_ops, udp);
    *out = udp;
    return ST_OK;
}

/* Forgets every client; call it before the loop is destroyed. */
void
Px_UdpDestroy(struct px_udp *udp)
{
    if (udp == NULL) {
        return;
    }
    struct late *late;
    struct late *next_late;
    LIST_FOREACH_SAFE (late, &udp->lates, link, next_late) {
        late_free(late);
    }
    struct session *session;
    struct session *next;
    LIST_FOREACH_SAFE (session, &udp->sessions, link, next) {
        Lp_WatchDestroy(session->watch);
        free(session);
    }
    Lp_WatchDestroy(udp->watch);
    free(udp);
}
