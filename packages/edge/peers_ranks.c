/*
 * Reports the demand by rank of tenants near their limit to peers, and sums
 * the reports of peers for the quota.
 */
#include "edge/peers_internal.h"

static uint32_t
tokens(double per_sec)
{
    return per_sec < (double)UINT32_MAX ? (uint32_t)per_sec : UINT32_MAX;
}

static void
fill(void *arg, uint32_t tenant, const double per_sec[Rk_RANKS])
{
    struct ms_message *message = arg;
    if (message->rank_demand_count == Ms_RANK_DEMANDS_MAX) {
        return;
    }
    struct ms_rank_demand *row =
        &message->rank_demands[message->rank_demand_count++];
    row->tenant = tenant;
    for (int rank = 0; rank < Rk_RANKS; rank++) {
        row->per_sec[rank] = tokens(per_sec[rank]);
    }
}

void
pe_fill_ranks(struct ga_gate *gate, struct ms_message *message)
{
    Qt_EachRankDemand(gate->quota, fill, message);
}

void
pe_summarize_ranks(struct ga_gate *gate, struct ms_message *message)
{
    const struct ms_peer *peer;
    TAILQ_FOREACH (peer, Ms_Peers(gate->mesh), link) {
        if (!peer->same_zone || !Ms_Alive(gate->mesh, peer)) {
            continue;
        }
        for (size_t i = 0; i < peer->rank_demand_count; i++) {
            Zn_AddRankDemand(message, &peer->rank_demands[i]);
        }
    }
}

static void
add(void *arg, const struct ms_rank_demand *demand, int64_t age_usec)
{
    struct ga_gate *gate = arg;
    Qt_AddPeerRanks(gate->quota, demand->tenant, demand->per_sec, age_usec);
}

/*
 * While a data centre reports summaries, the demand at its daemons is part of
 * those.
 */
void
pe_sum_ranks(struct ga_gate *gate)
{
    Qt_ClearPeerRanks(gate->quota);
    const struct ms_peer *peer;
    TAILQ_FOREACH (peer, Ms_Peers(gate->mesh), link) {
        if (!Ms_Alive(gate->mesh, peer) ||
            (!peer->same_zone && Zn_IsReported(gate->zones, peer->zone))) {
            continue;
        }
        for (size_t i = 0; i < peer->rank_demand_count; i++) {
            add(gate, &peer->rank_demands[i],
                Ga_Now(gate) - peer->last_message_at);
        }
    }
    Zn_EachRankDemand(gate->zones, add, gate);
}
