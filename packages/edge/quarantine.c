#include "edge/quarantine.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "edge/quarantine_record.h"
#include "edge/quarantine_version.h"

#define Qn_VERSION_CHECK_USEC (1 * Ck_USEC_PER_SEC)
/* Customer hash of requests without a customer; 0 means "all customers". */
#define Qn_NO_CUSTOMER 1

struct qn_quarantine {
    struct ga_gate *gate;
    struct pz_table *table;
    struct qr_records *records;
    struct lp_timer *refuse_timer;
    struct mt_metric *quarantined;
    struct mt_metric *refused;
    struct mt_metric *denied;   /* suspected crashes of living endpoints */
    struct mt_metric *unjudged; /* broken connections that accuse nobody */
    int64_t version_check_at;
    struct qv_versions *versions;
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

/* Converts true time to this host's monotonic clock. */
static int64_t
to_own_time(const struct qn_quarantine *quarantine, int64_t at)
{
    return Ga_Now(quarantine->gate) - (true_now(quarantine) - at);
}

/*
 * Hash of what a request has in common with its repeats, each of which has an
 * id and a deadline of its own: method, target, body and prompt parts.
 */
static uint32_t
hash_content(const struct sv_request *request,
             const struct hd_request_info *info)
{
    const struct h1_head *head = Sv_Head(request);
    size_t body_len;
    const char *body = Sv_Body(request, &body_len);
    uint64_t hash = Hash_Bytes(head->method.at, head->method.len, 0);
    hash = Hash_Bytes(head->target.at, head->target.len, hash);
    for (size_t i = 0; i < info->part_count; i++) {
        uint32_t part = Px_ShortId(&info->parts[i]);
        hash = Hash_Bytes(&part, sizeof(part), hash);
    }
    hash = body_len == 0 ? hash : Hash_Bytes(body, body_len, hash);
    return (uint32_t)hash == 0 ? 1 : (uint32_t)hash;
}

static struct pz_request
describe(const struct ec_service *service, const struct ec_tenant *tenant,
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

struct pz_request
Qn_MakeRequest(const struct qn_quarantine *quarantine,
               const struct xc_admitted *admitted,
               const struct sv_request *request)
{
    struct pz_request described =
        describe(admitted->service, admitted->tenant, admitted->info);
    if (request != NULL && !Pz_IsEmpty(quarantine->table)) {
        described.content = hash_content(request, admitted->info);
    }
    return described;
}

static struct pz_request
describe_whole(struct xc_exchange *exchange)
{
    struct pz_request described =
        describe(exchange->service, exchange->tenant, &exchange->info);
    if (exchange->content == 0) {
        exchange->content = hash_content(exchange->request, &exchange->info);
    }
    described.content = exchange->content;
    return described;
}

struct pz_request
Qn_RequestOf(struct qn_quarantine *quarantine, struct xc_exchange *exchange)
{
    return Pz_IsEmpty(quarantine->table)
               ? describe(exchange->service, exchange->tenant, &exchange->info)
               : describe_whole(exchange);
}

static void
on_quarantined(void *arg, const struct pz_quarantine *quarantined, int crashes,
               bool from_peer)
{
    struct qn_quarantine *quarantine = arg;
    Ln_Log(LN_STATE, "part.stopped",
           "\"part\":\"%08x\",\"service\":\"%08x\",\"customer\":\"%08x\","
           "\"crashes\":%d,\"by\":\"%s\",\"hold\":%d",
           quarantined->key.part, quarantined->key.service,
           quarantined->key.customer, crashes, from_peer ? "peer" : "own",
           quarantined->requested_at == Pz_HOLD);
    Mt_Add(quarantine->quarantined, 1);
    /* A doubt that this host has written must not outlive it in the store. */
    if (!from_peer || Qr_HasDoubt(quarantine->records, &quarantined->key)) {
        Qr_Keep(quarantine->records, quarantined);
    }
    Lp_TimerSet(quarantine->refuse_timer, 0);
}

static void
on_doubted(void *arg, const struct pz_quarantine *doubt)
{
    struct qn_quarantine *quarantine = arg;
    Ln_Log(LN_STATE, "request.doubted",
           "\"request\":\"%08x\",\"decided_at\":%lld", doubt->key.part,
           (long long)doubt->decided_at);
    Qr_KeepDoubt(quarantine->records, doubt);
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
    .doubted = on_doubted,
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
        struct qn_verdict verdict;
        struct pz_request request = Qn_RequestOf(quarantine, exchange);
        if (exchange->head_sent || exchange->attempt.first_event_at != 0 ||
            !Qn_IsQuarantined(quarantine, &request, &verdict)) {
            continue;
        }
        if (exchange->attempt.endpoint != NULL &&
            Cn_Sent(exchange->attempt.channel)) {
            exchange->may_have_run = true;
        }
        Xc_Refuse(exchange, Xc_RefusalStatus(exchange), verdict.retry_usec,
                  verdict.why);
    }
}

static void
import_quarantine(void *arg, const struct pz_quarantine *quarantined)
{
    struct qn_quarantine *quarantine = arg;
    int64_t now = true_now(quarantine);
    if (quarantined->requested_at == Pz_DOUBT) {
        Pz_ImportDoubt(quarantine->table, quarantined, now);
    }
    else {
        Pz_ImportQuarantine(quarantine->table, quarantined, now);
    }
}

/* Another version may bear what crashed the one before. */
static void
on_new_version(void *arg, uint32_t service)
{
    struct qn_quarantine *quarantine = arg;
    Pz_LiftService(quarantine->table, service, "another version",
                   true_now(quarantine));
}

struct qn_quarantine *
Qn_Create(struct ga_gate *gate)
{
    struct qn_quarantine *quarantine = calloc(1, sizeof(*quarantine));
    if (quarantine == NULL) {
        return NULL;
    }
    struct pz_rule rule = Pz_DefaultRule();
    rule.silence_confirms = false; /* liveness.h judges that */
    quarantine->gate = gate;
    quarantine->quarantined = Mt_Get(gate->registry, MT_COUNTER,
                                     "cornelgate_parts_stopped_total", "");
    quarantine->refused = Mt_Get(gate->registry, MT_COUNTER,
                                 "cornelgate_refused_for_part_total", "");
    quarantine->denied = Mt_Get(gate->registry, MT_COUNTER,
                                "cornelgate_crashes_denied_total", "");
    quarantine->unjudged = Mt_Get(gate->registry, MT_COUNTER,
                                  "cornelgate_crashes_unjudged_total", "");
    quarantine->table =
        Pz_Create(&rule, &table_ops, quarantine, true_now(quarantine));
    quarantine->records = Qr_Create(gate->options.store, gate->options.clock,
                                    import_quarantine, quarantine);
    quarantine->versions = Qv_Create(on_new_version, quarantine);
    quarantine->refuse_timer =
        Lp_TimerCreate(gate->options.loop, on_refuse_waiting, quarantine);
    if (quarantine->table == NULL || quarantine->records == NULL ||
        quarantine->versions == NULL || quarantine->refuse_timer == NULL) {
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
        Qv_Destroy(quarantine->versions);
        Qr_Destroy(quarantine->records);
        Pz_Destroy(quarantine->table);
        free(quarantine);
    }
}

void
Qn_NoteAnswer(struct qn_quarantine *quarantine, struct xc_exchange *exchange)
{
    struct pz_request request = Qn_RequestOf(quarantine, exchange);
    Pz_NoteAnswer(quarantine->table, &request, true_now(quarantine));
}

void
Qn_NoteWholeAnswer(struct qn_quarantine *quarantine,
                   struct xc_exchange *exchange)
{
    struct pz_request request = Qn_RequestOf(quarantine, exchange);
    Pz_NoteWholeAnswer(quarantine->table, &request, true_now(quarantine));
}

/*
 * Logs a broken connection; "accuses": the endpoint may have crashed.  The
 * times are true time, which decides whether crashes are in sequence.
 */
static void
log_broken(struct qn_quarantine *quarantine, const struct xc_attempt *attempt,
           uint32_t content, bool accuses)
{
    Ln_Log(LN_STATE, "crash.suspected",
           "\"endpoint\":\"%s\",\"request\":\"%08x\",\"relayed\":%d,"
           "\"cut\":%d,\"judged\":%d,\"sent_at\":%lld,\"ended_at\":%lld",
           attempt->endpoint->entry.id, content,
           Cn_Peer(attempt->channel) != 0, attempt->endpoint->link_state.cut,
           accuses, (long long)to_true_time(quarantine, attempt->sent_at),
           (long long)true_now(quarantine));
    if (!accuses) {
        Mt_Add(quarantine->unjudged, 1);
    }
}

void
Qn_NoteBroken(struct qn_quarantine *quarantine, struct xc_exchange *exchange)
{
    const struct xc_attempt *attempt = &exchange->attempt;
    const struct fl_endpoint *endpoint = attempt->endpoint;
    struct el_liveness *liveness = quarantine->gate->liveness;
    struct pz_request request = describe_whole(exchange);
    bool accuses = El_NoteBreak(
        liveness, endpoint, Cn_Peer(attempt->channel) != 0, attempt->sent_at);
    log_broken(quarantine, attempt, request.content, accuses);
    if (!accuses) {
        return;
    }
    struct pz_crash crash = {
        .endpoint = Fl_StartHash(endpoint),
        .head_received = attempt->head_at != 0,
        .sent_at = to_true_time(quarantine, attempt->sent_at),
        .ended_at = true_now(quarantine),
    };
    Pz_NoteCrash(quarantine->table, &request, &crash,
                 attempt->first_event_at != 0);
    if (El_State(liveness, endpoint) == LV_ENDED) {
        Pz_ConfirmDead(quarantine->table, crash.endpoint);
    }
    Pz_Evaluate(quarantine->table, crash.ended_at);
}

void
Qn_NoteEnded(struct qn_quarantine *quarantine, uint32_t start)
{
    Pz_ConfirmDead(quarantine->table, start);
    Pz_Evaluate(quarantine->table, true_now(quarantine));
}

void
Qn_NoteDenied(struct qn_quarantine *quarantine, uint32_t start)
{
    Mt_Add(quarantine->denied, 1);
    Pz_DropUnconfirmed(quarantine->table, start);
}

static bool
set_verdict(const struct pz_quarantine *quarantined,
            const struct pz_request *request, int64_t now,
            struct qn_verdict *out)
{
    if (quarantined == NULL) {
        return false;
    }
    bool whole = quarantined->key.part == request->content;
    snprintf(out->why, sizeof(out->why),
             whole ? "request %08x ends endpoints"
                   : "part %08x of the prompt ends endpoints",
             quarantined->key.part);
    out->retry_usec = Pz_RetryUsec(quarantined, now);
    return true;
}

bool
Qn_IsQuarantined(struct qn_quarantine *quarantine,
                 const struct pz_request *request, struct qn_verdict *out)
{
    int64_t now = true_now(quarantine);
    bool found = set_verdict(
        Pz_FindQuarantine(quarantine->table, request, now), request, now, out);
    Mt_Add(quarantine->refused, found);
    return found;
}

bool
Qn_WouldRefuse(const struct qn_quarantine *quarantine,
               const struct pz_request *request, struct qn_verdict *out)
{
    return set_verdict(Pz_PeekQuarantine(quarantine->table, request), request,
                       true_now(quarantine), out);
}

bool
Qn_ForbidsRetry(struct qn_quarantine *quarantine, struct xc_exchange *exchange)
{
    struct pz_request request = Qn_RequestOf(quarantine, exchange);
    return Pz_DeniesRetry(quarantine->table, &request, true_now(quarantine));
}

void
Qn_FillMessage(const struct qn_quarantine *quarantine,
               struct ms_message *message)
{
    int64_t now = true_now(quarantine);
    message->crash_count = Pz_ExportCrashes(
        quarantine->table, PZ_BOTH, message->crashes, Ms_CRASHES_MAX, now);
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
        El_NoteEnded(quarantine->gate->liveness, message->crashes[i].endpoint,
                     to_own_time(quarantine, message->crashes[i].ended_at));
    }
}

void
Qn_Tick(struct qn_quarantine *quarantine)
{
    int64_t now = Ga_Now(quarantine->gate);
    if (now - quarantine->version_check_at >= Qn_VERSION_CHECK_USEC) {
        quarantine->version_check_at = now;
        Qv_Update(quarantine->versions, quarantine->gate->fleet);
    }
    Pz_Evaluate(quarantine->table, true_now(quarantine));
    struct pz_quarantine quarantines[Pz_QUARANTINES_MAX];
    size_t count = 0;
    if (Ms_Rank(quarantine->gate->mesh) == 0) {
        count = Pz_ExportQuarantines(quarantine->table, quarantines,
                                     Pz_QUARANTINES_MAX);
    }
    Qr_Tick(quarantine->records, quarantines, count, true_now(quarantine));
}
