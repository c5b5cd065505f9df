#include "edge/gate.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "edge/broken.h"
#include "edge/exchange.h"
#include "edge/gate_internal.h"
#include "edge/gate_parts.h"
#include "edge/notice.h"
#include "edge/paths.h"
#include "edge/quarantine.h"
#include "edge/speeds.h"
#include "edge/transfer.h"

#define Ga_SWEEP_TICKS 5       /* twice a second */
#define Ga_LOG_CALLS_TICKS 100 /* every ten seconds */

int64_t
Ga_Now(const struct ga_gate *gate)
{
    return Ck_Now(gate->options.clock);
}

bool
Ga_IsReady(const struct ga_gate *gate)
{
    return gate->stopping_at == 0 && Fe_Config(gate->feed) != NULL &&
           Fl_HasEndpoints(gate->fleet);
}

bool
Ga_HasTargetVersion(const struct ro_move *move,
                    const struct fl_endpoint *endpoint)
{
    return move != NULL &&
           strcmp(endpoint->entry.version, move->order.target) == 0;
}

bool
Ga_MayRunAt(const struct ga_gate *gate, const struct ec_route *route,
            const struct ec_tenant *tenant, const struct fl_endpoint *endpoint)
{
    if (route->allowed_regions == NULL &&
        (tenant == NULL || tenant->allowed_regions == NULL)) {
        return true;
    }
    return Ec_MayRunIn(route, tenant,
                       Nd_Region(gate->options.node, endpoint->entry.zone));
}

static void
note_readiness(struct ga_gate *gate)
{
    bool ready = Ga_IsReady(gate);
    if (ready != gate->was_ready) {
        gate->was_ready = ready;
        Ln_Log(LN_STATE, ready ? "ready" : "unready", "\"daemons\":%zu",
               Ms_CountAlive(gate->mesh));
    }
}

static void
on_tick(void *arg)
{
    struct ga_gate *gate = arg;
    Lp_TimerSet(gate->tick, Ga_TICK_USEC);
    gate->ticks++;
    Fl_Tick(gate->fleet);
    Pe_Tick(gate->peers);
    Pt_Tick(gate->paths);
    El_Tick(gate->liveness);
    Bk_Tick(gate->breaks);
    Qn_Tick(gate->quarantine);
    Nt_Tick(gate->notices);
    Tr_Tick(gate->transfers);
    Th_Tick(gate->tunnel);
    Ro_Tick(gate->moves);
    Lr_Tick(gate->lease);
    Co_Tick(gate->controller);
    if (gate->ticks % Ga_SWEEP_TICKS == 0) {
        Sv_Tick(gate->callers);
        Sv_Tick(gate->ready);
        Sv_Tick(gate->metrics_server);
        Lg_CountQueues(gate->ledger);
        Po_Sweep(gate);
    }
    note_readiness(gate);
    if (gate->ticks % Ga_LOG_CALLS_TICKS == 0) {
        Ag_LogCalls(gate->options.store);
        Sp_LogChanges(gate);
        Sp_LogOutput(gate);
    }
    Ln_Flush();
    if (gate->stopping_at != 0) {
        ga_step_stop(gate);
    }
}

static unsigned
rank(void *arg)
{
    const struct ga_gate *gate = arg;
    return Ms_Rank(gate->mesh);
}

static struct mt_metric *
counter(struct ga_gate *gate, const char *name)
{
    return Mt_Get(gate->registry, MT_COUNTER, name, "");
}

static void
create_counters(struct ga_gate *gate)
{
    gate->count = (struct ga_counters){
        .requests = counter(gate, "cornelgate_requests_total"),
        .served = counter(gate, "cornelgate_served_total"),
        .refused = counter(gate, "cornelgate_refused_total"),
        .failed = counter(gate, "cornelgate_failed_total"),
        .retries = counter(gate, "cornelgate_repeats_total"),
        .closed_unread = counter(gate, "cornelgate_connections_unread_total"),
        .yielded_memory =
            Mt_Get(gate->registry, MT_COUNTER,
                   "cornelgate_connections_yielded_total", "why=\"memory\""),
        .yielded_descriptors = Mt_Get(gate->registry, MT_COUNTER,
                                      "cornelgate_connections_yielded_total",
                                      "why=\"descriptors\""),
        .stream_waits = counter(gate, "cornelgate_stream_waits_total"),
        .expected_late = counter(gate, "cornelgate_expected_late_total"),
        .connections_opened =
            counter(gate, "cornelgate_connections_opened_total"),
        .made_for_peers =
            counter(gate, "cornelgate_connections_made_for_peers_total"),
        .rate_limited_sends =
            counter(gate, "cornelgate_rate_limited_sends_total"),
        .rate_limits_invalid =
            counter(gate, "cornelgate_rate_limits_invalid_total"),
        .answers_cut_off = counter(gate, "cornelgate_answers_cut_off_total"),
        .output_tokens = counter(gate, "cornelgate_output_tokens_total"),
        .output_expected =
            counter(gate, "cornelgate_output_tokens_expected_total"),
        .output_error = counter(gate, "cornelgate_output_tokens_off_total"),
        .speed_samples = counter(gate, "cornelgate_speed_samples_total"),
        .first_byte = Mt_Get(gate->registry, MT_HISTOGRAM,
                             "cornelgate_first_byte_usec", ""),
        .whole_answer = Mt_Get(gate->registry, MT_HISTOGRAM,
                               "cornelgate_whole_answer_usec", ""),
    };
}

static void
create_rank_counters(struct ga_gate *gate)
{
    for (int rank = 0; rank < Rk_RANKS; rank++) {
        char labels[32];
        snprintf(labels, sizeof(labels), "rank=\"%d\"", rank);
        gate->count.quota_admitted[rank] =
            Mt_Get(gate->registry, MT_COUNTER,
                   "cornelgate_quota_admitted_total", labels);
        gate->count.quota_refused[rank] =
            Mt_Get(gate->registry, MT_COUNTER,
                   "cornelgate_quota_refused_total", labels);
    }
}

static enum st_status
create_tables(struct ga_gate *gate)
{
    const struct nd_node *node = gate->options.node;
    const struct ck_clock *clock = gate->options.clock;
    Rn_Seed(&gate->random, gate->options.run_id);
    gate->registry = Mt_Create();
    gate->fleet = Fl_Create(clock);
    gate->quota = Qt_Create(clock, node->first_start);
    gate->budget = Bu_Create(clock, node->retry_ratio, node->retry_extra,
                             node->retry_window_usec);
    gate->prefixes = Px_Create();
    gate->usage = Us_Create();
    gate->zones = Zn_Create(clock);
    gate->moves = Ro_Create(clock, gate->options.run_id);
    gate->demand = De_Create(clock);
    gate->work = Wk_Create();
    gate->true_time = Tt_Create(clock);
    if (gate->registry == NULL || gate->fleet == NULL || gate->quota == NULL ||
        gate->budget == NULL || gate->prefixes == NULL ||
        gate->usage == NULL || gate->zones == NULL || gate->moves == NULL ||
        gate->demand == NULL || gate->work == NULL ||
        gate->true_time == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for the daemon's tables");
    }
    Qt_SetSeed(gate->quota, gate->options.run_id);
    Qt_SetWindow(gate->quota, node->quota_window_usec);
    create_counters(gate);
    create_rank_counters(gate);
    return ST_OK;
}

static void
on_endpoint_ended(void *arg, uint32_t start)
{
    struct ga_gate *gate = arg;
    Qn_NoteEnded(gate->quarantine, start);
}

static void
on_end_denied(void *arg, uint32_t start)
{
    struct ga_gate *gate = arg;
    Qn_NoteDenied(gate->quarantine, start);
}

static const struct el_ops liveness_ops = {
    .ended = on_endpoint_ended,
    .denied = on_end_denied,
};

static enum st_status
create_shared(struct ga_gate *gate)
{
    const struct ga_options *options = &gate->options;
    gate->peers = Pe_Create(gate);
    if (gate->peers == NULL) {
        return ST_UNAVAILABLE;
    }
    enum st_status status = ga_create_tunnel(gate);
    if (status != ST_OK) {
        return status;
    }
    struct fe_options feed = {
        .loop = options->loop,
        .clock = options->clock,
        .store = options->store,
        .codec = options->codec,
        .fleet = gate->fleet,
        .drain_usec = options->node->drain_usec,
        .config_apply_usec = options->node->config_apply_usec,
        .ops = &ga_feed_ops,
        .arg = gate,
    };
    struct lr_options lease = {
        .clock = options->clock,
        .store = options->store,
        .name = options->node->name,
        .run = options->run_id,
        .lease_usec = options->node->lease_usec,
        .rank = rank,
        .changed = Co_LeaseChanged,
        .arg = gate,
    };
    gate->paths = Pt_Create(gate);
    gate->breaks = Bk_Create(gate);
    gate->quarantine = Qn_Create(gate);
    gate->notices = Nt_Create(gate);
    gate->transfers = Tr_Create(gate);
    gate->liveness =
        El_Create(gate->fleet, options->clock, &liveness_ops, gate);
    gate->feed = Fe_Create(&feed);
    gate->lease = Lr_Create(&lease);
    gate->controller = Co_Create(gate);
    gate->tick = Lp_TimerCreate(options->loop, on_tick, gate);
    if (gate->paths == NULL || gate->breaks == NULL || gate->notices == NULL ||
        gate->transfers == NULL || gate->feed == NULL || gate->lease == NULL ||
        gate->controller == NULL || gate->tick == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for the daemon");
    }
    Lp_TimerSet(gate->tick, 0);
    Lp_SetTurn(options->loop, ga_on_turn, gate);
    return ST_OK;
}

/* Starts serving; all further work happens in callbacks of the loop. */
enum st_status
Ga_Create(const struct ga_options *options, struct ga_gate **out)
{
    struct ga_gate *gate = calloc(1, sizeof(*gate));
    if (gate == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for the daemon");
    }
    gate->options = *options;
    TAILQ_INIT(&gate->exchanges);
    gate->started_at = Ga_Now(gate);
    enum st_status status = create_tables(gate);
    if (status == ST_OK) {
        status = ga_create_servers(gate);
    }
    if (status == ST_OK) {
        status = create_shared(gate);
    }
    if (status != ST_OK) {
        Ga_Destroy(gate);
        return status;
    }
    Ln_Log(LN_STATE, "process.started", "\"callers\":\"%s\",\"run\":%llu",
           options->node->callers, (unsigned long long)options->run_id);
    *out = gate;
    return ST_OK;
}

/* The store and the cloud must make no more callbacks. */
void
Ga_Destroy(struct ga_gate *gate)
{
    if (gate == NULL) {
        return;
    }
    Lp_TimerDestroy(gate->tick);
    Co_Destroy(gate->controller);
    Lr_Destroy(gate->lease);
    Fe_Destroy(gate->feed);
    Pe_Destroy(gate->peers);
    Ms_Destroy(gate->mesh);
    Sv_Destroy(gate->callers);
    Sv_Destroy(gate->ready);
    Sv_Destroy(gate->metrics_server);
    Th_Destroy(gate->tunnel);
    Tr_Destroy(gate->transfers);
    Nt_Destroy(gate->notices);
    Bk_Destroy(gate->breaks);
    Qn_Destroy(gate->quarantine);
    Pt_Destroy(gate->paths);
    El_Destroy(gate->liveness);
    Fl_Destroy(gate->fleet);
    Qt_Destroy(gate->quota);
    Bu_Destroy(gate->budget);
    Px_Destroy(gate->prefixes);
    Us_Destroy(gate->usage);
    Zn_Destroy(gate->zones);
    Ro_Destroy(gate->moves);
    De_Destroy(gate->demand);
    Wk_Destroy(gate->work);
    Tt_Destroy(gate->true_time);
    Lg_Destroy(gate->ledger);
    Mt_Destroy(gate->registry);
    free(gate);
}
