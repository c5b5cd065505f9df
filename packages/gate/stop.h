/*
 * Graceful shutdown of a daemon.  Readiness is withdrawn first, so that the
 * load balancer removes the host; then new requests are refused, running
 * requests are drained, the listening sockets are closed, and the daemon
 * exits.
 */
#ifndef GATE_STOP_H
#define GATE_STOP_H

#include "gate/gate.h"

#ifdef __cplusplus
extern "C" {
#endif

struct sp_stop;

struct sp_ops {
    /* Readiness is now false; the daemon announces its leaving. */
    void (*leaving)(void *arg);
    /* The load balancer has had time to react: refuse new requests. */
    void (*refusing)(void *arg);
    /*
     * No request runs any more, or the deadline is near: the daemon stops
     * listening, one step a call.  True once all listeners are closed.
     */
    bool (*stop_listening)(void *arg, int64_t now);
    /* True when every connection has sent a request, or is closed. */
    bool (*none_fresh)(void *arg);
    /* True when an exit would cut no request and lose no work. */
    bool (*idle)(void *arg);
    /* All work has ended, or the deadline has passed: leave the loop. */
    void (*finished)(void *arg, bool forced);
};

enum st_status Sp_Create(struct gt_gate *gate, const struct sp_ops *ops,
                         void *arg, struct sp_stop **out);
void Sp_Begin(struct sp_stop *stop);
bool Sp_Begun(const struct sp_stop *stop);
void Sp_Destroy(struct sp_stop *stop);

#ifdef __cplusplus
}
#endif

#endif
