#include "gate/daemon.h"

#include <bsd/stdlib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/event.h"
#include "gate/claims.h"
#include "gate/confstream.h"
#include "gate/endpoints.h"
#include "gate/events.h"
#include "gate/hostwatch.h"
#include "gate/request.h"
#include "gate/stop.h"
#include "platform/plog.h"
#include "state/budget.h"

#define Dm_TICK (20 * Ck_USEC_PER_MSEC)
#define Dm_BODY_MAX ((size_t)1 << 20)
#define Dm_INCARNATION_MASK (UINT64_MAX >> 1)

struct dm_daemon {
    struct gt_gate gate;
    struct hs_server *callers;
    struct hs_server *admin;
    struct pl_log *log;
    struct bg_budget *budget;
    struct cs_stream *config;
    struct hw_watch *hosts;
    struct sp_stop *stop;
    struct lp_timer *tick;
    bool hosts_seen;
    bool was_ready;
    int cut;
};

static const char *const caller_headers[] = {
    "authorization",    "idempotency-key", "cornelgate-deadline-ms",
    "cornelgate-class", "content-type",    NULL,
};

static const char *const admin_headers[] = {"authorization", NULL};

static bool
is_ready(const struct dm_daemon *daemon)
{
    return daemon->gate.config != NULL && daemon->hosts_seen &&
           !Sp_Begun(daemon->stop);
}

static void
take_request(void *arg, struct hs_request *http)
{
    struct dm_daemon *daemon = arg;
    Rq_Accept(&daemon->gate, http);
}

static void
take_gone(void *arg, struct hs_request *http)
{
    struct dm_daemon *daemon = arg;
    Rq_CallerGone(&daemon->gate, http);
}

static void
take_drained(void *arg, struct hs_request *http)
{
    struct rq_request *request = Hs_User(http);
    if (request != NULL) {
        Rl_EngineDrained(request);
    }
}

static const struct hs_ops caller_ops = {
    .request = take_request,
    .gone = take_gone,
    .drained = take_drained,
};

static void
reply_text(struct hs_request *http, int code, const char *type,
           const char *text)
{
    Hs_Reply(http, code, type, NULL, 0, text, strlen(text));
}

static void
take_admin(void *arg, struct hs_request *http)
{
    struct dm_daemon *daemon = arg;
    const char *path = Hs_Path(http);
    if (strcmp(path, "/healthz") == 0) {
        reply_text(http, 200, "text/plain", "ok\n");
    }
    else if (strcmp(path, "/readyz") == 0) {
        bool ready = is_ready(daemon);
        reply_text(http, ready ? 200 : 503, "text/plain",
                   ready ? "ready\n" : "not ready\n");
    }
    else if (strcmp(path, "/metrics") == 0) {
        char *text = Mt_Print(daemon->gate.metrics);
        reply_text(http, 200, "text/plain", text != NULL ? text : "");
        free(text);
    }
    else {
        reply_text(http, 404, "text/plain", "not found\n");
    }
}

static void
admin_gone(void *arg, struct hs_request *http)
{
    (void)arg;
    (void)http;
}

static const struct hs_ops admin_ops = {
    .request = take_admin,
    .gone = admin_gone,
};

static void
take_hosts(void *arg, const struct hl_host *hosts, size_t count)
{
    struct dm_daemon *daemon = arg;
    daemon->hosts_seen = true;
    Ep_Sync(daemon->gate.endpoints, hosts, count);
}

static void
take_notice(void *arg, const char *host, int64_t left_usec)
{
    struct dm_daemon *daemon = arg;
    if (strcmp(host, daemon->gate.options->node_id) == 0) {
        if (!Sp_Begun(daemon->stop)) {
            Sp_Begin(daemon->stop);
        }
        return;
    }
    Ep_Leaving(daemon->gate.endpoints, host, left_usec);
}

static const struct hw_ops host_ops = {
    .hosts = take_hosts,
    .notice = take_notice,
};

static const char *
slot_keeper(void *arg, int slot)
{
    (void)arg;
    (void)slot;
    return NULL;
}

static const struct gc_ops claim_ops = {
    .keeper = slot_keeper,
};

static void
config_applied(void *arg, uint64_t offset)
{
    (void)arg;
    (void)offset;
}

static void
stop_leaving(void *arg)
{
    struct dm_daemon *daemon = arg;
    Hs_CloseConnections(daemon->callers);
}

static void
stop_refusing(void *arg)
{
    struct dm_daemon *daemon = arg;
    daemon->gate.draining = true;
}

static void
stop_closing(void *arg)
{
    struct dm_daemon *daemon = arg;
    Hs_StopListening(daemon->callers);
}

static bool
stop_idle(void *arg)
{
    struct dm_daemon *daemon = arg;
    return Rq_Idle(&daemon->gate) && Gc_Idle(daemon->gate.claims) &&
           Hs_OpenRequests(daemon->callers) == 0;
}

static void
stop_finished(void *arg, bool forced)
{
    struct dm_daemon *daemon = arg;
    struct rq_request *request;
    TAILQ_FOREACH (request, &daemon->gate.requests, link) {
        Ev_Log(&GT_CUT, "request=%s", request->id);
        daemon->cut++;
    }
    if (daemon->cut == 0) {
        Ev_Log(&GT_STOPPED, "forced=%d", forced ? 1 : 0);
    }
    Lp_Stop(daemon->gate.loop);
}

static const struct sp_ops stop_ops = {
    .leaving = stop_leaving,
    .refusing = stop_refusing,
    .closing = stop_closing,
    .idle = stop_idle,
    .finished = stop_finished,
};

static void
tick(void *arg)
{
    struct dm_daemon *daemon = arg;
    Cs_Tick(daemon->config);
    Gc_Tick(daemon->gate.claims);
    if (!daemon->was_ready && is_ready(daemon)) {
        daemon->was_ready = true;
        Ev_Log(&GT_READY, "node=%s", daemon->gate.options->node_id);
    }
    Lp_TimerSet(daemon->tick, Dm_TICK);
}

static enum st_status
start_servers(struct dm_daemon *daemon)
{
    const struct gt_options *options = daemon->gate.options;
    struct hs_options callers = {
        .address = options->address,
        .port = options->port,
        .tls_cert_file = options->tls_cert_file,
        .tls_key_file = options->tls_key_file,
        .body_max = Dm_BODY_MAX,
        .headers = caller_headers,
        .ops = &caller_ops,
        .arg = daemon,
    };
    struct hs_options admin = {
        .address = options->address,
        .port = options->admin_port,
        .tls_cert_file = options->tls_cert_file,
        .tls_key_file = options->tls_key_file,
        .body_max = Dm_BODY_MAX,
        .headers = admin_headers,
        .ops = &admin_ops,
        .arg = daemon,
    };
    enum st_status status =
        Hs_Create(daemon->gate.loop, &callers, &daemon->callers);
    if (status != ST_OK) {
        return status;
    }
    return Hs_Create(daemon->gate.loop, &admin, &daemon->admin);
}

static enum st_status
start_state(struct dm_daemon *daemon, uint64_t incarnation)
{
    const struct gt_options *options = daemon->gate.options;
    struct pl_http_options log = {
        .address = options->log.address,
        .port = options->log.port,
    };
    enum st_status status =
        Pl_HttpCreate(daemon->gate.loop, &log, &daemon->log);
    if (status != ST_OK) {
        return status;
    }
    daemon->budget = Bg_Create(daemon->gate.clock);
    if (daemon->budget == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for the append budget");
    }
    struct cs_options config = {
        .gate = &daemon->gate,
        .log = daemon->log,
        .budget = daemon->budget,
        .self = {.incarnation = incarnation},
        .applied = config_applied,
        .arg = daemon,
    };
    snprintf(config.self.node, sizeof(config.self.node), "%s",
             options->node_id);
    status = Cs_Create(&config, &daemon->config);
    if (status != ST_OK) {
        return status;
    }
    struct gc_options claims = {
        .gate = &daemon->gate,
        .log = daemon->log,
        .budget = daemon->budget,
        .self = config.self,
        .ops = &claim_ops,
        .arg = daemon,
    };
    return Gc_Create(&claims, &daemon->gate.claims);
}

static enum st_status
start_parts(struct dm_daemon *daemon)
{
    struct gt_gate *gate = &daemon->gate;
    uint64_t incarnation;
    arc4random_buf(&incarnation, sizeof(incarnation));
    incarnation &= Dm_INCARNATION_MASK;
    snprintf(gate->incarnation, sizeof(gate->incarnation), "%llx",
             (unsigned long long)incarnation);
    Rn_Seed(&gate->random, incarnation);
    enum st_status status =
        Ep_Create(gate, Rl_EndpointLeaving, &gate->endpoints);
    if (status == ST_OK) {
        status = start_state(daemon, incarnation);
    }
    if (status == ST_OK) {
        status = start_servers(daemon);
    }
    if (status == ST_OK) {
        status = Hw_Create(gate, &host_ops, daemon, &daemon->hosts);
    }
    if (status == ST_OK) {
        status = Sp_Create(gate, &stop_ops, daemon, &daemon->stop);
    }
    return status;
}

/* Creates a daemon that listens; ST_INVALID names the setting to mend. */
enum st_status
Dm_Create(const struct gt_options *options, struct dm_daemon **out)
{
    struct dm_daemon *daemon = calloc(1, sizeof(*daemon));
    if (daemon == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for the daemon");
    }
    daemon->gate.options = options;
    daemon->gate.clock = Ck_System();
    daemon->gate.metrics = Mt_Create();
    TAILQ_INIT(&daemon->gate.requests);
    enum st_status status = Lp_Create(&daemon->gate.loop);
    if (status == ST_OK) {
        status = start_parts(daemon);
    }
    if (status == ST_OK) {
        daemon->tick = Lp_TimerCreate(daemon->gate.loop, tick, daemon);
        if (daemon->tick == NULL) {
            status = St_Fail(ST_NO_MEMORY, "no timer");
        }
    }
    if (status != ST_OK) {
        return status;
    }
    Lp_TimerSet(daemon->tick, 0);
    *out = daemon;
    return ST_OK;
}

/*
 * Serves until a planned stop has ended.  Prints the ports in use, so that
 * a supervisor that asked for port 0 learns them.  Returns how many requests
 * were cut.
 */
int
Dm_Run(struct dm_daemon *daemon)
{
    const struct gt_options *options = daemon->gate.options;
    Ev_Log(&GT_STARTED, "node=%s", options->node_id);
    printf("ready port=%d admin_port=%d peer_port=%d\n",
           Hs_Port(daemon->callers), Hs_Port(daemon->admin),
           options->peer_port);
    fflush(stdout);
    Lp_Run(daemon->gate.loop);
    return daemon->cut;
}

/* Frees everything; running requests are cut. */
void
Dm_Destroy(struct dm_daemon *daemon)
{
    struct rq_request *request;
    while ((request = TAILQ_FIRST(&daemon->gate.requests)) != NULL) {
        Rq_Refuse(request, AN_UNKNOWN, 1, "this host has stopped");
    }
    Lp_TimerDestroy(daemon->tick);
    Sp_Destroy(daemon->stop);
    Hw_Destroy(daemon->hosts);
    Gc_Destroy(daemon->gate.claims);
    Cs_Destroy(daemon->config);
    Bg_Destroy(daemon->budget);
    Pl_HttpDestroy(daemon->log);
    Lp_Destroy(daemon->gate.loop);
    Hs_Destroy(daemon->callers);
    Hs_Destroy(daemon->admin);
    Ep_Destroy(daemon->gate.endpoints);
    if (daemon->gate.config != NULL) {
        Cf_Destroy(daemon->gate.config);
    }
    Mt_Destroy(daemon->gate.metrics);
    free(daemon);
}
