/* Discovers peers through addresses that daemons register in the store. */
#include <string.h>

#include "edge/peers_internal.h"

/* Addresses of this many hosts are kept in the store. */
#define Pe_ADDRESSES_MIN 16
/*
 * While no peer is alive, the addresses in the store are read again at this
 * interval.
 */
#define Pe_LIST_INTERVAL_USEC (2 * Ck_USEC_PER_SEC)
/*
 * A daemon that registers its address reads the addresses again after this
 * time if no peer is alive by then: daemons that start at the same moment all
 * list the addresses before any of them is registered, and each of them reads
 * the store and asks for the lease until it knows the others. The second list
 * and the messages to its addresses, which take up to two ticks, must fit into
 * Lr_DISCOVERY_USEC.
 */
#define Pe_LIST_AGAIN_USEC (200 * Ck_USEC_PER_MSEC)

static void
on_registered(void *arg, const struct ag_result *result)
{
    struct pe_peers *peers = arg;
    peers->registering = false;
    peers->registered = result->status == AG_OK;
}

static void
register_address(struct pe_peers *peers)
{
    struct ga_gate *gate = peers->gate;
    const struct nd_node *node = gate->options.node;
    if (!peers->registered && !peers->registering) {
        peers->registering = true;
        Ag_Append(gate->options.store, AG_HOSTS, -1, node->name, node->ip,
                  strlen(node->ip), on_registered, peers);
    }
}

static void
on_listed(void *arg, const struct ag_result *result)
{
    struct pe_peers *peers = arg;
    bool first = !peers->listed;
    peers->listing = false;
    peers->list_again = false;
    if (result->status != AG_OK) {
        return;
    }
    peers->listed = true;
    for (size_t i = 0; i < result->count; i++) {
        const struct ag_record *record = &result->records[i];
        char ip[Nd_NAME_MAX];
        if (record->value != NULL && record->len < sizeof(ip)) {
            memcpy(ip, record->value, record->len);
            ip[record->len] = '\0';
            Ms_AddPeer(peers->gate->mesh, ip);
        }
    }
    if (result->count < Pe_ADDRESSES_MIN) {
        register_address(peers);
        peers->list_again = first;
    }
}

/*
 * Whether the addresses have yet to be read, or to be read again after the
 * registration of this daemon.
 */
bool
Pe_IsDiscovering(const struct pe_peers *peers)
{
    return !peers->discovered;
}

/*
 * All seeds may be down or gone, so daemons also register their addresses in
 * the store. A few addresses suffice to find all other hosts: the first hosts
 * by name register theirs, and when one of them goes the next one does.
 */
void
pe_discover_peers(struct pe_peers *peers)
{
    struct ga_gate *gate = peers->gate;
    int64_t now = Ga_Now(gate);
    /* The tick has counted the hosts whose addresses were listed before it. */
    peers->discovered |= peers->listed && !peers->list_again;
    int64_t interval =
        peers->list_again ? Pe_LIST_AGAIN_USEC : Pe_LIST_INTERVAL_USEC;
    if ((peers->listed_at != 0 && now - peers->listed_at < interval) ||
        (peers->list_again && peers->registering)) {
        return;
    }
    bool alone = Ms_CountAlive(gate->mesh) <= 1;
    peers->list_again &= alone;
    if (peers->listed && (alone || Ms_Rank(gate->mesh) < Pe_ADDRESSES_MIN)) {
        register_address(peers);
    }
    if ((!peers->listed || alone) && !peers->listing) {
        peers->listing = true;
        Ag_Newest(gate->options.store, AG_HOSTS, NULL, on_listed, peers);
    }
    peers->listed_at = now;
}
