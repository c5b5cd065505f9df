#include "edge/rate_limit.h"

#include <math.h>
#include <string.h>

/* A smaller change of the limit is not logged. */
#define Rl_LOGGED_CHANGE 0.1
/* A longer Retry-After would leave callers no time to come back. */
#define Rl_RETRY_FACTOR_MAX 8.0

static void
note(struct ga_gate *gate, struct fl_endpoint *endpoint, double per_sec,
     int64_t at, bool from_answer)
{
    struct rs_state *state = &endpoint->rate_limit;
    double before = state->per_sec;
    Rs_Note(state, per_sec, at, from_answer, Ga_Now(gate));
    if ((before > 0) == (state->per_sec > 0) &&
        fabs(state->per_sec - before) <= Rl_LOGGED_CHANGE * before) {
        return;
    }
    Ln_Log(LN_STATE, "endpoint.rate_limit",
           "\"endpoint\":\"%s\",\"service\":\"%s\",\"per_sec\":%.2f,"
           "\"by\":\"%s\"",
           endpoint->entry.id, endpoint->entry.service, state->per_sec,
           from_answer ? "answer" : "peer");
}

void
Rl_NoteAnswer(struct ga_gate *gate, struct fl_endpoint *endpoint,
              const struct hd_answer *answer)
{
    if (answer->rate_limit_invalid) {
        Mt_Add(gate->count.rate_limits_invalid, 1);
        return;
    }
    note(gate, endpoint, answer->rate_limit, Ga_Now(gate), true);
}

void
Rl_FillMessage(const struct ga_gate *gate, struct ms_message *message,
               bool summary)
{
    int64_t now = Ga_Now(gate);
    size_t rows_max =
        summary ? Ms_SUMMARY_RATE_LIMITS_MAX : Ms_RATE_LIMITS_MAX;
    message->rate_limit_count = 0;
    const struct fl_endpoint *endpoint;
    TAILQ_FOREACH (endpoint, Fl_All(gate->fleet), link) {
        const struct rs_state *state = &endpoint->rate_limit;
        if (message->rate_limit_count < rows_max &&
            Rs_ShouldReport(state, summary, now)) {
            message->rate_limits[message->rate_limit_count++] =
                (struct ms_rate_limit){endpoint->hash, state->per_sec,
                                       now - state->reported_at};
        }
    }
}

/*
 * A report of a peer counts as older than it is by the time that messages
 * take, so that it does not replace an answer that this host had meanwhile.
 */
static int64_t
reported_at(const struct ga_gate *gate, const struct ms_rate_limit *row)
{
    return Ga_Now(gate) - row->age_usec - Ms_ReportDelay(gate->mesh);
}

void
Rl_ApplyMessage(struct ga_gate *gate, const struct ms_message *message)
{
    for (size_t i = 0; i < message->rate_limit_count; i++) {
        const struct ms_rate_limit *row = &message->rate_limits[i];
        struct fl_endpoint *endpoint = Fl_ByHash(gate->fleet, row->endpoint);
        if (endpoint != NULL) {
            note(gate, endpoint, row->per_sec > 0 ? row->per_sec : -1,
                 reported_at(gate, row), false);
        }
    }
}

static double
weight_of(const struct de_rate *rates, size_t count, uint32_t service)
{
    for (size_t i = 0; i < count; i++) {
        if (rates[i].service == service) {
            return ldexp(1, rates[i].offered_log2);
        }
    }
    return 0;
}

/* Hosts that stop, or have been silent, get no share. */
static void
list_hosts(const struct ga_gate *gate, const char *service,
           struct rs_hosts *out)
{
    uint32_t hash = De_Hash(service);
    struct de_rate own[De_SERVICES_MAX];
    size_t own_count = De_LocalRates(gate->demand, own);
    out->list[0] = (struct rs_host){Ms_OwnHash(gate->mesh),
                                    weight_of(own, own_count, hash)};
    out->count = 1;
    const struct ms_peer *peer;
    TAILQ_FOREACH (peer, Ms_Peers(gate->mesh), link) {
        if (out->count < Rs_HOSTS_MAX && Ms_Alive(gate->mesh, peer) &&
            !peer->stopping) {
            out->list[out->count++] = (struct rs_host){
                peer->hash, weight_of(peer->rates, peer->rate_count, hash)};
        }
    }
}

static void
set_share(const struct ga_gate *gate, const struct rs_hosts *hosts,
          struct fl_endpoint *endpoint)
{
    struct rs_state *state = &endpoint->rate_limit;
    int64_t now = Ga_Now(gate);
    struct rs_share share = Rs_Share(hosts, endpoint->hash, state->per_sec);
    if (share.fraction <= 0) {
        share = Rs_TrialShare(state, hosts->count, now);
    }
    share.fraction *= Rs_PartitionFactor(Ms_CountReachable(gate->mesh),
                                         Ms_CountExpected(gate->mesh));
    Rs_SetShare(state, &share, Ms_MessageDelay(gate->mesh), now);
}

/* The hosts are listed once for all limited endpoints of the service. */
static void
update_shares(const struct ga_gate *gate, const char *service)
{
    static struct rs_hosts hosts;
    list_hosts(gate, service, &hosts);
    struct fl_endpoint *endpoint;
    TAILQ_FOREACH (endpoint, Fl_All(gate->fleet), link) {
        if (Rs_IsLimited(&endpoint->rate_limit) &&
            strcmp(endpoint->entry.service, service) == 0) {
            set_share(gate, &hosts, endpoint);
        }
    }
}

bool
Rl_IsClosed(struct ga_gate *gate, struct fl_endpoint *endpoint)
{
    struct rs_state *state = &endpoint->rate_limit;
    if (!Rs_IsLimited(state)) {
        return false;
    }
    int64_t now = Ga_Now(gate);
    if (Rs_ShareIsOld(state, now)) {
        update_shares(gate, endpoint->entry.service);
    }
    return !Rs_MaySend(state, now);
}

bool
Rl_IsUnused(const struct ga_gate *gate, struct fl_endpoint *endpoint)
{
    return Rs_IsLimited(&endpoint->rate_limit) &&
           Rs_IsUnused(&endpoint->rate_limit, Ga_Now(gate));
}

void
Rl_NoteSent(const struct ga_gate *gate, struct fl_endpoint *endpoint)
{
    if (Rs_IsLimited(&endpoint->rate_limit)) {
        Rs_Sent(&endpoint->rate_limit, Ga_Now(gate));
        Mt_Add(gate->count.rate_limited_sends, 1);
    }
}

/* Requests for a service that callers send to all hosts, a second. */
static double
offered_per_sec(const struct ga_gate *gate, const char *service)
{
    static struct rs_hosts hosts;
    double sum = 0;
    list_hosts(gate, service, &hosts);
    for (size_t i = 0; i < hosts.count; i++) {
        sum += hosts.list[i].weight;
    }
    return sum;
}

int64_t
Rl_RetryUsec(const struct ga_gate *gate, const char *service, int64_t usec)
{
    double limits = 0;
    const struct fl_endpoint *endpoint;
    TAILQ_FOREACH (endpoint, Fl_All(gate->fleet), link) {
        if (!Fl_Usable(endpoint) ||
            strcmp(endpoint->entry.service, service) != 0) {
            continue;
        }
        if (!Rs_IsLimited(&endpoint->rate_limit)) {
            return usec;
        }
        limits += endpoint->rate_limit.per_sec;
    }
    if (limits <= 0) {
        return usec;
    }
    double factor = offered_per_sec(gate, service) / limits;
    factor = fmin(fmax(factor, 1), Rl_RETRY_FACTOR_MAX);
    return (int64_t)((double)usec * factor);
}
