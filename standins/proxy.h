/*
 * The parts of the fault proxy: faults in force, forwarding of connections
 * and of datagrams.
 */
#ifndef STANDINS_PROXY_H
#define STANDINS_PROXY_H

#include <jansson.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/random.h"
#include "base/status.h"
#include "web/loop.h"

/* Ways that bytes go; the index of what is kept for each. */
enum px_way {
    PX_UP,   /* from the client to the target */
    PX_DOWN, /* back to the client */
    PX_WAYS,
};

struct px_way_faults {
    bool blackhole;
    bool half_close;
    int64_t delay_usec;
    int64_t slow_bytes;  /* bytes each 10 ms; 0: no limit */
    int64_t reset_after; /* bytes of a connection; 0: never */
    int drop_percent;
    int duplicate_percent;
};

struct px_faults {
    bool cut;    /* connections are reset */
    bool refuse; /* new connections are refused */
    struct px_way_faults ways[PX_WAYS];
};

struct px_counts {
    int64_t connections;
    int64_t open;
    int64_t resets;
    int64_t bytes[PX_WAYS];
    int64_t datagrams[PX_WAYS];
    int64_t dropped;
    int64_t duplicated;
};

/* What both forwarders share. */
struct px_proxy {
    struct lp_loop *loop;
    struct sockaddr_in listen; /* its port is set once it is known */
    struct sockaddr_in target;
    struct px_faults faults;
    struct px_counts counts;
    struct rn_random random;
};

struct px_tcp;
struct px_udp;

enum st_status Px_TcpCreate(struct px_proxy *proxy, struct px_tcp **out);
void Px_TcpDestroy(struct px_tcp *tcp);
void Px_TcpApply(struct px_tcp *tcp);

enum st_status Px_UdpCreate(struct px_proxy *proxy, struct px_udp **out);
void Px_UdpDestroy(struct px_udp *udp);

enum st_status Px_FaultAdd(struct px_faults *faults, const json_t *spec);

#endif
