#include "edge/quarantine.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "edge/quarantine_record.h"

#define Qn_VERSION_CHECK_USEC (1 * Ck_USEC_PER_SEC)
#define Qn_SERVICES_MAX 16
/* Customer hash of requests without a customer; 0 means "all customers". */
#define Qn_NO_CUSTOMER 1

/* The last version that all endpoints of a service had in common. */
struct service_version {
    uint32_t service;
    uint32_t version;
};

struct qn_quarantine {
    struct ga_gate *gate;
    struct pz_table *table;
    struct qr_records *records;
    struct lp_timer *refuse_timer;
    struct mt_metric *quarantined;
    struct mt_metric *refused;
    int64_t version_check_at;
    size_t service_count;
    struct service_version versions[Qn_SERVICES_MAX];
};

static int64_t
true_now(const struct qn_quarantine *quarantine)
{
    return Tt_Now(quarantine->gate->true_time);
}

/* Converts a time of this host's monotonic clock to true time. */
static int64_t
to_true_time(const struct qn_quarantine *quarantine, int64_t at)
{
    return true_now(quarantine) - (Ga_Now(quarantine->gate) - at);
}

struct pz_request
Qn_MakeRequest(const struct ec_service *service,
               const struct ec_tenant *tenant,
               const struct hd_request_info *info)
{
    struct pz_request request = {
        .service = De_Hash(service->name),
        .customer = tenant == NULL ? Qn_NO_CUSTOMER : Qt_Hash(tenant->name),
    };
    if (info->part_count > 0) {
        request.id = Px_ShortId(&info->parts[info->part_count - 1]);
    }
    request.customer =
        request.customer == 0 ? Qn_NO_CUSTOMER : request.customer;
    while (request.count + 1 < info->part_count &&
           request.count < Pz_PARTS_MAX) {
        request.parts[request.count] = Px_ShortId(&info->parts[request.count]);
        request.count++;
    }
    return request;
}

static struct pz_request
request_of(const struct xc_exchange *exchange)
{
    return Qn_MakeRequest(exchange->service, exchange->tenant,
                          &exchange->info);
}

/*
 * Identifies one run of an endpoint: it may restart under the same identity.
 */
static uint32_t
incarnation_of(const struct fl_endpoint *endpoint)
{
    uint64_t identity[2] = {endpoint->hash,
                            (uint64_t)endpoint->entry.started_ms};
    return (uint32_t)Hash_Bytes(identity, sizeof(identity), 0);
}

static void
on_quarantined(void *arg, const struct pz_quarantine *quarantined, int crashes,
               bool from_peer)
{
    struct qn_quarantine *quarantine = arg;
    Ln_Log(LN_STATE, "part.stopped",
           "\"part\":\"%08x\",\"service\":\"%08x\",\"customer\":\"%08x\","
           "\"crashes\":%d,\"by\":\"%s\"",
           quarantined->key.part, quarantined->key.service,
           quarantined->key.customer, crashes, from_peer ? "peer" : "own");
    Mt_Add(quarantine->quarantined, 1);
    if (!from_peer) {
        Qr_Keep(quarantine->records, quarantined);
    }
    Lp_TimerSet(quarantine->refuse_timer, 0);
}

static void
on_lifted(void *arg, const struct pz_quarantine *quarantined, const char *why)
{
    struct qn_quarantine *quarantine = arg;
    Ln_Log(LN_STATE, "part.lifted",
           "\"part\":\"%08x\",\"service\":\"%08x\",\"customer\":\"%08x\","
           "\"why\":\"%s\"",
           quarantined->key.part, quarantined->key.service,
           quarantined->key.customer, why);
    if (Ms_Rank(quarantine->gate->mesh) == 0) {
        Qr_Remove(quarantine->records, &quarantined->key);
    }
}

static const struct pz_ops table_ops = {
    .quarantined = on_quarantined,
    .lifted = on_lifted,
};

/*
 * Refuses requests with a quarantined part that still wait for their first
 * event: they would crash the endpoints that have them.
 */
static void
on_refuse_waiting(void *arg)
{
    struct qn_quarantine *quarantine = arg;
    struct xc_exchange *exchange;
    struct xc_exchange *next;
    TAILQ_FOREACH_SAFE (exchange, &quarantine->gate->exchanges, link, next) {
        char why[Qn_WHY_MAX];
        struct pz_request request = request_of(exchange);
        if (exchange->head_sent || exchange->attempt.first_event_at != 0 ||
            !Qn_IsQuarantined(quarantine, &request, why)) {
            continue;
        }
        if (exchange->attempt.endpoint != NULL &&
            Cn_Sent(exchange->attempt.channel)) {
            exchange->may_have_run = true;
        }
        Xc_Refuse(exchange, Xc_RefusalStatus(exchange), Qn_RETRY_USEC, why);
    }
}

static void
import_quarantine(void *arg, const struct pz_quarantine *quarantined)
{
    struct qn_quarantine *quarantine = arg;
    Pz_ImportQuarantine(quarantine->table, quarantined, true_now(quarantine));
}

struct qn_quarantine *
Qn_Create(struct ga_gate *gate)
{
    struct qn_quarantine *quarantine = calloc(1, sizeof(*quarantine));
    if (quarantine == NULL) {
        return NULL;
    }
    struct pz_rule rule = Pz_DefaultRule();
    quarantine->gate = gate;
    quarantine->quarantined = Mt_Get(gate->registry, MT_COUNTER,
                                     "cornelgate_parts_stopped_total", "");
    quarantine->refused = Mt_Get(gate->registry, MT_COUNTER,
                                 "cornelgate_refused_for_part_total", "");
    quarantine->table =
        Pz_Create(&rule, &table_ops, quarantine, true_now(quarantine));
    quarantine->records = Qr_Create(gate->options.store, gate->options.clock,
                                    import_quarantine, quarantine);
    quarantine->refuse_timer =
        Lp_TimerCreate(gate->options.loop, on_refuse_waiting, quarantine);
    if (quarantine->table == NULL || quarantine->records == NULL ||
        quarantine->refuse_timer == NULL) {
        Qn_Destroy(quarantine);
        return NULL;
    }
    return quarantine;
}

void
Qn_Destroy(struct qn_quarantine *quarantine)
{
    if (quarantine != NULL) {
        if (quarantine->refuse_timer != NULL) {
            Lp_TimerDestroy(quarantine->refuse_timer);
        }
        Qr_Destroy(quarantine->records);
        Pz_Destroy(quarantine->table);
        free(quarantine);
    }
}

void
Qn_NoteAnswer(struct qn_quarantine *quarantine,
              const struct xc_exchange *exchange)
{
    struct pz_request request = request_of(exchange);
    Pz_NoteAnswer(quarantine->table, &request, true_now(quarantine));
}

void
Qn_NoteBroken(struct qn_quarantine *quarantine,
              const struct xc_exchange *exchange)
{
    const struct xc_attempt *attempt = &exchange->attempt;
    struct fl_endpoint *endpoint = attempt->endpoint;
    struct pz_request request = request_of(exchange);
    /* The link, or the peer that relays the connection, may have failed. */
    if (request.count == 0 || endpoint->link_state.cut ||
        Cn_Peer(attempt->channel) != 0) {
        return;
    }
    struct pz_crash crash = {
        .endpoint = incarnation_of(endpoint),
        .head_received = attempt->head_at != 0,
        .sent_at = to_true_time(quarantine, attempt->sent_at),
        .ended_at = true_now(quarantine),
    };
    endpoint->crashed_at = Ga_Now(quarantine->gate);
    endpoint->probe_wanted = true;
    Pz_NoteCrash(quarantine->table, &request, &crash);
    Pz_Evaluate(quarantine->table, crash.ended_at);
}

void
Qn_NoteAlive(struct qn_quarantine *quarantine, struct fl_endpoint *endpoint)
{
    if (endpoint->crashed_at == 0) {
        return;
    }
    Pz_NoteAlive(quarantine->table, incarnation_of(endpoint),
                 true_now(quarantine));
    if (Ga_Now(quarantine->gate) - endpoint->crashed_at >=
        Pz_RESTART_MIN_USEC) {
        endpoint->crashed_at = 0;
    }
}

void
Qn_NoteConnect(struct qn_quarantine *quarantine, struct fl_endpoint *endpoint,
               bool connected, int64_t since)
{
    if (endpoint->crashed_at == 0 || since < endpoint->crashed_at) {
        return;
    }
    if (connected) {
        Qn_NoteAlive(quarantine, endpoint);
    }
    else {
        Pz_ConfirmDead(quarantine->table, incarnation_of(endpoint));
        Pz_Evaluate(quarantine->table, true_now(quarantine));
    }
}

bool
Qn_IsQuarantined(struct qn_quarantine *quarantine,
                 const struct pz_request *request, char why[Qn_WHY_MAX])
{
    const struct pz_quarantine *quarantined =
        Pz_FindQuarantine(quarantine->table, request, true_now(quarantine));
    if (quarantined == NULL) {
        return false;
    }
    Mt_Add(quarantine->refused, 1);
    snprintf(why, Qn_WHY_MAX, "part %08x of the prompt ends endpoints",
             quarantined->key.part);
    return true;
}

bool
Qn_ForbidsRetry(struct qn_quarantine *quarantine,
                const struct pz_request *request)
{
    return Pz_DeniesRetry(quarantine->table, request, true_now(quarantine));
}

void
Qn_FillMessage(const struct qn_quarantine *quarantine,
               struct ms_message *message)
{
    int64_t now = true_now(quarantine);
    message->crash_count = Pz_ExportCrashes(
        quarantine->table, message->crashes, Ms_CRASHES_MAX, now);
    message->clear_count = Pz_ExportClears(quarantine->table, message->clears,
                                           Ms_CLEARS_MAX, now);
    message->quarantine_count = Pz_ExportQuarantines(
        quarantine->table, message->quarantines, Ms_QUARANTINES_MAX);
}

void
Qn_ApplyMessage(struct qn_quarantine *quarantine,
                const struct ms_message *message)
{
    for (size_t i = 0; i < message->clear_count; i++) {
        Pz_ImportClear(quarantine->table, &message->clears[i]);
    }
    for (size_t i = 0; i < message->quarantine_count; i++) {
        import_quarantine(quarantine, &message->quarantines[i]);
    }
    for (size_t i = 0; i < message->crash_count; i++) {
        Pz_ImportCrash(quarantine->table, &message->crashes[i]);
    }
}

/*
 * Discards suspected crashes of endpoints whose link turned out to be cut:
 * the endpoint itself did not crash.
 */
static void
discard_cut_links(struct qn_quarantine *quarantine)
{
    struct fl_endpoint *endpoint;
    TAILQ_FOREACH (endpoint, Fl_All(quarantine->gate->fleet), link) {
        if (endpoint->crashed_at != 0 && endpoint->link_state.cut) {
            endpoint->crashed_at = 0;
            Pz_DropLocalCrashes(quarantine->table, incarnation_of(endpoint));
        }
    }
}

static struct service_version *
find_version(struct qn_quarantine *quarantine, uint32_t service)
{
    for (size_t i = 0; i < quarantine->service_count; i++) {
        if (quarantine->versions[i].service == service) {
            return &quarantine->versions[i];
        }
    }
    if (quarantine->service_count == Qn_SERVICES_MAX) {
        return NULL;
    }
    struct service_version *added =
        &quarantine->versions[quarantine->service_count++];
    *added = (struct service_version){.service = service};
    return added;
}

/* Whether all usable endpoints of the service have this version. */
static bool
all_have_version(const struct fl_fleet *fleet, const char *service,
                 const char *version)
{
    const struct fl_endpoint *endpoint;
    TAILQ_FOREACH (endpoint, Fl_All(fleet), link) {
        if (Fl_Usable(endpoint) &&
            strcmp(endpoint->entry.service, service) == 0 &&
            strcmp(endpoint->entry.version, version) != 0) {
            return false;
        }
    }
    return true;
}

/*
 * Lifts the quarantine of a service's prompt parts when all its endpoints have
 * a new version, which may handle the parts that crashed the old one.
 */
static void
lift_on_new_version(struct qn_quarantine *quarantine)
{
    const struct fl_fleet *fleet = quarantine->gate->fleet;
    const struct fl_endpoint *endpoint;
    TAILQ_FOREACH (endpoint, Fl_All(fleet), link) {
        const struct fl_entry *entry = &endpoint->entry;
        uint32_t service = De_Hash(entry->service);
        uint32_t version = De_Hash(entry->version);
        struct service_version *last = find_version(quarantine, service);
        if (last == NULL || last->version == version || !Fl_Usable(endpoint) ||
            !all_have_version(fleet, entry->service, entry->version)) {
            continue;
        }
        if (last->version != 0) {
            Pz_LiftService(quarantine->table, service, "another version",
                           true_now(quarantine));
        }
        last->version = version;
    }
}

void
Qn_Tick(struct qn_quarantine *quarantine)
{
    int64_t now = Ga_Now(quarantine->gate);
    discard_cut_links(quarantine);
    if (now - quarantine->version_check_at >= Qn_VERSION_CHECK_USEC) {
        quarantine->version_check_at = now;
        lift_on_new_version(quarantine);
    }
    Pz_Evaluate(quarantine->table, true_now(quarantine));
    struct pz_quarantine quarantines[Pz_QUARANTINES_MAX];
    size_t count = 0;
    if (Ms_Rank(quarantine->gate->mesh) == 0) {
        count = Pz_ExportQuarantines(quarantine->table, quarantines,
                                     Pz_QUARANTINES_MAX);
    }
    Qr_Tick(quarantine->records, quarantines, count);
}
