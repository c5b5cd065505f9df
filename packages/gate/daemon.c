#include "gate/daemon.h"

#include <bsd/stdlib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/event.h"
#include "gate/admin.h"
#include "gate/claims.h"
#include "gate/confstream.h"
#include "gate/control.h"
#include "gate/endpoints.h"
#include "gate/events.h"
#include "gate/hostwatch.h"
#include "gate/intake.h"
#include "gate/loadwatch.h"
#include "gate/moves.h"
#include "gate/peers.h"
#include "gate/request.h"
#include "gate/status.h"
#include "gate/stop.h"
#include "platform/plog.h"
#include "state/budget.h"

#define Dm_TICK (20 * Ck_USEC_PER_MSEC)
#define Dm_APPEND_USEC (5 * Ck_USEC_PER_SEC)
#define Dm_OFFSET_PERIOD (1200 * Ck_USEC_PER_SEC)
/*
 * How long a new daemon waits for word of the others before it trusts what
 * the log alone shows: the log may answer with an end that lags.
 */
#define Dm_HEAR_USEC (5 * Ck_USEC_PER_SEC)
#define Dm_PULL_PERIOD (200 * Ck_USEC_PER_MSEC)
#define Dm_DEMANDS_MAX 32
#define Dm_KEY_MAX 32
/* Appends a second of one daemon; the keeper sets those for claims. */
#define Dm_CONFIG_APPENDS 5
#define Dm_LEASE_APPENDS 5
#define Dm_EVIDENCE_APPENDS 1
#define Dm_APPEND_BURST 20
#define Dm_BODY_MAX ((size_t)1 << 20)
#define Dm_INCARNATION_MASK (UINT64_MAX >> 1)

struct dm_daemon {
    struct gt_gate gate;
    struct hs_server *callers;
    struct ad_admin *admin;
    struct pe_peers *peers;
    struct lw_watch *loads;
    int64_t next_demand;
    int64_t next_pull;
    int64_t next_offset;
    struct pl_log *log;
    struct bg_budget *budget;
    struct cs_stream *config;
    struct ct_control *control;
    struct hw_watch *hosts;
    struct sp_stop *stop;
    struct lp_timer *tick;
    int64_t started;
    bool hosts_seen;
    bool others_listed; /* the host list names other daemons */
    bool was_ready;
    int cut;
};

static const char *const caller_headers[] = {
    "authorization",    "idempotency-key", "cornelgate-deadline-ms",
    "cornelgate-class", "content-type",    NULL,
};

/*
 * Why callers are not served yet, or NULL.  A daemon that starts while its
 * own way to the log is cut must not serve with less than its peers know.
 */
static const char *
not_ready(const struct dm_daemon *daemon)
{
    if (Sp_Begun(daemon->stop)) {
        return "the daemon is stopping";
    }
    if (!daemon->hosts_seen) {
        return "the host list has not come yet";
    }
    if (daemon->gate.config == NULL) {
        return "no configuration has been read yet";
    }
    if (daemon->others_listed && !Pe_HeardAny(daemon->peers) &&
        Ck_Now(daemon->gate.clock) - daemon->started < Dm_HEAR_USEC) {
        return "no other daemon has been heard of yet";
    }
    if (Sc_Offset(Cs_State(daemon->config)) <
        Pe_HighestOffset(daemon->peers)) {
        return "the configuration is behind that of other daemons";
    }
    return NULL;
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

static const struct sc_state *
admin_sections(void *arg)
{
    struct dm_daemon *daemon = arg;
    return Cs_State(daemon->config);
}

struct append {
    ad_appended_fn appended;
    void *ticket;
};

static void
admin_appended(void *arg, enum wr_result result, uint64_t sequence)
{
    struct append *append = arg;
    enum st_status status = ST_UNKNOWN;
    (void)sequence;
    if (result == WR_WRITTEN) {
        status = ST_OK;
    }
    else if (result == WR_NOT_WRITTEN) {
        status = ST_UNAVAILABLE;
    }
    append->appended(append->ticket, status);
    free(append);
}

static enum st_status
admin_append(void *arg, const char *kind, json_t *body,
             ad_appended_fn appended, void *ticket)
{
    struct dm_daemon *daemon = arg;
    struct append *append = calloc(1, sizeof(*append));
    if (append == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for a change");
    }
    append->appended = appended;
    append->ticket = ticket;
    int64_t deadline = Ck_Now(daemon->gate.clock) + Dm_APPEND_USEC;
    enum st_status status =
        Wr_Put(Cs_Writer(daemon->config), BG_CONFIG, kind, json_incref(body),
               deadline, admin_appended, append);
    if (status != ST_OK) {
        free(append);
        return status;
    }
    Cs_Kick(daemon->config);
    return ST_OK;
}

static json_t *
admin_status(void *arg)
{
    struct dm_daemon *daemon = arg;
    uint64_t offset = Sc_Offset(Cs_State(daemon->config));
    uint64_t in_force =
        daemon->gate.config != NULL ? daemon->gate.config->offset : 0;
    return json_pack("{s:s,s:b,s:{s:I,s:I},s:o,s:o,s:o,s:{s:i,s:i,s:b}}",
                     "node", daemon->gate.options->node_id, "ready",
                     not_ready(daemon) == NULL, "config", "offset",
                     (json_int_t)offset, "in_force", (json_int_t)in_force,
                     "daemons", Pe_Status(daemon->peers, offset), "services",
                     Sd_Services(&daemon->gate), "moves",
                     Mo_Status(daemon->gate.moves), "work", "queued",
                     In_Queued(daemon->gate.intake), "claim_slots",
                     Gc_SlotsKept(daemon->gate.claims), "log_in_reach",
                     Cs_Reading(daemon->config));
}

static void
set_gauge(struct dm_daemon *daemon, const char *name, int64_t value)
{
    Mt_Set(Mt_Get(daemon->gate.metrics, MT_GAUGE, name, ""), value);
}

/* Brings the gauges up to date and copies the counters of other modules. */
static void
refresh_metrics(struct dm_daemon *daemon)
{
    const struct nd_counters *node = Nd_Counters(Pe_Node(daemon->peers));
    const struct lk_counters *links =
        Lk_Counters(Nd_Links(Pe_Node(daemon->peers)));
    set_gauge(daemon, "cg_queued", In_Queued(daemon->gate.intake));
    set_gauge(daemon, "cg_config_offset",
              (int64_t)Sc_Offset(Cs_State(daemon->config)));
    set_gauge(daemon, "cg_gossip_bytes_in", (int64_t)node->bytes_in);
    set_gauge(daemon, "cg_gossip_bytes_out", (int64_t)node->bytes_out);
    set_gauge(daemon, "cg_link_bytes_in", (int64_t)links->bytes_in);
    set_gauge(daemon, "cg_link_bytes_out", (int64_t)links->bytes_out);
    set_gauge(daemon, "cg_peers_alive",
              (int64_t)Mb_Count(Nd_Members(Pe_Node(daemon->peers)), MB_ALIVE));
}

static char *
admin_metrics(void *arg)
{
    struct dm_daemon *daemon = arg;
    refresh_metrics(daemon);
    return Mt_Print(daemon->gate.metrics);
}

static bool
admin_ready(void *arg, const char **why)
{
    *why = not_ready(arg);
    return *why == NULL;
}

static const struct ad_ops admin_ops = {
    .sections = admin_sections,
    .append = admin_append,
    .status = admin_status,
    .metrics = admin_metrics,
    .ready = admin_ready,
};

/*
 * Remembers whether there are other daemons, and takes those out of the
 * sharing of limits that are both dead and off the list.  A daemon that is
 * only out of reach keeps its part: it may be serving on its side of a cut.
 */
static void
note_others(struct dm_daemon *daemon, const struct hl_host *hosts,
            size_t count)
{
    const struct mb_table *members = Nd_Members(Pe_Node(daemon->peers));
    daemon->others_listed = false;
    for (size_t i = 0; i < count; i++) {
        daemon->others_listed =
            daemon->others_listed ||
            (hosts[i].role == HL_ENTRY && hosts[i].state == HL_LIVE &&
             strcmp(hosts[i].id, daemon->gate.options->node_id) != 0);
    }
    const struct mb_record *member = Mb_First(members);
    for (; member != NULL; member = Mb_Next(member)) {
        bool listed = false;
        for (size_t i = 0; i < count && member->state == MB_DEAD; i++) {
            listed = listed || strcmp(hosts[i].id, member->id) == 0;
        }
        if (member->state == MB_DEAD && !listed) {
            In_Member(daemon->gate.intake, member->id, false);
        }
    }
}

static void
take_hosts(void *arg, const struct hl_host *hosts, size_t count)
{
    struct dm_daemon *daemon = arg;
    daemon->hosts_seen = true;
    note_others(daemon, hosts, count);
    Ep_Sync(daemon->gate.endpoints, hosts, count);
    Pe_Seed(daemon->peers, hosts, count);
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
    Pe_HostLeaving(daemon->peers, host, left_usec);
}

static void
hosts_changed(void *arg, uint64_t digest)
{
    struct dm_daemon *daemon = arg;
    Pe_HostsDigest(daemon->peers, digest);
}

static const struct hw_ops host_ops = {
    .hosts = take_hosts,
    .changed = hosts_changed,
    .notice = take_notice,
};

static const char *
slot_keeper(void *arg, int slot)
{
    struct dm_daemon *daemon = arg;
    char key[Dm_KEY_MAX];
    snprintf(key, sizeof(key), "claims-%02d", slot);
    return Pe_Responsible(daemon->peers, key);
}

static enum st_status
ask_keeper(void *arg, const char *node, const char *payload, size_t len,
           int64_t timeout_usec, gc_reply_fn reply, void *reply_arg)
{
    struct dm_daemon *daemon = arg;
    return Pe_AskClaim(daemon->peers, node, payload, len, timeout_usec, reply,
                       reply_arg);
}

static bool
run_ended(void *arg, const struct rc_writer *owner)
{
    struct dm_daemon *daemon = arg;
    return Pe_RunEnded(daemon->peers, owner->node, owner->incarnation);
}

static const struct gc_ops claim_ops = {
    .keeper = slot_keeper,
    .ask = ask_keeper,
    .dead = run_ended,
};

static void
config_applied(void *arg, uint64_t offset)
{
    struct dm_daemon *daemon = arg;
    Pe_ConfigOffset(daemon->peers, offset);
    if (daemon->admin != NULL) {
        Ad_Advanced(daemon->admin);
    }
}

static void
peer_config_ahead(void *arg, uint64_t offset)
{
    struct dm_daemon *daemon = arg;
    (void)offset;
    Cs_Kick(daemon->config);
}

static char *
peer_config_state(void *arg)
{
    struct dm_daemon *daemon = arg;
    return Cs_Export(daemon->config);
}

static void
peer_config_came(void *arg, const char *state, size_t len)
{
    struct dm_daemon *daemon = arg;
    (void)Cs_Import(daemon->config, state, len);
}

static void
peer_load(void *arg, const struct lw_report *report)
{
    struct dm_daemon *daemon = arg;
    Ep_Report(daemon->gate.endpoints, report->service, report->endpoint,
              &report->sample);
    if (report->leaving) {
        Ep_Leaving(daemon->gate.endpoints, report->endpoint,
                   report->left_usec);
    }
}

static void
peer_leaving(void *arg, const char *host, int64_t left_usec)
{
    struct dm_daemon *daemon = arg;
    Ep_Leaving(daemon->gate.endpoints, host, left_usec);
}

static void
peer_distrust(void *arg, const char *service, const char *version)
{
    struct dm_daemon *daemon = arg;
    Ep_Distrust(daemon->gate.endpoints, service, version);
}

static void
peer_demand(void *arg, const char *node, const struct am_demand *demands,
            size_t count)
{
    struct dm_daemon *daemon = arg;
    In_Hear(daemon->gate.intake, node, demands, count);
}

static void
peer_hosts(void *arg, uint64_t digest)
{
    struct dm_daemon *daemon = arg;
    if (daemon->hosts != NULL) {
        Hw_Hear(daemon->hosts, digest);
    }
}

static void
peer_member(void *arg, const char *node, bool present)
{
    struct dm_daemon *daemon = arg;
    In_Member(daemon->gate.intake, node, present);
}

static void
claim_served(void *arg, const char *payload, size_t len)
{
    Lk_Reply(arg, ST_OK, payload, len);
}

static void
peer_claim(void *arg, struct lk_request *request)
{
    struct dm_daemon *daemon = arg;
    size_t len;
    const char *payload = Lk_Payload(request, &len);
    if (Gc_Serve(daemon->gate.claims, payload, len, claim_served, request) !=
        ST_OK) {
        Lk_Reply(request, ST_UNAVAILABLE, NULL, 0);
    }
}

static void
peer_evidence(void *arg, const char *text, size_t len)
{
    struct dm_daemon *daemon = arg;
    Mo_Report(daemon->gate.moves, text, len);
}

static const struct pe_ops peer_ops = {
    .config_ahead = peer_config_ahead,
    .config_state = peer_config_state,
    .config_came = peer_config_came,
    .load = peer_load,
    .leaving = peer_leaving,
    .distrust = peer_distrust,
    .demand = peer_demand,
    .hosts = peer_hosts,
    .member = peer_member,
    .claim = peer_claim,
    .evidence = peer_evidence,
};

static bool
move_should_hold(void *arg, const char *job)
{
    struct dm_daemon *daemon = arg;
    return !Sp_Begun(daemon->stop) &&
           Pe_Responsible(daemon->peers, job) == NULL;
}

static void
move_report(void *arg, const char *job, const char *text, size_t len)
{
    struct dm_daemon *daemon = arg;
    const char *holder = Pe_Responsible(daemon->peers, job);
    if (holder == NULL) {
        Mo_Report(daemon->gate.moves, text, len);
        return;
    }
    Pe_SendEvidence(daemon->peers, holder, text, len);
}

static void
move_distrust(void *arg, const char *service, const char *version)
{
    struct dm_daemon *daemon = arg;
    Pe_Distrust(daemon->peers, service, version);
}

static size_t
move_routers(void *arg, const char **out, size_t max)
{
    struct dm_daemon *daemon = arg;
    return Pe_Routers(daemon->peers, out, max);
}

static const struct mo_ops move_ops = {
    .should_hold = move_should_hold,
    .report = move_report,
    .distrust = move_distrust,
    .routers = move_routers,
};

static bool
load_mine(void *arg, const struct ch_info *info)
{
    struct dm_daemon *daemon = arg;
    return Pe_Watches(daemon->peers, info);
}

static void
load_report(void *arg, const struct lw_report *report)
{
    struct dm_daemon *daemon = arg;
    peer_load(daemon, report);
    Pe_Load(daemon->peers, report);
}

static void
load_silent(void *arg, const char *service, const char *endpoint)
{
    struct dm_daemon *daemon = arg;
    struct ch_table *table = Ep_Table(daemon->gate.endpoints, service);
    if (table != NULL) {
        Ch_SetState(table, endpoint, CH_SUSPECT, 0,
                    Ck_Now(daemon->gate.clock));
    }
}

static const struct lw_ops load_ops = {
    .mine = load_mine,
    .report = load_report,
    .silent = load_silent,
};

static void
stop_leaving(void *arg)
{
    struct dm_daemon *daemon = arg;
    Hs_CloseConnections(daemon->callers);
    Pe_Leave(daemon->peers);
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

/*
 * A daemon that cannot read the log itself takes the sections of a peer
 * that has read further.
 */
static void
catch_up(struct dm_daemon *daemon, int64_t now)
{
    if (now < daemon->next_pull) {
        return;
    }
    daemon->next_pull = now + Dm_PULL_PERIOD;
    uint64_t offset = Sc_Offset(Cs_State(daemon->config));
    if (offset < Pe_HighestOffset(daemon->peers) &&
        !Cs_Reading(daemon->config)) {
        Pe_PullConfig(daemon->peers);
    }
}

static void
tell_demand(struct dm_daemon *daemon, int64_t now)
{
    struct am_demand demands[Dm_DEMANDS_MAX];
    if (now < daemon->next_demand) {
        return;
    }
    daemon->next_demand = now + In_PublishInterval(daemon->gate.intake);
    size_t count = In_Publish(daemon->gate.intake, demands, Dm_DEMANDS_MAX);
    Pe_Demand(daemon->peers, demands, count);
}

/* What the others know of this daemon is told again before it expires. */
static void
tell_offset(struct dm_daemon *daemon, int64_t now)
{
    if (now >= daemon->next_offset) {
        daemon->next_offset = now + Dm_OFFSET_PERIOD;
        Pe_ConfigOffset(daemon->peers, Sc_Offset(Cs_State(daemon->config)));
    }
}

static void
tick(void *arg)
{
    struct dm_daemon *daemon = arg;
    int64_t now = Ck_Now(daemon->gate.clock);
    Cs_Tick(daemon->config);
    Gc_Tick(daemon->gate.claims);
    In_Pump(daemon->gate.intake);
    Ct_Tick(daemon->control);
    Mo_Tick(daemon->gate.moves);
    Cs_SetWriting(daemon->config,
                  Pe_Responsible(daemon->peers, "config-snapshot") == NULL);
    Ct_SetWriting(daemon->control,
                  Pe_Responsible(daemon->peers, "control-snapshot") == NULL);
    catch_up(daemon, now);
    tell_demand(daemon, now);
    tell_offset(daemon, now);
    if (!daemon->was_ready && not_ready(daemon) == NULL) {
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
    struct ad_options admin = {
        .address = options->address,
        .port = options->admin_port,
        .tls_cert_file = options->tls_cert_file,
        .tls_key_file = options->tls_key_file,
        .bootstrap_digest = options->bootstrap_digest,
        .ops = &admin_ops,
        .arg = daemon,
    };
    enum st_status status =
        Hs_Create(daemon->gate.loop, &callers, &daemon->callers);
    if (status != ST_OK) {
        return status;
    }
    return Ad_Create(daemon->gate.loop, &admin, &daemon->admin);
}

static enum st_status
start_control(struct dm_daemon *daemon, const struct rc_writer *self)
{
    struct gt_gate *gate = &daemon->gate;
    enum st_status status = Mo_Create(gate, &move_ops, daemon, &gate->moves);
    if (status != ST_OK) {
        return status;
    }
    struct ct_options control = {
        .clock = gate->clock,
        .log = daemon->log,
        .budget = daemon->budget,
        .self = *self,
        .part = Mo_Part(gate->moves),
    };
    status = Ct_Create(&control, &daemon->control);
    if (status == ST_OK) {
        Mo_SetControl(gate->moves, daemon->control);
    }
    return status;
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
    Bg_Set(daemon->budget, BG_CONFIG, Dm_CONFIG_APPENDS, Dm_APPEND_BURST);
    Bg_Set(daemon->budget, BG_LEASE, Dm_LEASE_APPENDS, Dm_APPEND_BURST);
    Bg_Set(daemon->budget, BG_EVIDENCE, Dm_EVIDENCE_APPENDS, Dm_APPEND_BURST);
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
    status = Gc_Create(&claims, &daemon->gate.claims);
    if (status != ST_OK) {
        return status;
    }
    return start_control(daemon, &config.self);
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
        status = In_Create(gate, Rq_Dispatch, &gate->intake);
    }
    if (status == ST_OK) {
        status = start_servers(daemon);
    }
    if (status == ST_OK) {
        status = Pe_Create(gate, (uint16_t)Ad_Port(daemon->admin), incarnation,
                           &peer_ops, daemon, &daemon->peers);
    }
    if (status == ST_OK) {
        status = start_state(daemon, incarnation);
    }
    if (status == ST_OK) {
        status = Lw_Create(gate, &load_ops, daemon, &daemon->loads);
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
    daemon->started = Ck_Now(daemon->gate.clock);
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
           Hs_Port(daemon->callers), Ad_Port(daemon->admin),
           Pe_Port(daemon->peers));
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
    Lw_Destroy(daemon->loads);
    Ad_Stop(daemon->admin);
    Gc_Destroy(daemon->gate.claims);
    Cs_Destroy(daemon->config);
    Ct_Destroy(daemon->control);
    Mo_Destroy(daemon->gate.moves);
    Pe_Destroy(daemon->peers);
    Bg_Destroy(daemon->budget);
    Pl_HttpDestroy(daemon->log);
    In_Destroy(daemon->gate.intake);
    Lp_Destroy(daemon->gate.loop);
    Hs_Destroy(daemon->callers);
    Ad_Destroy(daemon->admin);
    Ep_Destroy(daemon->gate.endpoints);
    if (daemon->gate.config != NULL) {
        Cf_Destroy(daemon->gate.config);
    }
    Mt_Destroy(daemon->gate.metrics);
    free(daemon);
}
