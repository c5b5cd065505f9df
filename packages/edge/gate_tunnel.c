/* Connects peers to endpoints to which their own links are cut. */
#include <bsd/string.h>
#include <stdio.h>

#include "edge/gate_internal.h"
#include "edge/gate_parts.h"

/* Connections relayed for peers take two descriptors each, and at most 1/4 of
   all descriptors. */
#define Ga_TUNNEL_FDS_DIVISOR 8
#define Ga_TUNNEL_MAX 256

/*
 * Returns the address of an endpoint that a peer asks this host to connect to.
 * Only listed endpoints are allowed, and only if this host's own link to the
 * endpoint is not cut.
 */
static bool
find_for_peer(void *arg, const char *id, char *address, size_t size)
{
    const struct ga_gate *gate = arg;
    const struct fl_endpoint *endpoint = Fl_Find(gate->fleet, id);
    if (endpoint == NULL || endpoint->link_state.cut ||
        gate->stopping_at != 0) {
        return false;
    }
    return strlcpy(address, endpoint->entry.address, size) < size;
}

static void
on_connected_for_peer(void *arg)
{
    struct ga_gate *gate = arg;
    Mt_Add(gate->count.made_for_peers, 1);
}

static const struct th_ops tunnel_ops = {
    .find = find_for_peer,
    .made = on_connected_for_peer,
};

enum st_status
ga_create_tunnel(struct ga_gate *gate)
{
    const struct nd_node *node = gate->options.node;
    char address[Nd_NAME_MAX + 8];
    snprintf(address, sizeof(address), "%s:%d", node->ip, node->tunnel_port);
    size_t most = (size_t)node->max_fds / Ga_TUNNEL_FDS_DIVISOR;
    struct th_options options = {
        .loop = gate->options.loop,
        .clock = gate->options.clock,
        .address = address,
        .ledger = gate->ledger,
        .most = most < Ga_TUNNEL_MAX ? most : Ga_TUNNEL_MAX,
        .ops = &tunnel_ops,
        .arg = gate,
    };
    return Th_Create(&options, &gate->tunnel);
}
