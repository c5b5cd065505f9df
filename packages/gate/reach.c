#include "gate/reach.h"

#include <bsd/string.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/event.h"
#include "base/hash.h"
#include "gate/endpoints.h"
#include "gate/events.h"
#include "web/dial.h"
#include "web/through.h"

#define Rh_RELAYED_MAX 256 /* concurrent connections made for peers */
#define Rh_PEERS_MAX 512
/* Longer than the time limit of the peer that makes the connection. */
#define Rh_PEER_CONNECT_USEC (600 * Ck_USEC_PER_MSEC)
#define Rh_PROBE_TIMEOUT_USEC (300 * Ck_USEC_PER_MSEC)
#define Rh_TICK_USEC (100 * Ck_USEC_PER_MSEC)
#define Rh_FACT_TTL_USEC (3600 * Ck_USEC_PER_SEC)
#define Rh_PUBLISH_USEC (1200 * Ck_USEC_PER_SEC)
/*
 * After a start or a change the tunnel is published once more after this time,
 * because gossip misses a few daemons in 100.
 */
#define Rh_REPUBLISH_USEC (3 * Ck_USEC_PER_SEC)
#define Rh_USER "daemon:"
/* Links unused for so long are removed. */
#define Rh_UNUSED_USEC (600 * Ck_USEC_PER_SEC)

/* The network path from this daemon to one endpoint. */
struct link {
    TAILQ_ENTRY(link) link;
    struct rh_reach *reach;
    char endpoint[Ch_NAME_MAX];
    struct li_link path;
    struct di_dial *probe;
    int64_t used_at; /* when a connection was last planned */
};

TAILQ_HEAD(link_list, link);

struct rh_reach {
    struct gt_gate *gate;
    struct pe_peers *peers;
    struct th_through *through;
    struct link_list links;
    struct li_failures failures; /* keyed by the hash of a daemon's id */
    char credentials[sizeof(Rh_USER) + Hash_DIGEST_HEX];
    bool any_cut; /* any link is cut */
    bool published_cut;
    int64_t next_publish;
    int64_t next_tick;
};

static struct link *
find_link(const struct rh_reach *reach, const char *endpoint)
{
    struct link *link;
    TAILQ_FOREACH (link, &reach->links, link) {
        if (strcmp(link->endpoint, endpoint) == 0) {
            return link;
        }
    }
    return NULL;
}

/* Finds or creates the link to an endpoint; NULL without memory. */
static struct link *
get_link(struct rh_reach *reach, const char *endpoint)
{
    struct link *link = find_link(reach, endpoint);
    if (link == NULL) {
        link = calloc(1, sizeof(*link));
        if (link == NULL) {
            return NULL;
        }
        link->reach = reach;
        strlcpy(link->endpoint, endpoint, sizeof(link->endpoint));
        TAILQ_INSERT_HEAD(&reach->links, link, link);
    }
    link->used_at = Ck_Now(reach->gate->clock);
    return link;
}

static void
drop_link(struct rh_reach *reach, struct link *link)
{
    TAILQ_REMOVE(&reach->links, link, link);
    Di_Cancel(link->probe);
    free(link);
}

static bool
find_endpoint(void *arg, const char *id, char *address, size_t size)
{
    struct rh_reach *reach = arg;
    /* The client library appends a port to the name. */
    char name[Ch_NAME_MAX];
    strlcpy(name, id, sizeof(name));
    char *port = strrchr(name, ':');
    if (port != NULL) {
        *port = '\0';
    }
    const struct link *link = find_link(reach, name);
    if (reach->gate->draining || (link != NULL && link->path.cut)) {
        return false;
    }
    return Ep_Address(reach->gate->endpoints, name, address, size);
}

static void
on_made(void *arg)
{
    struct rh_reach *reach = arg;
    Gt_Count(reach->gate, "cg_connections_made_for_peers_total", NULL, NULL);
}

static const struct th_ops through_ops = {
    .find = find_endpoint,
    .made = on_made,
};

/* Derives the credentials between daemons from the shared cluster key. */
static void
make_credentials(struct rh_reach *reach)
{
    char text[Rh_ADDRESS_MAX];
    char digest[Hash_DIGEST_HEX];
    int len = snprintf(text, sizeof(text), "through %s",
                       reach->gate->options->cluster_key);
    Hash_Digest(text,
                (size_t)len < sizeof(text) ? (size_t)len : sizeof(text) - 1,
                digest);
    snprintf(reach->credentials, sizeof(reach->credentials), Rh_USER "%s",
             digest);
}

enum st_status
Rh_Create(struct gt_gate *gate, struct pe_peers *peers, struct rh_reach **out)
{
    struct rh_reach *reach = calloc(1, sizeof(*reach));
    if (reach == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for links to endpoints");
    }
    reach->gate = gate;
    reach->peers = peers;
    TAILQ_INIT(&reach->links);
    make_credentials(reach);
    char address[Di_ADDRESS_MAX];
    snprintf(address, sizeof(address), "%s:0", gate->options->address);
    struct th_options options = {
        .loop = gate->loop,
        .clock = gate->clock,
        .address = address,
        .most = Rh_RELAYED_MAX,
        .credentials = reach->credentials,
        .ledger = gate->ledger,
        .ops = &through_ops,
        .arg = reach,
    };
    enum st_status status = Th_Create(&options, &reach->through);
    if (status != ST_OK) {
        free(reach);
        return status;
    }
    *out = reach;
    return ST_OK;
}

void
Rh_Destroy(struct rh_reach *reach)
{
    if (reach == NULL) {
        return;
    }
    struct link *link;
    struct link *next;
    TAILQ_FOREACH_SAFE (link, &reach->links, link, next) {
        drop_link(reach, link);
    }
    Th_Destroy(reach->through);
    free(reach);
}

size_t
Rh_CountForPeers(const struct rh_reach *reach)
{
    return Th_Count(reach->through);
}

/* Peers that have published a port for tunnels. */
struct candidates {
    size_t count;
    struct li_peer peers[Rh_PEERS_MAX];
    struct {
        const struct mb_record *member;
        uint16_t port;
    } rows[Rh_PEERS_MAX];
};

static void
list_candidates(const struct rh_reach *reach, struct candidates *out)
{
    const struct nd_node *node = Pe_Node(reach->peers);
    const struct mb_table *members = Nd_Members(node);
    const char *own = reach->gate->options->data_centre;
    out->count = 0;
    const struct mb_record *member = Mb_First(members);
    for (; member != NULL && out->count < Rh_PEERS_MAX;
         member = Mb_Next(member)) {
        struct pf_tunnel tunnel;
        if (member->state != MB_ALIVE || !Mb_Usable(members, member) ||
            strcmp(member->id, Nd_Id(node)) == 0 ||
            !Pe_FindTunnel(reach->peers, member->id, &tunnel)) {
            continue;
        }
        out->rows[out->count].member = member;
        out->rows[out->count].port = tunnel.port;
        out->peers[out->count++] = (struct li_peer){
            .same_data_centre = strcmp(member->data_centre, own) == 0,
            .cut = tunnel.endpoints_cut,
            .failed_at =
                Li_LastFailure(&reach->failures, Hash_String(member->id, 0)),
        };
    }
}

/* Selects the peer to connect through; false when there is none. */
static bool
pick_peer(struct rh_reach *reach, const struct link *link,
          struct rh_tries *tries)
{
    static struct candidates candidates;
    list_candidates(reach, &candidates);
    if (candidates.count == 0) {
        return false;
    }
    struct gt_gate *gate = reach->gate;
    size_t picked =
        Li_PickPeer(&link->path, candidates.peers, candidates.count,
                    Rn_Unit(&gate->random), Ck_Now(gate->clock));
    const struct mb_record *member = candidates.rows[picked].member;
    strlcpy(tries->peer_id, member->id, sizeof(tries->peer_id));
    snprintf(tries->peer_at, sizeof(tries->peer_at), "%s:%u", member->address,
             candidates.rows[picked].port);
    snprintf(tries->peer_address, sizeof(tries->peer_address), "%s@%s",
             reach->credentials, tries->peer_at);
    return true;
}

static void
add_step(struct rh_tries *tries, bool through, int64_t connect_usec)
{
    tries->steps[tries->count].through = through;
    tries->steps[tries->count++].connect_usec = connect_usec;
}

void
Rh_Begin(struct rh_reach *reach, struct rh_tries *tries,
         const struct ch_info *info)
{
    memset(tries, 0, sizeof(*tries));
    strlcpy(tries->endpoint, info->id, sizeof(tries->endpoint));
    struct link *link = get_link(reach, info->id);
    enum li_order order =
        link == NULL ? LI_DIRECT_ONLY
                     : Li_Order(&link->path, Ck_Now(reach->gate->clock));
    if (order != LI_DIRECT_ONLY && !pick_peer(reach, link, tries)) {
        order = LI_DIRECT_ONLY;
    }
    if (order == LI_DIRECT_FIRST) {
        add_step(tries, false, Li_FALLBACK_USEC);
    }
    if (order != LI_DIRECT_ONLY) {
        add_step(tries, true, Rh_PEER_CONNECT_USEC);
    }
    /* The last step has the default limit, for an endpoint slow to connect. */
    add_step(tries, false, 0);
}

void
Rh_FillCall(struct rh_tries *tries, struct hc_request *call)
{
    call->connect_usec = tries->steps[tries->step].connect_usec;
    if (tries->steps[tries->step].through) {
        tries->through =
            (struct hc_through){tries->peer_address, tries->endpoint};
        call->through = &tries->through;
    }
}

/*
 * Logs that a link was cut or restored.  When one is restored, the others that
 * are cut are probed soon, since they may be restored as well.
 */
static void
handle_change(struct rh_reach *reach, const struct link *changed,
              bool timed_out)
{
    if (changed->path.cut) {
        Ev_Log(&GT_LINK_CUT, "endpoint=%s silent=%d", changed->endpoint,
               timed_out);
        return;
    }
    Ev_Log(&GT_LINK_REGAINED, "endpoint=%s", changed->endpoint);
    struct link *link;
    TAILQ_FOREACH (link, &reach->links, link) {
        if (link->path.cut) {
            Li_ProbeSoon(&link->path);
        }
    }
}

static void
record_outcome(struct rh_reach *reach, const struct rh_tries *tries)
{
    struct link *link = find_link(reach, tries->endpoint);
    if (link != NULL &&
        Li_RecordOutcome(&link->path, tries->direct_outcome,
                         tries->peer_outcome, Ck_Now(reach->gate->clock))) {
        handle_change(reach, link, tries->direct_outcome == LI_OVERDUE);
    }
}

void
Rh_Connected(struct rh_reach *reach, struct rh_tries *tries)
{
    if (!tries->connected) {
        tries->connected = true;
        *(tries->steps[tries->step].through ? &tries->peer_outcome
                                            : &tries->direct_outcome) =
            LI_CONNECTED;
        record_outcome(reach, tries);
    }
}

bool
Rh_Next(struct rh_reach *reach, struct rh_tries *tries,
        const struct hc_result *result)
{
    if (result->stage != HC_CONNECTING) {
        Rh_Connected(reach, tries);
        return false;
    }
    bool through = tries->steps[tries->step].through;
    if (through) {
        tries->peer_outcome = LI_FAILED;
        Li_NoteFailure(&reach->failures, Hash_String(tries->peer_id, 0),
                       Ck_Now(reach->gate->clock));
    }
    else {
        tries->direct_outcome =
            result->status == ST_TIMEOUT ? LI_OVERDUE : LI_FAILED;
    }
    /*
     * A direct attempt that failed is not repeated after the peer's; one that
     * only timed out is repeated without its short limit.
     */
    bool refused = through && tries->direct_outcome == LI_FAILED;
    if (tries->step + 1 < tries->count && !refused) {
        tries->step++;
        return true;
    }
    record_outcome(reach, tries);
    return false;
}

bool
Rh_IsThrough(const struct rh_tries *tries)
{
    return tries->steps[tries->step].through;
}

void
Rh_FillWay(const struct rh_reach *reach, const struct rh_tries *tries,
           const struct ch_info *info, bool through, struct di_way *way)
{
    memset(way, 0, sizeof(*way));
    if (!through) {
        snprintf(way->address, sizeof(way->address), "%.*s:%d", Rh_IP_MAX,
                 info->address, info->port);
        return;
    }
    strlcpy(way->address, tries->peer_at, sizeof(way->address));
    /* As the client library has it, see find_endpoint(). */
    snprintf(way->target, sizeof(way->target), "%.*s:%d", Ch_NAME_MAX,
             tries->endpoint, info->port);
    strlcpy(way->credentials, reach->credentials, sizeof(way->credentials));
}

static void
on_probed(void *arg, const struct di_result *result)
{
    struct link *link = arg;
    struct rh_reach *reach = link->reach;
    link->probe = NULL;
    if (result->sock == NULL) {
        Li_ProbeFailed(&link->path);
        return;
    }
    Sk_Close(result->sock);
    if (Li_RecordOutcome(&link->path, LI_CONNECTED, LI_NOT_TRIED,
                         Ck_Now(reach->gate->clock))) {
        handle_change(reach, link, false);
    }
}

/* Probes a cut link with a direct connection that carries no data. */
static void
probe_link(struct rh_reach *reach, struct link *link, int64_t now)
{
    if (link->probe != NULL) {
        if (now - link->path.probed_at >= Rh_PROBE_TIMEOUT_USEC) {
            Di_Cancel(link->probe);
            link->probe = NULL;
            Li_ProbeFailed(&link->path);
        }
        return;
    }
    struct di_plan plan = {.count = 1};
    if (!Li_IsProbeDue(&link->path, now) ||
        !Ep_Address(reach->gate->endpoints, link->endpoint,
                    plan.ways[0].address, sizeof(plan.ways[0].address))) {
        return;
    }
    Li_ProbeStarted(&link->path, now);
    link->probe = Di_Start(reach->gate->loop, &plan, on_probed, link);
}

static void
publish(struct rh_reach *reach, int64_t now)
{
    bool changed = reach->any_cut != reach->published_cut;
    if (now < reach->next_publish && !changed) {
        return;
    }
    bool first = reach->next_publish == 0;
    reach->next_publish =
        now + (first || changed ? Rh_REPUBLISH_USEC : Rh_PUBLISH_USEC);
    reach->published_cut = reach->any_cut;
    struct pf_tunnel tunnel = {(uint16_t)Th_Port(reach->through),
                               reach->any_cut};
    Pe_PublishTunnel(reach->peers, &tunnel, Rh_FACT_TTL_USEC);
}

void
Rh_Tick(struct rh_reach *reach)
{
    int64_t now = Ck_Now(reach->gate->clock);
    if (now < reach->next_tick) {
        return;
    }
    reach->next_tick = now + Rh_TICK_USEC;
    Th_Tick(reach->through);
    reach->any_cut = false;
    struct link *link;
    struct link *next;
    TAILQ_FOREACH_SAFE (link, &reach->links, link, next) {
        if (now - link->used_at >= Rh_UNUSED_USEC) {
            drop_link(reach, link);
            continue;
        }
        reach->any_cut |= link->path.cut;
        probe_link(reach, link, now);
    }
    publish(reach, now);
}
