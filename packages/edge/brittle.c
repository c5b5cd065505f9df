#include "edge/brittle.h"

#include <stdio.h>
#include <string.h>

#define Bt_LABELS_MAX (Ec_NAME_MAX + 64)

static void
log_change(const struct fl_service *service, int max_refusals, const char *by)
{
    Ln_Log(LN_STATE, "service.brittle",
           "\"service\":\"%s\",\"most\":%d,\"by\":\"%s\"", service->name,
           max_refusals, by);
}

/* An endpoint that has left the list tells nothing about its service. */
void
Bt_NoteAnswer(struct ga_gate *gate, struct fl_endpoint *endpoint,
              int max_refusals, int64_t sent_at)
{
    struct fl_service *service = endpoint->service;
    int64_t now = Ga_Now(gate);
    if (service == NULL) {
        return;
    }
    if (max_refusals >= 0) {
        if (!Br_IsBrittle(&service->brittle, now)) {
            log_change(service, max_refusals, "answer");
        }
        Br_NoteEndpointReport(&service->brittle, &endpoint->brittle,
                              max_refusals, now);
    }
    else if (Br_IsWithdrawn(&service->brittle, &endpoint->brittle, sent_at)) {
        log_change(service, -1, "answer");
        Br_Clear(&service->brittle);
    }
}

void
Bt_FillMessage(const struct ga_gate *gate, struct ms_message *message)
{
    int64_t now = Ga_Now(gate);
    const struct fl_service *service;
    TAILQ_FOREACH (service, Fl_Services(gate->fleet), link) {
        if (message->refusal_limit_count < Ms_REFUSAL_LIMITS_MAX &&
            Br_ShouldReport(&service->brittle, now)) {
            message->refusal_limits[message->refusal_limit_count++] =
                (struct ms_refusal_limit){De_Hash(service->name),
                                          service->brittle.refusal_limit};
        }
    }
}

/* Hundreds of peers repeat the same report several times a second. */
static void
apply_report(struct ga_gate *gate, const struct ms_refusal_limit *report,
             int64_t now)
{
    struct fl_service *service;
    TAILQ_FOREACH (service, Fl_Services(gate->fleet), link) {
        if (Br_IsPeerReportRecent(&service->brittle, now) ||
            De_Hash(service->name) != report->service) {
            continue;
        }
        if (!Br_IsBrittle(&service->brittle, now)) {
            log_change(service, report->refusals_per_sec, "peer");
        }
        Br_NotePeerReport(&service->brittle, report->refusals_per_sec, now);
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
update_ranks(const struct ga_gate *gate, const struct fl_service *service)
{
    int64_t now = Ga_Now(gate);
    struct wu_hosts hosts;
    Ms_ListSenders(gate->mesh, &hosts);
    struct fl_endpoint *best = NULL;
    struct fl_endpoint *endpoint;
    size_t count = 0;
    TAILQ_FOREACH (endpoint, Fl_All(gate->fleet), link) {
        count += endpoint->service == service && Fl_Usable(endpoint);
    }
    TAILQ_FOREACH (endpoint, Fl_All(gate->fleet), link) {
        if (endpoint->service != service || !Fl_Usable(endpoint)) {
            continue;
        }
        size_t rank = Wu_Rank(&hosts, endpoint->hash);
        Br_SetRank(&endpoint->brittle, rank, count, now);
        if (best == NULL || rank < best->brittle.rank) {
            best = endpoint;
        }
    }
    if (best != NULL) {
        best->brittle.best = true;
    }
}

bool
Bt_IsClosed(const struct ga_gate *gate, struct fl_endpoint *endpoint)
{
    const struct fl_service *service = endpoint->service;
    const struct br_state *state = &endpoint->brittle;
    if (service == NULL || !Br_WasReported(&service->brittle)) {
        return false;
    }
    int64_t now = Ga_Now(gate);
    if (!Br_IsBrittle(&service->brittle, now)) {
        return false;
    }
    if (Br_RankIsOld(state, now)) {
        update_ranks(gate, service);
    }
    struct br_quota quota =
        Br_Quota(service->brittle.refusal_limit, Ms_CountAll(gate->mesh),
                 state->endpoint_count);
    return !Br_MaySend(&service->brittle, state, &quota,
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
    bool brittle = endpoint->service != NULL &&
                   Br_IsBrittle(&endpoint->service->brittle, now);
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
