/* What the other daemons say of themselves, taken in and told. */
#include <bsd/string.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "edge/brittle.h"
#include "edge/paths.h"
#include "edge/peers_internal.h"
#include "edge/quarantine.h"

/*
 * Hosts that do not hear each other hand out one rate together.  That a few
 * of many are not heard is no cut but a word that came late; what they may
 * spend is within the bound's allowance of a tenth.
 */
#define Pe_ALMOST_ALL 0.95
/* Daemons killed together are back within this of each other. */
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
fill_spent(void *arg, uint32_t tenant, uint64_t total, uint64_t asked)
{
    struct ms_word *word = arg;
    if (word->spent_count < Ms_SPENT_MAX) {
        word->spent[word->spent_count++] =
            (struct ms_spent){tenant, total, asked};
    }
}

/* Daemons that have just started know of no spending before. */
static void
fill_pasts(struct ga_gate *gate, struct ms_word *word)
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
fill_counted(const struct ga_gate *gate, struct ms_word *word)
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
fill(void *arg, struct ms_word *word)
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
    Qt_Each(gate->quota, fill_spent, word);
    fill_pasts(gate, word);
    fill_counted(gate, word);
    Bt_Fill(gate, word);
    Qn_Fill(gate->quarantine, word);
    word->rate_count = De_Own(gate->demand, word->rates);
    word->evidence_count =
        Ro_Own(gate->moves, word->evidence, Ms_EVIDENCE_MAX);
    word->standing_count =
        Ro_Standings(gate->moves, word->standings, Ro_MOVES_MAX);
}

/* Sums over this data centre in place of what this daemon has sent. */
static void
summarize(void *arg, struct ms_word *word)
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
spend(struct ga_gate *gate, const struct ms_spent *more, bool apart)
{
    if (more->asked > 0) {
        Qt_Asked(gate->quota, more->tenant, (double)more->asked);
    }
    if (more->total > 0) {
        Qt_Spent(gate->quota, more->tenant, (double)more->total, apart);
    }
}

/*
 * What a peer admitted since its last word, or since its start.  That of a
 * data centre whose sums are told is in them.
 */
static void
take_spent(struct ga_gate *gate, const struct ms_peer *peer,
           const struct ms_word *word)
{
    bool same = peer->run == word->run;
    bool back = peer->run != 0 && !Ms_Heard(gate->mesh, peer);
    bool apart = same && back;
    int64_t up_usec = Ga_Now(gate) - gate->started_at;
    if (peer->run == 0 && word->up_usec > up_usec + Pe_SAME_START_USEC) {
        /* It admitted most of that before this daemon was there. */
        return;
    }
    if (back) {
        Qt_Returned(gate->quota);
    }
    bool near = strcmp(word->zone, gate->options.node->zone) == 0;
    bool told = !near && Zn_IsReported(gate->zones, word->zone);
    for (size_t i = 0; i < word->spent_count && !told; i++) {
        struct ms_spent more = Ms_SpentMore(&word->spent[i], peer->spent,
                                            same ? peer->spent_count : 0);
        spend(gate, &more, apart);
        if (near) {
            Zn_AddNear(gate->zones, &more);
        }
    }
}

/* Only of a daemon that has seen a whole window. */
static void
take_pasts(struct ga_gate *gate, const struct ms_word *word)
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
on_zone_spent(void *arg, const struct ms_spent *more)
{
    spend(arg, more, false);
}

static void
on_word(void *arg, const struct ms_peer *peer, const struct ms_word *word)
{
    struct ga_gate *gate = arg;
    Tt_Peer(gate->time, Hash_String(word->ip, 0), word->wall_usec);
    if (word->summary) {
        Zn_Take(gate->zones, word, on_zone_spent, gate);
    }
    else {
        take_spent(gate, peer, word);
    }
    take_pasts(gate, word);
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
    .fill = fill,
    .summarize = summarize,
    .word = on_word,
};

/*
 * Hosts that are not heard may be cut off from this one and serve callers all
 * the same; were both sides to hand out the whole rate, a tenant at its limit
 * would get it twice.  Hosts that said that they stop do not count.
 */
static void
share_quota(struct ga_gate *gate)
{
    size_t heard = Ms_CountHeard(gate->mesh);
    size_t expected = Ms_CountExpected(gate->mesh);
    double share = (double)heard / (double)expected;
    Qt_SetShare(gate->quota, share < Pe_ALMOST_ALL ? share : 1);
    Qt_SetPeers(gate->quota, expected - heard, Ms_Lag(gate->mesh));
    Bu_SetDaemons(gate->budget, Ms_CountKnown(gate->mesh));
}

static void
sum_evidence(struct ga_gate *gate)
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
        Bf_Free(&peers->packed.bytes);
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
    sum_evidence(peers->gate);
    share_quota(peers->gate);
    pe_find_peers(peers);
    pe_fetch_newer(peers);
}
