/*
 * Number of requests that began to run, by window and tenant, of this daemon
 * and of all peers.  Counts only grow and belong to one run of a daemon, so
 * the highest count received from a peer is complete, and stays valid when the
 * peer is gone.
 */
#ifndef EDGE_USAGE_H
#define EDGE_USAGE_H

#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define Us_WINDOWS 6
#define Us_TENANTS_MAX 64

struct us_count {
    uint32_t tenant; /* hash of the name */
    uint32_t count;
};

struct us_usage;

struct us_usage *Us_Create(void);
void Us_Destroy(struct us_usage *usage);
void Us_CountBegun(struct us_usage *usage, int64_t window, uint32_t tenant);
/* Takes a peer's count; "daemon" identifies one run of the peer. */
void Us_TakePeerCount(struct us_usage *usage, uint64_t daemon, int64_t window,
                      uint32_t tenant, uint32_t count);
size_t Us_Own(const struct us_usage *usage, int64_t window,
              struct us_count out[Us_TENANTS_MAX]);
size_t Us_Total(const struct us_usage *usage, int64_t window,
                struct us_count out[Us_TENANTS_MAX]);

#ifdef __cplusplus
}
#endif

#endif
