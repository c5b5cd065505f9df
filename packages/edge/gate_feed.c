/*
 * Applies what the feed reads, and tells the feed what the peers read.
 */
#include <string.h>

#include "edge/gate_internal.h"
#include "edge/gate_parts.h"

#define Ga_READERS 3
#define Ga_MANY_HOSTS 16

static void
on_config(void *arg, struct ec_config *config)
{
    struct ga_gate *gate = arg;
    Qt_Configure(gate->quota, config);
    struct sv_limits limits = {
        .head_bytes = config->limits.head_bytes,
        .body_bytes = config->limits.body_bytes,
        .head_usec = config->limits.head_usec,
        .idle_usec = config->limits.idle_usec,
    };
    Sv_SetLimits(gate->callers, &limits);
    Ln_Log(LN_STATE, "config.applied",
           "\"version\":%lld,\"routes\":%zu,\"tenants\":%zu,\"keys\":%zu",
           (long long)config->version, config->route_count,
           config->tenant_count, config->key_count);
}

static void
on_order(void *arg, const struct ro_order *order)
{
    struct ga_gate *gate = arg;
    Ro_Order(gate->moves, order);
}

static void
on_evacuation(void *arg, const char *zone, bool evacuate)
{
    struct ga_gate *gate = arg;
    if (Fl_Evacuate(gate->fleet, zone, evacuate)) {
        /* The load of the other data centres rises or falls from now on. */
        Co_PlanSoon(gate->controller);
    }
}

static void
on_store(void *arg, bool reached)
{
    struct ga_gate *gate = arg;
    const struct ec_config *config = Fe_Config(gate->feed);
    Ln_Log(LN_STATE, reached ? "store.regained" : "store.lost",
           "\"config\":%lld",
           config == NULL ? -1LL : (long long)config->version);
}

static bool
peers_reach_store(void *arg)
{
    const struct ga_gate *gate = arg;
    const struct ms_peer *peer;
    TAILQ_FOREACH (peer, Ms_Peers(gate->mesh), link) {
        if (Ms_Alive(gate->mesh, peer) && peer->store_reached) {
            return true;
        }
    }
    return false;
}

/*
 * Whether a peer can be relied on to pass on what it reads from the store.
 * Messages from a host in another data centre arrive seconds apart, and all
 * readers may be in a data centre that has failed.  The summaries of a
 * whole data centre arrive more often, so that their absence shows the failure
 * sooner.
 */
static bool
is_timely_reader(const struct ga_gate *gate, const struct ms_peer *peer)
{
    return Ms_IsResponsive(gate->mesh, peer) &&
           (peer->same_zone || !Ms_UsesSummaries(gate->mesh) ||
            Zn_IsReported(gate->zones, peer->zone));
}

/*
 * Whether a peer precedes this host in the order of readers.  The heartbeats
 * of thousands of endpoints are hundreds of kilobytes a second and would delay
 * the traffic of callers and peers on a narrow link, so the hosts with the
 * widest links come first.
 */
static bool
precedes(const struct nd_node *own, const struct ms_peer *peer)
{
    if (peer->link_mbps != own->link_mbps) {
        return peer->link_mbps > own->link_mbps;
    }
    return strcmp(peer->name, own->name) < 0;
}

/*
 * Whether this host may leave the topic to other readers.  The first
 * Ga_READERS hosts read, as do hosts that have contact with fewer readers.
 * Updates stay timely when two readers fail at once.
 */
static bool
enough_readers(void *arg, enum ag_topic topic)
{
    const struct ga_gate *gate = arg;
    size_t readers = 0;
    const struct ms_peer *peer;
    TAILQ_FOREACH (peer, Ms_Peers(gate->mesh), link) {
        bool reads =
            topic == AG_CONFIG ? peer->reads_config : peer->reads_entries;
        readers += reads && !peer->stopping && is_timely_reader(gate, peer) &&
                   precedes(gate->options.node, peer);
    }
    return readers >= Ga_READERS;
}

/*
 * Whether many hosts are known, or may become known in a moment because their
 * addresses are being read.
 */
static bool
many_hosts_known(void *arg)
{
    const struct ga_gate *gate = arg;
    return Pe_IsDiscovering(gate->peers) ||
           Ms_CountExpected(gate->mesh) >= Ga_MANY_HOSTS;
}

const struct fe_ops ga_feed_ops = {
    .config = on_config,
    .order = on_order,
    .evacuation = on_evacuation,
    .store = on_store,
    .peers_reach = peers_reach_store,
    .peers_read = enough_readers,
    .peers_known = many_hosts_known,
};
