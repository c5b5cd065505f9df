/* Sends messages as datagrams to the peers for which one is due. */
#include <bsd/string.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>

#include "edge/mesh_internal.h"

/*
 * Adds the addresses of some peers that are alive, from a random one on, so
 * that the receiver gets to know them.
 */
static void
add_addresses(struct ms_mesh *mesh, struct ms_message *message)
{
    if (mesh->count == 0) {
        return;
    }
    uint32_t skip = Rn_Below(&mesh->random, (uint32_t)mesh->count);
    const struct ms_peer *peer;
    TAILQ_FOREACH (peer, &mesh->peers, link) {
        if (skip > 0) {
            skip--;
            continue;
        }
        if (Ms_Alive(mesh, peer) &&
            message->address_count < Ms_ADDRESSES_MAX) {
            strlcpy(message->addresses[message->address_count++], peer->ip,
                    Nd_NAME_MAX);
        }
    }
}

/* Part of the loads that a message which is too large leaves out at a time. */
#define Ms_LOADS_DIVISOR 8
/* Ticks this far apart show that the process was suspended. */
#define Ms_SUSPENDED_USEC (5 * Ms_TICK_USEC)

/* One datagram, built when it is due for the first peer, and its receivers. */
struct batch {
    bool summary;
    bool without_loads;
    size_t len;
    char data[Ms_DATAGRAM_MAX];
    int count;
    struct sockaddr_in to[Ms_BATCH];
};

static void
build_datagram(struct ms_mesh *mesh, struct batch *out)
{
    static struct ms_message message;
    memset(&message, 0, sizeof(message));
    strlcpy(message.name, mesh->node->name, sizeof(message.name));
    strlcpy(message.ip, mesh->node->ip, sizeof(message.ip));
    strlcpy(message.zone, mesh->node->zone, sizeof(message.zone));
    message.link_mbps = mesh->node->link_mbps;
    message.run = mesh->run;
    message.wall_usec = Ck_Wall(mesh->clock);
    message.omits_loads = out->summary || out->without_loads;
    mesh->ops->fill(mesh->arg, &message);
    if (out->summary) {
        message.summary = true;
        mesh->ops->summarize(mesh->arg, &message);
    }
    if (out->without_loads) {
        message.load_count = 0;
        message.rank_demand_count = 0;
    }
    add_addresses(mesh, &message);
    out->len = Ms_Encode(&message, out->data, sizeof(out->data));
    /*
     * With all tables full, a summary is too large.  What is charged to limits
     * must be sent in any case; some loads may be left out.
     */
    while (out->len == 0 && message.load_count > 0) {
        message.load_count -= message.load_count / Ms_LOADS_DIVISOR + 1;
        out->len = Ms_Encode(&message, out->data, sizeof(out->data));
    }
}

/*
 * Send errors are ignored: the next message replaces one that was lost or
 * could not be sent.
 */
static void
flush(struct ms_mesh *mesh, struct batch *out)
{
    struct mmsghdr messages[Ms_BATCH];
    struct iovec part = {out->data, out->len};
    memset(messages, 0, sizeof(messages));
    for (int i = 0; i < out->count; i++) {
        messages[i].msg_hdr.msg_name = &out->to[i];
        messages[i].msg_hdr.msg_namelen = sizeof(out->to[i]);
        messages[i].msg_hdr.msg_iov = &part;
        messages[i].msg_hdr.msg_iovlen = 1;
    }
    if (out->count > 0) {
        (void)sendmmsg(mesh->fd, messages, (unsigned)out->count, MSG_NOSIGNAL);
    }
    out->count = 0;
}

static void
send_to(struct ms_mesh *mesh, const struct ms_peer *peer, struct batch *out)
{
    if (out->len == 0) {
        build_datagram(mesh, out);
    }
    out->to[out->count++] = (struct sockaddr_in){
        .sin_family = AF_INET,
        .sin_port = htons((uint16_t)mesh->node->peer_port),
        .sin_addr.s_addr = peer->address,
    };
    if (out->count == Ms_BATCH) {
        flush(mesh, out);
    }
}

void
Ms_Tick(struct ms_mesh *mesh)
{
    static struct batch local;
    static struct batch remote;
    static struct batch summary;
    local.len = 0;
    remote.len = 0;
    /* The summaries of a data centre contain the loads of its daemons. */
    remote.without_loads = Ms_UsesSummaries(mesh);
    summary.len = 0;
    summary.summary = true;
    /*
     * After the process was suspended, the messages of all peers wait in the
     * socket.  If peers were counted before these are received, all of them
     * would look unreachable for one tick.
     */
    int64_t now = Ck_Now(mesh->clock);
    mesh->suspended = now - mesh->now > Ms_SUSPENDED_USEC;
    mesh->now = now;
    ms_receive_all(mesh);
    ms_begin_tick(mesh);
    struct ms_peer *peer;
    struct ms_peer *next;
    TAILQ_FOREACH_SAFE (peer, &mesh->peers, link, next) {
        if (ms_is_expired(mesh, peer)) {
            ms_remove(mesh, peer);
            continue;
        }
        if (ms_message_due(mesh, peer)) {
            send_to(mesh, peer, peer->same_zone ? &local : &remote);
        }
        if (ms_summary_due(mesh, peer)) {
            send_to(mesh, peer, &summary);
        }
    }
    flush(mesh, &local);
    flush(mesh, &remote);
    flush(mesh, &summary);
}
