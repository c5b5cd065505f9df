/* Shared by the commands and the queries of the claim table only. */
#ifndef STATE_CLAIM_INTERNAL_H
#define STATE_CLAIM_INTERNAL_H

#include <bsd/sys/queue.h>
#include <bsd/sys/tree.h>

#include "state/claim.h"

#define Cl_ID_LEN 16

struct cl_entry {
    RB_ENTRY(cl_entry) node;
    TAILQ_ENTRY(cl_entry) link;
    TAILQ_ENTRY(cl_entry) body_link; /* only with a body */
    struct cl_claim claim;
    int64_t since_ms; /* where the window of this key begins */
    bool done;
    uint64_t done_order; /* counts the results of the table */
    struct cl_answer answer;
    void *bytes;
};

/* The latest time a node has stated. */
struct cl_voucher {
    char node[Rc_NODE_MAX];
    int64_t wall_ms;
};

RB_HEAD(cl_tree, cl_entry);
RB_PROTOTYPE(cl_tree, cl_entry, node, unused)

struct cl_table {
    struct cl_tree tree;
    TAILQ_HEAD(cl_order, cl_entry) order;   /* as claimed */
    TAILQ_HEAD(cl_bodies, cl_entry) bodies; /* as answered */
    size_t count;
    size_t body_bytes;
    uint64_t results;
    struct cl_options options;
    struct cl_voucher first;  /* the node that stated the latest time */
    struct cl_voucher second; /* the latest of all other nodes */
    int64_t time_ms;          /* record time: only ever advanced */
};

#endif
