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
find(const struct ms_mesh *mesh, uint32_t address)
{
    struct ms_peer wanted = {.address = address};
    /* The tree's macro takes no const. */
    return RB_FIND(ms_addresses, (struct ms_addresses *)&mesh->addresses,
                   &wanted);
}

const struct ms_peer *
Ms_Find(const struct ms_mesh *mesh, uint32_t address)
{
    return find(mesh, address);
}

/* The peer at an address, known from now on; NULL: it is no other daemon's. */
static struct ms_peer *
find_or_add(struct ms_mesh *mesh, const char *ip)
{
    struct in_addr address;
    if (strcmp(ip, mesh->node->ip) == 0 ||
        inet_pton(AF_INET, ip, &address) != 1) {
        return NULL;
    }
    struct ms_peer *peer = find(mesh, address.s_addr);
    if (peer != NULL) {
        return peer;
    }
    peer = calloc(1, sizeof(*peer));
    if (peer != NULL) {
        strlcpy(peer->ip, ip, sizeof(peer->ip));
        peer->address = address.s_addr;
        peer->hash = Hash_String(ip, 0);
        peer->known_at = Ck_Now(mesh->clock);
        TAILQ_INSERT_TAIL(&mesh->peers, peer, link);
        RB_INSERT(ms_addresses, &mesh->addresses, peer);
        mesh->count++;
    }
    return peer;
}

void
ms_take_word(struct ms_mesh *mesh, struct ms_peer *peer,
             const struct ms_word *word)
{
    strlcpy(peer->name, word->name, sizeof(peer->name));
    strlcpy(peer->zone, word->zone, sizeof(peer->zone));
    peer->near = strcmp(word->zone, mesh->node->zone) == 0;
    peer->link_mbps = word->link_mbps;
    peer->ready = word->ready;
    peer->stopping = word->stopping;
    peer->store_reached = word->store_reached;
    peer->cut = word->cut;
    peer->reads_config = word->reads_config;
    peer->reads_entries = word->reads_entries;
    peer->heard_at = mesh->now;
    peer->started_at = mesh->now - word->up_usec;
    peer->config_changed = word->config_changed;
    peer->entries_changed = word->entries_changed;
    if (word->summary) {
        return;
    }
    if (peer->run != word->run) {
        /* It has just started, and waits to hear what is known. */
        peer->run = word->run;
        peer->due_at = 0;
    }
    peer->load_count =
        word->load_count < Ms_LOADS_MAX ? word->load_count : Ms_LOADS_MAX;
    memcpy(peer->loads, word->loads,
           peer->load_count * sizeof(word->loads[0]));
    peer->spent_count = word->spent_count;
    memcpy(peer->spent, word->spent,
           word->spent_count * sizeof(word->spent[0]));
    peer->rate_count = word->rate_count;
    memcpy(peer->rates, word->rates,
           word->rate_count * sizeof(word->rates[0]));
    peer->evidence_count = word->evidence_count;
    memcpy(peer->evidence, word->evidence,
           word->evidence_count * sizeof(word->evidence[0]));
}

static void
take_datagram(struct ms_mesh *mesh, const char *data, size_t len)
{
    static struct ms_word word;
    if (!Ms_Decode(data, len, &word) || word.run == mesh->run) {
        return;
    }
    struct ms_peer *peer = find_or_add(mesh, word.ip);
    if (peer == NULL) {
        return;
    }
    mesh->ops->word(mesh->arg, peer, &word);
    ms_take_word(mesh, peer, &word);
    for (size_t i = 0; i < word.hint_count; i++) {
        Ms_Know(mesh, word.hints[i]);
    }
}

/*
 * Words come by the hundred a second, and none is so urgent that a wake-up
 * for each would pay: they are read in each tick, many by one call.
 */
void
ms_receive(struct ms_mesh *mesh)
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
            take_datagram(mesh, data[i], messages[i].msg_len);
        }
    } while (count == Ms_BATCH);
}

/* NULL when the port cannot be had; the message says why. */
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
    mesh->heard_count = mesh->expected_count = mesh->known_count = 1;
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
        Ms_Know(mesh, node->seeds[i]);
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
ms_forget(struct ms_mesh *mesh, struct ms_peer *peer)
{
    TAILQ_REMOVE(&mesh->peers, peer, link);
    RB_REMOVE(ms_addresses, &mesh->addresses, peer);
    mesh->count--;
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
        ms_forget(mesh, peer);
    }
    close(mesh->fd);
    free(mesh);
}

/* A daemon may be at this address. */
void
Ms_Know(struct ms_mesh *mesh, const char *ip)
{
    (void)find_or_add(mesh, ip);
}
