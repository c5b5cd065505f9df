/*
 * What daemons have read of the store, told to those that the store does not
 * answer, and fetched where others know more.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/deflate.h"
#include "edge/peers_internal.h"

#define Pe_PATH_MAX 128
#define Pe_STATE_PATH "/state?config="
/* One fetch at a time, this long at the most, and not more often than so. */
#define Pe_FETCH_USEC (500 * Ck_USEC_PER_MSEC)
/* A large state through a narrow link takes longer, as long as it comes. */
#define Pe_FETCH_MOST_USEC (4 * Ck_USEC_PER_SEC)
#define Pe_FETCH_EVERY_USEC (100 * Ck_USEC_PER_MSEC)
#define Pe_STATE_MAX (16u << 20)
#define Pe_PACKED_LEAST 1024
/* With fewer hosts the store is quicker, and asked little. */
#define Pe_MANY_HOSTS 32
/* Packed it is a quarter of that, some milliseconds of a narrow link. */
#define Pe_SMALL_CONFIG ((size_t)64 << 10)
#define Pe_CONFIG_PATIENCE_USEC (800 * Ck_USEC_PER_MSEC)
/* An offset behind all: that part of the state is not wanted. */
#define Pe_NOT_ASKED INT64_MAX

/*
 * All peers ask for the same at once when the store is away, and a link may
 * be narrow: 400 kilobytes to 25 peers took ten seconds at 10 Mbit/s.  Packed
 * small, and once for all of them.
 */
static void
reply_config(struct pe_peers *peers, struct sv_request *request, int64_t from)
{
    struct fe_feed *feed = peers->gate->feed;
    struct packed_config *packed = &peers->packed;
    int64_t changed = Fe_Changed(feed, AG_CONFIG);
    if (packed->bytes.len == 0 || packed->from != from ||
        packed->changed != changed) {
        char *state;
        size_t len = Fe_Pack(feed, from, Pe_NOT_ASKED, &state);
        Bf_Free(&packed->bytes);
        bool fine = Df_Pack(state, len, &packed->bytes);
        free(state);
        if (!fine) {
            Bf_Free(&packed->bytes);
            Sv_Reply(request, 503, "", "", 0);
            return;
        }
        packed->from = from;
        packed->changed = changed;
    }
    Sv_Reply(request, 200, "", packed->bytes.at, packed->bytes.len);
}

/*
 * After a data centre was reclaimed a thousand entries differ by a few bytes
 * each; what is small costs more to pack than to send.
 */
static void
reply_entries(struct pe_peers *peers, struct sv_request *request, int64_t from)
{
    char *state;
    size_t len = Fe_Pack(peers->gate->feed, Pe_NOT_ASKED, from, &state);
    struct bf_buffer packed = {0};
    if (len > Pe_PACKED_LEAST && Df_Pack(state, len, &packed)) {
        Sv_Reply(request, 200, "", packed.at, packed.len);
    }
    else {
        Sv_Reply(request, 200, "", state, len);
    }
    Bf_Free(&packed);
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
    /* "CONFIG,ENTRIES": what the peer knows already. */
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
    if (from[1] == Pe_NOT_ASKED) {
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
    Bf_Free(&peers->answer);
    peers->answer_cut = false;
}

static bool
fetch_head(void *arg, const struct h1_head *head)
{
    struct pe_peers *peers = arg;
    peers->answer_status = head->status;
    return true;
}

static void
fetch_body(void *arg, const char *data, size_t len)
{
    struct pe_peers *peers = arg;
    peers->fetch_moved_at = Ga_Now(peers->gate);
    if (peers->answer.len + len > Pe_STATE_MAX ||
        !Bf_Add(&peers->answer, data, len)) {
        peers->answer_cut = true;
    }
}

static void
take_packed(struct pe_peers *peers)
{
    struct bf_buffer state = {0};
    if (Df_Unpack(peers->answer.at, peers->answer.len, Pe_STATE_MAX, &state)) {
        Fe_Unpack(peers->gate->feed, state.at, state.len);
    }
    else {
        Ln_Log(LN_FAILURE, "state.unreadable", "\"bytes\":%zu",
               peers->answer.len);
    }
    Bf_Free(&state);
}

static void
fetch_done(void *arg, enum cn_outcome outcome)
{
    struct pe_peers *peers = arg;
    bool whole = outcome == CN_COMPLETE && peers->answer_status == 200 &&
                 !peers->answer_cut;
    bool packed = peers->answer.len > 0 &&
                  !Fe_IsPack(peers->answer.at, peers->answer.len);
    if (whole && packed) {
        take_packed(peers);
    }
    else if (whole) {
        Fe_Unpack(peers->gate->feed, peers->answer.at, peers->answer.len);
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
    peers->fetch_moved_at = peers->fetch_at;
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
        with_config ? at_least_0(Fe_Changed(gate->feed, AG_CONFIG))
                    : Pe_NOT_ASKED,
        with_config ? Pe_NOT_ASKED
                    : at_least_0(Fe_Changed(gate->feed, AG_ENDPOINTS)),
        address);
    Ln_Log(LN_STATE, "state.fetched",
           "\"peer\":\"%s\",\"config\":%lld,\"entries\":%lld", peer->name,
           (long long)peer->config_changed, (long long)peer->entries_changed);
    Cn_Send(peers->fetch, head, (size_t)len, NULL, 0, false, &fetch_ops,
            peers);
}

static bool
knows_more(const struct ga_gate *gate, const struct ms_peer *peer,
           enum ag_topic topic)
{
    int64_t changed =
        topic == AG_CONFIG ? peer->config_changed : peer->entries_changed;
    return changed > Fe_Changed(gate->feed, topic) && !peer->stopping &&
           Ms_Close(gate->mesh, peer);
}

static bool
others_know_more(const struct ga_gate *gate, enum ag_topic topic)
{
    const struct ms_peer *peer;
    TAILQ_FOREACH (peer, Ms_Peers(gate->mesh), link) {
        if (knows_more(gate, peer, topic)) {
            return true;
        }
    }
    return false;
}

/*
 * Hundreds of hosts that each read a change from the store are most of what it
 * is asked for.  A small configuration goes from host to host: each that has
 * it passes it on.  One that does not come in time is read from the store.
 */
static bool
goes_round(struct pe_peers *peers)
{
    struct ga_gate *gate = peers->gate;
    size_t bytes = Fe_ConfigBytes(gate->feed);
    return Ms_CountAlive(gate->mesh) >= Pe_MANY_HOSTS && bytes > 0 &&
           bytes <= Pe_SMALL_CONFIG &&
           Ga_Now(gate) - peers->config_wanted_at < Pe_CONFIG_PATIENCE_USEC;
}

/* Whether a newer configuration has to come from a peer. */
static bool
needs_config(struct pe_peers *peers)
{
    struct ga_gate *gate = peers->gate;
    if (!others_know_more(gate, AG_CONFIG)) {
        peers->config_wanted_at = 0;
        return false;
    }
    if (peers->config_wanted_at == 0) {
        peers->config_wanted_at = Ga_Now(gate);
    }
    return goes_round(peers) || !Fe_Refresh(gate->feed);
}

/*
 * Any of those that know more.  The first of a list would be asked again and
 * again when it died after its last word, by all daemons that heard it, for
 * as long as they believe it alive.
 */
static const struct ms_peer *
pick_newer(struct ga_gate *gate, enum ag_topic topic)
{
    uint32_t count = 0;
    const struct ms_peer *picked = NULL;
    const struct ms_peer *peer;
    TAILQ_FOREACH (peer, Ms_Peers(gate->mesh), link) {
        if (knows_more(gate, peer, topic)) {
            count++;
            if (Rn_Below(&gate->random, count) == 0) {
                picked = peer;
            }
        }
    }
    return picked;
}

/*
 * A daemon that the store turns away, or whose connection to it has fallen
 * silent, learns of what is newer from whoever has read it.
 */
void
pe_fetch_newer(struct pe_peers *peers)
{
    struct ga_gate *gate = peers->gate;
    int64_t now = Ga_Now(gate);
    if (peers->fetch != NULL) {
        if (now - peers->fetch_moved_at > Pe_FETCH_USEC ||
            now - peers->fetch_at > Pe_FETCH_MOST_USEC) {
            pe_end_fetch(peers);
        }
        return;
    }
    if (now - peers->fetch_at < Pe_FETCH_EVERY_USEC) {
        return;
    }
    bool with_config = needs_config(peers);
    const struct ms_peer *peer =
        pick_newer(gate, with_config ? AG_CONFIG : AG_ENDPOINTS);
    if (peer != NULL) {
        start_fetch(peers, peer, with_config);
    }
}
