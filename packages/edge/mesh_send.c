/* Words as datagrams to those to whom one is due. */
#include <bsd/string.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>

#include "edge/mesh_internal.h"

static void
add_hints(struct ms_mesh *mesh, struct ms_word *word)
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
        if (Ms_Alive(mesh, peer) && word->hint_count < Ms_HINTS_MAX) {
            strlcpy(word->hints[word->hint_count++], peer->ip, Nd_NAME_MAX);
        }
    }
}

/* One datagram, made when the first peer is due, and whom it goes to. */
struct outgoing {
    bool summary;
    size_t len;
    char data[Ms_DATAGRAM_MAX];
    int count;
    struct sockaddr_in to[Ms_BATCH];
};

static void
make(struct ms_mesh *mesh, struct outgoing *out)
{
    static struct ms_word word;
    memset(&word, 0, sizeof(word));
    strlcpy(word.name, mesh->node->name, sizeof(word.name));
    strlcpy(word.ip, mesh->node->ip, sizeof(word.ip));
    strlcpy(word.zone, mesh->node->zone, sizeof(word.zone));
    word.link_mbps = mesh->node->link_mbps;
    word.run = mesh->run;
    word.wall_usec = Ck_Wall(mesh->clock);
    mesh->ops->fill(mesh->arg, &word);
    if (out->summary) {
        word.summary = true;
        mesh->ops->summarize(mesh->arg, &word);
    }
    add_hints(mesh, &word);
    out->len = Ms_Encode(&word, out->data, sizeof(out->data));
}

/* A lost datagram is made good by the next, and so is one not taken. */
static void
flush(struct ms_mesh *mesh, struct outgoing *out)
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
send_to(struct ms_mesh *mesh, const struct ms_peer *peer, struct outgoing *out)
{
    if (out->len == 0) {
        make(mesh, out);
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
    static struct outgoing word;
    static struct outgoing summary;
    word.len = 0;
    summary.len = 0;
    summary.summary = true;
    ms_begin_tick(mesh);
    ms_receive(mesh);
    struct ms_peer *peer;
    struct ms_peer *next;
    TAILQ_FOREACH_SAFE (peer, &mesh->peers, link, next) {
        if (ms_is_forgotten(mesh, peer)) {
            ms_forget(mesh, peer);
            continue;
        }
        if (ms_word_due(mesh, peer)) {
            send_to(mesh, peer, &word);
        }
        if (ms_summary_due(mesh, peer)) {
            send_to(mesh, peer, &summary);
        }
    }
    flush(mesh, &word);
    flush(mesh, &summary);
}
