#include "edge/quarantine.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "edge/quarantine_record.h"

#define Qn_VERSIONS_EVERY_USEC (1 * Ck_USEC_PER_SEC)
#define Qn_SERVICES_MAX 16
/* Requests without a customer are those of one. */
#define Qn_NOBODY 1

/* The version that all endpoints of a service have. */
struct service_version {
    uint32_t service;
    uint32_t version;
};

struct qn_quarantine {
    struct ga_gate *gate;
    struct pz_table *table;
    struct qr_records *records;
    struct lp_timer *close_timer;
    struct mt_metric *stopped;
    struct mt_metric *refused;
    int64_t versions_at;
    size_t service_count;
    struct service_version versions[Qn_SERVICES_MAX];
};

static int64_t
true_now(const struct qn_quarantine *quarantine)
{
    return Tt_Now(quarantine->gate->time);
}

/* A time of this host's steady clock as all hosts count it. */
static int64_t
true_of(const struct qn_quarantine *quarantine, int64_t at)
{
    return true_now(quarantine) - (Ga_Now(quarantine->gate) - at);
}

struct pz_request
Qn_Asked(const struct ec_service *service, const struct ec_tenant *tenant,
         const struct ak_ask *ask)
{
    struct pz_request asked = {
        .service = De_Hash(service->name),
        .customer = tenant == NULL ? Qn_NOBODY : Qt_Hash(tenant->name),
    };
    if (ask->part_count > 0) {
        asked.id = Px_Name(&ask->parts[ask->part_count - 1]);
    }
    asked.customer = asked.customer == 0 ? Qn_NOBODY : asked.customer;
    while (asked.count + 1 < ask->part_count && asked.count < Pz_PARTS_MAX) {
        asked.parts[asked.count] = Px_Name(&ask->parts[asked.count]);
        asked.count++;
    }
    return asked;
}

static struct pz_request
asked_of(const struct xc_exchange *exchange)
{
    return Qn_Asked(exchange->service, exchange->tenant, &exchange->ask);
}

/* One start of an endpoint: it may come back under its identity. */
static uint32_t
run_of(const struct fl_endpoint *endpoint)
{
    uint64_t both[2] = {endpoint->hash, (uint64_t)endpoint->entry.born};
    return (uint32_t)Hash_Bytes(both, sizeof(both), 0);
}

static void
on_stopped(void *arg, const struct pz_stop *stop, int crashes, bool heard)
{
    struct qn_quarantine *quarantine = arg;
    Ln_Log(LN_STATE, "part.stopped",
           "\"part\":\"%08x\",\"service\":\"%08x\",\"customer\":\"%08x\","
           "\"crashes\":%d,\"by\":\"%s\"",
           stop->key.part, stop->key.service, stop->key.customer, crashes,
           heard ? "peer" : "own");
    Mt_Add(quarantine->stopped, 1);
    if (!heard) {
        Qr_Keep(quarantine->records, stop);
    }
    Lp_TimerSet(quarantine->close_timer, 0);
}

static void
on_lifted(void *arg, const struct pz_stop *stop, const char *why)
{
    struct qn_quarantine *quarantine = arg;
    Ln_Log(LN_STATE, "part.lifted",
           "\"part\":\"%08x\",\"service\":\"%08x\",\"customer\":\"%08x\","
           "\"why\":\"%s\"",
           stop->key.part, stop->key.service, stop->key.customer, why);
    if (Ms_Rank(quarantine->gate->mesh) == 0) {
        Qr_Remove(quarantine->records, &stop->key);
    }
}

static const struct pz_ops table_ops = {
    .stopped = on_stopped,
    .lifted = on_lifted,
};

/* What waits for its first event would end the endpoints where it is. */
static void
on_close(void *arg)
{
    struct qn_quarantine *quarantine = arg;
    struct xc_exchange *exchange;
    struct xc_exchange *next;
    TAILQ_FOREACH_SAFE (exchange, &quarantine->gate->exchanges, link, next) {
        char why[Qn_WHY_MAX];
        struct pz_request asked = asked_of(exchange);
        if (exchange->began || exchange->attempt.event_at != 0 ||
            !Qn_Refuses(quarantine, &asked, why)) {
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
hear_stop(void *arg, const struct pz_stop *stop)
{
    struct qn_quarantine *quarantine = arg;
    Pz_HearStop(quarantine->table, stop, true_now(quarantine));
}

struct qn_quarantine *
Qn_Create(struct ga_gate *gate)
{
    struct qn_quarantine *quarantine = calloc(1, sizeof(*quarantine));
    if (quarantine == NULL) {
        return NULL;
    }
    struct pz_rule rule = Pz_Rule();
    quarantine->gate = gate;
    quarantine->stopped = Mt_Get(gate->registry, MT_COUNTER,
                                 "cornelgate_parts_stopped_total", "");
    quarantine->refused = Mt_Get(gate->registry, MT_COUNTER,
                                 "cornelgate_refused_for_part_total", "");
    quarantine->table =
        Pz_Create(&rule, &table_ops, quarantine, true_now(quarantine));
    quarantine->records = Qr_Create(gate->options.store, gate->options.clock,
                                    hear_stop, quarantine);
    quarantine->close_timer =
        Lp_TimerCreate(gate->options.loop, on_close, quarantine);
    if (quarantine->table == NULL || quarantine->records == NULL ||
        quarantine->close_timer == NULL) {
        Qn_Destroy(quarantine);
        return NULL;
    }
    return quarantine;
}

void
Qn_Destroy(struct qn_quarantine *quarantine)
{
    if (quarantine != NULL) {
        if (quarantine->close_timer != NULL) {
            Lp_TimerDestroy(quarantine->close_timer);
        }
        Qr_Destroy(quarantine->records);
        Pz_Destroy(quarantine->table);
        free(quarantine);
    }
}

void
Qn_Began(struct qn_quarantine *quarantine, const struct xc_exchange *exchange)
{
    struct pz_request asked = asked_of(exchange);
    Pz_Began(quarantine->table, &asked, true_now(quarantine));
}

void
Qn_Broke(struct qn_quarantine *quarantine, const struct xc_exchange *exchange)
{
    const struct xc_attempt *attempt = &exchange->attempt;
    struct fl_endpoint *endpoint = attempt->endpoint;
    struct pz_request asked = asked_of(exchange);
    /* What broke may be the link, or the peer that it led through. */
    if (asked.count == 0 || endpoint->way.cut ||
        Cn_Peer(attempt->channel) != 0) {
        return;
    }
    struct pz_crash crash = {
        .endpoint = run_of(endpoint),
        .begun = attempt->head_at != 0,
        .sent_at = true_of(quarantine, attempt->sent_at),
        .ended_at = true_now(quarantine),
    };
    endpoint->ended_at = Ga_Now(quarantine->gate);
    endpoint->test_wanted = true;
    Pz_Ended(quarantine->table, &asked, &crash);
    Pz_Judge(quarantine->table, crash.ended_at);
}

void
Qn_Heard(struct qn_quarantine *quarantine, struct fl_endpoint *endpoint)
{
    if (endpoint->ended_at == 0) {
        return;
    }
    Pz_Lives(quarantine->table, run_of(endpoint), true_now(quarantine));
    if (Ga_Now(quarantine->gate) - endpoint->ended_at >= Pz_BACK_USEC) {
        endpoint->ended_at = 0;
    }
}

void
Qn_Tested(struct qn_quarantine *quarantine, struct fl_endpoint *endpoint,
          bool came, int64_t since)
{
    if (endpoint->ended_at == 0 || since < endpoint->ended_at) {
        return;
    }
    if (came) {
        Qn_Heard(quarantine, endpoint);
    }
    else {
        Pz_Dead(quarantine->table, run_of(endpoint));
        Pz_Judge(quarantine->table, true_now(quarantine));
    }
}

bool
Qn_Refuses(struct qn_quarantine *quarantine, const struct pz_request *request,
           char why[Qn_WHY_MAX])
{
    const struct pz_stop *stop =
        Pz_Refuses(quarantine->table, request, true_now(quarantine));
    if (stop == NULL) {
        return false;
    }
    Mt_Add(quarantine->refused, 1);
    snprintf(why, Qn_WHY_MAX, "part %08x of the prompt ends endpoints",
             stop->key.part);
    return true;
}

bool
Qn_Doubts(struct qn_quarantine *quarantine, const struct pz_request *request)
{
    return Pz_Doubts(quarantine->table, request, true_now(quarantine));
}

void
Qn_Fill(const struct qn_quarantine *quarantine, struct ms_word *word)
{
    int64_t now = true_now(quarantine);
    word->crash_count =
        Pz_TellCrashes(quarantine->table, word->crashes, Ms_CRASHES_MAX, now);
    word->clear_count =
        Pz_TellClears(quarantine->table, word->clears, Ms_CLEARS_MAX, now);
    word->stop_count =
        Pz_TellStops(quarantine->table, word->stops, Ms_STOPS_MAX);
}

void
Qn_Take(struct qn_quarantine *quarantine, const struct ms_word *word)
{
    for (size_t i = 0; i < word->clear_count; i++) {
        Pz_HearClear(quarantine->table, &word->clears[i]);
    }
    for (size_t i = 0; i < word->stop_count; i++) {
        hear_stop(quarantine, &word->stops[i]);
    }
    for (size_t i = 0; i < word->crash_count; i++) {
        Pz_HearCrash(quarantine->table, &word->crashes[i]);
    }
}

/* A link that turned out to be cut ended no endpoint. */
static void
forget_cuts(struct qn_quarantine *quarantine)
{
    struct fl_endpoint *endpoint;
    TAILQ_FOREACH (endpoint, Fl_All(quarantine->gate->fleet), link) {
        if (endpoint->ended_at != 0 && endpoint->way.cut) {
            endpoint->ended_at = 0;
            Pz_Forget(quarantine->table, run_of(endpoint));
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

/* Whether all endpoints of a service have one version. */
static bool
have_one_version(const struct fl_fleet *fleet, const char *service,
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

/* What one version does not bear another may. */
static void
note_versions(struct qn_quarantine *quarantine)
{
    const struct fl_fleet *fleet = quarantine->gate->fleet;
    const struct fl_endpoint *endpoint;
    TAILQ_FOREACH (endpoint, Fl_All(fleet), link) {
        const struct fl_entry *entry = &endpoint->entry;
        uint32_t service = De_Hash(entry->service);
        uint32_t version = De_Hash(entry->version);
        struct service_version *known = find_version(quarantine, service);
        if (known == NULL || known->version == version ||
            !Fl_Usable(endpoint) ||
            !have_one_version(fleet, entry->service, entry->version)) {
            continue;
        }
        if (known->version != 0) {
            Pz_LiftService(quarantine->table, service, "another version",
                           true_now(quarantine));
        }
        known->version = version;
    }
}

void
Qn_Tick(struct qn_quarantine *quarantine)
{
    int64_t now = Ga_Now(quarantine->gate);
    forget_cuts(quarantine);
    if (now - quarantine->versions_at >= Qn_VERSIONS_EVERY_USEC) {
        quarantine->versions_at = now;
        note_versions(quarantine);
    }
    Pz_Judge(quarantine->table, true_now(quarantine));
    struct pz_stop stops[Pz_STOPS_MAX];
    size_t count = 0;
    if (Ms_Rank(quarantine->gate->mesh) == 0) {
        count = Pz_TellStops(quarantine->table, stops, Pz_STOPS_MAX);
    }
    Qr_Tick(quarantine->records, stops, count);
}
