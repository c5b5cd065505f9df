#include "edge/brittle.h"

#include <stdio.h>
#include <string.h>

#define Bt_LABELS_MAX (Ec_NAME_MAX + 64)

static bool
same_service(const struct fl_endpoint *a, const struct fl_endpoint *b)
{
    return strcmp(a->entry.service, b->entry.service) == 0;
}

static void
log_change(const struct fl_endpoint *endpoint, int max_refusals,
           const char *by)
{
    Ln_Log(LN_STATE, "service.brittle",
           "\"service\":\"%s\",\"most\":%d,\"by\":\"%s\"",
           endpoint->entry.service, max_refusals, by);
}

static void
mark_service(struct ga_gate *gate, struct fl_endpoint *endpoint,
             int max_refusals)
{
    int64_t now = Ga_Now(gate);
    if (!Br_IsBrittle(&endpoint->brittle, now)) {
        log_change(endpoint, max_refusals, "answer");
    }
    struct fl_endpoint *other;
    TAILQ_FOREACH (other, Fl_All(gate->fleet), link) {
        if (same_service(other, endpoint)) {
            Br_NoteEndpointReport(&other->brittle, max_refusals, now);
        }
    }
    endpoint->brittle.self_reported = true;
}

static void
clear_service(struct ga_gate *gate, const struct fl_endpoint *endpoint)
{
    log_change(endpoint, -1, "answer");
    struct fl_endpoint *other;
    TAILQ_FOREACH (other, Fl_All(gate->fleet), link) {
        if (same_service(other, endpoint)) {
            Br_Clear(&other->brittle);
        }
    }
}

void
Bt_NoteAnswer(struct ga_gate *gate, struct fl_endpoint *endpoint,
              int max_refusals, int64_t sent_at)
{
    if (max_refusals >= 0) {
        mark_service(gate, endpoint, max_refusals);
    }
    else if (Br_IsWithdrawn(&endpoint->brittle, sent_at)) {
        clear_service(gate, endpoint);
    }
}

static bool
is_listed(const struct ms_message *message, uint32_t service)
{
    for (size_t i = 0; i < message->refusal_limit_count; i++) {
        if (message->refusal_limits[i].service == service) {
            return true;
        }
    }
    return false;
}

void
Bt_FillMessage(const struct ga_gate *gate, struct ms_message *message)
{
    int64_t now = Ga_Now(gate);
    const struct fl_endpoint *endpoint;
    TAILQ_FOREACH (endpoint, Fl_All(gate->fleet), link) {
        if (message->refusal_limit_count == Ms_REFUSAL_LIMITS_MAX) {
            break;
        }
        if (!Br_ShouldReport(&endpoint->brittle, now)) {
            continue;
        }
        uint32_t service = De_Hash(endpoint->entry.service);
        if (!is_listed(message, service)) {
            message->refusal_limits[message->refusal_limit_count++] =
                (struct ms_refusal_limit){service,
                                          endpoint->brittle.refusal_limit};
        }
    }
}

/*
 * Applies a peer's report to all endpoints of the service, but returns early
 * when one was applied recently: hundreds of peers repeat the same report
 * several times a second.
 */
static void
apply_report(struct ga_gate *gate, const struct ms_refusal_limit *report,
             int64_t now)
{
    const struct fl_endpoint *first = NULL;
    struct fl_endpoint *endpoint;
    TAILQ_FOREACH (endpoint, Fl_All(gate->fleet), link) {
        if (De_Hash(endpoint->entry.service) != report->service) {
            continue;
        }
        if (first == NULL) {
            first = endpoint;
            if (Br_IsPeerReportRecent(&endpoint->brittle, now)) {
                return;
            }
            if (!Br_IsBrittle(&endpoint->brittle, now)) {
                log_change(endpoint, report->refusals_per_sec, "peer");
            }
        }
        Br_NotePeerReport(&endpoint->brittle, report->refusals_per_sec, now);
    }
}

void
Bt_ApplyMessage(struct ga_gate *gate, const struct ms_message *message)
{
    for (size_t i = 0; i < message->refusal_limit_count; i++) {
        apply_report(gate, &message->refusal_limits[i], Ga_Now(gate));
    }
}

/* Updates this host's rank (see Wu_Rank()) at a service's endpoints. */
static void
update_ranks(const struct ga_gate *gate, const struct fl_endpoint *endpoint)
{
    int64_t now = Ga_Now(gate);
    struct wu_hosts hosts;
    Ms_ListSenders(gate->mesh, &hosts);
    struct fl_endpoint *best = NULL;
    struct fl_endpoint *other;
    size_t count = 0;
    TAILQ_FOREACH (other, Fl_All(gate->fleet), link) {
        count += same_service(other, endpoint) && Fl_Usable(other);
    }
    TAILQ_FOREACH (other, Fl_All(gate->fleet), link) {
        if (!same_service(other, endpoint) || !Fl_Usable(other)) {
            continue;
        }
        other->brittle.rank = Wu_Rank(&hosts, other->hash);
        other->brittle.rank_at = now;
        other->brittle.best = false;
        other->brittle.endpoint_count = count;
        if (best == NULL || other->brittle.rank < best->brittle.rank) {
            best = other;
        }
    }
    if (best != NULL) {
        best->brittle.best = true;
    }
}

bool
Bt_IsClosed(const struct ga_gate *gate, struct fl_endpoint *endpoint)
{
    int64_t now = Ga_Now(gate);
    const struct br_state *state = &endpoint->brittle;
    if (!Br_IsBrittle(state, now)) {
        return false;
    }
    if (Br_RankIsOld(state, now)) {
        update_ranks(gate, endpoint);
    }
    struct br_quota quota = Br_Quota(
        state->refusal_limit, Ms_CountAll(gate->mesh), state->endpoint_count);
    return !Br_MaySend(state, &quota,
                       endpoint->running + endpoint->peers_running,
                       endpoint->entry.slots, now);
}

void
Bt_NoteSent(const struct ga_gate *gate, struct fl_endpoint *endpoint)
{
    Br_Sent(&endpoint->brittle, Ga_Now(gate));
}

static void
log_refused(struct ga_gate *gate, const struct fl_endpoint *endpoint)
{
    int64_t now = Ga_Now(gate);
    const struct br_state *state = &endpoint->brittle;
    bool brittle = Br_IsBrittle(state, now);
    Ln_Log(LN_FAILURE, "endpoint.refused",
           "\"endpoint\":\"%s\",\"service\":\"%s\",\"brittle\":%d,"
           "\"rank\":%zu,\"hosts\":%zu,\"running\":%d,\"others\":%d,"
           "\"slots\":%d,\"listed_ms\":%lld",
           endpoint->entry.id, endpoint->entry.service, brittle, state->rank,
           Ms_CountAll(gate->mesh), endpoint->running, endpoint->peers_running,
           endpoint->entry.slots,
           (long long)((now - endpoint->first_entry_at) / Ck_USEC_PER_MSEC));
    char labels[Bt_LABELS_MAX];
    snprintf(labels, sizeof(labels), "service=\"%s\",brittle=\"%d\"",
             endpoint->entry.service, brittle);
    Mt_Add(Mt_Get(gate->registry, MT_COUNTER,
                  "cornelgate_endpoint_refusals_total", labels),
           1);
}

void
Bt_NoteRefused(struct ga_gate *gate, struct fl_endpoint *endpoint)
{
    log_refused(gate, endpoint);
    Br_Refused(&endpoint->brittle, Ga_Now(gate));
}
