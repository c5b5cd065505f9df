/*
 * Remote calls between daemons: configuration, claims and reports on version
 * moves, both as caller and as callee.
 */
#include <stdlib.h>
#include <string.h>

#include "gate/peer_facts.h"
#include "gate/peers_internal.h"

#define Pe_CALL_USEC (2 * Ck_USEC_PER_SEC)

static void
serve_config(void *arg, struct lk_request *request)
{
    struct pe_peers *peers = arg;
    char *state = peers->ops->config_state(peers->arg);
    if (state == NULL) {
        Lk_Reply(request, ST_UNAVAILABLE, NULL, 0);
        return;
    }
    Lk_Reply(request, ST_OK, state, strlen(state));
    free(state);
}

static void
serve_claim(void *arg, struct lk_request *request)
{
    struct pe_peers *peers = arg;
    peers->ops->claim(peers->arg, request);
}

static void
serve_move_report(void *arg, struct lk_request *request)
{
    struct pe_peers *peers = arg;
    size_t len;
    const char *text = Lk_Payload(request, &len);
    peers->ops->move_report(peers->arg, text, len);
    Lk_Reply(request, ST_OK, NULL, 0);
}

/* Registers the handlers of the calls that peers make to this daemon. */
enum st_status
Pe_ServeLinks(struct pe_peers *peers)
{
    struct lk_links *links = Nd_Links(peers->node);
    enum st_status status =
        Lk_SetHandler(links, "config", serve_config, peers);
    if (status == ST_OK) {
        status = Lk_SetHandler(links, "claim", serve_claim, peers);
    }
    if (status == ST_OK) {
        status = Lk_SetHandler(links, "evidence", serve_move_report, peers);
    }
    return status;
}

static void
config_reply(void *arg, const struct lk_result *result)
{
    struct pe_peers *peers = arg;
    peers->fetching_config = false;
    if (result->answered && result->status == ST_OK) {
        peers->ops->config_received(peers->arg, result->payload, result->len);
    }
}

/*
 * The peer that has read the config stream furthest, or NULL.  A tie is broken
 * at random: always choosing the same peer would fail for as long as that
 * peer cannot export its configuration.
 */
static const char *
furthest_peer(const struct pe_peers *peers)
{
    const struct mb_table *members = Nd_Members(peers->node);
    const struct mb_record *member = Mb_First(members);
    const char *best = NULL;
    uint64_t best_offset = 0;
    uint32_t ties = 0;
    for (; member != NULL; member = Mb_Next(member)) {
        struct pf_config config;
        if (strcmp(member->id, Nd_Id(peers->node)) == 0 ||
            !Mb_Usable(members, member) ||
            !Pe_FindConfig(peers, member->id, &config) || config.offset == 0 ||
            config.offset < best_offset) {
            continue;
        }
        ties = config.offset > best_offset ? 1 : ties + 1;
        best_offset = config.offset;
        if (Rn_Below(&peers->gate->random, ties) == 0) {
            best = member->id;
        }
    }
    return best;
}

/* Whether any usable peer has published a config offset. */
bool
Pe_PeerOffsetKnown(const struct pe_peers *peers)
{
    return furthest_peer(peers) != NULL;
}

/* Fetches the configuration of the furthest peer; one call at a time. */
void
Pe_FetchConfig(struct pe_peers *peers)
{
    const char *from = peers->fetching_config ? NULL : furthest_peer(peers);
    if (from == NULL) {
        return;
    }
    peers->fetching_config =
        Nd_Call(peers->node, from, "config", "", 0, Pe_CALL_USEC, config_reply,
                peers, NULL) == ST_OK;
}

static void
move_report_sent(void *arg, const struct lk_result *result)
{
    (void)arg;
    (void)result;
}

/*
 * Sends a router's report to the lease holder of a version move.  A lost
 * report is not repeated: it would have counted both versions, so its loss
 * does not bias the comparison.
 */
void
Pe_SendMoveReport(struct pe_peers *peers, const char *node, const char *text,
                  size_t len)
{
    (void)Nd_Call(peers->node, node, "evidence", text, len, Pe_CALL_USEC,
                  move_report_sent, NULL, NULL);
}

struct claim_call {
    gc_reply_fn reply;
    void *arg;
};

static void
claim_answered(void *arg, const struct lk_result *result)
{
    struct claim_call *call = arg;
    enum st_status status = result->answered ? result->status : ST_UNAVAILABLE;
    call->reply(call->arg, status, result->payload, result->len);
    free(call);
}

/*
 * Sends a request about a claim to the daemon that its slot is assigned to.
 * After ST_OK, "reply" is called exactly once, later.
 */
enum st_status
Pe_SendClaim(struct pe_peers *peers, const char *node, const char *payload,
             size_t len, int64_t timeout_usec, gc_reply_fn reply, void *arg)
{
    struct claim_call *call = calloc(1, sizeof(*call));
    if (call == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for a call to another daemon");
    }
    call->reply = reply;
    call->arg = arg;
    enum st_status status = Nd_Call(peers->node, node, "claim", payload, len,
                                    timeout_usec, claim_answered, call, NULL);
    if (status != ST_OK) {
        free(call);
    }
    return status;
}
