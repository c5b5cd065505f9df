/* Internal to the modules of the request path. */
#ifndef EDGE_GATE_INTERNAL_H
#define EDGE_GATE_INTERNAL_H

#include "base/hash.h"
#include "base/log_line.h"
#include "base/metric.h"
#include "base/random.h"
#include "edge/budget.h"
#include "edge/demand.h"
#include "edge/feed.h"
#include "edge/fleet.h"
#include "edge/gate.h"
#include "edge/leader.h"
#include "edge/liveness.h"
#include "edge/mesh.h"
#include "edge/prefix.h"
#include "edge/quota.h"
#include "edge/rollout.h"
#include "edge/truetime.h"
#include "edge/usage.h"
#include "edge/zones.h"
#include "policy/overload.h"
#include "policy/work.h"
#include "web/serve.h"
#include "web/through.h"

struct bk_breaks;
struct pe_peers;
struct pt_paths;
struct qn_quarantine;
struct co_controller;
struct nt_notices;
struct tr_transfers;
struct xc_exchange;

TAILQ_HEAD(xc_list, xc_exchange);

struct ga_counters {
    struct mt_metric *requests;
    struct mt_metric *served;
    struct mt_metric *refused;
    struct mt_metric *quota_admitted[Rk_RANKS];
    struct mt_metric *quota_refused[Rk_RANKS];
    struct mt_metric *failed;
    struct mt_metric *closed_unread; /* callers' connections, under overload */
    struct mt_metric *yielded_memory; /* connections that had to yield */
    struct mt_metric *yielded_descriptors;
    struct mt_metric *retries;
    struct mt_metric *stream_waits; /* waits for an endpoint */
    /* sent although they were expected to miss their latency target */
    struct mt_metric *expected_late;
    struct mt_metric *connections_opened;  /* connections to endpoints */
    struct mt_metric *made_for_peers;      /* connections opened for peers */
    struct mt_metric *rate_limited_sends;  /* sent to rate-limited endpoints */
    struct mt_metric *rate_limits_invalid; /* reports that cannot be used */
    struct mt_metric *answers_cut_off;     /* too large, or no answers */
    struct mt_metric *output_tokens;       /* of complete streams */
    struct mt_metric *output_expected; /* of these, as estimated on arrival */
    struct mt_metric *output_error;    /* sum of the differences */
    struct mt_metric *speed_samples;
    struct mt_metric *first_byte;   /* time to the first byte of an answer */
    struct mt_metric *whole_answer; /* time to the end of an answer */
};

enum ga_listening {
    GA_LISTENING,
    GA_CLOSING, /* connections in the accept queue are still accepted */
    GA_CLOSED,
};

struct ga_gate {
    struct ga_options options;
    struct rn_random random;
    struct sv_server *callers;
    struct sv_server *ready;
    struct sv_server *metrics_server;
    struct fl_fleet *fleet;
    struct fe_feed *feed;
    struct qt_quota *quota;
    struct bu_budget *budget;
    struct px_table *prefixes;
    struct us_usage *usage;
    struct ro_table *moves;
    struct de_demand *demand;
    struct wk_table *work;
    struct tt_time *true_time;
    struct lr_lease *lease;
    struct ms_mesh *mesh;
    struct zn_zones *zones;
    struct pe_peers *peers;
    struct pt_paths *paths;
    struct bk_breaks *breaks;
    struct qn_quarantine *quarantine;
    struct nt_notices *notices;
    struct tr_transfers *transfers;
    struct el_liveness *liveness;
    struct ov_load overload;
    int64_t overload_logged_at;
    struct xc_list exchanges;
    struct lg_ledger *ledger; /* what is held for callers and other clients */
    struct th_through *tunnel;
    struct co_controller *controller;
    struct mt_registry *registry;
    struct ga_counters count;
    struct lp_timer *tick;
    int64_t ticks;
    int64_t started_at;
    int64_t stopping_at; /* start of the shutdown; 0: not stopping */
    enum ga_listening listening;
    bool was_ready;
};

int64_t Ga_Now(const struct ga_gate *gate);
bool Ga_IsReady(const struct ga_gate *gate);
bool Ga_StopMayCut(const struct ga_gate *gate, const struct ec_route *route);

/* Whether route and tenant allow the region of the endpoint. */
bool Ga_MayRunAt(const struct ga_gate *gate, const struct ec_route *route,
                 const struct ec_tenant *tenant,
                 const struct fl_endpoint *endpoint);

/* An error answer of this host itself. */
struct rf_refusal {
    int status;
    int64_t retry_usec; /* retry-after; 0: none, a retry would not help */
    const char *why;
    const char *id; /* id of the request; empty: none */
};

void Rf_Reply(struct ga_gate *gate, struct sv_request *request,
              const struct rf_refusal *refusal);

/* Admits or refuses a complete request from a caller. */
void Ad_Take(struct ga_gate *gate, struct sv_request *request);

/* Events of the caller's connection of an admitted request. */
void Xc_CallerLeft(struct sv_request *request);
void Xc_CallerDrained(struct sv_request *request);

/* The controller: usage reports and endpoint orders of the lease holder. */
struct co_controller *Co_Create(struct ga_gate *gate);
void Co_Destroy(struct co_controller *controller);
void Co_Tick(struct co_controller *controller);
/* Has the numbers of endpoints planned again at the next tick. */
void Co_PlanSoon(struct co_controller *controller);
/* Whether the endpoint has the target version of the move. */
bool Ga_HasTargetVersion(const struct ro_move *move,
                         const struct fl_endpoint *endpoint);
void Co_LeaseChanged(void *arg, bool holder, int64_t fence);
int64_t Co_UsageWindow(const struct ga_gate *gate, int64_t true_usec);

/* Bounds what a server that is only asked things holds for its clients. */
void Ga_LimitServer(const struct ga_gate *gate, struct sv_server *server,
                    const char *name);

/* State exchange with the peers. */
struct pe_peers *Pe_Create(struct ga_gate *gate);
void Pe_Destroy(struct pe_peers *peers);
void Pe_Tick(struct pe_peers *peers);
/* Whether the addresses of other hosts are still being read after a start. */
bool Pe_IsDiscovering(const struct pe_peers *peers);

#endif
