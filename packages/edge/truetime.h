/*
 * Calendar time that is robust against a clock jump on one host. It is the
 * monotonic time of this host plus the median of the offsets from it to the
 * calendar clocks of this host and its peers; or, where only the delay of the
 * peers' messages sets the median apart from it, this host's calendar time.
 */
#ifndef EDGE_TRUETIME_H
#define EDGE_TRUETIME_H

#include <stdint.h>

#include "base/clock.h"

#ifdef __cplusplus
extern "C" {
#endif

struct tt_time;

struct tt_time *Tt_Create(const struct ck_clock *clock);
void Tt_Destroy(struct tt_time *time);
void Tt_AddPeerTime(struct tt_time *time, uint64_t peer, int64_t wall_usec);
int64_t Tt_Now(struct tt_time *time);

#ifdef __cplusplus
}
#endif

#endif
