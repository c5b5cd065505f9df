/* Fills the messages to peers, and applies those of peers. */
#include <bsd/string.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "edge/brittle.h"
#include "edge/paths.h"
#include "edge/peers_internal.h"
#include "edge/quarantine.h"
#include "edge/rate_limit.h"

/*
 * A daemon that reaches at least this fraction of the hosts uses the whole
 * rate; below that, two sides of a network partition share it. A few
 * unreachable hosts of many are more likely late messages than a partition,
 * and what they may spend is within the tenth by which the bound exceeds a
 * limit.
 */
#define Pe_FULL_RATE_MIN_SHARE 0.95
/*
 * Daemons that were killed together are up again within this time of each
 * other.
 */
#define Pe_SAME_START_USEC (2 * Ck_USEC_PER_SEC)
/* The mesh forgets silent peers after this time, see Ms_EXPIRY_USEC. */
#define Pe_FORGOTTEN_USEC (60 * Ck_USEC_PER_SEC)

static void
fill_usage(void *arg, uint32_t tenant, uint64_t total, uint64_t requested)
{
    struct ms_message *message = arg;
    if (message->usage_count < Ms_USAGE_MAX) {
        message->usage[message->usage_count++] =
            (struct ms_usage){tenant, total, requested};
    }
}

/*
 * Past usage is sent only while some peer has just started: that peer has no
 * count of the usage before its start.
 */
static void
fill_past_usage(struct ga_gate *gate, struct ms_message *message)
{
    struct qt_recent rows[Qt_RECENT_MAX];
    size_t count = 0;
    if (Ms_AnyStartedWithin(gate->mesh,
                            gate->options.node->quota_window_usec)) {
        count = Qt_RecentUsage(gate->quota, rows);
    }
    for (size_t i = 0; i < count && message->past_usage_count < Ms_USAGE_MAX;
         i++) {
        const struct wn_past *past = &rows[i].past;
        if (past->older + past->newer >= 1) {
            message->past_usage[message->past_usage_count++] =
                (struct ms_past_usage){rows[i].tenant, (uint64_t)past->older,
                                       (uint64_t)past->newer};
        }
    }
}

static void
fill_request_counts(const struct ga_gate *gate, struct ms_message *message)
{
    int64_t now = Co_UsageWindow(gate, Tt_Now(gate->true_time));
    for (int64_t window = now; window > now - 3; window--) {
        struct us_count counts[Us_TENANTS_MAX];
        size_t count = Us_Own(gate->usage, window, counts);
        for (size_t i = 0;
             i < count && message->request_count_rows < Ms_COUNTS_MAX; i++) {
            message->request_counts[message->request_count_rows++] =
                (struct ms_request_count){window, counts[i].tenant,
                                          counts[i].count};
        }
    }
}

static void
fill_message(void *arg, struct ms_message *message)
{
    struct ga_gate *gate = arg;
    message->up_usec = Ga_Now(gate) - gate->started_at;
    message->ready = Ga_IsReady(gate);
    message->stopping = gate->stopping_at != 0;
    message->store_reached = Fe_Reached(gate->feed);
    message->links_cut = Pt_AnyCut(gate->paths);
    message->reads_config = Fe_Reads(gate->feed, AG_CONFIG);
    message->reads_entries = Fe_Reads(gate->feed, AG_ENDPOINTS);
    message->config_changes_end = Fe_ChangesEnd(gate->feed, AG_CONFIG);
    message->entries_changes_end = Fe_ChangesEnd(gate->feed, AG_ENDPOINTS);
    message->lease = Lr_LeaseNotice(gate->lease);
    pe_fill_loads(gate, message);
    Qt_Each(gate->quota, fill_usage, message);
    pe_fill_ranks(gate, message);
    fill_past_usage(gate, message);
    fill_request_counts(gate, message);
    Bt_FillMessage(gate, message);
    Rl_FillMessage(gate, message, false);
    Qn_FillMessage(gate->quarantine, message);
    message->rate_count = De_LocalRates(gate->demand, message->rates);
    message->outcome_count =
        Ro_LocalOutcomes(gate->moves, message->outcomes, Ms_OUTCOMES_MAX);
    message->move_status_count =
        Ro_Statuses(gate->moves, message->move_statuses, Ro_MOVES_MAX);
}

/* Replaces what this daemon has sent by the sums over its data centre. */
static void
fill_zone_summary(void *arg, struct ms_message *message)
{
    struct ga_gate *gate = arg;
    Zn_Summarize(gate->zones, message);
    pe_summarize_ranks(gate, message);
    Rl_FillMessage(gate, message, true);
    message->request_count_rows = 0;
    message->rate_count = 0;
    message->outcome_count = 0;
    pe_fill_zone_loads(gate, message);
}

static void
charge_peer_usage(struct ga_gate *gate, const struct ms_usage *more,
                  bool while_unreachable)
{
    if (more->requested > 0) {
        Qt_AddPeerDemand(gate->quota, more->tenant, (double)more->requested);
    }
    if (more->total > 0) {
        Qt_AddPeerUsage(gate->quota, more->tenant, (double)more->total,
                        while_unreachable);
    }
}

/*
 * Charges what a peer admitted since its previous message, or since its start.
 * The usage of peers in a data centre that reports summaries is part of those,
 * except what a peer admitted while it was partitioned off: after a partition
 * through data centres, the reporters of the two sides have summed different
 * daemons.  So each daemon charges that part at the peer's first message, when
 * it also releases what was reserved for the peer.  Neither a lost message nor
 * a suspension of this process is a partition.
 */
static void
apply_usage(struct ga_gate *gate, const struct ms_peer *peer,
            const struct ms_message *message)
{
    int64_t up_usec = Ga_Now(gate) - gate->started_at;
    bool same_run = peer->run == message->run;
    /*
     * A daemon that has just started knows the addresses of peers before it
     * hears them, and has reserved tokens for them.
     */
    bool may_return = peer->run != 0 || up_usec < Pe_SAME_START_USEC;
    bool returned = may_return && !Ms_IsReachable(gate->mesh, peer);
    bool while_unreachable = same_run && returned;
    if (returned) {
        Qt_PeerReturned(gate->quota);
    }
    bool started_before = message->up_usec > up_usec + Pe_SAME_START_USEC;
    bool was_forgotten = up_usec > Pe_FORGOTTEN_USEC;
    if (peer->run == 0 && message->up_usec > Pe_SAME_START_USEC &&
        (started_before || was_forgotten)) {
        /*
         * The peer admitted most of its usage before this daemon started or
         * before a silence in which it was forgotten.
         */
        return;
    }
    bool was_partitioned = while_unreachable &&
                           !Ms_IsResponsive(gate->mesh, peer) &&
                           !Ms_WasSuspended(gate->mesh);
    if (was_partitioned) {
        Zn_DropSilentReporters(gate->zones, message->zone);
    }
    bool same_zone = strcmp(message->zone, gate->options.node->zone) == 0;
    bool reported = !same_zone && Zn_IsReported(gate->zones, message->zone);
    for (size_t i = 0;
         i < message->usage_count && (was_partitioned || !reported); i++) {
        struct ms_usage more = Ms_UsageIncrease(
            &message->usage[i], peer->usage, same_run ? peer->usage_count : 0);
        charge_peer_usage(gate, &more, while_unreachable);
        if (same_zone && !was_partitioned) {
            Zn_AddLocalUsage(gate->zones, &more);
        }
    }
}

/* Ignores the counts of a peer that was not up for a whole window. */
static void
apply_past_usage(struct ga_gate *gate, const struct ms_message *message)
{
    if (message->up_usec < gate->options.node->quota_window_usec) {
        return;
    }
    for (size_t i = 0; i < message->past_usage_count; i++) {
        struct wn_past past = {(double)message->past_usage[i].older,
                               (double)message->past_usage[i].newer};
        Qt_ApplyPastUsage(gate->quota, message->past_usage[i].tenant, &past);
    }
}

static void
on_zone_usage(void *arg, const struct ms_usage *more)
{
    charge_peer_usage(arg, more, false);
}

static void
on_message(void *arg, const struct ms_peer *peer,
           const struct ms_message *message)
{
    struct ga_gate *gate = arg;
    Tt_AddPeerTime(gate->true_time, Hash_String(message->ip, 0),
                   message->wall_usec);
    if (message->summary) {
        Zn_ApplySummary(gate->zones, message, on_zone_usage, gate);
    }
    else {
        apply_usage(gate, peer, message);
        if (peer->run != message->run) {
            Ro_RetireOutcomes(gate->moves, peer->outcomes,
                              peer->outcome_count);
        }
    }
    apply_past_usage(gate, message);
    for (size_t i = 0; i < message->request_count_rows; i++) {
        Us_TakePeerCount(gate->usage, message->run,
                         message->request_counts[i].window,
                         message->request_counts[i].tenant,
                         message->request_counts[i].count);
    }
    Bt_ApplyMessage(gate, message);
    Rl_ApplyMessage(gate, message);
    Qn_ApplyMessage(gate->quarantine, message);
    if (message->lease.fence > 0) {
        Lr_HandleNotice(gate->lease, &message->lease);
    }
    for (size_t i = 0; i < message->move_status_count; i++) {
        Ro_ApplyStatus(gate->moves, &message->move_statuses[i],
                       message->lease.fence > 0 &&
                           message->lease.remaining_usec > 0);
    }
}

static const struct ms_ops mesh_ops = {
    .fill = fill_message,
    .summarize = fill_zone_summary,
    .message = on_message,
};

/*
 * Hosts that cannot be reached may be on the other side of a network partition
 * and still serve callers. If both sides admitted the whole rate, a tenant at
 * its limit would get it twice. Hosts that announced their stop do not count.
 */
static void
set_quota_share(struct ga_gate *gate)
{
    size_t reachable = Ms_CountReachable(gate->mesh);
    size_t expected = Ms_CountExpected(gate->mesh);
    double share = (double)reachable / (double)expected;
    Qt_SetShare(gate->quota, share < Pe_FULL_RATE_MIN_SHARE ? share : 1);
    Qt_SetPeers(gate->quota, expected - reachable, Ms_ReportDelay(gate->mesh));
    Bu_SetHosts(gate->budget, Ms_CountRunning(gate->mesh));
}

/*
 * A peer that is silent or gone counts as long as it is known: what its
 * requests showed of a version stands.
 */
static void
sum_peer_outcomes(struct ga_gate *gate)
{
    Ro_ClearPeerOutcomes(gate->moves);
    const struct ms_peer *peer;
    TAILQ_FOREACH (peer, Ms_Peers(gate->mesh), link) {
        Ro_AddPeerOutcomes(gate->moves, peer->outcomes, peer->outcome_count);
    }
}

struct pe_peers *
Pe_Create(struct ga_gate *gate)
{
    const struct nd_node *node = gate->options.node;
    struct pe_peers *peers = calloc(1, sizeof(*peers));
    if (peers == NULL) {
        return NULL;
    }
    peers->gate = gate;
    char address[Nd_NAME_MAX + 8];
    snprintf(address, sizeof(address), "%s:%d", node->ip, node->peer_port);
    gate->mesh = Ms_Create(gate->options.clock, node, gate->options.run_id,
                           &mesh_ops, gate);
    if (gate->mesh == NULL ||
        Sv_Create(gate->options.loop, gate->options.clock, address,
                  &pe_state_ops, peers, &peers->server) != ST_OK) {
        Ms_Destroy(gate->mesh);
        gate->mesh = NULL;
        free(peers);
        return NULL;
    }
    Ga_LimitServer(gate, peers->server, "state");
    return peers;
}

void
Pe_Destroy(struct pe_peers *peers)
{
    if (peers != NULL) {
        pe_end_fetch(peers);
        Bf_Free(&peers->compressed.bytes);
        Sv_Destroy(peers->server);
        free(peers);
    }
}

void
Pe_Tick(struct pe_peers *peers)
{
    Ms_Tick(peers->gate->mesh);
    Sv_Tick(peers->server);
    pe_sum_loads(peers->gate);
    pe_sum_ranks(peers->gate);
    sum_peer_outcomes(peers->gate);
    set_quota_share(peers->gate);
    pe_discover_peers(peers);
    pe_fetch_newer_state(peers);
}
