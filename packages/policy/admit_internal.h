/*
 * Customers, peers and the division of a limit: declarations shared by
 * admit*.c.
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
    bool has_demands;
    int64_t received_at;
    /* Daemons that the peer divides limits among; 0: unknown. */
    size_t daemon_count;
    TAILQ_HEAD(am_demand_list, am_peer_demand) demands;
};

/*
 * Minimum of a share over the current and the previous window, so that a
 * raised share takes effect only after it has lasted for a window.
 */
struct am_window_min {
    double previous;
    double current;
};

struct am_customer {
    TAILQ_ENTRY(am_customer) entry;
    char name[Am_NAME_MAX];
    double per_sec;
    int max_in_flight;
    int in_flight;
    double tokens;
    int64_t bucket_filled_at;
    double rate; /* requests per second, decaying average */
    int64_t rate_updated_at;
    double peak_in_flight; /* requests in flight, decaying peak */
    int64_t peak_updated_at;
    struct am_demand published;
    struct am_window_min rate_share;
    struct am_window_min flight_share;
    int granted; /* slots until the next publication; -1: the even share */
    int64_t shares_computed_at; /* 0: never computed */
    int64_t window_started_at;
};

struct am_limits {
    char self[Am_NAME_MAX];
    uint64_t rank;
    TAILQ_HEAD(am_peer_list, am_peer) peers;
    size_t peer_count;
    int64_t join_until;            /* 0: this daemon is not joining */
    size_t last_peer_count;        /* peer_count at the last check */
    int64_t peer_count_changed_at; /* when last_peer_count last changed */
    TAILQ_HEAD(am_customer_list, am_customer) customers;
    struct am_claimant *claimants; /* scratch, peer_count + 1 at least */
    size_t claimants_size;
};

/* One daemon that takes part in the division of a limit. */
struct am_claimant {
    /* Hash of the daemon's id: the sort order that all daemons agree on. */
    uint64_t rank;
    double demand;
    int slots; /* slots it last published; -1: its even share */
    bool
        unresponsive; /* nothing received lately: its even share is reserved */
    bool self;
};

struct am_customer *am_find_customer(const struct am_limits *limits,
                                     const char *name);
double am_divide(double limit, const struct am_claimant *claimants,
                 size_t count);
int am_divide_whole(int limit, struct am_claimant *claimants, size_t count);
/* Slots that the other daemons leave free, and this daemon's even share. */
struct am_free_slots {
    int free;
    int even;
};
struct am_free_slots
am_count_free_slots(int limit, struct am_claimant *claimants, size_t count);

#endif
