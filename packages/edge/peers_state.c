/*
 * Serves what this daemon has read from the store to peers that the store does
 * not answer, and fetches newer state from peers.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/deflate.h"
#include "edge/peers_internal.h"

#define Pe_PATH_MAX 128
#define Pe_STATE_PATH "/state?config="
/* Limit of the time that a fetch makes no progress. */
#define Pe_FETCH_IDLE_USEC (500 * Ck_USEC_PER_MSEC)
/*
 * Limit of a whole fetch. A large state over a slow link takes longer than
 * the idle limit but makes progress.
 */
#define Pe_FETCH_MAX_USEC (4 * Ck_USEC_PER_SEC)
/* Minimum interval between the starts of two fetches. */
#define Pe_FETCH_INTERVAL_USEC (100 * Ck_USEC_PER_MSEC)
#define Pe_STATE_MAX (16u << 20)
#define Pe_COMPRESS_MIN_BYTES 1024
/*
 * With fewer hosts, reading from the store is faster and loads the store
 * little.
 */
#define Pe_GOSSIP_MIN_HOSTS 32
/*
 * Compressed, a configuration of this size shrinks to a quarter, which takes
 * some milliseconds on a slow link.
 */
#define Pe_SMALL_CONFIG_BYTES ((size_t)64 << 10)
#define Pe_CONFIG_GOSSIP_USEC (800 * Ck_USEC_PER_MSEC)
/* An offset beyond all others: this half of the state is not requested. */
#define Pe_NOT_REQUESTED INT64_MAX

/*
 * When the store is unavailable, all peers request the same configuration at
 * once, and a link may be slow: 400 kilobytes to 25 peers took ten seconds at
 * 10 Mbit/s. So the configuration is compressed, once for all of them.
 */
static void
reply_config(struct pe_peers *peers, struct sv_request *request, int64_t from)
{
    struct fe_feed *feed = peers->gate->feed;
    struct compressed_config *compressed = &peers->compressed;
    int64_t changes_end = Fe_ChangesEnd(feed, AG_CONFIG);
    if (compressed->bytes.len == 0 || compressed->from != from ||
        compressed->changes_end != changes_end) {
        char *state;
        size_t len = Fe_PackState(feed, from, Pe_NOT_REQUESTED, &state);
        Bf_Free(&compressed->bytes);
        bool compressed_ok = Df_Compress(state, len, &compressed->bytes);
        free(state);
        if (!compressed_ok) {
            Bf_Free(&compressed->bytes);
            Sv_Reply(request, 503, "", "", 0);
            return;
        }
        compressed->from = from;
        compressed->changes_end = changes_end;
    }
    Sv_Reply(request, 200, "", compressed->bytes.data, compressed->bytes.len);
}

/*
 * After a data centre was reclaimed, a thousand entries differ by a few bytes
 * each. A small state costs more to compress than to send.
 */
static void
reply_entries(struct pe_peers *peers, struct sv_request *request, int64_t from)
{
    char *state;
    size_t len =
        Fe_PackState(peers->gate->feed, Pe_NOT_REQUESTED, from, &state);
    struct bf_buffer compressed = {0};
    if (len > Pe_COMPRESS_MIN_BYTES && Df_Compress(state, len, &compressed)) {
        Sv_Reply(request, 200, "", compressed.data, compressed.len);
    }
    else {
        Sv_Reply(request, 200, "", state, len);
    }
    Bf_Free(&compressed);
    free(state);
}

static void
serve(void *arg, struct sv_request *request)
{
    struct pe_peers *peers = arg;
    const struct h1_head *head = Sv_Head(request);
    size_t prefix = strlen(Pe_STATE_PATH);
    if (head->target.len <= prefix ||
        memcmp(head->target.at, Pe_STATE_PATH, prefix) != 0) {
        Sv_Reply(request, 404, "", "", 0);
        return;
    }
    /*
     * The path ends in "CONFIG,ENTRIES", the offsets up to which the peer has
     * the configuration and the entries.
     */
    int64_t from[2] = {0, 0};
    size_t which = 0;
    for (size_t i = prefix; i < head->target.len && which < 2; i++) {
        char c = head->target.at[i];
        if (c == ',') {
            which++;
        }
        else if (c >= '0' && c <= '9') {
            from[which] = from[which] * 10 + (c - '0');
        }
    }
    if (from[1] == Pe_NOT_REQUESTED) {
        reply_config(peers, request, from[0]);
        return;
    }
    reply_entries(peers, request, from[1]);
}

static void
on_gone(void *arg, struct sv_request *request)
{
    (void)arg;
    (void)request;
}

const struct sv_ops pe_state_ops = {
    .request = serve,
    .gone = on_gone,
};

void
pe_end_fetch(struct pe_peers *peers)
{
    Cn_Close(peers->fetch);
    peers->fetch = NULL;
    Bf_Free(&peers->response);
    peers->response_truncated = false;
}

static bool
fetch_head(void *arg, const struct h1_head *head)
{
    struct pe_peers *peers = arg;
    peers->response_status = head->status;
    return true;
}

static bool
fetch_body(void *arg, const char *data, size_t len)
{
    struct pe_peers *peers = arg;
    peers->fetch_progress_at = Ga_Now(peers->gate);
    if (peers->response.len + len > Pe_STATE_MAX ||
        !Bf_Add(&peers->response, data, len)) {
        peers->response_truncated = true;
    }
    return !peers->response_truncated;
}

static void
apply_compressed(struct pe_peers *peers)
{
    struct bf_buffer state = {0};
    if (Df_Decompress(peers->response.data, peers->response.len, Pe_STATE_MAX,
                      &state)) {
        Fe_ApplyState(peers->gate->feed, state.data, state.len);
    }
    else {
        Ln_Log(LN_FAILURE, "state.unreadable", "\"bytes\":%zu",
               peers->response.len);
    }
    Bf_Free(&state);
}

static void
fetch_done(void *arg, enum cn_outcome outcome)
{
    struct pe_peers *peers = arg;
    bool complete = outcome == CN_COMPLETE && peers->response_status == 200 &&
                    !peers->response_truncated;
    bool compressed =
        peers->response.len > 0 &&
        !Fe_IsPackedState(peers->response.data, peers->response.len);
    if (complete && compressed) {
        apply_compressed(peers);
    }
    else if (complete) {
        Fe_ApplyState(peers->gate->feed, peers->response.data,
                      peers->response.len);
    }
    pe_end_fetch(peers);
}

static const struct cn_ops fetch_ops = {
    .head = fetch_head,
    .body = fetch_body,
    .done = fetch_done,
};

static int64_t
at_least_0(int64_t number)
{
    return number > 0 ? number : 0;
}

static void
start_fetch(struct pe_peers *peers, const struct ms_peer *peer,
            bool with_config)
{
    struct ga_gate *gate = peers->gate;
    char address[Nd_NAME_MAX + 8];
    snprintf(address, sizeof(address), "%s:%d", peer->ip,
             gate->options.node->peer_port);
    peers->fetch_at = Ga_Now(gate);
    peers->fetch_progress_at = peers->fetch_at;
    peers->fetch =
        Cn_Open(gate->options.loop, gate->options.clock, address, NULL, NULL);
    if (peers->fetch == NULL) {
        return;
    }
    char head[Pe_PATH_MAX * 2];
    int len = snprintf(
        head, sizeof(head),
        "GET " Pe_STATE_PATH "%" PRId64 ",%" PRId64 " HTTP/1.1\r\n"
        "Host: %s\r\n\r\n",
        with_config ? at_least_0(Fe_ChangesEnd(gate->feed, AG_CONFIG))
                    : Pe_NOT_REQUESTED,
        with_config ? Pe_NOT_REQUESTED
                    : at_least_0(Fe_ChangesEnd(gate->feed, AG_ENDPOINTS)),
        address);
    Ln_Log(LN_STATE, "state.fetched",
           "\"peer\":\"%s\",\"config\":%lld,\"entries\":%lld", peer->name,
           (long long)peer->config_changes_end,
           (long long)peer->entries_changes_end);
    Cn_Send(peers->fetch, head, (size_t)len, NULL, 0, false, &fetch_ops,
            peers);
}

static bool
is_newer(const struct ga_gate *gate, const struct ms_peer *peer,
         enum ag_topic topic)
{
    int64_t changed = topic == AG_CONFIG ? peer->config_changes_end
                                         : peer->entries_changes_end;
    return changed > Fe_ChangesEnd(gate->feed, topic) && !peer->stopping &&
           Ms_IsResponsive(gate->mesh, peer);
}

static bool
any_peer_is_newer(const struct ga_gate *gate, enum ag_topic topic)
{
    const struct ms_peer *peer;
    TAILQ_FOREACH (peer, Ms_Peers(gate->mesh), link) {
        if (is_newer(gate, peer, topic)) {
            return true;
        }
    }
    return false;
}

/*
 * When each of hundreds of hosts reads a change from the store, these reads
 * are most of the store's load. So hosts pass a small configuration on to each
 * other. A host that does not get it in time reads it from the store.
 */
static bool
spreads_by_gossip(struct pe_peers *peers)
{
    struct ga_gate *gate = peers->gate;
    size_t bytes = Fe_ConfigBytes(gate->feed);
    return Ms_CountAlive(gate->mesh) >= Pe_GOSSIP_MIN_HOSTS && bytes > 0 &&
           bytes <= Pe_SMALL_CONFIG_BYTES &&
           Ga_Now(gate) - peers->config_behind_since < Pe_CONFIG_GOSSIP_USEC;
}

/* Whether a newer configuration has to be fetched from a peer. */
static bool
needs_config_from_peer(struct pe_peers *peers)
{
    struct ga_gate *gate = peers->gate;
    if (!any_peer_is_newer(gate, AG_CONFIG)) {
        peers->config_behind_since = 0;
        return false;
    }
    if (peers->config_behind_since == 0) {
        peers->config_behind_since = Ga_Now(gate);
    }
    return spreads_by_gossip(peers) || !Fe_Refresh(gate->feed);
}

/*
 * Picks one of the newer peers at random. If a fixed one were picked and had
 * died after its last message, every daemon that got that message would
 * request the state from it again and again until it counts as dead.
 */
static const struct ms_peer *
pick_newer_peer(struct ga_gate *gate, enum ag_topic topic)
{
    uint32_t count = 0;
    const struct ms_peer *picked = NULL;
    const struct ms_peer *peer;
    TAILQ_FOREACH (peer, Ms_Peers(gate->mesh), link) {
        if (is_newer(gate, peer, topic)) {
            count++;
            if (Rn_Below(&gate->random, count) == 0) {
                picked = peer;
            }
        }
    }
    return picked;
}

/*
 * A daemon that the store rejects, or whose connection to the store hangs,
 * gets newer state from peers that have read it.
 */
void
pe_fetch_newer_state(struct pe_peers *peers)
{
    struct ga_gate *gate = peers->gate;
    int64_t now = Ga_Now(gate);
    if (peers->fetch != NULL) {
        if (now - peers->fetch_progress_at > Pe_FETCH_IDLE_USEC ||
            now - peers->fetch_at > Pe_FETCH_MAX_USEC) {
            pe_end_fetch(peers);
        }
        return;
    }
    if (now - peers->fetch_at < Pe_FETCH_INTERVAL_USEC) {
        return;
    }
    bool with_config = needs_config_from_peer(peers);
    const struct ms_peer *peer =
        pick_newer_peer(gate, with_config ? AG_CONFIG : AG_ENDPOINTS);
    if (peer != NULL) {
        start_fetch(peers, peer, with_config);
    }
}
