#include "edge/paths.h"

#include <bsd/string.h>
#include <bsd/sys/queue.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "edge/exchange.h"
#include "edge/quarantine.h"
#include "policy/way.h"
#include "web/dial.h"

/* Link tests in progress at the same time. */
#define Pt_TESTS_MAX 16
/* Timeout of a link test; to connect normally takes a few milliseconds. */
#define Pt_TEST_TIMEOUT_USEC (300 * Ck_USEC_PER_MSEC)
#define Pt_PEERS_MAX 512

/* A connect in progress, for a request or as a link test. */
struct attempt {
    LIST_ENTRY(attempt) link;
    struct pt_paths *paths;
    struct fl_endpoint *endpoint; /* a reference */
    enum wy_order order;
    size_t direct;        /* index of the direct path in the plan */
    uint32_t peer;        /* address of the relaying peer; 0: none */
    struct di_dial *test; /* the link test; NULL: for a request */
    int64_t since;
};

LIST_HEAD(attempt_list, attempt);

struct pt_paths {
    struct ga_gate *gate;
    struct attempt_list tests;
    size_t test_count;
    struct wy_failures failures;
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
pick_peer(struct pt_paths *paths, const struct wy_link *link)
{
    static const struct ms_peer *candidates[Pt_PEERS_MAX];
    static struct wy_peer peers[Pt_PEERS_MAX];
    struct ga_gate *gate = paths->gate;
    size_t count = 0;
    const struct ms_peer *peer;
    TAILQ_FOREACH (peer, Ms_Peers(gate->mesh), link) {
        if (count == Pt_PEERS_MAX || !Ms_Close(gate->mesh, peer) ||
            peer->stopping || !peer->ready) {
            continue;
        }
        candidates[count] = peer;
        peers[count++] = (struct wy_peer){
            .near = peer->near,
            .cut = peer->cut,
            .failed_at = Wy_FailedAt(&paths->failures, peer->address),
        };
    }
    return count == 0
               ? NULL
               : candidates[Wy_PickPeer(link, peers, count,
                                        Rn_Unit(&gate->random), Ga_Now(gate))];
}

static void
add_direct_way(struct di_plan *plan, const struct fl_endpoint *endpoint)
{
    struct di_way *way = &plan->ways[plan->count++];
    strlcpy(way->address, endpoint->entry.address, sizeof(way->address));
}

static void
add_peer_way(struct di_plan *plan, struct attempt *attempt)
{
    struct ga_gate *gate = attempt->paths->gate;
    const struct fl_endpoint *endpoint = attempt->endpoint;
    const struct ms_peer *peer = pick_peer(attempt->paths, &endpoint->way);
    if (peer == NULL) {
        return;
    }
    attempt->peer = peer->address;
    struct di_way *way = &plan->ways[plan->count++];
    snprintf(way->address, sizeof(way->address), "%.48s:%d", peer->ip,
             gate->options.node->through_port);
    strlcpy(way->target, endpoint->entry.id, sizeof(way->target));
    way->peer = peer->address;
}

static struct di_plan
plan_for(struct attempt *attempt)
{
    struct di_plan plan = {.patience_usec = Wy_PATIENCE};
    if (attempt->order == WY_PEER_FIRST) {
        add_peer_way(&plan, attempt);
    }
    attempt->direct = plan.count;
    add_direct_way(&plan, attempt->endpoint);
    if (attempt->order == WY_DIRECT_FIRST) {
        add_peer_way(&plan, attempt);
    }
    return plan;
}

static struct attempt *
begin_attempt(struct pt_paths *paths, struct fl_endpoint *endpoint,
              enum wy_order order)
{
    struct attempt *attempt = calloc(1, sizeof(*attempt));
    if (attempt != NULL) {
        attempt->paths = paths;
        attempt->endpoint = Fl_Hold(endpoint);
        attempt->order = order;
        attempt->since = Ga_Now(paths->gate);
    }
    return attempt;
}

static void
end_attempt(struct attempt *attempt)
{
    if (attempt->test != NULL) {
        LIST_REMOVE(attempt, link);
        attempt->paths->test_count--;
    }
    Fl_Drop(attempt->endpoint);
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

static enum wy_end
outcome_of(const struct di_result *result, size_t way)
{
    switch (result->ways[way]) {
    case DI_MADE:
        return WY_CAME;
    case DI_FAILED:
        return WY_FAILED;
    case DI_PENDING:
        return WY_OVERDUE;
    default:
        return WY_NOT_TRIED;
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
        if (changed->way.cut) {
            endpoint->test_wanted |=
                endpoint->connections > 0 && !endpoint->way.cut;
        }
        else if (endpoint->way.cut) {
            Wy_TrySoon(&endpoint->way);
        }
    }
}

static void
note_outcome(struct pt_paths *paths, struct fl_endpoint *endpoint,
             enum wy_end direct, enum wy_end peer)
{
    int64_t now = Ga_Now(paths->gate);
    if (!Wy_Ended(&endpoint->way, direct, peer, now)) {
        endpoint->test_wanted |= peer == WY_CAME && direct == WY_OVERDUE;
        return;
    }
    bool cut = endpoint->way.cut;
    Ln_Log(LN_STATE, cut ? "link.cut" : "link.regained",
           "\"endpoint\":\"%s\",\"service\":\"%s\",\"zone\":\"%s\","
           "\"silent\":%d",
           endpoint->entry.id, endpoint->entry.service, endpoint->entry.zone,
           direct == WY_OVERDUE);
    paths->any_cut |= cut;
    /* Open connections may still work where new ones are refused. */
    if (!cut || direct == WY_OVERDUE) {
        drop_idle(endpoint, cut);
    }
    retest_others(paths, endpoint);
}

/* Notes that the endpoint is alive, or, if all connects are refused, dead. */
static void
note_alive(const struct attempt *attempt, enum wy_end direct, enum wy_end peer)
{
    bool connected = direct == WY_CAME || peer == WY_CAME;
    bool refused =
        direct == WY_FAILED && (peer == WY_FAILED || peer == WY_NOT_TRIED);
    if (connected || refused) {
        Qn_NoteConnect(attempt->paths->gate->quarantine, attempt->endpoint,
                       connected, attempt->since);
    }
}

/* Takes the result of a connect; "result" is NULL if it was abandoned. */
static void
on_connected(void *arg, const struct di_result *result)
{
    struct attempt *attempt = arg;
    if (result != NULL) {
        enum wy_end peer = outcome_of(result, attempt->direct == 0 ? 1 : 0);
        if (peer == WY_FAILED) {
            Wy_NoteFailure(&attempt->paths->failures, attempt->peer,
                           Ga_Now(attempt->paths->gate));
        }
        enum wy_end direct = outcome_of(result, attempt->direct);
        note_outcome(attempt->paths, attempt->endpoint, direct, peer);
        note_alive(attempt, direct, peer);
    }
    end_attempt(attempt);
}

struct cn_channel *
Pt_Connect(struct pt_paths *paths, struct fl_endpoint *endpoint,
           cn_idle_fn idle)
{
    struct ga_gate *gate = paths->gate;
    enum wy_order order = Wy_Order(&endpoint->way, Ga_Now(gate));
    struct attempt *attempt = begin_attempt(paths, endpoint, order);
    if (attempt == NULL) {
        return NULL;
    }
    struct cn_dialing dialing = {
        .plan = plan_for(attempt),
        .made = on_connected,
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
on_tested(void *arg, const struct di_result *result)
{
    struct attempt *attempt = arg;
    Sk_Close(result->sock);
    if (attempt->order == WY_DIRECT_ONLY && result->sock == NULL) {
        Wy_TrialFailed(&attempt->endpoint->way);
    }
    on_connected(attempt, result);
}

/* Tests a link: connects and closes the connection at once. */
static void
test_link(struct pt_paths *paths, struct fl_endpoint *endpoint,
          enum wy_order order)
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
    LIST_INSERT_HEAD(&paths->tests, attempt, link);
    paths->test_count++;
    endpoint->test_wanted = false;
    if (order == WY_DIRECT_ONLY) {
        Wy_TrialBegun(&endpoint->way, attempt->since);
    }
    else {
        Wy_Tested(&endpoint->way, attempt->since);
    }
}

/* When any endpoint of a service last sent bytes on a direct connection. */
static int64_t
last_answer_at(const struct ga_gate *gate, const char *service)
{
    int64_t at = 0;
    const struct fl_endpoint *endpoint;
    TAILQ_FOREACH (endpoint, Fl_All(gate->fleet), link) {
        if (endpoint->heard_at > at &&
            strcmp(endpoint->entry.service, service) == 0) {
            at = endpoint->heard_at;
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
        Wy_Doubtful(&endpoint->way, sent_at,
                    last_answer_at(gate, endpoint->entry.service),
                    Ga_Now(gate))) {
        test_link(paths, endpoint, WY_DIRECT_FIRST);
    }
}

static void
cancel_overdue(struct pt_paths *paths)
{
    int64_t now = Ga_Now(paths->gate);
    struct attempt *attempt;
    struct attempt *next;
    LIST_FOREACH_SAFE (attempt, &paths->tests, link, next) {
        if (now - attempt->since < Pt_TEST_TIMEOUT_USEC) {
            continue;
        }
        if (attempt->order == WY_DIRECT_ONLY) {
            Wy_TrialFailed(&attempt->endpoint->way);
        }
        else if (attempt->peer != 0) {
            Wy_NoteFailure(&paths->failures, attempt->peer, now);
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
        any_cut |= endpoint->way.cut;
        if (Wy_TrialDue(&endpoint->way, now)) {
            test_link(paths, endpoint, WY_DIRECT_ONLY);
        }
        else if (endpoint->test_wanted && Wy_MayTest(&endpoint->way, now)) {
            test_link(paths, endpoint, WY_DIRECT_FIRST);
        }
    }
    paths->any_cut = any_cut;
}

bool
Pt_MayReuse(const struct pt_paths *paths, const struct cn_channel *channel)
{
    if (Cn_Peer(channel) == 0) {
        return true;
    }
    const struct ms_peer *peer = Ms_Find(paths->gate->mesh, Cn_Peer(channel));
    return peer != NULL && !peer->stopping &&
           Ms_Close(paths->gate->mesh, peer);
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
        end_attempt(attempt);
    }
    free(paths);
}
