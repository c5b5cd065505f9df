/*
 * A daemon in the cluster: connects membership, facts and links to the event
 * loop.  Datagrams and frames use the same port number.
 */
#ifndef MEMBER_NODE_H
#define MEMBER_NODE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/status.h"
#include "member/fact.h"
#include "member/link.h"
#include "member/table.h"
#include "web/loop.h"

#ifdef __cplusplus
extern "C" {
#endif

struct nd_node;

struct nd_ops {
    /*
     * A member changed its state; "before" is MB_DEAD for a new member.  Not
     * called for this node itself.  May be NULL.
     */
    void (*changed)(void *arg, const struct mb_record *member,
                    enum mb_state before);
    /* A data centre became reachable or unreachable.  May be NULL. */
    void (*reach_changed)(void *arg, const char *data_centre, bool reachable);
};

struct nd_options {
    const char *id;
    const char *address; /* IP address that other daemons connect to */
    uint16_t peer_port;  /* 0: any free port */
    uint16_t admin_port; /* announced to other daemons */
    const char *data_centre;
    const char *region;
    const char *cluster_key;
    const struct ck_clock *clock;
    uint64_t seed;            /* of the random generator; 0: a random seed */
    int64_t period_usec;      /* between probes; 0: 1 s */
    int64_t sync_period_usec; /* between exchanges of full state; 0: 30 s */
    struct lg_ledger *ledger; /* NULL: nothing is accounted for */
    const struct nd_ops *ops; /* may be NULL */
    void *arg;
};

struct nd_counters {
    uint64_t datagrams_in;
    uint64_t datagrams_out;
    uint64_t bytes_in; /* payloads, without IP and UDP headers */
    uint64_t bytes_out;
    uint64_t denied;   /* datagrams under another key */
    uint64_t invalid;  /* malformed datagrams */
    uint64_t replayed; /* replayed datagrams */
    uint64_t unsent;   /* datagrams that the socket did not accept */
    uint64_t syncs;    /* completed exchanges of full state */
    uint64_t facts_in; /* facts received in datagrams */
    uint64_t facts_new;
};

enum st_status Nd_Create(struct lp_loop *loop,
                         const struct nd_options *options,
                         struct nd_node **out);
void Nd_Destroy(struct nd_node *node);

void Nd_SetSeeds(struct nd_node *node, const struct mb_endpoint *seeds,
                 size_t count);
void Nd_Leave(struct nd_node *node);
enum st_status Nd_Publish(struct nd_node *node,
                          const struct fc_publication *post);
enum st_status Nd_Call(struct nd_node *node, const char *member,
                       const char *type, const void *payload, size_t len,
                       int64_t timeout_usec, lk_done_fn done, void *arg,
                       struct lk_call **out);

const char *Nd_Id(const struct nd_node *node);
uint64_t Nd_Incarnation(const struct nd_node *node);
uint16_t Nd_Port(const struct nd_node *node);
const struct mb_table *Nd_Members(const struct nd_node *node);
struct fc_table *Nd_Facts(struct nd_node *node);
struct lk_links *Nd_Links(struct nd_node *node);
const struct nd_counters *Nd_Counters(const struct nd_node *node);
const struct mb_record *Nd_Responsible(const struct nd_node *node,
                                       const char *key,
                                       const char *data_centre);
bool Nd_IsResponsible(const struct nd_node *node, const char *key,
                      const char *data_centre);
size_t Nd_RankByKey(const struct nd_node *node, const char *key,
                    const char *data_centre, const struct mb_record **out,
                    size_t max);

#ifdef __cplusplus
}
#endif

#endif
