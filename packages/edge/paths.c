#include "edge/paths.h"

#include <bsd/string.h>
#include <bsd/sys/queue.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "edge/exchange.h"
#include "policy/link.h"
#include "web/dial.h"
#include "web/lifecheck.h"

/* Link tests in progress at the same time. */
#define Pt_TESTS_MAX 16
/* Timeout of a link test; to connect normally takes a few milliseconds. */
#define Pt_TEST_TIMEOUT_USEC (300 * Ck_USEC_PER_MSEC)
#define Pt_PEERS_MAX 512

/* A check whether an endpoint lives ends after this time. */
#define Pt_CHECK_TIMEOUT_USEC Lv_SILENCE_USEC

/* A connect in progress, for a request or as a link test. */
struct attempt {
    LIST_ENTRY(attempt) link;
    struct pt_paths *paths;
    struct fl_endpoint *endpoint; /* counted reference */
    enum li_order order;
    size_t direct; /* index of the direct path in the plan */
    uint32_t peer; /* address of the relaying peer; 0: none */
    bool testing;  /* a link test or a check; false: for a request */
    bool checks;   /* once connected, asks the endpoint whether it lives */
    struct di_dial *test;   /* NULL: connected, or for a request */
    struct lc_check *check; /* NULL: not yet connected, or none */
    int64_t since;
};

LIST_HEAD(attempt_list, attempt);

struct pt_paths {
    struct ga_gate *gate;
    struct attempt_list tests;
    size_t test_count;
    struct li_failures failures;
    bool any_cut;
};

struct pt_paths *
Pt_Create(struct ga_gate *gate)
{
    struct pt_paths *paths = calloc(1, sizeof(*paths));
    if (paths != NULL) {
        paths->gate = gate;
        LIST_INIT(&paths->tests);
    }
    return paths;
}

bool
Pt_AnyCut(const struct pt_paths *paths)
{
    return paths->any_cut;
}

/* Picks a peer to relay a connection; NULL if there is none. */
static const struct ms_peer *
pick_peer(struct pt_paths *paths, const struct li_link *link)
{
    static const struct ms_peer *candidates[Pt_PEERS_MAX];
    static struct li_peer peers[Pt_PEERS_MAX];
    struct ga_gate *gate = paths->gate;
    size_t count = 0;
    const struct ms_peer *peer;
    TAILQ_FOREACH (peer, Ms_Peers(gate->mesh), link) {
        if (count == Pt_PEERS_MAX || !Ms_IsResponsive(gate->mesh, peer) ||
            peer->stopping || !peer->ready) {
            continue;
        }
        candidates[count] = peer;
        peers[count++] = (struct li_peer){
            .same_data_centre = peer->same_zone,
            .cut = peer->links_cut,
            .failed_at = Li_LastFailure(&paths->failures, peer->address),
        };
    }
    return count == 0
               ? NULL
               : candidates[Li_PickPeer(link, peers, count,
                                        Rn_Unit(&gate->random), Ga_Now(gate))];
}

bool
Pt_FillWay(const struct pt_paths *paths, const struct fl_endpoint *endpoint,
           struct di_way *way)
{
    const struct ga_gate *gate = paths->gate;
    if (way->peer == 0) {
        strlcpy(way->address, endpoint->entry.address, sizeof(way->address));
        return true;
    }
    const struct ms_peer *peer = Ms_Find(gate->mesh, way->peer);
    if (peer == NULL) {
        return false;
    }
    snprintf(way->address, sizeof(way->address), "%.48s:%d", peer->ip,
             gate->options.node->tunnel_port);
    strlcpy(way->target, endpoint->entry.id, sizeof(way->target));
    return true;
}

void
Pt_FillOtherWay(struct pt_paths *paths, const struct fl_endpoint *endpoint,
                struct di_way *way)
{
    uint32_t declined = way->peer;
    Li_NoteFailure(&paths->failures, declined, Ga_Now(paths->gate));
    const struct ms_peer *peer = pick_peer(paths, &endpoint->link_state);
    bool other = peer != NULL && peer->address != declined;
    *way = (struct di_way){.peer = other ? peer->address : 0};
    Pt_FillWay(paths, endpoint, way);
}

static void
add_way(struct di_plan *plan, const struct attempt *attempt, uint32_t peer)
{
    struct di_way *way = &plan->ways[plan->count++];
    way->peer = peer;
    Pt_FillWay(attempt->paths, attempt->endpoint, way);
}

static void
add_peer_way(struct di_plan *plan, struct attempt *attempt)
{
    const struct ms_peer *peer =
        pick_peer(attempt->paths, &attempt->endpoint->link_state);
    if (peer != NULL) {
        attempt->peer = peer->address;
        add_way(plan, attempt, peer->address);
    }
}

static struct di_plan
plan_for(struct attempt *attempt)
{
    struct di_plan plan = {.patience_usec = Li_FALLBACK_USEC};
    if (attempt->order == LI_PEER_FIRST) {
        add_peer_way(&plan, attempt);
    }
    attempt->direct = plan.count;
    add_way(&plan, attempt, 0);
    if (attempt->order == LI_DIRECT_FIRST) {
        add_peer_way(&plan, attempt);
    }
    return plan;
}

static struct attempt *
begin_attempt(struct pt_paths *paths, struct fl_endpoint *endpoint,
              enum li_order order)
{
    struct attempt *attempt = calloc(1, sizeof(*attempt));
    if (attempt != NULL) {
        attempt->paths = paths;
        attempt->endpoint = Fl_Ref(endpoint);
        attempt->order = order;
        attempt->since = Ga_Now(paths->gate);
    }
    return attempt;
}

static void
end_attempt(struct attempt *attempt)
{
    if (attempt->testing) {
        LIST_REMOVE(attempt, link);
        attempt->paths->test_count--;
    }
    Fl_Unref(attempt->endpoint);
    free(attempt);
}

static void
drop_idle(struct fl_endpoint *endpoint, bool direct)
{
    struct fl_idle *idle;
    struct fl_idle *next;
    TAILQ_FOREACH_SAFE (idle, &endpoint->idle, link, next) {
        if ((Cn_Peer(idle->channel) == 0) == direct) {
            Po_Close(endpoint, idle);
        }
    }
}

static enum li_outcome
outcome_of(const struct di_result *result, size_t way)
{
    switch (result->ways[way]) {
    case DI_MADE:
        return LI_CONNECTED;
    case DI_FAILED:
    case DI_DECLINED:
        return LI_FAILED;
    case DI_PENDING:
        return LI_OVERDUE;
    default:
        return LI_NOT_TRIED;
    }
}

/*
 * Has the other links tested after one link was cut or restored: the same
 * fault may concern them.
 */
static void
retest_others(struct pt_paths *paths, const struct fl_endpoint *changed)
{
    struct fl_endpoint *endpoint;
    TAILQ_FOREACH (endpoint, Fl_All(paths->gate->fleet), link) {
        if (changed->link_state.cut) {
            endpoint->probe_wanted |=
                endpoint->connections > 0 && !endpoint->link_state.cut;
        }
        else if (endpoint->link_state.cut) {
            Li_ProbeSoon(&endpoint->link_state);
        }
    }
}

static void
note_outcome(struct pt_paths *paths, struct fl_endpoint *endpoint,
             enum li_outcome direct, enum li_outcome peer)
{
    int64_t now = Ga_Now(paths->gate);
    if (!Li_RecordOutcome(&endpoint->link_state, direct, peer, now)) {
        endpoint->probe_wanted |= peer == LI_CONNECTED && direct == LI_OVERDUE;
        return;
    }
    bool cut = endpoint->link_state.cut;
    Ln_Log(LN_STATE, cut ? "link.cut" : "link.regained",
           "\"endpoint\":\"%s\",\"service\":\"%s\",\"zone\":\"%s\","
           "\"silent\":%d",
           endpoint->entry.id, endpoint->entry.service, endpoint->entry.zone,
           direct == LI_OVERDUE);
    paths->any_cut |= cut;
    /* Open connections may still work where new ones are refused. */
    if (!cut || direct == LI_OVERDUE) {
        drop_idle(endpoint, cut);
    }
    retest_others(paths, endpoint);
}

/* Notes that a connect was accepted, or that all ways to connect failed. */
static void
note_connect(const struct attempt *attempt, enum li_outcome direct,
             enum li_outcome peer)
{
    struct ga_gate *gate = attempt->paths->gate;
    bool connected = direct == LI_CONNECTED || peer == LI_CONNECTED;
    bool failed = (direct == LI_FAILED || direct == LI_NOT_TRIED) &&
                  (peer == LI_FAILED || peer == LI_NOT_TRIED);
    if (failed && attempt->endpoint->link_state.cut) {
        /* The peer's link may be cut as well; the own one tells nothing. */
        if (peer == LI_NOT_TRIED) {
            return;
        }
        El_NoteUnanswered(gate->liveness, attempt->endpoint, attempt->since);
    }
    else if (connected || failed) {
        El_NoteConnection(gate->liveness, attempt->endpoint, connected,
                          attempt->since);
    }
}

/* Takes the result of a connect; "result" is NULL if it was abandoned. */
static void
on_connected(struct attempt *attempt, const struct di_result *result)
{
    if (result != NULL) {
        enum li_outcome peer =
            outcome_of(result, attempt->direct == 0 ? 1 : 0);
        if (peer == LI_FAILED) {
            Li_NoteFailure(&attempt->paths->failures, attempt->peer,
                           Ga_Now(attempt->paths->gate));
        }
        enum li_outcome direct = outcome_of(result, attempt->direct);
        note_outcome(attempt->paths, attempt->endpoint, direct, peer);
        note_connect(attempt, direct, peer);
    }
}

static void
on_request_connected(void *arg, const struct di_result *result)
{
    on_connected(arg, result);
    end_attempt(arg);
}

struct cn_channel *
Pt_Connect(struct pt_paths *paths, struct fl_endpoint *endpoint,
           cn_idle_fn idle)
{
    struct ga_gate *gate = paths->gate;
    enum li_order order = Li_Order(&endpoint->link_state, Ga_Now(gate));
    struct attempt *attempt = begin_attempt(paths, endpoint, order);
    if (attempt == NULL) {
        return NULL;
    }
    struct cn_dialing dialing = {
        .plan = plan_for(attempt),
        .made = on_request_connected,
        .arg = attempt,
    };
    struct cn_channel *channel = Cn_Dial(
        gate->options.loop, gate->options.clock, &dialing, idle, endpoint);
    if (channel == NULL) {
        end_attempt(attempt);
    }
    return channel;
}

static void
on_checked(void *arg, bool answered)
{
    struct attempt *attempt = arg;
    struct ga_gate *gate = attempt->paths->gate;
    attempt->check = NULL;
    if (answered) {
        El_NoteBytes(gate->liveness, attempt->endpoint);
    }
    else {
        El_NoteUnanswered(gate->liveness, attempt->endpoint, attempt->since);
    }
    end_attempt(attempt);
}

/* Asks the endpoint for bytes; closes the connection if that fails. */
static void
start_check(struct attempt *attempt, struct sk_sock *sock)
{
    const struct fl_entry *entry = &attempt->endpoint->entry;
    const struct ec_service *service =
        Ec_FindService(Fe_Config(attempt->paths->gate->feed), entry->service);
    const char *path = service == NULL ? "/" : service->check_path;
    attempt->check = Lc_Start(sock, entry->address, path, on_checked, attempt);
}

static void
on_tested(void *arg, const struct di_result *result)
{
    struct attempt *attempt = arg;
    attempt->test = NULL;
    if (attempt->order == LI_DIRECT_ONLY && result->sock == NULL) {
        Li_ProbeFailed(&attempt->endpoint->link_state);
    }
    on_connected(attempt, result);
    if (attempt->checks && result->sock != NULL) {
        start_check(attempt, result->sock);
    }
    else {
        Sk_Close(result->sock);
    }
    if (attempt->check == NULL) {
        end_attempt(attempt);
    }
}

/*
 * Tests a link: connects and, unless it "checks" whether the endpoint lives,
 * closes the connection at once.
 */
static void
test_link(struct pt_paths *paths, struct fl_endpoint *endpoint,
          enum li_order order, bool checks)
{
    struct ga_gate *gate = paths->gate;
    if (paths->test_count >= Pt_TESTS_MAX) {
        return;
    }
    struct attempt *attempt = begin_attempt(paths, endpoint, order);
    if (attempt == NULL) {
        return;
    }
    struct di_plan plan = plan_for(attempt);
    attempt->test = Di_Start(gate->options.loop, &plan, on_tested, attempt);
    if (attempt->test == NULL) {
        end_attempt(attempt);
        return;
    }
    attempt->testing = true;
    attempt->checks = checks;
    LIST_INSERT_HEAD(&paths->tests, attempt, link);
    paths->test_count++;
    endpoint->probe_wanted = false;
    if (order == LI_DIRECT_ONLY) {
        Li_ProbeStarted(&endpoint->link_state, attempt->since);
    }
    else {
        Li_Tested(&endpoint->link_state, attempt->since);
    }
}

/* When any endpoint of a service last sent bytes on a direct connection. */
static int64_t
last_answer_at(const struct ga_gate *gate, const char *service)
{
    int64_t at = 0;
    const struct fl_endpoint *endpoint;
    TAILQ_FOREACH (endpoint, Fl_All(gate->fleet), link) {
        if (endpoint->last_direct_byte_at > at &&
            strcmp(endpoint->entry.service, service) == 0) {
            at = endpoint->last_direct_byte_at;
        }
    }
    return at;
}

void
Pt_NoteUnanswered(struct pt_paths *paths, struct fl_endpoint *endpoint,
                  int64_t sent_at)
{
    struct ga_gate *gate = paths->gate;
    if (!endpoint->gone &&
        Li_IsSuspect(&endpoint->link_state, sent_at,
                     last_answer_at(gate, endpoint->entry.service),
                     Ga_Now(gate))) {
        test_link(paths, endpoint, LI_DIRECT_FIRST, false);
    }
}

static void
cancel_overdue(struct pt_paths *paths)
{
    int64_t now = Ga_Now(paths->gate);
    struct attempt *attempt;
    struct attempt *next;
    LIST_FOREACH_SAFE (attempt, &paths->tests, link, next) {
        int64_t limit = attempt->check == NULL ? Pt_TEST_TIMEOUT_USEC
                                               : Pt_CHECK_TIMEOUT_USEC;
        if (now - attempt->since < limit) {
            continue;
        }
        if (attempt->checks) {
            El_NoteUnanswered(paths->gate->liveness, attempt->endpoint,
                              attempt->since);
        }
        if (attempt->check != NULL) {
            Lc_Cancel(attempt->check);
            end_attempt(attempt);
            continue;
        }
        if (attempt->order == LI_DIRECT_ONLY) {
            Li_ProbeFailed(&attempt->endpoint->link_state);
        }
        else if (attempt->peer != 0) {
            Li_NoteFailure(&paths->failures, attempt->peer, now);
        }
        Di_Cancel(attempt->test);
        end_attempt(attempt);
    }
}

void
Pt_Tick(struct pt_paths *paths)
{
    struct ga_gate *gate = paths->gate;
    int64_t now = Ga_Now(gate);
    cancel_overdue(paths);
    bool any_cut = false;
    struct fl_endpoint *endpoint;
    TAILQ_FOREACH (endpoint, Fl_All(gate->fleet), link) {
        any_cut |= endpoint->link_state.cut;
        if (Li_IsProbeDue(&endpoint->link_state, now)) {
            test_link(paths, endpoint, LI_DIRECT_ONLY, false);
        }
        else if (El_BeginCheck(gate->liveness, endpoint)) {
            test_link(paths, endpoint,
                      endpoint->link_state.cut ? LI_PEER_FIRST
                                               : LI_DIRECT_FIRST,
                      true);
        }
        else if (endpoint->probe_wanted &&
                 Li_MayTest(&endpoint->link_state, now)) {
            test_link(paths, endpoint, LI_DIRECT_FIRST, false);
        }
    }
    paths->any_cut = any_cut;
}

void
Pt_NoteRelayBroke(struct pt_paths *paths, uint32_t peer)
{
    Li_NoteFailure(&paths->failures, peer, Ga_Now(paths->gate));
    struct fl_endpoint *endpoint;
    TAILQ_FOREACH (endpoint, Fl_All(paths->gate->fleet), link) {
        struct fl_idle *idle;
        struct fl_idle *next;
        TAILQ_FOREACH_SAFE (idle, &endpoint->idle, link, next) {
            if (Cn_Peer(idle->channel) == peer) {
                Po_Close(endpoint, idle);
            }
        }
    }
}

bool
Pt_MayReuse(const struct pt_paths *paths, const struct cn_channel *channel)
{
    if (Cn_Peer(channel) == 0) {
        return true;
    }
    const struct ms_peer *peer = Ms_Find(paths->gate->mesh, Cn_Peer(channel));
    return peer != NULL && !peer->stopping &&
           Ms_IsResponsive(paths->gate->mesh, peer);
}

void
Pt_Destroy(struct pt_paths *paths)
{
    if (paths == NULL) {
        return;
    }
    struct attempt *attempt;
    struct attempt *next;
    LIST_FOREACH_SAFE (attempt, &paths->tests, link, next) {
        Di_Cancel(attempt->test);
        Lc_Cancel(attempt->check);
        end_attempt(attempt);
    }
    free(paths);
}
