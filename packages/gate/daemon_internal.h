/* Private to daemon.c, daemon_admin.c and daemon_peers.c. */
#ifndef GATE_DAEMON_INTERNAL_H
#define GATE_DAEMON_INTERNAL_H

#include "gate/admin.h"
#include "gate/claims.h"
#include "gate/confstream.h"
#include "gate/control.h"
#include "gate/daemon.h"
#include "gate/hostwatch.h"
#include "gate/intake.h"
#include "gate/loadwatch.h"
#include "gate/moves.h"
#include "gate/peers.h"
#include "gate/stop.h"
#include "platform/plog.h"
#include "state/budget.h"

struct dm_daemon {
    struct gt_gate gate;
    struct hs_server *callers;
    struct ad_admin *admin;
    struct pe_peers *peers;
    struct lw_watch *loads;
    int64_t next_demand;
    uint64_t published_requests; /* next_request when demand was published */
    size_t published_demands;
    size_t published_daemons; /* that the limits are divided by */
    int demands_skipped;
    int64_t next_fetch;
    int64_t behind_since; /* since when peers have higher config offsets */
    int64_t next_polling_update;
    int64_t next_offset;       /* when the config offset is next published */
    int64_t next_warmup_hosts; /* when the warm-up hosts are next updated */
    struct pl_log *log;
    struct bg_budget *budget;
    struct cs_stream *config;
    struct ct_control *control;
    struct hw_watch *hosts;
    struct sp_stop *stop;
    struct lp_timer *tick;
    int64_t started;
    bool host_list_read;
    bool peers_listed; /* the host list names other daemons */
    bool was_ready;
    int requests_cut;
};

extern const struct ad_ops dm_admin_ops;
extern const struct hw_ops dm_host_ops;
extern const struct gc_ops dm_claim_ops;
extern const struct pe_ops dm_peer_ops;
extern const struct mo_ops dm_move_ops;
extern const struct lw_ops dm_load_ops;

/* Publishes the prompt parts that crash engines to the other daemons. */
void Dm_PublishPoison(void *arg, const struct gq_rows *rows);

const char *Dm_NotReady(const struct dm_daemon *daemon);
void Dm_ConfigApplied(void *arg, uint64_t offset);

#endif
