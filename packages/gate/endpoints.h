/*
 * The endpoints of every service as this daemon knows them: from the host
 * list, from reclaim notices, from load reports and from its own requests.
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

/* Called once for each endpoint that begins to leave. */
typedef void (*ep_leaving_fn)(void *arg, const char *service,
                              const char *endpoint, int64_t left_usec);

enum st_status Ep_Create(struct gt_gate *gate, ep_leaving_fn leaving,
                         struct ep_pool **out);
void Ep_Destroy(struct ep_pool *pool);
void Ep_Configure(struct ep_pool *pool, const struct cf_config *config);
void Ep_Sync(struct ep_pool *pool, const struct hl_host *hosts, size_t count);
struct wu_hosts *Ep_Hosts(struct ep_pool *pool);
void Ep_Leaving(struct ep_pool *pool, const char *host, int64_t left_usec);
void Ep_Report(struct ep_pool *pool, const char *service, const char *endpoint,
               const struct ch_sample *sample);
/* What a report taken at "taken" says of refusals; below 0: nothing. */
void Ep_Brittle(struct ep_pool *pool, const char *service,
                const char *endpoint, int most, int64_t taken);
/* How much longer an endpoint was cold, at "taken". */
void Ep_Cold(struct ep_pool *pool, const char *service, const char *endpoint,
             int64_t left_usec, int64_t taken);
void Ep_Distrust(struct ep_pool *pool, const char *service,
                 const char *version);
void Ep_SetShares(struct ep_pool *pool, const char *service,
                  const struct ch_share *shares, size_t count);
void Ep_SetTrial(struct ep_pool *pool, const char *service,
                 const char *version);
/* The "IP:PORT" of an endpoint of any service; false: there is none. */
bool Ep_Address(const struct ep_pool *pool, const char *id, char *out,
                size_t size);
struct rt_budget *Ep_RetryBudget(const struct ep_pool *pool,
                                 const char *service);
struct ch_table *Ep_Table(const struct ep_pool *pool, const char *service);

#ifdef __cplusplus
}
#endif

#endif
