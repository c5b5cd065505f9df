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
    peers->listing = false;
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
    }
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
    if (peers->listed_at != 0 &&
        now - peers->listed_at < Pe_LIST_INTERVAL_USEC) {
        return;
    }
    bool alone = Ms_CountAlive(gate->mesh) <= 1;
    if (peers->listed && (alone || Ms_Rank(gate->mesh) < Pe_ADDRESSES_MIN)) {
        register_address(peers);
    }
    if ((!peers->listed || alone) && !peers->listing) {
        peers->listing = true;
        Ag_Newest(gate->options.store, AG_HOSTS, NULL, on_listed, peers);
    }
    peers->listed_at = now;
}
