/* Fills the messages to peers, and applies those of peers. */
#include <bsd/string.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "edge/brittle.h"
#include "edge/paths.h"
#include "edge/peers_internal.h"
#include "edge/quarantine.h"

/*
 * Two sides of a network partition share one rate. A few unreachable hosts of
 * many are more likely late messages than a partition; what those hosts may
 * spend is within the tenth that the bound allows.
 */
#define Pe_FULL_RATE_MIN_SHARE 0.95
/*
 * Daemons that were killed together are up again within this time of each
 * other.
 */
#define Pe_SAME_START_USEC (2 * Ck_USEC_PER_SEC)

static void
fill_loads(const struct ga_gate *gate, struct ms_word *word)
{
    const struct fl_endpoint *endpoint;
    TAILQ_FOREACH (endpoint, Fl_All(gate->fleet), link) {
        if (endpoint->running > 0 && word->load_count < Ms_LOADS_MAX) {
            word->loads[word->load_count++] = (struct ms_load){
                endpoint->hash, endpoint->running, endpoint->reading};
        }
    }
}

static void
fill_usage(void *arg, uint32_t tenant, uint64_t total, uint64_t asked)
{
    struct ms_word *word = arg;
    if (word->spent_count < Ms_SPENT_MAX) {
        word->spent[word->spent_count++] =
            (struct ms_spent){tenant, total, asked};
    }
}

/* Daemons that have just started have no usage from before their start. */
static void
fill_past_usage(struct ga_gate *gate, struct ms_word *word)
{
    struct qt_recent rows[Qt_RECENT_MAX];
    size_t count = 0;
    if (Ms_AnyYounger(gate->mesh, gate->options.node->quota_window_usec)) {
        count = Qt_Recent(gate->quota, rows);
    }
    for (size_t i = 0; i < count && word->past_count < Ms_SPENT_MAX; i++) {
        const struct wn_past *past = &rows[i].past;
        if (past->older + past->newer >= 1) {
            word->pasts[word->past_count++] = (struct ms_past){
                rows[i].tenant, (uint64_t)past->older, (uint64_t)past->newer};
        }
    }
}

static void
fill_request_counts(const struct ga_gate *gate, struct ms_word *word)
{
    int64_t now = Wo_Window(gate, Tt_Now(gate->time));
    for (int64_t window = now; window > now - 3; window--) {
        struct us_count counts[Us_TENANTS_MAX];
        size_t count = Us_Own(gate->usage, window, counts);
        for (size_t i = 0; i < count && word->counted_count < Ms_COUNTS_MAX;
             i++) {
            word->counted[word->counted_count++] =
                (struct ms_counted){window, counts[i].tenant, counts[i].count};
        }
    }
}

static void
fill_message(void *arg, struct ms_word *word)
{
    struct ga_gate *gate = arg;
    word->up_usec = Ga_Now(gate) - gate->started_at;
    word->ready = Ga_Ready(gate);
    word->stopping = gate->stopping_at != 0;
    word->store_reached = Fe_Reached(gate->feed);
    word->cut = Pt_AnyCut(gate->paths);
    word->reads_config = Fe_Reads(gate->feed, AG_CONFIG);
    word->reads_entries = Fe_Reads(gate->feed, AG_ENDPOINTS);
    word->config_changed = Fe_Changed(gate->feed, AG_CONFIG);
    word->entries_changed = Fe_Changed(gate->feed, AG_ENDPOINTS);
    word->lease = Du_Told(gate->duty);
    fill_loads(gate, word);
    Qt_Each(gate->quota, fill_usage, word);
    fill_past_usage(gate, word);
    fill_request_counts(gate, word);
    Bt_Fill(gate, word);
    Qn_Fill(gate->quarantine, word);
    word->rate_count = De_Own(gate->demand, word->rates);
    word->evidence_count =
        Ro_Own(gate->moves, word->evidence, Ms_EVIDENCE_MAX);
    word->standing_count =
        Ro_Standings(gate->moves, word->standings, Ro_MOVES_MAX);
}

/* Replaces what this daemon has sent by the sums over its data centre. */
static void
fill_zone_summary(void *arg, struct ms_word *word)
{
    struct ga_gate *gate = arg;
    Zn_Summarize(gate->zones, word);
    word->counted_count = 0;
    word->rate_count = 0;
    word->evidence_count = 0;
    word->load_count = 0;
    const struct fl_endpoint *endpoint;
    TAILQ_FOREACH (endpoint, Fl_All(gate->fleet), link) {
        int running = endpoint->running + endpoint->near_running;
        if (running > 0 && word->load_count < Ms_SUMMARY_LOADS_MAX) {
            word->loads[word->load_count++] =
                (struct ms_load){endpoint->hash, running,
                                 endpoint->reading + endpoint->near_reading};
        }
    }
}

static void
charge_peer_usage(struct ga_gate *gate, const struct ms_spent *more,
                  bool while_unreachable)
{
    if (more->asked > 0) {
        Qt_Asked(gate->quota, more->tenant, (double)more->asked);
    }
    if (more->total > 0) {
        Qt_Spent(gate->quota, more->tenant, (double)more->total,
                 while_unreachable);
    }
}

/*
 * Charges what a peer admitted since its previous message, or since its start.
 * The usage of peers in a data centre that reports summaries is part of those.
 */
static void
apply_usage(struct ga_gate *gate, const struct ms_peer *peer,
            const struct ms_word *word)
{
    bool same_run = peer->run == word->run;
    bool returned = peer->run != 0 && !Ms_Heard(gate->mesh, peer);
    bool while_unreachable = same_run && returned;
    int64_t up_usec = Ga_Now(gate) - gate->started_at;
    if (peer->run == 0 && word->up_usec > up_usec + Pe_SAME_START_USEC) {
        /* The peer admitted most of that before this daemon started. */
        return;
    }
    if (returned) {
        Qt_Returned(gate->quota);
    }
    bool near = strcmp(word->zone, gate->options.node->zone) == 0;
    bool reported = !near && Zn_IsReported(gate->zones, word->zone);
    for (size_t i = 0; i < word->spent_count && !reported; i++) {
        struct ms_spent more = Ms_SpentMore(&word->spent[i], peer->spent,
                                            same_run ? peer->spent_count : 0);
        charge_peer_usage(gate, &more, while_unreachable);
        if (near) {
            Zn_AddNear(gate->zones, &more);
        }
    }
}

/* Only from a daemon that has been up for a whole window. */
static void
apply_past_usage(struct ga_gate *gate, const struct ms_word *word)
{
    if (word->up_usec < gate->options.node->quota_window_usec) {
        return;
    }
    for (size_t i = 0; i < word->past_count; i++) {
        struct wn_past past = {(double)word->pasts[i].older,
                               (double)word->pasts[i].newer};
        Qt_ToldPast(gate->quota, word->pasts[i].tenant, &past);
    }
}

static void
on_zone_usage(void *arg, const struct ms_spent *more)
{
    charge_peer_usage(arg, more, false);
}

static void
on_message(void *arg, const struct ms_peer *peer, const struct ms_word *word)
{
    struct ga_gate *gate = arg;
    Tt_Peer(gate->time, Hash_String(word->ip, 0), word->wall_usec);
    if (word->summary) {
        Zn_Take(gate->zones, word, on_zone_usage, gate);
    }
    else {
        apply_usage(gate, peer, word);
    }
    apply_past_usage(gate, word);
    for (size_t i = 0; i < word->counted_count; i++) {
        Us_Peer(gate->usage, word->run, word->counted[i].window,
                word->counted[i].tenant, word->counted[i].count);
    }
    Bt_Take(gate, word);
    Qn_Take(gate->quarantine, word);
    if (word->lease.fence > 0) {
        Du_Heard(gate->duty, &word->lease);
    }
    for (size_t i = 0; i < word->standing_count; i++) {
        Ro_Heard(gate->moves, &word->standings[i],
                 word->lease.fence > 0 && word->lease.left_usec > 0);
    }
}

static const struct ms_ops mesh_ops = {
    .fill = fill_message,
    .summarize = fill_zone_summary,
    .word = on_message,
};

/*
 * Hosts that cannot be reached may be on the other side of a network partition
 * and still serve callers. If both sides admitted the whole rate, a tenant at
 * its limit would get it twice. Hosts that announced their stop do not count.
 */
static void
set_quota_share(struct ga_gate *gate)
{
    size_t heard = Ms_CountHeard(gate->mesh);
    size_t expected = Ms_CountExpected(gate->mesh);
    double share = (double)heard / (double)expected;
    Qt_SetShare(gate->quota, share < Pe_FULL_RATE_MIN_SHARE ? share : 1);
    Qt_SetPeers(gate->quota, expected - heard, Ms_Lag(gate->mesh));
    Bu_SetDaemons(gate->budget, Ms_CountKnown(gate->mesh));
}

static void
sum_peer_evidence(struct ga_gate *gate)
{
    Ro_ClearOthers(gate->moves);
    const struct ms_peer *peer;
    TAILQ_FOREACH (peer, Ms_Peers(gate->mesh), link) {
        if (Ms_Alive(gate->mesh, peer)) {
            Ro_AddOthers(gate->moves, peer->evidence, peer->evidence_count);
        }
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
    gate->mesh = Ms_Create(gate->options.clock, node, gate->options.run,
                           &mesh_ops, gate);
    if (gate->mesh == NULL ||
        Sv_Create(gate->options.loop, gate->options.clock, address,
                  &pe_state_ops, peers, &peers->server) != ST_OK) {
        Ms_Destroy(gate->mesh);
        gate->mesh = NULL;
        free(peers);
        return NULL;
    }
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
    sum_peer_evidence(peers->gate);
    set_quota_share(peers->gate);
    pe_discover_peers(peers);
    pe_fetch_newer_state(peers);
}
