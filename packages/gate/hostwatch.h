/*
 * Polls the platform's host list and the cloud's reclaim notices.
 */
#ifndef GATE_HOSTWATCH_H
#define GATE_HOSTWATCH_H

#include "gate/gate.h"
#include "platform/hostlist.h"

#ifdef __cplusplus
extern "C" {
#endif

struct hw_watch;

struct hw_ops {
    /* The host list was read; it may be the same as before. */
    void (*hosts)(void *arg, const struct hl_host *hosts, size_t count);
    /* The content of the list differs from that of the previous one. */
    void (*changed)(void *arg, uint64_t digest);
    /* The cloud will reclaim a host in left_usec. */
    void (*notice)(void *arg, const char *host, int64_t left_usec);
};

enum st_status Hw_Create(struct gt_gate *gate, const struct hw_ops *ops,
                         void *arg, struct hw_watch **out);
void Hw_HandlePeerDigest(struct hw_watch *watch, uint64_t digest);
int64_t Hw_PollPeriod(size_t hosts);
void Hw_Destroy(struct hw_watch *watch);

#ifdef __cplusplus
}
#endif

#endif
