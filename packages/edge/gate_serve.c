/*
 * What the daemon serves: requests of callers, its readiness, its metrics and
 * the explanation of its choices.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "edge/explain.h"
#include "edge/gate_internal.h"
#include "edge/gate_parts.h"
#include "edge/speeds.h"
#include "edge/versions.h"

/* Minimum time between two log lines about overload. */
#define Ga_OVERLOAD_LOG_USEC (1 * Ck_USEC_PER_SEC)
/* What readiness checks, operators and peers send, with room to spare. */
#define Ga_ASKING_HEAD_BYTES 16384
#define Ga_ASKING_BODY_BYTES 4096
#define Ga_ASKING_HEAD_USEC (3 * Ck_USEC_PER_SEC)
#define Ga_ASKING_IDLE_USEC (15 * Ck_USEC_PER_SEC)

static void
on_request(void *arg, struct sv_request *request)
{
    Ad_Take(arg, request);
}

static void
on_gone(void *arg, struct sv_request *request)
{
    (void)arg;
    Xc_CallerLeft(request);
}

static void
on_drained(void *arg, struct sv_request *request)
{
    (void)arg;
    Xc_CallerDrained(request);
}

static void
log_overload(struct ga_gate *gate)
{
    int64_t now = Ga_Now(gate);
    Mt_Add(gate->count.closed_unread, 1);
    if (now - gate->overload_logged_at >= Ga_OVERLOAD_LOG_USEC) {
        gate->overload_logged_at = now;
        Ln_Log(LN_FAILURE, "connection.unread",
               "\"connections\":%zu,\"late\":%d,\"in_all\":%lld",
               Sv_Connections(gate->callers), gate->overload.overloaded,
               (long long)Mt_Value(gate->count.closed_unread));
    }
}

static bool
may_accept(void *arg)
{
    struct ga_gate *gate = arg;
    bool accepts = Ov_MayAccept(&gate->overload);
    if (!accepts) {
        log_overload(gate);
    }
    return accepts;
}

/* Logs who had to yield, but for a few a second only the number. */
static void
on_yielded(void *arg, const struct lg_yield *yield)
{
    struct ga_gate *gate = arg;
    Mt_Add(yield->why == LG_MEMORY ? gate->count.yielded_memory
                                   : gate->count.yielded_descriptors,
           1);
    if (!yield->log) {
        return;
    }
    Ln_Log(LN_FAILURE, "connection.yielded",
           "\"port\":\"%s\",\"peer\":\"%s\",\"why\":\"%s\","
           "\"phase\":\"%s\",\"bytes\":%zu,\"unread\":%zu,\"ms\":%lld,"
           "\"memory\":%lld,\"descriptors\":%lld",
           yield->port, yield->peer, Lg_WhyName(yield->why), yield->phase,
           yield->bytes, yield->unread,
           (long long)(yield->age / Ck_USEC_PER_MSEC),
           (long long)Mt_Value(gate->count.yielded_memory),
           (long long)Mt_Value(gate->count.yielded_descriptors));
}

void
ga_on_turn(void *arg, int64_t usec)
{
    struct ga_gate *gate = arg;
    Ov_RecordTurn(&gate->overload, usec, Ga_Now(gate));
}

static void
on_refused(void *arg, int status, const char *why)
{
    struct ga_gate *gate = arg;
    Mt_Add(gate->count.refused, 1);
    Ln_Log(LN_FAILURE, "request.unreadable", "\"status\":%d,\"why\":\"%s\"",
           status, why);
}

static const struct sv_ops caller_ops = {
    .request = on_request,
    .gone = on_gone,
    .drained = on_drained,
    .refused = on_refused,
    .takes = may_accept,
};

static bool
path_matches(const struct sv_request *request, const char *path)
{
    struct h1_text target = Sv_Head(request)->target;
    size_t len = strlen(path);
    return target.len >= len && memcmp(target.at, path, len) == 0;
}

static void
on_ready_request(void *arg, struct sv_request *request)
{
    struct ga_gate *gate = arg;
    if (!path_matches(request, gate->options.ready_path)) {
        Sv_Reply(request, 404, "", "", 0);
        return;
    }
    Sv_Reply(request, Ga_IsReady(gate) ? 200 : 503, "", "", 0);
}

static void
on_metrics_request(void *arg, struct sv_request *request)
{
    struct ga_gate *gate = arg;
    if (path_matches(request, Ex_PATH)) {
        Ex_Reply(gate, request);
        return;
    }
    if (!path_matches(request, gate->options.metrics_path)) {
        Sv_Reply(request, 404, "", "", 0);
        return;
    }
    Lg_Export(gate->ledger, gate->registry, "cornelgate");
    Ag_ExportCalls(gate->options.store, gate->registry);
    Vs_UpdateEndpoints(gate->registry, gate->fleet);
    Qt_ExportRanks(gate->quota, gate->registry);
    Sp_UpdateMetrics(gate);
    Mt_Set(
        Mt_Get(gate->registry, MT_GAUGE, "cornelgate_evacuated_running", ""),
        Fl_CountEvacuatedRequests(gate->fleet));
    char *text = Mt_Print(gate->registry);
    Sv_Reply(request, 200, "Content-Type: text/plain; version=0.0.4\r\n",
             text == NULL ? "" : text, text == NULL ? 0 : strlen(text));
    free(text);
}

static void
ignore_gone(void *arg, struct sv_request *request)
{
    (void)arg;
    (void)request;
}

static const struct sv_ops ready_ops = {
    .request = on_ready_request,
    .gone = ignore_gone,
};

static const struct sv_ops metrics_ops = {
    .request = on_metrics_request,
    .gone = ignore_gone,
};

/* Limits a server whose requests have no bodies. */
void
Ga_LimitServer(const struct ga_gate *gate, struct sv_server *server,
               const char *name)
{
    struct sv_limits limits = {
        .head_bytes = Ga_ASKING_HEAD_BYTES,
        .body_bytes = Ga_ASKING_BODY_BYTES,
        .head_usec = Ga_ASKING_HEAD_USEC,
        .idle_usec = Ga_ASKING_IDLE_USEC,
    };
    Sv_SetLimits(server, &limits);
    Sv_SetLedger(server, gate->ledger, name);
}

enum st_status
ga_create_servers(struct ga_gate *gate)
{
    const struct ga_options *options = &gate->options;
    const struct nd_node *node = options->node;
    struct lg_options ledger = {
        .clock = options->clock,
        .bound = Lg_Bound(node->memory_bytes, (size_t)node->max_fds),
        .yielded = on_yielded,
        .arg = gate,
    };
    gate->ledger = Lg_Create(&ledger);
    if (gate->ledger == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for the ledger");
    }
    char metrics[Nd_NAME_MAX + 8];
    snprintf(metrics, sizeof(metrics), "%s:%d", node->ip, node->metrics_port);
    enum st_status status =
        Sv_Create(options->loop, options->clock, node->callers, &caller_ops,
                  gate, &gate->callers);
    if (status == ST_OK) {
        status = Sv_Create(options->loop, options->clock, node->ready,
                           &ready_ops, gate, &gate->ready);
    }
    if (status == ST_OK) {
        status = Sv_Create(options->loop, options->clock, metrics,
                           &metrics_ops, gate, &gate->metrics_server);
    }
    if (status == ST_OK) {
        Sv_SetLedger(gate->callers, gate->ledger, "callers");
        Ga_LimitServer(gate, gate->ready, "ready");
        Ga_LimitServer(gate, gate->metrics_server, "metrics");
    }
    return status;
}
