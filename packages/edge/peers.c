/* What the other daemons say of themselves, taken in and told. */
#include <bsd/string.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "edge/peers_internal.h"

/* Hosts whose addresses stand in the store. */
#define Pe_ANNOUNCED 16
/* When nobody is heard, the hosts' records in the store are read again. */
#define Pe_LIST_EVERY_USEC (2 * Ck_USEC_PER_SEC)
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
    word->reads_config = Fe_Reads(gate->feed, AG_CONFIG);
    word->reads_entries = Fe_Reads(gate->feed, AG_ENDPOINTS);
    word->config_changed = Fe_Changed(gate->feed, AG_CONFIG);
    word->entries_changed = Fe_Changed(gate->feed, AG_ENDPOINTS);
    word->lease = Du_Told(gate->duty);
    fill_loads(gate, word);
    Qt_Each(gate->quota, fill_spent, word);
    fill_counted(gate, word);
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

/*
 * A word is some tenths of a second old, with many daemons most of one; what
 * it told to be waiting has been read since, as far as the endpoint got.
 * Taken as it stands, endpoints that have long been idle look busy, and those
 * that are busy now cannot be told from them.
 */
static int64_t
still_waiting(const struct ga_gate *gate, const struct fl_endpoint *endpoint,
              int64_t reading, int64_t age_usec)
{
    double read = De_ReadRate(gate->demand, endpoint->entry.service) *
                  (double)age_usec / (double)Ck_USEC_PER_SEC;
    return (double)reading > read ? reading - (int64_t)read : 0;
}

static void
add_near_loads(struct ga_gate *gate, const struct ms_peer *peer)
{
    for (size_t i = 0; i < peer->load_count; i++) {
        const struct ms_load *load = &peer->loads[i];
        struct fl_endpoint *endpoint = Fl_ByHash(gate->fleet, load->endpoint);
        if (endpoint != NULL) {
            endpoint->near_running += load->running;
            endpoint->near_reading += still_waiting(
                gate, endpoint, load->reading, Ga_Now(gate) - peer->heard_at);
        }
    }
}

static void
add_far_load(void *arg, const struct ms_load *load, int64_t age_usec)
{
    struct ga_gate *gate = arg;
    struct fl_endpoint *endpoint = Fl_ByHash(gate->fleet, load->endpoint);
    if (endpoint != NULL) {
        endpoint->others_running += load->running;
        endpoint->others_reading +=
            still_waiting(gate, endpoint, load->reading, age_usec);
    }
}

static void
add_far_loads(struct ga_gate *gate, const struct ms_peer *peer)
{
    for (size_t i = 0; i < peer->load_count; i++) {
        add_far_load(gate, &peer->loads[i], Ga_Now(gate) - peer->heard_at);
    }
}

static struct ms_spent
spent_before(const struct ms_peer *peer, uint32_t tenant)
{
    for (size_t i = 0; i < peer->spent_count; i++) {
        if (peer->spent[i].tenant == tenant) {
            return peer->spent[i];
        }
    }
    return (struct ms_spent){tenant, 0, 0};
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
        const struct ms_spent *now = &word->spent[i];
        struct ms_spent before =
            same ? spent_before(peer, now->tenant) : (struct ms_spent){0};
        struct ms_spent more = Ms_SpentMore(now, &before);
        spend(gate, &more, apart);
        if (near) {
            Zn_AddNear(gate->zones, &more);
        }
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
    for (size_t i = 0; i < word->counted_count; i++) {
        Us_Peer(gate->usage, word->run, word->counted[i].window,
                word->counted[i].tenant, word->counted[i].count);
    }
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
static void
find_peers(struct pe_peers *peers)
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
sum_loads(struct ga_gate *gate)
{
    Fl_ClearOthers(gate->fleet);
    const struct ms_peer *peer;
    TAILQ_FOREACH (peer, Ms_Peers(gate->mesh), link) {
        if (!Ms_Alive(gate->mesh, peer)) {
            continue;
        }
        if (peer->near) {
            add_near_loads(gate, peer);
        }
        else if (!Zn_IsReported(gate->zones, peer->zone)) {
            add_far_loads(gate, peer);
        }
    }
    Zn_EachLoad(gate->zones, add_far_load, gate);
    struct fl_endpoint *endpoint;
    TAILQ_FOREACH (endpoint, Fl_All(gate->fleet), link) {
        endpoint->others_running += endpoint->near_running;
        endpoint->others_reading += endpoint->near_reading;
    }
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
    sum_loads(peers->gate);
    sum_evidence(peers->gate);
    share_quota(peers->gate);
    find_peers(peers);
    pe_fetch_newer(peers);
}
