/* How daemons find each other: addresses in the store. */
#include <string.h>

#include "edge/peers_internal.h"

/* Hosts whose addresses stand in the store. */
#define Pe_ANNOUNCED 16
/* When nobody is heard, the hosts' records in the store are read again. */
#define Pe_LIST_EVERY_USEC (2 * Ck_USEC_PER_SEC)

static void
on_announced(void *arg, const struct ag_result *result)
{
    struct pe_peers *peers = arg;
    peers->announcing = false;
    peers->announced = result->status == AG_OK;
}

static void
announce(struct pe_peers *peers)
{
    struct ga_gate *gate = peers->gate;
    const struct nd_node *node = gate->options.node;
    if (!peers->announced && !peers->announcing) {
        peers->announcing = true;
        Ag_Append(gate->options.store, AG_HOSTS, -1, node->name, node->ip,
                  strlen(node->ip), on_announced, peers);
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
            Ms_Know(peers->gate->mesh, ip);
        }
    }
    if (result->count < Pe_ANNOUNCED) {
        announce(peers);
    }
}

/*
 * Seeds may all be down or gone; the store knows who has been there.  Some
 * addresses are enough to find all others by: the first hosts by name have
 * theirs there, and when one of them goes the next one follows.
 */
void
pe_find_peers(struct pe_peers *peers)
{
    struct ga_gate *gate = peers->gate;
    int64_t now = Ga_Now(gate);
    if (peers->listed_at != 0 && now - peers->listed_at < Pe_LIST_EVERY_USEC) {
        return;
    }
    bool alone = Ms_CountAlive(gate->mesh) <= 1;
    if (peers->listed && (alone || Ms_Rank(gate->mesh) < Pe_ANNOUNCED)) {
        announce(peers);
    }
    if ((!peers->listed || alone) && !peers->listing) {
        peers->listing = true;
        Ag_Newest(gate->options.store, AG_HOSTS, NULL, on_listed, peers);
    }
    peers->listed_at = now;
}
