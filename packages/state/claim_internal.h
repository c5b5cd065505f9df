/* Shared by claim.c and claim_query.c only. */
#ifndef STATE_CLAIM_INTERNAL_H
#define STATE_CLAIM_INTERNAL_H

#include <bsd/sys/queue.h>
#include <bsd/sys/tree.h>

#include "state/claim.h"

#define Cl_ID_LEN 16

struct cl_entry {
    RB_ENTRY(cl_entry) node;
    TAILQ_ENTRY(cl_entry) link;
    TAILQ_ENTRY(cl_entry) body_link; /* linked only if the body is kept */
    struct cl_claim claim;
    int64_t window_start_ms; /* start of the retention window of this key */
    bool done;
    uint64_t result_order; /* number of this result in the table's order */
    struct cl_answer answer;
    void *bytes;
};

/* The latest calendar time that a node has put into a record. */
struct cl_node_time {
    char node[Rc_NODE_MAX];
    int64_t wall_ms;
};

RB_HEAD(cl_tree, cl_entry);
RB_PROTOTYPE(cl_tree, cl_entry, node, unused)

struct cl_table {
    struct cl_tree tree;
    TAILQ_HEAD(cl_order, cl_entry) order;   /* in the order of claims */
    TAILQ_HEAD(cl_bodies, cl_entry) bodies; /* kept ones, by result */
    size_t count;
    size_t body_bytes;
    uint64_t result_count;
    struct cl_options options;
    struct cl_node_time latest;        /* the node with the latest time */
    struct cl_node_time second_latest; /* the latest time of all other nodes */
    int64_t record_time_ms; /* time taken from records; never goes back */
};

#endif
