/* The settings of a daemon. */
#ifndef EDGE_NODE_H
#define EDGE_NODE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/status.h"

#ifdef __cplusplus
extern "C" {
#endif

#define Nd_NAME_MAX 96
#define Nd_SEEDS_MAX 8
#define Nd_ZONES_MAX 64

/* The region of a data centre. */
struct nd_region {
    char zone[Nd_NAME_MAX];
    char region[Nd_NAME_MAX];
};

struct nd_node {
    char name[Nd_NAME_MAX];
    char ip[Nd_NAME_MAX];
    char zone[Nd_NAME_MAX];
    char callers[Nd_NAME_MAX]; /* IP:PORT to listen on for callers */
    char ready[Nd_NAME_MAX];   /* IP:PORT of the readiness check */
    char store[Nd_NAME_MAX];
    char cloud[Nd_NAME_MAX];
    int peer_port; /* datagrams and state between daemons */
    int metrics_port;
    int tunnel_port; /* connections forwarded for other daemons */
    char seeds[Nd_SEEDS_MAX][Nd_NAME_MAX]; /* IP addresses of other hosts */
    size_t seed_count;
    size_t region_count;
    struct nd_region regions[Nd_ZONES_MAX];
    bool first_start; /* first start of the whole system */
    int max_fds;
    int64_t memory_bytes;
    int link_mbps;          /* of this host; 0: unknown */
    int64_t heartbeat_usec; /* between renewals of an entry */
    int64_t drain_usec;
    int64_t config_apply_usec;
    int64_t grace_usec;
    double retry_ratio;
    int64_t retry_window_usec;
    double retry_extra;
    int64_t quota_window_usec;
    double quota_slack;
    int64_t lease_usec;
    int64_t usage_window_usec;
    int64_t usage_late_usec;
    bool report_usage;
    bool order_endpoints;
};

/*
 * Reads the settings file. ST_INVALID: the error message names the setting and
 * how to correct it.
 */
enum st_status Nd_Read(const char *path, struct nd_node *out);

/* The region of a data centre; empty when the settings lack it. */
const char *Nd_Region(const struct nd_node *node, const char *zone);

#ifdef __cplusplus
}
#endif

#endif
