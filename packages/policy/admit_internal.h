/*
 * Customers, peers and the division of a limit, as the files of admit*.c
 * share them.
 */
#ifndef POLICY_ADMIT_INTERNAL_H
#define POLICY_ADMIT_INTERNAL_H

#include <bsd/sys/queue.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "policy/admit.h"

struct am_peer_demand {
    TAILQ_ENTRY(am_peer_demand) entry;
    struct am_demand demand;
};

struct am_peer {
    TAILQ_ENTRY(am_peer) entry;
    char id[Am_NAME_MAX];
    uint64_t rank;
    bool heard;
    int64_t heard_at;
    size_t counts; /* daemons that it divides by; 0: not told */
    TAILQ_HEAD(am_demand_list, am_peer_demand) demands;
};

/* The least value computed of late; a raise counts only when it has held. */
struct am_held {
    double last;
    double current;
};

struct am_customer {
    TAILQ_ENTRY(am_customer) entry;
    char name[Am_NAME_MAX];
    double per_sec;
    int max_in_flight;
    int in_flight;
    double tokens;
    int64_t filled_at;
    double rate; /* demand, fading */
    int64_t rate_at;
    double wanted; /* in flight, fading peak */
    int64_t wanted_at;
    struct am_demand published;
    struct am_held rate_share;
    struct am_held flight_share;
    int granted;       /* places until the next word; -1: the even part */
    int64_t shared_at; /* 0: never computed */
    int64_t window_at;
};

struct am_limits {
    char self[Am_NAME_MAX];
    uint64_t rank;
    TAILQ_HEAD(am_peer_list, am_peer) peers;
    size_t peer_count;
    int64_t join_until;  /* 0: this daemon has joined the others */
    size_t joined_count; /* peers known when that was last looked at */
    int64_t joined_at;   /* when that number last changed */
    TAILQ_HEAD(am_customer_list, am_customer) customers;
    struct am_part *parts; /* scratch, peer_count + 1 long */
    size_t parts_size;
};

/* One known daemon in the division of one limit. */
struct am_part {
    uint64_t rank; /* hash of the daemon's id: the order all agree on */
    double demand;
    int places;  /* as it last said; -1: its even part */
    bool silent; /* not heard of late: its even part is set aside */
    bool self;
};

struct am_customer *am_find_customer(const struct am_limits *limits,
                                     const char *name);
double am_divide(double limit, const struct am_part *parts, size_t count);
int am_divide_whole(int limit, struct am_part *parts, size_t count);
/* Places that the others leave, and this daemon's even part of all. */
struct am_left {
    int free;
    int even;
};
struct am_left am_leave(int limit, struct am_part *parts, size_t count);

#endif
