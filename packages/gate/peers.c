/*
 * Life of the peer state: created with its cluster node, joined to the cluster
 * by seeds, and left or freed at the end.
 */
#include "gate/peers.h"

#include <bsd/string.h>
#include <stdlib.h>
#include <string.h>

#include "gate/peers_internal.h"

#define Pe_SEEDS_MAX 64

static void
member_changed(void *arg, const struct mb_record *member, enum mb_state before)
{
    struct pe_peers *peers = arg;
    bool left = member->state == MB_DEAD && before == MB_LEAVING;
    if (member->state == MB_DEAD && !left) {
        /* Unreachable members have not left: see pe_ops.member. */
        return;
    }
    peers->ops->member(peers->arg, member->id, !left);
}

static const struct nd_ops node_ops = {.changed = member_changed};

/* Creates the peers; the daemon joins the cluster once Pe_Seed() is called. */
enum st_status
Pe_Create(struct gt_gate *gate, uint16_t admin_port, uint64_t incarnation,
          const struct pe_ops *ops, void *arg, struct pe_peers **out)
{
    struct pe_peers *peers = calloc(1, sizeof(*peers));
    if (peers == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for the peer state");
    }
    peers->gate = gate;
    peers->ops = ops;
    peers->arg = arg;
    peers->incarnation = incarnation;
    peers->started = Ck_Now(gate->clock);
    struct nd_options options = {
        .ledger = gate->ledger,
        .id = gate->options->node_id,
        .address = gate->options->address,
        .peer_port = (uint16_t)gate->options->peer_port,
        .admin_port = admin_port,
        .data_centre = gate->options->data_centre,
        .region = gate->options->region,
        .cluster_key = gate->options->cluster_key,
        .clock = gate->clock,
        .ops = &node_ops,
        .arg = peers,
    };
    enum st_status status = Nd_Create(gate->loop, &options, &peers->node);
    if (status == ST_OK) {
        status = Pe_WatchFacts(peers);
    }
    if (status == ST_OK) {
        status = Pe_ServeLinks(peers);
    }
    if (status != ST_OK) {
        Pe_Destroy(peers);
        return status;
    }
    *out = peers;
    return ST_OK;
}

/*
 * Frees the peers without announcing that the daemon leaves, as Pe_Leave()
 * does.  Must be called before the loop is destroyed.
 */
void
Pe_Destroy(struct pe_peers *peers)
{
    if (peers == NULL) {
        return;
    }
    Nd_Destroy(peers->node);
    free(peers);
}

/* Sets the live entry hosts of the host list as seeds of gossip. */
void
Pe_Seed(struct pe_peers *peers, const struct hl_host *hosts, size_t count)
{
    struct mb_endpoint seeds[Pe_SEEDS_MAX];
    size_t found = 0;
    for (size_t i = 0; i < count && found < Pe_SEEDS_MAX; i++) {
        const struct hl_host *host = &hosts[i];
        if (host->role != HL_ENTRY || host->peer_port == 0 ||
            host->state != HL_LIVE ||
            strcmp(host->id, Nd_Id(peers->node)) == 0) {
            continue;
        }
        strlcpy(seeds[found].address, host->address,
                sizeof(seeds[found].address));
        seeds[found].port = (uint16_t)host->peer_port;
        found++;
    }
    Nd_SetSeeds(peers->node, seeds, found);
}

/* Announces that this daemon accepts no new work. */
void
Pe_Leave(struct pe_peers *peers)
{
    Nd_Leave(peers->node);
}

/* The port on which peers reach this daemon. */
uint16_t
Pe_Port(const struct pe_peers *peers)
{
    return Nd_Port(peers->node);
}

/* The cluster node, for operations that this module does not wrap. */
struct nd_node *
Pe_Node(const struct pe_peers *peers)
{
    return peers->node;
}
