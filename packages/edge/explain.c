#include "edge/explain.h"

#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "edge/exchange.h"
#include "edge/health.h"

#define Ex_BEST 5
#define Ex_REASONS_MAX 16
/* More tokens than any engine holds. */
#define Ex_TOKENS_MAX 100000000
/* Of a request that the quota refuses, and of no other. */
#define Ex_QUOTA_STATUS 429

/* Decodes a percent-encoded text; false if it is invalid or too long. */
static bool
decode(struct h1_text text, char *out, size_t size)
{
    size_t len = 0;
    for (size_t i = 0; i < text.len; i++) {
        char byte = text.at[i];
        if (byte == '%') {
            if (text.len - i < 3 || !isxdigit((unsigned char)text.at[i + 1]) ||
                !isxdigit((unsigned char)text.at[i + 2])) {
                return false;
            }
            char hex[3] = {text.at[i + 1], text.at[i + 2], '\0'};
            byte = (char)strtol(hex, NULL, 16);
            i += 2;
        }
        /* The texts are printed: no control characters. */
        if (len + 1 >= size || iscntrl((unsigned char)byte)) {
            return false;
        }
        out[len++] = byte;
    }
    out[len] = '\0';
    return true;
}

/* Reads "IN,OUT". */
static bool
parse_tokens(struct h1_text text, struct hd_request_info *info)
{
    char copy[64];
    if (!decode(text, copy, sizeof(copy))) {
        return false;
    }
    char *end;
    info->tokens_in = strtoll(copy, &end, 10);
    if (end == copy || *end != ',') {
        return false;
    }
    const char *second = end + 1;
    info->tokens_out = strtoll(second, &end, 10);
    info->has_token_counts = true;
    return end != second && *end == '\0' && info->tokens_in >= 0 &&
           info->tokens_in <= Ex_TOKENS_MAX && info->tokens_out >= 0 &&
           info->tokens_out <= Ex_TOKENS_MAX;
}

static bool
is_name(struct h1_text text, const char *name)
{
    return text.len == strlen(name) && memcmp(text.at, name, text.len) == 0;
}

static bool
parse_pair(struct h1_text name, struct h1_text value, struct ex_query *query)
{
    if (is_name(name, "host")) {
        return decode(value, query->host, sizeof(query->host));
    }
    if (is_name(name, "path")) {
        return decode(value, query->path, sizeof(query->path));
    }
    if (is_name(name, "customer")) {
        return decode(value, query->customer, sizeof(query->customer));
    }
    return is_name(name, "tokens") && parse_tokens(value, &query->info);
}

bool
Ex_Parse(struct h1_text target, struct ex_query *query)
{
    const char *end = target.at + target.len;
    const char *at = memchr(target.at, '?', target.len);
    while (at != NULL) {
        at++; /* the '?' or '&' */
        const char *next = memchr(at, '&', (size_t)(end - at));
        const char *stop = next == NULL ? end : next;
        const char *equals = memchr(at, '=', (size_t)(stop - at));
        if (equals == NULL) {
            return false;
        }
        struct h1_text name = {at, (size_t)(equals - at)};
        struct h1_text value = {equals + 1, (size_t)(stop - equals - 1)};
        if (!parse_pair(name, value, query)) {
            return false;
        }
        at = next;
    }
    return query->host[0] != '\0' && query->path[0] != '\0';
}

static const struct ec_tenant *
find_tenant(const struct ec_config *config, const char *name)
{
    for (size_t i = 0; config != NULL && i < config->tenant_count; i++) {
        if (strcmp(config->tenants[i].name, name) == 0) {
            return &config->tenants[i];
        }
    }
    return NULL;
}

static void
print_refusal(FILE *out, const char *what, const struct ad_refusal *refusal)
{
    fprintf(out, "%s: refused with %d: %s", what, refusal->status,
            refusal->why);
    if (refusal->retry_usec > 0) {
        fprintf(out, "; retry after %lld ms",
                (long long)(refusal->retry_usec / Ck_USEC_PER_MSEC));
    }
    fprintf(out, "\n");
}

static void
print_route(FILE *out, const struct xc_admitted *found)
{
    const struct ec_route *route = found->route;
    if (route == NULL) {
        fprintf(out, "route: none\n");
        return;
    }
    fprintf(out,
            "route: %s (host %s, prefix %s, priority %d, "
            "latency target %lld ms)\n",
            route->name, route->host, route->prefix, route->priority,
            (long long)(route->latency_target_usec / Ck_USEC_PER_MSEC));
}

/* "asked": admission got as far as the quota. */
static void
print_quota(FILE *out, struct ga_gate *gate, const struct ex_query *query,
            const struct xc_admitted *found, bool asked)
{
    if (found->tenant == NULL) {
        const char *why = "the route needs none";
        if (found->route == NULL) {
            why = "no route";
        }
        else if (!found->route->keyless) {
            why = query->customer[0] == '\0' ? "none given" : "not configured";
        }
        fprintf(out, "customer: %s (%s)\n",
                query->customer[0] == '\0' ? "-" : query->customer, why);
        return;
    }
    struct qt_usage use = Qt_Usage(gate->quota, found->tenant->name);
    int rank = Ad_Rank(gate, found);
    if (!asked) {
        fprintf(out, "customer: %s (refused before the quota)\n",
                found->tenant->name);
        return;
    }
    fprintf(out, "customer: %s, cost %.0f, rank %d\n", found->tenant->name,
            found->cost, rank);
    if (use.limit <= 0) {
        fprintf(out, "quota: no limit, or not known\n");
        return;
    }
    fprintf(out,
            "quota: spent %.0f, limit %.0f, sustained %.0f/s, "
            "fraction of rank %d admitted %.3f\n",
            use.spent, use.limit, use.sustained, rank, use.fractions[rank]);
}

/* Endpoints counted by the reason for which they are excluded or penalised. */
struct reasons {
    size_t count;
    struct {
        const char *why;
        size_t endpoints;
    } list[Ex_REASONS_MAX];
};

static void
count_reason(struct reasons *reasons, const char *why)
{
    size_t i = 0;
    while (i < reasons->count && strcmp(reasons->list[i].why, why) != 0) {
        i++;
    }
    if (i == Ex_REASONS_MAX) {
        return;
    }
    if (i == reasons->count) {
        reasons->list[reasons->count++].why = why;
    }
    reasons->list[i].endpoints++;
}

static void
print_reasons(FILE *out, const char *what, const struct reasons *reasons)
{
    fprintf(out, "%s:", what);
    for (size_t i = 0; i < reasons->count; i++) {
        fprintf(out, "%s %zu %s", i == 0 ? "" : ",",
                reasons->list[i].endpoints, reasons->list[i].why);
    }
    fprintf(out, "%s\n", reasons->count == 0 ? " none" : "");
}

/* Why an endpoint of the service is no candidate. */
static const char *
left_out_by(const struct xc_exchange *exchange,
            const struct fl_endpoint *endpoint)
{
    if (endpoint->evacuated) {
        return "evacuated";
    }
    if (!Fl_Usable(endpoint)) {
        return "draining";
    }
    return Ga_MayRunAt(exchange->gate, exchange->route, exchange->tenant,
                       endpoint)
               ? "of the other version"
               : "in another region";
}

/*
 * Counts the endpoints of the service that are no candidates; returns the
 * number of all.  Candidates are in the order of Fl_All().
 */
static size_t
count_left_out(const struct xc_exchange *exchange,
               const struct xc_trace *trace, struct reasons *excluded)
{
    size_t count = 0;
    size_t candidate = 0;
    const struct fl_endpoint *endpoint;
    TAILQ_FOREACH (endpoint, Fl_All(exchange->gate->fleet), link) {
        if (strcmp(endpoint->entry.service, exchange->service->name) != 0) {
            continue;
        }
        count++;
        if (candidate < trace->count &&
            trace->endpoints[candidate] == endpoint) {
            candidate++;
        }
        else {
            count_reason(excluded, left_out_by(exchange, endpoint));
        }
    }
    return count;
}

static void
print_endpoints(FILE *out, const struct xc_exchange *exchange,
                const struct xc_trace *trace)
{
    struct reasons excluded = {0};
    struct reasons penalised = {0};
    size_t count = count_left_out(exchange, trace, &excluded);
    for (size_t i = 0; i < trace->count; i++) {
        struct fl_endpoint *endpoint = trace->endpoints[i];
        switch (trace->judgements[i].state) {
        case PL_OPEN:
            if (trace->judgements[i].last_resort) {
                count_reason(&penalised,
                             He_IsEjected(endpoint, Ga_Now(exchange->gate))
                                 ? "ejected"
                                 : "may be cold");
            }
            break;
        case PL_FULL: {
            const char *why = Xc_ClosedBy(exchange, endpoint);
            count_reason(&excluded, why == NULL ? "full" : why);
            break;
        }
        case PL_NOT_SAMPLED:
            count_reason(&excluded, "not sampled");
            break;
        case PL_AT_LIMIT:
            count_reason(&excluded, "at the limit");
            break;
        case PL_TRIED:
            count_reason(&excluded, "tried before");
            break;
        }
    }
    fprintf(out, "service: %s, %zu endpoints, %zu candidates\n",
            exchange->service->name, count, trace->count);
    print_reasons(out, "excluded", &excluded);
    print_reasons(out, "only if there is no other", &penalised);
}

/*
 * Returns the best open candidate that is worse than "after", by the order of
 * the choice and then by index; trace->count: none.
 */
static size_t
next_best(const struct xc_trace *trace, size_t after)
{
    size_t best = trace->count;
    const struct pl_judgement *all = trace->judgements;
    for (size_t i = 0; i < trace->count; i++) {
        bool is_after = after == trace->count ||
                        Pl_IsBetter(&all[after], &all[i]) ||
                        (i > after && !Pl_IsBetter(&all[i], &all[after]));
        if (all[i].state == PL_OPEN && i != after && is_after &&
            (best == trace->count || Pl_IsBetter(&all[i], &all[best]))) {
            best = i;
        }
    }
    return best;
}

static void
print_candidate(FILE *out, const struct xc_trace *trace, size_t i)
{
    const struct pl_candidate *candidate = &trace->candidates[i];
    const struct pl_judgement *judgement = &trace->judgements[i];
    const struct fl_entry *entry = &trace->endpoints[i]->entry;
    int64_t expected = Pl_ExpectedUsec(&trace->limits, judgement);
    fprintf(out, "  %s %s %.2f %d/%d %lld %lld ", entry->id,
            entry->zone[0] == '\0' ? "-" : entry->zone, candidate->speed,
            candidate->running, candidate->slots,
            (long long)candidate->prefill_tokens,
            (long long)candidate->output_tokens);
    if (expected > 0) {
        fprintf(out, "%lld %lld", (long long)(expected / Ck_USEC_PER_MSEC),
                (long long)((trace->limits.target_usec - expected) /
                            Ck_USEC_PER_MSEC));
    }
    else {
        fprintf(out, "- -");
    }
    fprintf(out, " %.0f%s\n", judgement->cost,
            judgement->last_resort ? " last-resort" : "");
}

static void
print_best(FILE *out, const struct xc_trace *trace)
{
    size_t at = next_best(trace, trace->count);
    if (at == trace->count) {
        return;
    }
    fprintf(out, "best: endpoint, data centre, speed, running/slots, prompt "
                 "tokens waiting, output tokens left, expected ms, slack ms, "
                 "cost\n");
    for (int i = 0; i < Ex_BEST && at != trace->count; i++) {
        print_candidate(out, trace, at);
        at = next_best(trace, at);
    }
}

static void
print_choice(FILE *out, struct ga_gate *gate, const struct xc_admitted *found)
{
    struct xc_exchange *exchange = calloc(1, sizeof(*exchange));
    if (exchange == NULL) {
        fprintf(out, "chosen: not known, no memory\n");
        return;
    }
    Xc_Init(exchange, gate, found);
    struct xc_target target = {0};
    struct xc_trace trace = {0};
    enum pl_verdict verdict = Xc_ChooseTraced(exchange, &target, &trace);
    print_endpoints(out, exchange, &trace);
    print_best(out, &trace);
    if (verdict == PL_CHOSEN) {
        fprintf(out, "chosen: %s", target.endpoint->entry.id);
        if (target.version_why != NULL) {
            fprintf(out, " (version %s, by %s)",
                    target.endpoint->entry.version, target.version_why);
        }
        fprintf(out, "\n");
    }
    else {
        struct ad_refusal refusal = Xc_Unplaced(exchange, verdict);
        print_refusal(out, "chosen", &refusal);
    }
    free(exchange);
}

char *
Ex_Explain(struct ga_gate *gate, const struct ex_query *query)
{
    char *text = NULL;
    size_t len;
    FILE *out = open_memstream(&text, &len);
    if (out == NULL) {
        return NULL;
    }
    /* A copy: the next request draws the same number, as without this. */
    struct rn_random random = gate->random;
    struct ad_request request = {
        .host = {query->host, strlen(query->host)},
        .target = {query->path, strlen(query->path)},
        .tenant = find_tenant(Fe_Config(gate->feed), query->customer),
        .unit = Rn_Unit(&random),
        .dry_run = true,
    };
    struct xc_admitted found = {.info = &query->info};
    struct ad_refusal refusal = {0};
    bool admitted = Ad_Decide(gate, &request, &found, &refusal);
    print_route(out, &found);
    print_quota(out, gate, query, &found,
                admitted || refusal.status == Ex_QUOTA_STATUS);
    if (admitted) {
        fprintf(out, "admission: admitted\n");
    }
    else {
        print_refusal(out, "admission", &refusal);
    }
    if (found.service != NULL) {
        found.config = Fe_Config(gate->feed);
        print_choice(out, gate, &found);
    }
    if (fclose(out) != 0) {
        free(text);
        return NULL;
    }
    return text;
}

void
Ex_Reply(struct ga_gate *gate, struct sv_request *request)
{
    static const char usage[] =
        "use " Ex_PATH "?host=H&path=P&customer=C&tokens=IN,OUT\n";
    static struct ex_query query;
    memset(&query, 0, sizeof(query));
    gate->options.wire->decode_request(Sv_Head(request), &query.info);
    if (!Ex_Parse(Sv_Head(request)->target, &query)) {
        Sv_Reply(request, 400, "Content-Type: text/plain\r\n", usage,
                 strlen(usage));
        return;
    }
    char *text = Ex_Explain(gate, &query);
    Sv_Reply(request, text == NULL ? 503 : 200, "Content-Type: text/plain\r\n",
             text == NULL ? "" : text, text == NULL ? 0 : strlen(text));
    free(text);
}
