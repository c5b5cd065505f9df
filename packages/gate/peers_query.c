/* What this daemon knows of its peers, from membership and their facts. */
#include <stdio.h>
#include <string.h>

#include "gate/peer_facts.h"
#include "gate/peers_internal.h"

/* How long a new daemon takes to learn the membership. */
#define Pe_LEARN_USEC (10 * Ck_USEC_PER_SEC)

/*
 * Reads which config offset a daemon has published and for which run; false
 * when it published nothing.
 */
bool
Pe_FindConfig(const struct pe_peers *peers, const char *node,
              struct pf_config *out)
{
    struct fc_fact fact;
    return Fc_Get(Nd_Facts(peers->node), node, Pf_CONFIG, &fact) &&
           Pf_ReadConfig(fact.value, fact.len, out);
}

/* Finds where a daemon accepts tunnels; false when it published nothing. */
bool
Pe_FindTunnel(const struct pe_peers *peers, const char *node,
              struct pf_tunnel *out)
{
    struct fc_fact fact;
    return Fc_Get(Nd_Facts(peers->node), node, Pf_TUNNEL, &fact) &&
           Pf_ReadTunnel(fact.value, fact.len, out);
}

/* Ids of the daemons that accept new requests; returns their number. */
size_t
Pe_Routers(const struct pe_peers *peers, const char **out, size_t max)
{
    const struct mb_table *members = Nd_Members(peers->node);
    const struct mb_record *member = Mb_First(members);
    size_t count = 0;
    for (; member != NULL && count < max; member = Mb_Next(member)) {
        if (member->state == MB_ALIVE) {
            out[count++] = member->id;
        }
    }
    return count;
}

/*
 * Whether a run of a daemon has ended: the daemon is dead, or has restarted
 * with another incarnation.  Always false just after a start, when this daemon
 * does not know the membership yet.
 */
bool
Pe_RunEnded(const struct pe_peers *peers, const char *node,
            uint64_t incarnation)
{
    if (Ck_Now(peers->gate->clock) - peers->started < Pe_LEARN_USEC) {
        return false;
    }
    if (strcmp(node, Nd_Id(peers->node)) == 0) {
        return incarnation != peers->incarnation;
    }
    const struct mb_record *member = Mb_Find(Nd_Members(peers->node), node);
    if (member == NULL || member->state == MB_DEAD) {
        return true;
    }
    struct pf_config config;
    return Pe_FindConfig(peers, node, &config) &&
           config.incarnation != incarnation;
}

/* The highest config offset that any daemon has published. */
uint64_t
Pe_HighestOffset(const struct pe_peers *peers)
{
    return peers->highest_offset;
}

/* The name of a member state in the status document. */
static const char *
state_name(enum mb_state state)
{
    switch (state) {
    case MB_ALIVE:
        return "live";
    case MB_LEAVING:
        return "leaving";
    case MB_SUSPECT:
        return "suspect";
    case MB_DEAD:
        return "gone";
    }
    return "gone";
}

static json_t *
daemon_status(const struct pe_peers *peers, const struct mb_record *member,
              uint64_t own_offset)
{
    struct pf_config config;
    uint64_t offset = 0;
    bool self = strcmp(member->id, Nd_Id(peers->node)) == 0;
    if (self) {
        offset = own_offset;
    }
    else if (Pe_FindConfig(peers, member->id, &config)) {
        offset = config.offset;
    }
    char address[Mb_ADDRESS_MAX + 8];
    snprintf(address, sizeof(address), "%s:%u", member->address,
             member->admin_port);
    return json_pack("{s:s,s:s,s:s,s:s,s:I}", "node", member->id, "address",
                     address, "data_centre", member->data_centre, "state",
                     state_name(member->state), "config_offset",
                     (json_int_t)offset);
}

/* A new array of all daemons, in this daemon's view. */
json_t *
Pe_Status(const struct pe_peers *peers, uint64_t own_offset)
{
    json_t *list = json_array();
    const struct mb_table *members = Nd_Members(peers->node);
    bool self_seen = false;
    const struct mb_record *member = Mb_First(members);
    for (; member != NULL; member = Mb_Next(member)) {
        self_seen = self_seen || strcmp(member->id, Nd_Id(peers->node)) == 0;
        json_array_append_new(list, daemon_status(peers, member, own_offset));
    }
    if (!self_seen) {
        json_array_append_new(
            list, daemon_status(peers, Mb_Self(members), own_offset));
    }
    return list;
}
