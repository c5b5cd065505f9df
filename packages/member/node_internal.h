/* Shared by the source files of the node only. */
#ifndef MEMBER_NODE_INTERNAL_H
#define MEMBER_NODE_INTERNAL_H

#include <bsd/sys/tree.h>

#include "base/random.h"
#include "member/node.h"
#include "member/wire.h"

/* A peer that datagrams were received from. */
struct nd_sender {
    RB_ENTRY(nd_sender) node;
    char id[Mb_ID_MAX];
    struct wr_window window;
    int64_t received_usec;
    int64_t corrected_usec; /* last message about its outdated incarnation */
};

RB_HEAD(nd_senders, nd_sender);

struct nd_node {
    struct lp_loop *loop;
    const struct ck_clock *clock;
    struct rn_random random;
    const struct nd_ops *ops;
    void *arg;
    uint64_t incarnation;
    char key[Wr_KEY_MAX];
    struct mb_table *members;
    struct fc_table *facts;
    struct lk_links *links;
    int fd;
    struct lp_watch *watch;
    struct lp_timer *timer;
    uint64_t counter; /* number of datagrams sent */
    struct nd_senders senders;
    size_t sender_count;
    struct nd_counters counters;
    uint64_t spread_generation;
    int64_t next_gossip_usec;
    int64_t next_second_usec;
    int64_t next_sync_usec;
    int64_t sync_period_usec;
    int64_t sync_wait_usec; /* grows to the period after start */
    int64_t denied_logged_usec;
    bool isolated;
    bool synced;   /* a full state was received since start */
    bool syncing;  /* an exchange is in progress */
    bool sync_far; /* the next exchange is with another region */
    char sync_peer[Mb_ID_MAX];
    bool reach_from_peer; /* set while the fact of another bridge is applied */
    int64_t next_reach_usec;
};

RB_PROTOTYPE(nd_senders, nd_sender, node, nd_compare_senders);

/* node_datagram.c */
int nd_compare_senders(const struct nd_sender *a, const struct nd_sender *b);
enum st_status nd_open_socket(struct nd_node *node, const char *address,
                              uint16_t port);
void nd_close_socket(struct nd_node *node);
void nd_send(void *arg, const struct mb_endpoint *to,
             enum mb_distance distance, const struct mb_message *message);
void nd_drop_old_senders(struct nd_node *node, int64_t now);
enum fc_scope nd_scope(enum mb_distance distance);

/* node_sync.c */
enum st_status nd_sync_init(struct nd_node *node);
void nd_sync_start(struct nd_node *node);

#endif
