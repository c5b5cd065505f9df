/*
 * What the parts of one daemon share.  Everything runs on the one loop.
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

/* What flags and environment variables say. */
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
    int64_t drain_usec;           /* longest planned stop */
};

TAILQ_HEAD(rq_list, rq_request);

struct gt_gate {
    const struct gt_options *options;
    struct lp_loop *loop;
    const struct ck_clock *clock;
    struct rn_random random;
    struct mt_registry *metrics;
    char incarnation[Gt_NAME_MAX]; /* new at each start */
    struct cf_config *config;      /* NULL before the first */
    struct ep_pool *endpoints;
    struct gc_claims *claims;
    struct in_intake *intake;
    struct mo_moves *moves;
    struct rh_reach *reach;
    struct gq_quarantine *quarantine;
    struct rq_list requests;
    uint64_t next_request;
    bool draining;
};

/* How a configuration came here; what tells why one is late. */
struct gt_origin {
    const char *by;      /* "read", "word" of others and a read, "peer" */
    int64_t age_usec;    /* since it was written; -1: not known */
    int64_t word_usec;   /* since others told of it; -1: nobody did */
    int64_t unread_usec; /* since the log was last read to its end; or -1 */
};

void Gt_SetConfig(struct gt_gate *gate, struct cf_config *config,
                  const struct gt_origin *origin);
void Gt_Count(struct gt_gate *gate, const char *name, const char *label,
              const char *value);

#ifdef __cplusplus
}
#endif

#endif
