/* Shared by the gate files only. */
#ifndef EDGE_GATE_PARTS_H
#define EDGE_GATE_PARTS_H

#include <stdint.h>

#include "base/status.h"
#include "edge/mesh.h"

#define Ga_TICK_USEC Ms_TICK_USEC

struct fe_ops;
struct ga_gate;

/* Starts to serve callers, the readiness and the metrics. */
enum st_status ga_create_servers(struct ga_gate *gate);
/* Records a turn of the loop, which shows overload. */
void ga_on_turn(void *arg, int64_t usec);
/* Starts to relay connections for peers. */
enum st_status ga_create_tunnel(struct ga_gate *gate);
extern const struct fe_ops ga_feed_ops;
/* To be called every Ga_TICK_USEC while the daemon stops. */
void ga_step_stop(struct ga_gate *gate);

#endif
