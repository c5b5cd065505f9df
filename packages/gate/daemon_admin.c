/* The operations that the administration API calls on the daemon. */
#include <stdlib.h>

#include "gate/daemon_internal.h"
#include "gate/endpoints.h"
#include "gate/status.h"

#define Dm_APPEND_USEC (5 * Ck_USEC_PER_SEC)

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
    int64_t read_age = Cs_ReadAge(daemon->config);
    int64_t read_age_ms =
        read_age < 0 ? read_age : read_age / Ck_USEC_PER_MSEC;
    return json_pack(
        "{s:s,s:b,s:{s:I,s:I,s:I},s:o,s:o,s:o,s:{s:i,s:i,s:b}}", "node",
        daemon->gate.options->node_id, "ready", Dm_NotReady(daemon) == NULL,
        "config", "offset", (json_int_t)offset, "in_force",
        (json_int_t)in_force, "read_age_ms", (json_int_t)read_age_ms,
        "daemons", Pe_Status(daemon->peers, offset), "services",
        Sd_Services(&daemon->gate), "moves", Mo_Status(daemon->gate.moves),
        "work", "queued", In_Queued(daemon->gate.intake), "claim_slots",
        Gc_AssignedSlots(daemon->gate.claims), "log_in_reach",
        Cs_IsLogReachable(daemon->config));
}

static void
set_gauge(struct dm_daemon *daemon, const char *name, int64_t value)
{
    Mt_Set(Mt_Get(daemon->gate.metrics, MT_GAUGE, name, ""), value);
}

/* Updates the gauges and copies the counters of other modules. */
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
    Lg_Export(daemon->gate.ledger, daemon->gate.metrics, "cg");
    return Mt_Print(daemon->gate.metrics);
}

static bool
admin_ready(void *arg, const char **why)
{
    *why = Dm_NotReady(arg);
    return *why == NULL;
}

const struct ad_ops dm_admin_ops = {
    .sections = admin_sections,
    .append = admin_append,
    .status = admin_status,
    .metrics = admin_metrics,
    .ready = admin_ready,
};
