/*
 * The planned stop of a daemon: out of the balancer first, then refuse new
 * requests, then wait for the running ones, then exit.
 */
#ifndef GATE_STOP_H
#define GATE_STOP_H

#include "gate/gate.h"

#ifdef __cplusplus
extern "C" {
#endif

struct sp_stop;

struct sp_ops {
    /* Readiness is now false; others should be told. */
    void (*leaving)(void *arg);
    /* Readiness has been false for a while: refuse new requests. */
    void (*refusing)(void *arg);
    /*
     * Nothing runs any more, or the limit is near: refuse new connections, in
     * steps; true once nobody listens.
     */
    bool (*closed)(void *arg, int64_t now);
    /* True when every connection has sent a request, or is closed. */
    bool (*quiet)(void *arg);
    /* True when nothing is left that a stop would cut or lose. */
    bool (*idle)(void *arg);
    /* Everything has ended, or the limit has passed: leave the loop. */
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
