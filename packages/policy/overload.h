/*
 * Decides whether a host accepts another connection from callers. Pure; its
 * input is how long each iteration ("turn") of the host's event loop took,
 * which is how long a request waits to be read.
 *
 * A load balancer may send most new connections to one host for some seconds.
 * Connections that this host cannot read in time are closed unread, and the
 * caller connects to another host at once; requests that were read are served.
 */
#ifndef POLICY_OVERLOAD_H
#define POLICY_OVERLOAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

struct ov_load {
    int64_t slow_since; /* start of the current run of slow turns; 0: none */
    bool overloaded;    /* new connections are closed unread */
};

/* Records that a turn which took "usec" has ended. */
void Ov_RecordTurn(struct ov_load *load, int64_t usec, int64_t now);
/*
 * Whether a new connection is accepted.  How many may be open at once is
 * decided in yield.h.
 */
bool Ov_MayAccept(const struct ov_load *load);

#ifdef __cplusplus
}
#endif

#endif
