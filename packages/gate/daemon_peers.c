/*
 * Connects the modules that receive external state: the host list, the other
 * daemons, load samples, claims and version moves.
 */
#include <stdio.h>
#include <string.h>

#include "gate/daemon_internal.h"
#include "gate/endpoints.h"

#define Dm_KEY_MAX 32
/*
 * A new config offset is published twice.  Gossip misses a few daemons in a
 * hundred; without the second publication they would get the offset from the
 * full exchange of facts half a minute later, while an operator waits.
 */
#define Dm_REPUBLISH_USEC (3 * Ck_USEC_PER_SEC)

/*
 * Records whether the list names other daemons.  Daemons that are both dead
 * and off the list no longer count when limits are divided.  A daemon that is
 * only unreachable still counts: it may be serving behind a network partition.
 */
static void
note_peers(struct dm_daemon *daemon, const struct hl_host *hosts, size_t count)
{
    const struct mb_table *members = Nd_Members(Pe_Node(daemon->peers));
    daemon->peers_listed = false;
    for (size_t i = 0; i < count; i++) {
        daemon->peers_listed =
            daemon->peers_listed ||
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
            In_SetMember(daemon->gate.intake, member->id, false);
        }
    }
}

static void
on_host_list(void *arg, const struct hl_host *hosts, size_t count)
{
    struct dm_daemon *daemon = arg;
    note_peers(daemon, hosts, count);
    if (!daemon->host_list_read && daemon->peers_listed) {
        In_Join(daemon->gate.intake);
    }
    daemon->host_list_read = true;
    Ep_ApplyHostList(daemon->gate.endpoints, hosts, count);
    Pe_Seed(daemon->peers, hosts, count);
}

static void
on_notice(void *arg, const char *host, int64_t left_usec)
{
    struct dm_daemon *daemon = arg;
    if (strcmp(host, daemon->gate.options->node_id) == 0) {
        if (!Sp_Begun(daemon->stop)) {
            Sp_Begin(daemon->stop);
        }
        return;
    }
    Ep_SetLeaving(daemon->gate.endpoints, host, left_usec);
    Pe_PublishHostLeaving(daemon->peers, host, left_usec);
}

static void
on_host_list_changed(void *arg, uint64_t digest)
{
    struct dm_daemon *daemon = arg;
    Pe_PublishHostsDigest(daemon->peers, digest);
}

const struct hw_ops dm_host_ops = {
    .hosts = on_host_list,
    .changed = on_host_list_changed,
    .notice = on_notice,
};

static const char *
claim_assigned_node(void *arg, int slot)
{
    struct dm_daemon *daemon = arg;
    char key[Dm_KEY_MAX];
    snprintf(key, sizeof(key), "claims-%02d", slot);
    return Pe_Responsible(daemon->peers, key);
}

static enum st_status
claim_send(void *arg, const char *node, const char *payload, size_t len,
           int64_t timeout_usec, gc_reply_fn reply, void *reply_arg)
{
    struct dm_daemon *daemon = arg;
    return Pe_SendClaim(daemon->peers, node, payload, len, timeout_usec, reply,
                        reply_arg);
}

static bool
claim_has_ended(void *arg, const struct rc_writer *owner)
{
    struct dm_daemon *daemon = arg;
    return Pe_RunEnded(daemon->peers, owner->node, owner->incarnation);
}

const struct gc_ops dm_claim_ops = {
    .assigned_node = claim_assigned_node,
    .send = claim_send,
    .has_ended = claim_has_ended,
};

/*
 * Publishes the new config offset to the other daemons, and answers operators
 * who wait for the verdict on a change.
 */
void
Dm_ConfigApplied(void *arg, uint64_t offset)
{
    struct dm_daemon *daemon = arg;
    Pe_PublishConfigOffset(daemon->peers, offset);
    daemon->next_offset = Ck_Now(daemon->gate.clock) + Dm_REPUBLISH_USEC;
    if (daemon->admin != NULL) {
        Ad_AnswerVerdicts(daemon->admin);
    }
}

static void
peer_config_ahead(void *arg, uint64_t offset)
{
    struct dm_daemon *daemon = arg;
    Cs_HandleNotice(daemon->config, offset);
}

static char *
peer_config_state(void *arg)
{
    struct dm_daemon *daemon = arg;
    return Cs_Export(daemon->config);
}

static void
peer_config_received(void *arg, const char *state, size_t len)
{
    struct dm_daemon *daemon = arg;
    (void)Cs_Import(daemon->config, state, len);
}

static void
peer_load(void *arg, const struct lw_report *report)
{
    struct dm_daemon *daemon = arg;
    Ep_SetLoad(daemon->gate.endpoints, report->service, report->endpoint,
               &report->sample);
    Ep_SetRefusalLimit(daemon->gate.endpoints, report->service,
                       report->endpoint, report->refusal_limit,
                       report->sample.taken);
    Ep_SetRateLimit(daemon->gate.endpoints, report->service, report->endpoint,
                    report->rate_limit, report->sample.taken);
    if (report->has_cold) {
        Ep_SetColdLeft(daemon->gate.endpoints, report->service,
                       report->endpoint, report->cold_left_usec,
                       report->sample.taken);
    }
    if (report->leaving) {
        Ep_SetLeaving(daemon->gate.endpoints, report->endpoint,
                      report->left_usec);
    }
}

static void
peer_leaving(void *arg, const char *host, int64_t left_usec)
{
    struct dm_daemon *daemon = arg;
    Ep_SetLeaving(daemon->gate.endpoints, host, left_usec);
}

static void
peer_distrust(void *arg, const char *service, const char *version)
{
    struct dm_daemon *daemon = arg;
    Ep_Distrust(daemon->gate.endpoints, service, version);
}

static void
peer_demand(void *arg, const char *node, const struct pf_demands *demands)
{
    struct dm_daemon *daemon = arg;
    In_ReceiveDemands(daemon->gate.intake, node, demands);
}

static void
peer_hosts_digest(void *arg, uint64_t digest)
{
    struct dm_daemon *daemon = arg;
    if (daemon->hosts != NULL) {
        Hw_HandlePeerDigest(daemon->hosts, digest);
    }
}

static void
peer_member(void *arg, const char *node, bool present)
{
    struct dm_daemon *daemon = arg;
    In_SetMember(daemon->gate.intake, node, present);
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
peer_move_report(void *arg, const char *text, size_t len)
{
    struct dm_daemon *daemon = arg;
    Mo_HandleReport(daemon->gate.moves, text, len);
}

static void
peer_poison(void *arg, const struct gq_rows *rows)
{
    struct dm_daemon *daemon = arg;
    Gq_Import(daemon->gate.quarantine, rows);
}

void
Dm_PublishPoison(void *arg, const struct gq_rows *rows)
{
    struct dm_daemon *daemon = arg;
    Pe_PublishPoison(daemon->peers, rows);
}

const struct pe_ops dm_peer_ops = {
    .config_ahead = peer_config_ahead,
    .config_state = peer_config_state,
    .config_received = peer_config_received,
    .load = peer_load,
    .leaving = peer_leaving,
    .distrust = peer_distrust,
    .demand = peer_demand,
    .hosts_digest = peer_hosts_digest,
    .member = peer_member,
    .claim = peer_claim,
    .move_report = peer_move_report,
    .poison = peer_poison,
};

static bool
move_should_hold(void *arg, const char *job)
{
    struct dm_daemon *daemon = arg;
    return !Sp_Begun(daemon->stop) &&
           Pe_Responsible(daemon->peers, job) == NULL;
}

static void
move_send_report(void *arg, const char *job, const char *text, size_t len)
{
    struct dm_daemon *daemon = arg;
    const char *holder = Pe_Responsible(daemon->peers, job);
    if (holder == NULL) {
        Mo_HandleReport(daemon->gate.moves, text, len);
        return;
    }
    Pe_SendMoveReport(daemon->peers, holder, text, len);
}

static void
move_distrust(void *arg, const char *service, const char *version)
{
    struct dm_daemon *daemon = arg;
    Pe_PublishDistrust(daemon->peers, service, version);
}

static size_t
move_routers(void *arg, const char **out, size_t max)
{
    struct dm_daemon *daemon = arg;
    return Pe_Routers(daemon->peers, out, max);
}

const struct mo_ops dm_move_ops = {
    .should_hold = move_should_hold,
    .send_report = move_send_report,
    .distrust = move_distrust,
    .routers = move_routers,
};

static bool
load_is_assigned(void *arg, const struct ch_info *info)
{
    struct dm_daemon *daemon = arg;
    return Pe_IsWatcher(daemon->peers, info);
}

static void
load_report(void *arg, const struct lw_report *report)
{
    struct dm_daemon *daemon = arg;
    peer_load(daemon, report);
    Pe_PublishLoad(daemon->peers, report);
}

static void
load_unreachable(void *arg, const char *service, const char *endpoint)
{
    struct dm_daemon *daemon = arg;
    struct ch_table *table = Ep_Table(daemon->gate.endpoints, service);
    if (table != NULL) {
        Ch_SetState(table, endpoint, CH_SUSPECT, 0,
                    Ck_Now(daemon->gate.clock));
    }
}

const struct lw_ops dm_load_ops = {
    .is_assigned = load_is_assigned,
    .report = load_report,
    .unreachable = load_unreachable,
};
