/*
 * State shared by the modules of one daemon.  All of them run on one event
 * loop.
 */
#ifndef GATE_GATE_H
#define GATE_GATE_H

#include <bsd/sys/queue.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/metric.h"
#include "base/random.h"
#include "config/config.h"
#include "platform/jsoncall.h"
#include "web/loop.h"
#include "web/server.h"

#ifdef __cplusplus
extern "C" {
#endif

#define Gt_NAME_MAX 48

struct ep_pool;
struct gc_claims;
struct gq_quarantine;
struct in_intake;
struct mo_moves;
struct rh_reach;
struct rq_request;

/* Options from the command line and the environment. */
struct gt_options {
    const char *node_id;
    const char *address;
    int port;
    int admin_port;
    int peer_port;
    const char *data_centre;
    const char *region;
    const char *cluster_key;
    const char *tls_cert_file;
    const char *tls_key_file;
    struct jc_target log;
    struct jc_target hosts;
    struct jc_target cloud;
    struct jc_target weights;
    const char *bootstrap_digest; /* of the first operator's key; or NULL */
    int64_t drain_usec;           /* limit of a graceful stop */
    int64_t memory_bytes;         /* of the machine; 0: as it says */
};

TAILQ_HEAD(rq_list, rq_request);

struct gt_gate {
    const struct gt_options *options;
    struct lp_loop *loop;
    const struct ck_clock *clock;
    struct rn_random random;
    struct mt_registry *metrics;
    char incarnation[Gt_NAME_MAX]; /* new at each start */
    struct cf_config *config;      /* NULL until the first is in force */
    struct ep_pool *endpoints;
    struct gc_claims *claims;
    struct in_intake *intake;
    struct mo_moves *moves;
    struct rh_reach *reach;
    struct gq_quarantine *quarantine;
    struct rq_list requests;
    uint64_t next_request;
    bool draining;
    struct lg_ledger *ledger;
};

/* How a configuration reached this daemon, to find why one was late. */
struct gt_origin {
    /*
     * "read": from the log; "word": from the log, after a peer announced it;
     * "peer": from a peer, without the log.
     */
    const char *source;
    int64_t age_usec;             /* since it was written; -1: unknown */
    int64_t since_announced_usec; /* since a peer announced it; -1: none did */
    int64_t since_log_read_usec;  /* since the log was last read to its end; or
                                     -1 */
};

void Gt_SetConfig(struct gt_gate *gate, struct cf_config *config,
                  const struct gt_origin *origin);
enum st_status Gt_CreateLedger(struct gt_gate *gate);
void Gt_Count(struct gt_gate *gate, const char *name, const char *label,
              const char *value);

#ifdef __cplusplus
}
#endif

#endif
