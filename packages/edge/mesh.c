#include "edge/mesh_internal.h"

#include <arpa/inet.h>
#include <bsd/string.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/hash.h"

static int
compare_addresses(const struct ms_peer *a, const struct ms_peer *b)
{
    return (a->address > b->address) - (a->address < b->address);
}

RB_PROTOTYPE(ms_addresses, ms_peer, by_address, compare_addresses);
RB_GENERATE(ms_addresses, ms_peer, by_address, compare_addresses);

static struct ms_peer *
find_peer(const struct ms_mesh *mesh, uint32_t address)
{
    struct ms_peer wanted = {.address = address};
    /* RB_FIND() takes no const. */
    return RB_FIND(ms_addresses, (struct ms_addresses *)&mesh->addresses,
                   &wanted);
}

const struct ms_peer *
Ms_Find(const struct ms_mesh *mesh, uint32_t address)
{
    return find_peer(mesh, address);
}

/* NULL: the address is invalid or that of this host. */
static struct ms_peer *
find_or_add_peer(struct ms_mesh *mesh, const char *ip)
{
    struct in_addr address;
    if (strcmp(ip, mesh->node->ip) == 0 ||
        inet_pton(AF_INET, ip, &address) != 1) {
        return NULL;
    }
    struct ms_peer *peer = find_peer(mesh, address.s_addr);
    if (peer != NULL) {
        return peer;
    }
    peer = calloc(1, sizeof(*peer));
    if (peer != NULL) {
        strlcpy(peer->ip, ip, sizeof(peer->ip));
        peer->address = address.s_addr;
        peer->hash = Hash_String(ip, 0);
        peer->added_at = Ck_Now(mesh->clock);
        TAILQ_INSERT_TAIL(&mesh->peers, peer, link);
        RB_INSERT(ms_addresses, &mesh->addresses, peer);
        mesh->count++;
    }
    return peer;
}

void
ms_apply_message(struct ms_mesh *mesh, struct ms_peer *peer,
                 const struct ms_message *message)
{
    mesh->changes++;
    strlcpy(peer->name, message->name, sizeof(peer->name));
    strlcpy(peer->zone, message->zone, sizeof(peer->zone));
    peer->same_zone = strcmp(message->zone, mesh->node->zone) == 0;
    peer->link_mbps = message->link_mbps;
    peer->ready = message->ready;
    peer->stopping = message->stopping;
    peer->store_reached = message->store_reached;
    peer->links_cut = message->links_cut;
    peer->reads_config = message->reads_config;
    peer->reads_entries = message->reads_entries;
    peer->last_message_at = mesh->now;
    peer->started_at = mesh->now - message->up_usec;
    peer->config_changes_end = message->config_changes_end;
    peer->entries_changes_end = message->entries_changes_end;
    if (message->summary) {
        return;
    }
    if (peer->run != message->run) {
        /* The peer has just started and waits for the state of others. */
        peer->run = message->run;
        peer->due_at = 0;
    }
    peer->load_count = message->load_count < Ms_LOADS_MAX ? message->load_count
                                                          : Ms_LOADS_MAX;
    memcpy(peer->loads, message->loads,
           peer->load_count * sizeof(message->loads[0]));
    peer->usage_count = message->usage_count;
    memcpy(peer->usage, message->usage,
           message->usage_count * sizeof(message->usage[0]));
    peer->rank_demand_count = message->rank_demand_count;
    memcpy(peer->rank_demands, message->rank_demands,
           message->rank_demand_count * sizeof(message->rank_demands[0]));
    peer->rate_count = message->rate_count;
    memcpy(peer->rates, message->rates,
           message->rate_count * sizeof(message->rates[0]));
    peer->outcome_count = message->outcome_count;
    memcpy(peer->outcomes, message->outcomes,
           message->outcome_count * sizeof(message->outcomes[0]));
}

static void
handle_datagram(struct ms_mesh *mesh, const char *data, size_t len)
{
    static struct ms_message message;
    if (!Ms_Decode(data, len, &message) || message.run == mesh->run) {
        return;
    }
    struct ms_peer *peer = find_or_add_peer(mesh, message.ip);
    if (peer == NULL) {
        return;
    }
    mesh->ops->message(mesh->arg, peer, &message);
    ms_apply_message(mesh, peer, &message);
    for (size_t i = 0; i < message.address_count; i++) {
        Ms_AddPeer(mesh, message.addresses[i]);
    }
}

/*
 * Hundreds of messages arrive each second, and none is urgent enough to
 * justify a wake-up. They are received once a tick, many with one system call.
 */
void
ms_receive_all(struct ms_mesh *mesh)
{
    static char data[Ms_BATCH][Ms_DATAGRAM_MAX];
    struct mmsghdr messages[Ms_BATCH];
    struct iovec parts[Ms_BATCH];
    int count;
    do {
        memset(messages, 0, sizeof(messages));
        for (int i = 0; i < Ms_BATCH; i++) {
            parts[i] = (struct iovec){data[i], sizeof(data[i])};
            messages[i].msg_hdr.msg_iov = &parts[i];
            messages[i].msg_hdr.msg_iovlen = 1;
        }
        count = recvmmsg(mesh->fd, messages, Ms_BATCH, MSG_DONTWAIT, NULL);
        for (int i = 0; i < count; i++) {
            handle_datagram(mesh, data[i], messages[i].msg_len);
        }
    } while (count == Ms_BATCH);
}

/* NULL when the port cannot be bound; the error message tells why. */
struct ms_mesh *
Ms_Create(const struct ck_clock *clock, const struct nd_node *node,
          uint64_t run, const struct ms_ops *ops, void *arg)
{
    struct ms_mesh *mesh = calloc(1, sizeof(*mesh));
    if (mesh == NULL) {
        return NULL;
    }
    mesh->clock = clock;
    mesh->node = node;
    mesh->ops = ops;
    mesh->arg = arg;
    mesh->run = run;
    mesh->hash = Hash_String(node->ip, 0);
    Rn_Seed(&mesh->random, run);
    TAILQ_INIT(&mesh->peers);
    RB_INIT(&mesh->addresses);
    mesh->now = Ck_Now(clock);
    mesh->reachable_count = mesh->expected_count = mesh->running_count = 1;
    mesh->fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    struct sockaddr_in at = {.sin_family = AF_INET};
    at.sin_port = htons((uint16_t)node->peer_port);
    if (mesh->fd < 0 || inet_pton(AF_INET, node->ip, &at.sin_addr) != 1 ||
        bind(mesh->fd, (struct sockaddr *)&at, sizeof(at)) != 0) {
        St_Fail(ST_UNAVAILABLE, "cannot bind datagram port %s:%d", node->ip,
                node->peer_port);
        goto fail;
    }
    for (size_t i = 0; i < node->seed_count; i++) {
        Ms_AddPeer(mesh, node->seeds[i]);
    }
    return mesh;

fail:
    if (mesh->fd >= 0) {
        close(mesh->fd);
    }
    free(mesh);
    return NULL;
}

void
ms_remove(struct ms_mesh *mesh, struct ms_peer *peer)
{
    TAILQ_REMOVE(&mesh->peers, peer, link);
    RB_REMOVE(ms_addresses, &mesh->addresses, peer);
    mesh->count--;
    mesh->changes++;
    free(peer);
}

void
Ms_Destroy(struct ms_mesh *mesh)
{
    if (mesh == NULL) {
        return;
    }
    struct ms_peer *peer;
    struct ms_peer *next;
    TAILQ_FOREACH_SAFE (peer, &mesh->peers, link, next) {
        ms_remove(mesh, peer);
    }
    close(mesh->fd);
    free(mesh);
}

/* Adds the address of a possible peer. */
void
Ms_AddPeer(struct ms_mesh *mesh, const char *ip)
{
    (void)find_or_add_peer(mesh, ip);
}
