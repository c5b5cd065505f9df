/*
 * The endpoints of every service, as the host list, reclaim notices, load
 * reports and this daemon's own requests describe them.
 */
#ifndef GATE_ENDPOINTS_H
#define GATE_ENDPOINTS_H

#include "gate/gate.h"
#include "platform/hostlist.h"
#include "policy/choose.h"
#include "policy/retry.h"

#ifdef __cplusplus
extern "C" {
#endif

struct ep_pool;

/* Called once for each endpoint whose host is about to be reclaimed. */
typedef void (*ep_leaving_fn)(void *arg, const char *service,
                              const char *endpoint, int64_t left_usec);

enum st_status Ep_Create(struct gt_gate *gate, ep_leaving_fn leaving,
                         struct ep_pool **out);
void Ep_Destroy(struct ep_pool *pool);
void Ep_Configure(struct ep_pool *pool, const struct cf_config *config);
void Ep_ApplyHostList(struct ep_pool *pool, const struct hl_host *hosts,
                      size_t count);
struct wu_hosts *Ep_WarmupHosts(struct ep_pool *pool);
void Ep_SetLeaving(struct ep_pool *pool, const char *host, int64_t left_usec);
void Ep_SetLoad(struct ep_pool *pool, const char *service,
                const char *endpoint, const struct ch_sample *sample);
/*
 * Sets how many refused requests a second the endpoints of a service can each
 * bear, from a load report of one of them, sampled at "taken".  A
 * refusal_limit below 0: the report does not contain the number.
 */
void Ep_SetRefusalLimit(struct ep_pool *pool, const char *service,
                        const char *endpoint, int refusal_limit,
                        int64_t taken);
/*
 * Sets how many requests a second an endpoint takes from all hosts, from its
 * load report, sampled at "taken"; below 0: the report names no limit.
 */
void Ep_SetRateLimit(struct ep_pool *pool, const char *service,
                     const char *endpoint, double per_sec, int64_t taken);
/* Sets how much longer an endpoint will be cold, as measured at "taken". */
void Ep_SetColdLeft(struct ep_pool *pool, const char *service,
                    const char *endpoint, int64_t left_usec, int64_t taken);
void Ep_Distrust(struct ep_pool *pool, const char *service,
                 const char *version);
void Ep_SetShares(struct ep_pool *pool, const char *service,
                  const struct ch_share *shares, size_t count);
void Ep_SetTrial(struct ep_pool *pool, const char *service,
                 const char *version);
/*
 * Writes the "IP:PORT" of an endpoint of any service; returns false when no
 * endpoint has the id.
 */
bool Ep_Address(const struct ep_pool *pool, const char *id, char *out,
                size_t size);
struct rt_budget *Ep_RetryBudget(const struct ep_pool *pool,
                                 const char *service);
struct ch_table *Ep_Table(const struct ep_pool *pool, const char *service);

#ifdef __cplusplus
}
#endif

#endif
