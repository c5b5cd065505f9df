/* The UDP socket of a node: sends and receives datagrams, rejects replays. */
#include <bsd/string.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/event.h"
#include "member/address.h"
#include "member/node.h"
#include "member/node_internal.h"

#define EV(number, name, level, meaning, todo) Ev_DEFINE(number, name, level)
#include "member/events.def"

#define Nd_READS 64 /* datagrams read per loop iteration */
#define Nd_SENDERS_MAX 8192
#define Nd_SENDER_KEEP_USEC (3600 * Ck_USEC_PER_SEC)
#define Nd_CORRECTION_USEC Ck_USEC_PER_SEC
#define Nd_DENIED_LOG_USEC (60 * Ck_USEC_PER_SEC)
#define Nd_RECEIVE_BUFFER_BYTES (1024 * 1024)

RB_GENERATE(nd_senders, nd_sender, node, nd_compare_senders);

/* Orders senders by id. */
int
nd_compare_senders(const struct nd_sender *a, const struct nd_sender *b)
{
    return strcmp(a->id, b->id);
}

/* Returns the narrowest scope that includes a peer at this distance. */
enum fc_scope
nd_scope(enum mb_distance distance)
{
    switch (distance) {
    case MB_SAME_DATA_CENTRE:
        return FC_DATA_CENTRE;
    case MB_SAME_REGION:
        return FC_REGION;
    case MB_FAR:
        return FC_CLUSTER;
    }
    return FC_CLUSTER;
}

static void
send_bytes(struct nd_node *node, const struct mb_endpoint *to,
           const uint8_t *bytes, size_t len)
{
    struct sockaddr_storage address;
    socklen_t address_len = Ad_ToSocket(to, &address);
    if (len == 0 || address_len == 0) {
        node->counters.unsent++;
        return;
    }
    ssize_t sent = sendto(node->fd, bytes, len, MSG_DONTWAIT | MSG_NOSIGNAL,
                          (struct sockaddr *)&address, address_len);
    if (sent < 0) {
        node->counters.unsent++; /* treated as lost on the network */
        return;
    }
    node->counters.datagrams_out++;
    node->counters.bytes_out += len;
}

/* Sends a message together with as many facts as fit. */
void
nd_send(void *arg, const struct mb_endpoint *to, enum mb_distance distance,
        const struct mb_message *message)
{
    struct nd_node *node = arg;
    uint8_t bytes[Wr_DATAGRAM_MAX];
    size_t len = Wr_PackDatagram(node->key, message, ++node->counter,
                                 node->facts, nd_scope(distance), bytes);
    send_bytes(node, to, bytes, len);
}

static struct nd_sender *
find_sender(struct nd_node *node, const char *id)
{
    struct nd_sender wanted;
    strlcpy(wanted.id, id, sizeof(wanted.id));
    struct nd_sender *sender = RB_FIND(nd_senders, &node->senders, &wanted);
    if (sender != NULL || node->sender_count >= Nd_SENDERS_MAX) {
        return sender;
    }
    sender = calloc(1, sizeof(*sender));
    if (sender != NULL) {
        strlcpy(sender->id, id, sizeof(sender->id));
        RB_INSERT(nd_senders, &node->senders, sender);
        node->sender_count++;
    }
    return sender;
}

static void
drop_sender(struct nd_node *node, struct nd_sender *sender)
{
    RB_REMOVE(nd_senders, &node->senders, sender);
    node->sender_count--;
    free(sender);
}

/* Removes senders from which nothing was received for an hour. */
void
nd_drop_old_senders(struct nd_node *node, int64_t now)
{
    struct nd_sender *sender;
    struct nd_sender *next;
    RB_FOREACH_SAFE (sender, nd_senders, &node->senders, next) {
        if (now - sender->received_usec > Nd_SENDER_KEEP_USEC) {
            drop_sender(node, sender);
        }
    }
}

/*
 * Corrects the incarnation of a sender.  The clock of a replacement host may
 * be behind that of its predecessor; the host then starts with an earlier
 * incarnation and its datagrams are rejected as replays.  This node sends it
 * the last incarnation, at most once a second, and the host takes a later one.
 */
static void
send_correction(struct nd_node *node, struct nd_sender *sender,
                const struct mb_endpoint *from)
{
    int64_t now = Ck_Now(node->clock);
    const struct mb_record *self = Mb_Self(node->members);
    if (now - sender->corrected_usec < Nd_CORRECTION_USEC) {
        return;
    }
    sender->corrected_usec = now;
    struct mb_message message = {.type = MB_GOSSIP,
                                 .incarnation = self->incarnation,
                                 .update_count = 1};
    strlcpy(message.from, self->id, sizeof(message.from));
    struct mb_record *update = &message.updates[0];
    strlcpy(update->id, sender->id, sizeof(update->id));
    update->incarnation = sender->window.incarnation;
    update->state = MB_DEAD;
    nd_send(node, from, MB_FAR, &message);
}

static bool
admit(struct nd_node *node, const struct wr_datagram *datagram,
      const struct mb_endpoint *from)
{
    const struct mb_message *message = &datagram->message;
    struct nd_sender *sender = find_sender(node, message->from);
    if (sender == NULL) {
        return false;
    }
    switch (
        Wr_Admit(&sender->window, message->incarnation, datagram->counter)) {
    case WR_FRESH:
        sender->received_usec = Ck_Now(node->clock);
        return true;
    case WR_OLD_INCARNATION:
        send_correction(node, sender, from);
        break;
    case WR_REPLAYED:
        break;
    }
    node->counters.replayed++;
    return false;
}

static void
count_denied(struct nd_node *node, const struct mb_endpoint *from)
{
    int64_t now = Ck_Now(node->clock);
    node->counters.denied++;
    if (node->denied_logged_usec == 0 ||
        now - node->denied_logged_usec > Nd_DENIED_LOG_USEC) {
        node->denied_logged_usec = now;
        Ev_Log(&MEMBER_DATAGRAM_DENIED, "from=%s total=%llu", from->address,
               (unsigned long long)node->counters.denied);
    }
}

static void
on_datagram(struct nd_node *node, const struct mb_endpoint *from,
            const uint8_t *bytes, size_t len)
{
    struct wr_datagram datagram;
    enum st_status status =
        Wr_UnpackDatagram(node->key, bytes, len, &datagram);
    if (status == ST_DENIED) {
        count_denied(node, from);
        return;
    }
    if (status != ST_OK) {
        node->counters.invalid++;
        return;
    }
    if (!admit(node, &datagram, from)) {
        return;
    }
    for (size_t i = 0; i < datagram.fact_count; i++) {
        node->counters.facts_in++;
        if (Fc_Apply(node->facts, &datagram.facts[i].fact)) {
            node->counters.facts_new++;
        }
    }
    Mb_Receive(node->members, from, &datagram.message);
}

static void
on_readable(void *arg)
{
    struct nd_node *node = arg;
    for (int i = 0; i < Nd_READS; i++) {
        uint8_t bytes[Wr_DATAGRAM_MAX + 1];
        struct sockaddr_storage address;
        socklen_t address_len = sizeof(address);
        ssize_t len = recvfrom(node->fd, bytes, sizeof(bytes), MSG_DONTWAIT,
                               (struct sockaddr *)&address, &address_len);
        if (len < 0) {
            return;
        }
        struct mb_endpoint from;
        Ad_FromSocket(&address, &from);
        node->counters.datagrams_in++;
        node->counters.bytes_in += (size_t)len;
        on_datagram(node, &from, bytes, (size_t)len);
    }
}

static void
on_closed(void *arg)
{
    struct nd_node *node = arg;
    Lp_WatchDestroy(node->watch);
    node->watch = NULL;
}

static const struct lp_watch_ops socket_ops = {on_readable, NULL, on_closed};

/* Opens the UDP socket.  Returns ST_CONFLICT when the port is in use. */
enum st_status
nd_open_socket(struct nd_node *node, const char *address, uint16_t port)
{
    int size = Nd_RECEIVE_BUFFER_BYTES;
    struct sockaddr_storage bind_address;
    struct mb_endpoint endpoint = {.port = port};
    strlcpy(endpoint.address, address, sizeof(endpoint.address));
    socklen_t len = Ad_ToSocket(&endpoint, &bind_address);
    int fd = socket(bind_address.ss_family,
                    SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return St_Fail(ST_UNAVAILABLE, "socket: %s", strerror(errno));
    }
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
    if (bind(fd, (struct sockaddr *)&bind_address, len) != 0) {
        close(fd);
        return St_Fail(ST_CONFLICT,
                       "datagrams on %s port %d: %s; choose another peer port",
                       address, port, strerror(errno));
    }
    node->fd = fd;
    node->watch = Lp_WatchCreate(node->loop, fd, &socket_ops, node);
    if (node->watch == NULL) {
        close(fd);
        return St_Fail(ST_NO_MEMORY, "no memory to watch a socket");
    }
    return ST_OK;
}

/* Closes the socket and removes all senders. */
void
nd_close_socket(struct nd_node *node)
{
    Lp_WatchDestroy(node->watch);
    node->watch = NULL;
    struct nd_sender *sender;
    while ((sender = RB_MIN(nd_senders, &node->senders)) != NULL) {
        drop_sender(node, sender);
    }
}
