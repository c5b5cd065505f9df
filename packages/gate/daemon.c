#include "gate/daemon.h"

#include <bsd/stdlib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/event.h"
#include "gate/daemon_internal.h"
#include "gate/endpoints.h"
#include "gate/events.h"
#include "gate/reach.h"
#include "gate/request.h"
#include "gate/status.h"
#include "web/ledger.h"

#define Dm_TICK_USEC (20 * Ck_USEC_PER_MSEC)
#define Dm_OFFSET_PERIOD_USEC (1200 * Ck_USEC_PER_SEC)
/*
 * A new daemon waits this long to hear from a peer before it relies on the log
 * alone, since a read may return an end of the log that lags behind.  It waits
 * as long for the state of version moves from the log.
 */
#define Dm_START_WAIT_USEC (5 * Ck_USEC_PER_SEC)
#define Dm_LAG_USEC (1 * Ck_USEC_PER_SEC)
#define Dm_POLLING_PERIOD_USEC (1 * Ck_USEC_PER_SEC)
#define Dm_HOSTS_PERIOD_USEC (500 * Ck_USEC_PER_MSEC)
#define Dm_FETCH_PERIOD_USEC (200 * Ck_USEC_PER_MSEC)
/* Peers consider a daemon unresponsive after 4 intervals without demand. */
#define Dm_DEMANDS_SKIPPED_MAX 2
/* Appends a second of one daemon; state/keeper.c sets the rate of claims. */
#define Dm_CONFIG_APPENDS_PER_SEC 5
#define Dm_LEASE_APPENDS_PER_SEC 5
#define Dm_SNAPSHOT_APPENDS_PER_SEC 1
#define Dm_APPEND_BURST 20
#define Dm_BODY_MAX_BYTES ((size_t)1 << 20)
#define Dm_INCARNATION_MASK (UINT64_MAX >> 1)

static const char *const caller_headers[] = {
    "authorization",    "idempotency-key", "cornelgate-deadline-ms",
    "cornelgate-class", "content-type",    NULL,
};

/*
 * The reason why the daemon is not ready to serve callers, or NULL.  A daemon
 * that starts while it cannot reach the log must not serve with an older
 * configuration than its peers have.
 */
const char *
Dm_NotReady(const struct dm_daemon *daemon)
{
    if (Sp_Begun(daemon->stop)) {
        return "the daemon is stopping";
    }
    if (!daemon->host_list_read) {
        return "the host list has not come yet";
    }
    if (daemon->gate.config == NULL) {
        return "no configuration has been read yet";
    }
    if (!Cs_IsComplete(daemon->config)) {
        return "the configuration has not been read to its end yet";
    }
    if (daemon->peers_listed && !Pe_PeerOffsetKnown(daemon->peers) &&
        Ck_Now(daemon->gate.clock) - daemon->started < Dm_START_WAIT_USEC) {
        return "no other daemon has been heard of yet";
    }
    if (In_IsJoining(daemon->gate.intake)) {
        return "the others do not count this daemon yet";
    }
    if (Sc_Offset(Cs_State(daemon->config)) <
        Pe_HighestOffset(daemon->peers)) {
        return "the configuration is behind that of other daemons";
    }
    if (Mo_IsStateUnread(daemon->gate.moves) &&
        Ck_Now(daemon->gate.clock) - daemon->started < Dm_START_WAIT_USEC) {
        return "it has not been read yet how the version moves stand";
    }
    return NULL;
}

static void
on_request(void *arg, struct hs_request *http)
{
    struct dm_daemon *daemon = arg;
    Rq_Accept(&daemon->gate, http);
}

static void
on_caller_gone(void *arg, struct hs_request *http)
{
    struct dm_daemon *daemon = arg;
    Rq_CallerGone(&daemon->gate, http);
}

static void
on_drained(void *arg, struct hs_request *http)
{
    struct rq_request *request = Hs_User(http);
    if (request != NULL) {
        Rl_EngineDrained(request);
    }
}

static const struct hs_ops caller_ops = {
    .request = on_request,
    .gone = on_caller_gone,
    .drained = on_drained,
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

static bool
stop_listening(void *arg, int64_t now)
{
    struct dm_daemon *daemon = arg;
    struct ls_ending ending = {0};
    if (!Hs_StopListening(daemon->callers, now, &ending)) {
        return false;
    }
    Ev_Log(&GT_LISTENING_ENDED,
           "took_ms=%lld half_open=%d taken_late=%zu lost=%zu",
           (long long)(ending.took / Ck_USEC_PER_MSEC), ending.half_open,
           ending.taken_late, ending.lost);
    if (!ending.filtered || ending.half_open < 0 || ending.error != 0) {
        Ev_Log(&GT_CLOSED_ROUGHLY,
               "filtered=%d half_open=%d accept_error=\"%s\"", ending.filtered,
               ending.half_open,
               ending.error != 0 ? strerror(ending.error) : "");
    }
    return true;
}

static bool
stop_none_fresh(void *arg)
{
    struct dm_daemon *daemon = arg;
    return Hs_Fresh(daemon->callers) == 0;
}

static bool
stop_idle(void *arg)
{
    struct dm_daemon *daemon = arg;
    return Rq_IsIdle(&daemon->gate) && Gc_Idle(daemon->gate.claims) &&
           Hs_OpenRequests(daemon->callers) == 0 &&
           Rh_CountForPeers(daemon->gate.reach) == 0;
}

static void
stop_finished(void *arg, bool forced)
{
    struct dm_daemon *daemon = arg;
    struct rq_request *request;
    TAILQ_FOREACH (request, &daemon->gate.requests, link) {
        Ev_Log(&GT_CUT, "request=%s", request->id);
        daemon->requests_cut++;
    }
    if (daemon->requests_cut == 0) {
        Ev_Log(&GT_STOPPED, "forced=%d", forced ? 1 : 0);
    }
    Lp_Stop(daemon->gate.loop);
}

static const struct sp_ops stop_ops = {
    .leaving = stop_leaving,
    .refusing = stop_refusing,
    .stop_listening = stop_listening,
    .none_fresh = stop_none_fresh,
    .idle = stop_idle,
    .finished = stop_finished,
};

/*
 * A daemon polls the log as soon as a peer announces a higher config offset.
 * If it is still behind after Dm_LAG_USEC, because it cannot read the log, it
 * fetches the configuration from the peer that has read furthest.
 */
static void
catch_up(struct dm_daemon *daemon, int64_t now)
{
    uint64_t offset = Sc_Offset(Cs_State(daemon->config));
    if (offset >= Pe_HighestOffset(daemon->peers)) {
        daemon->behind_since = now;
        return;
    }
    bool waited = daemon->gate.config == NULL ||
                  now - daemon->behind_since >= Dm_LAG_USEC;
    if (waited && now >= daemon->next_fetch) {
        daemon->next_fetch = now + Dm_FETCH_PERIOD_USEC;
        Pe_FetchConfig(daemon->peers);
    }
}

static void
update_polling(struct dm_daemon *daemon, int64_t now)
{
    if (now >= daemon->next_polling_update) {
        daemon->next_polling_update = now + Dm_POLLING_PERIOD_USEC;
        Cs_SetFastPolling(daemon->config, Pe_IsConfigReader(daemon->peers));
    }
}

static void
publish_demand(struct dm_daemon *daemon, int64_t now)
{
    struct pf_demands demands;
    if (now < daemon->next_demand) {
        return;
    }
    daemon->next_demand = now + In_PublishInterval(daemon->gate.intake);
    /*
     * A daemon without callers skips most publications, but not so many that
     * its peers consider it unresponsive.  While the number of daemons
     * changes, as after a start, no publication is skipped.
     */
    bool idle =
        daemon->published_demands == 0 &&
        daemon->published_requests == daemon->gate.next_request &&
        daemon->published_daemons == In_DaemonCount(daemon->gate.intake);
    if (idle && daemon->demands_skipped < Dm_DEMANDS_SKIPPED_MAX) {
        daemon->demands_skipped++;
        return;
    }
    daemon->demands_skipped = 0;
    daemon->published_requests = daemon->gate.next_request;
    In_Publish(daemon->gate.intake, &demands);
    daemon->published_demands = demands.count;
    daemon->published_daemons = demands.daemons;
    Pe_PublishDemand(daemon->peers, &demands);
}

/* Publishes the config offset again before the fact expires. */
static void
publish_offset(struct dm_daemon *daemon, int64_t now)
{
    if (now >= daemon->next_offset) {
        daemon->next_offset = now + Dm_OFFSET_PERIOD_USEC;
        Pe_PublishConfigOffset(daemon->peers,
                               Sc_Offset(Cs_State(daemon->config)));
    }
}

/*
 * Updates the list of hosts that may send requests to cold endpoints.  Dead
 * members are included: they may be unreachable from here but still serving.
 */
static void
update_warmup_hosts(struct dm_daemon *daemon, int64_t now)
{
    struct wu_hosts *hosts = Ep_WarmupHosts(daemon->gate.endpoints);
    const struct mb_table *members = Nd_Members(Pe_Node(daemon->peers));
    const char *own = daemon->gate.options->node_id;
    if (now < daemon->next_warmup_hosts) {
        return;
    }
    daemon->next_warmup_hosts = now + Dm_HOSTS_PERIOD_USEC;
    hosts->own = Hash_String(own, 0);
    hosts->count = 0;
    hosts->completeness = (struct wu_completeness){
        .up_usec = now - daemon->started, .received_from = 1};
    const struct mb_record *member = Mb_First(members);
    for (; member != NULL; member = Mb_Next(member)) {
        if (strcmp(member->id, own) == 0 || hosts->count == Wu_HOSTS_MAX) {
            continue;
        }
        hosts->peers[hosts->count++] = Hash_String(member->id, 0);
        hosts->completeness.received_from += member->state != MB_DEAD;
    }
    hosts->completeness.known = hosts->count + 1;
}

static void
tick(void *arg)
{
    struct dm_daemon *daemon = arg;
    int64_t now = Ck_Now(daemon->gate.clock);
    Cs_Tick(daemon->config);
    Gc_Tick(daemon->gate.claims);
    In_DispatchQueued(daemon->gate.intake);
    Ct_Tick(daemon->control);
    Mo_Tick(daemon->gate.moves);
    Cs_SetSnapshotWriter(daemon->config,
                         Pe_Responsible(daemon->peers, "config-snapshot") ==
                             NULL);
    Ct_SetSnapshotWriter(daemon->control,
                         Pe_Responsible(daemon->peers, "control-snapshot") ==
                             NULL);
    catch_up(daemon, now);
    update_polling(daemon, now);
    publish_demand(daemon, now);
    publish_offset(daemon, now);
    update_warmup_hosts(daemon, now);
    Rh_Tick(daemon->gate.reach);
    Gq_Tick(daemon->gate.quarantine);
    Lg_CountQueues(daemon->gate.ledger);
    if (!daemon->was_ready && Dm_NotReady(daemon) == NULL) {
        daemon->was_ready = true;
        Ev_Log(&GT_READY, "node=%s", daemon->gate.options->node_id);
    }
    Lp_TimerSet(daemon->tick, Dm_TICK_USEC);
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
        .body_max = Dm_BODY_MAX_BYTES,
        .ledger = daemon->gate.ledger,
        .account = "callers",
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
        .ledger = daemon->gate.ledger,
        .ops = &dm_admin_ops,
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
    enum st_status status =
        Mo_Create(gate, &dm_move_ops, daemon, &gate->moves);
    if (status != ST_OK) {
        return status;
    }
    struct ct_options control = {
        .clock = gate->clock,
        .log = daemon->log,
        .budget = daemon->budget,
        .self = *self,
        .component = Mo_Component(gate->moves),
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
    Bg_SetRate(daemon->budget, BG_CONFIG, Dm_CONFIG_APPENDS_PER_SEC,
               Dm_APPEND_BURST);
    Bg_SetRate(daemon->budget, BG_LEASE, Dm_LEASE_APPENDS_PER_SEC,
               Dm_APPEND_BURST);
    Bg_SetRate(daemon->budget, BG_SNAPSHOT, Dm_SNAPSHOT_APPENDS_PER_SEC,
               Dm_APPEND_BURST);
    struct cs_options config = {
        .gate = &daemon->gate,
        .log = daemon->log,
        .budget = daemon->budget,
        .self = {.incarnation = incarnation},
        .applied = Dm_ConfigApplied,
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
        .ops = &dm_claim_ops,
        .arg = daemon,
    };
    status = Gc_Create(&claims, &daemon->gate.claims);
    if (status != ST_OK) {
        return status;
    }
    return start_control(daemon, &config.self);
}

static enum st_status
start_modules(struct dm_daemon *daemon)
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
        status = Gq_Create(gate, Dm_PublishPoison, daemon, &gate->quarantine);
    }
    if (status == ST_OK) {
        status = Gt_CreateLedger(gate);
    }
    if (status == ST_OK) {
        status = start_servers(daemon);
    }
    if (status == ST_OK) {
        status = Pe_Create(gate, (uint16_t)Ad_Port(daemon->admin), incarnation,
                           &dm_peer_ops, daemon, &daemon->peers);
    }
    if (status == ST_OK) {
        status = Rh_Create(gate, daemon->peers, &gate->reach);
    }
    if (status == ST_OK) {
        status = start_state(daemon, incarnation);
    }
    if (status == ST_OK) {
        status = Lw_Create(gate, &dm_load_ops, daemon, &daemon->loads);
    }
    if (status == ST_OK) {
        status = Hw_Create(gate, &dm_host_ops, daemon, &daemon->hosts);
    }
    if (status == ST_OK) {
        status = Sp_Create(gate, &stop_ops, daemon, &daemon->stop);
    }
    return status;
}

/* Creates a daemon that listens; ST_INVALID names the wrong setting. */
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
        status = start_modules(daemon);
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
 * Serves until a graceful stop is complete.  Prints the ports in use, so that
 * a supervisor that configured port 0 learns them.  Returns the number of
 * requests that were cut.
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
    return daemon->requests_cut;
}

/* Running requests are refused with the outcome unknown. */
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
    Rh_Destroy(daemon->gate.reach);
    Gq_Destroy(daemon->gate.quarantine);
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
    Lg_Destroy(daemon->gate.ledger);
    Mt_Destroy(daemon->gate.metrics);
    free(daemon);
}
