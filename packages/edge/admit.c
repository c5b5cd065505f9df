/* Admission: finds a request's route, tenant and service, or refuses it. */
#include <stdio.h>
#include <string.h>

#include "edge/exchange.h"
#include "edge/quarantine.h"

/*
 * Retry-after while this host is not ready: about the time to read the
 * configuration and the endpoints.
 */
#define Ad_STARTING_USEC (500 * Ck_USEC_PER_MSEC)
/* Retry-after while this host stops: another host takes the request. */
#define Ad_LEAVING_USEC (20 * Ck_USEC_PER_MSEC)

/*
 * The rank of a request among those of its tenant; 0 if that is not known.
 * Where all routes have one priority, only small requests have rank 0.
 */
int
Ad_Rank(const struct ga_gate *gate, const struct xc_admitted *found)
{
    if (found->tenant == NULL || found->route == NULL) {
        return 0;
    }
    const struct ec_config *config = Fe_Config(gate->feed);
    int route_rank =
        config->priority_count > 1 ? found->route->priority_rank : 1;
    return Qt_Rank(gate->quota, found->tenant->name, found->cost, route_rank);
}

/* Refuses and logs a request; "found" holds what admission found so far. */
static void
refuse(struct ga_gate *gate, struct sv_request *request,
       const struct xc_admitted *found, const struct ad_refusal *refusal)
{
    const struct ec_config *config = Fe_Config(gate->feed);
    const char *tenant = found->tenant == NULL ? "" : found->tenant->name;
    struct qt_usage use = Qt_Usage(gate->quota, tenant);
    int rank = Ad_Rank(gate, found);
    Mt_Add(gate->count.refused, 1);
    Ln_Log(LN_FAILURE, "request.refused",
           "\"id\":\"%s\",\"status\":%d,\"why\":\"%s\",\"retry_ms\":%lld,"
           "\"tenant\":\"%s\",\"route\":\"%s\",\"cost\":%.0f,"
           "\"spent\":%.0f,\"limit\":%.0f,\"rank\":%d,"
           "\"admitted_fraction\":%.3f,\"sustained\":%.0f,"
           "\"config\":%lld,\"daemons\":%zu",
           found->info->id, refusal->status, refusal->why,
           (long long)(refusal->retry_usec / Ck_USEC_PER_MSEC), tenant,
           found->route == NULL ? "" : found->route->name, found->cost,
           use.spent, use.limit, rank, use.fractions[rank], use.sustained,
           config == NULL ? -1LL : (long long)config->version,
           Ms_CountAlive(gate->mesh));
    struct rf_refusal reply = {refusal->status, refusal->retry_usec,
                               refusal->why, found->info->id};
    Rf_Reply(gate, request, &reply);
}

/*
 * Refusal of a request that the configuration does not allow.  A newer version
 * may allow it: while the store is out of reach, the answer is 503 with
 * retry-after instead of the final "status".
 */
static struct ad_refusal
not_allowed(const struct ga_gate *gate, int status, const char *why)
{
    if (!Fe_IsCurrent(gate->feed)) {
        return (struct ad_refusal){503, Ad_STARTING_USEC,
                                   "the configuration may be out of date"};
    }
    return (struct ad_refusal){status, 0, why};
}

static double
cost_of(const struct ec_tenant *tenant, const struct hd_request_info *info)
{
    if (!tenant->counts_tokens) {
        return 1;
    }
    return info->has_token_counts
               ? (double)(info->tokens_in + info->tokens_out)
               : (double)tenant->default_tokens;
}

/* Whether any endpoint may take the request; "why" is set if none may. */
static bool
has_endpoint(const struct ga_gate *gate, const struct xc_admitted *admitted,
             const char *service, const char **why)
{
    bool any = false;
    const struct fl_service *known = Fl_FindService(gate->fleet, service);
    size_t count = known == NULL ? 0 : known->endpoints.count;
    for (size_t i = 0; i < count; i++) {
        const struct fl_endpoint *endpoint = known->endpoints.list[i];
        if (!Fl_Usable(endpoint)) {
            continue;
        }
        any = true;
        if (Ga_MayRunAt(gate, admitted->route, admitted->tenant, endpoint)) {
            return true;
        }
    }
    *why = any ? "no endpoint in an allowed region" : "no endpoint";
    return false;
}

/* Finds route, tenant and service; returns false and sets "refusal". */
static bool
find(struct ga_gate *gate, const struct ad_request *request,
     struct xc_admitted *out, struct ad_refusal *refusal)
{
    const struct ec_config *config = Fe_Config(gate->feed);
    if (config == NULL) {
        *refusal = (struct ad_refusal){503, Ad_STARTING_USEC, "starting"};
        return false;
    }
    if (request->host.at == NULL || out->info->many_keys) {
        *refusal = (struct ad_refusal){400, 0, "one host and one key, please"};
        return false;
    }
    out->route = Ec_FindRoute(config, request->host.at, request->host.len,
                              request->target.at, request->target.len);
    if (out->route == NULL) {
        *refusal = not_allowed(gate, 404, "no such route");
        return false;
    }
    if (!out->route->keyless && config->tenant_count > 0) {
        out->tenant = request->tenant;
        if (out->tenant == NULL) {
            *refusal = not_allowed(gate, 401, "unknown key");
            return false;
        }
    }
    if (Ga_StopMayCut(gate, out->route)) {
        *refusal = (struct ad_refusal){503, Ad_LEAVING_USEC, "stopping"};
        return false;
    }
    const char *service = Ec_PickService(out->route, request->unit);
    out->service = Ec_FindService(config, service);
    const char *why = "no such service";
    if (out->service == NULL || !has_endpoint(gate, out, service, &why)) {
        *refusal = (struct ad_refusal){503, Ad_STARTING_USEC, why};
        return false;
    }
    return true;
}

static bool
is_quarantined(struct ga_gate *gate, const struct ad_request *request,
               const struct xc_admitted *admitted, struct ad_refusal *refusal)
{
    static struct qn_verdict verdict;
    struct pz_request prompt =
        Qn_MakeRequest(gate->quarantine, admitted, request->request);
    bool found = request->dry_run
                     ? Qn_WouldRefuse(gate->quarantine, &prompt, &verdict)
                     : Qn_IsQuarantined(gate->quarantine, &prompt, &verdict);
    if (found) {
        *refusal = (struct ad_refusal){503, verdict.retry_usec, verdict.why};
    }
    return found;
}

bool
Ad_Decide(struct ga_gate *gate, const struct ad_request *request,
          struct xc_admitted *out, struct ad_refusal *refusal)
{
    if (!find(gate, request, out, refusal) ||
        is_quarantined(gate, request, out, refusal)) {
        return false;
    }
    if (out->tenant == NULL) {
        return true;
    }
    out->cost = cost_of(out->tenant, out->info);
    int rank = Ad_Rank(gate, out);
    const char *tenant = out->tenant->name;
    int64_t wait_usec = 0;
    bool taken =
        request->dry_run
            ? Qt_WouldTake(gate->quota, tenant, out->cost, rank, &wait_usec)
            : Qt_Take(gate->quota, tenant, out->cost, rank, &wait_usec);
    if (!request->dry_run && out->tenant->counts_tokens) {
        Mt_Add(taken ? gate->count.quota_admitted[rank]
                     : gate->count.quota_refused[rank],
               1);
    }
    if (!taken) {
        *refusal = (struct ad_refusal){429, wait_usec, "over the quota"};
    }
    return taken;
}

void
Ad_Take(struct ga_gate *gate, struct sv_request *request)
{
    static struct hd_request_info info;
    const struct h1_head *head = Sv_Head(request);
    gate->options.wire->decode_request(head, &info);
    Mt_Add(gate->count.requests, 1);
    const struct ec_config *config = Fe_Config(gate->feed);
    const struct h1_field *host =
        H1_CountOf(head, "host") == 1 ? H1_Find(head, "host") : NULL;
    struct ad_request asked = {
        .target = head->target,
        .tenant = config != NULL && info.has_key
                      ? Ec_FindTenant(config, info.key)
                      : NULL,
        .request = request,
        .unit = Rn_Unit(&gate->random),
    };
    if (host != NULL) {
        asked.host = host->value;
    }
    struct xc_admitted admitted = {.info = &info};
    struct ad_refusal refusal;
    if (!Ad_Decide(gate, &asked, &admitted, &refusal)) {
        refuse(gate, request, &admitted, &refusal);
        return;
    }
    admitted.config = Ec_Ref(Fe_Config(gate->feed));
    Xc_Start(gate, request, &admitted);
}
