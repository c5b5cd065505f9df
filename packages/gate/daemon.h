/*
 * One daemon: creates all modules and runs them on a single event loop.
 */
#ifndef GATE_DAEMON_H
#define GATE_DAEMON_H

#include "gate/gate.h"

#ifdef __cplusplus
extern "C" {
#endif

struct dm_daemon;

enum st_status Dm_Create(const struct gt_options *options,
                         struct dm_daemon **out);
int Dm_Run(struct dm_daemon *daemon);
void Dm_Destroy(struct dm_daemon *daemon);

#ifdef __cplusplus
}
#endif

#endif
