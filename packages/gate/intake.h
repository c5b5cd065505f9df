/*
 * Admission of requests: customer limits that hold across all daemons, and a
 * fair queue in front of each service.
 */
#ifndef GATE_INTAKE_H
#define GATE_INTAKE_H

#include "gate/gate.h"
#include "gate/peer_facts.h"
#include "policy/admit.h"
#include "policy/queue.h"

#ifdef __cplusplus
extern "C" {
#endif

struct in_intake;
struct rq_request;

/* Called when a request may be dispatched. */
typedef void (*in_start_fn)(struct rq_request *request);

enum st_status In_Create(struct gt_gate *gate, in_start_fn start,
                         struct in_intake **out);
void In_Destroy(struct in_intake *intake);

void In_Configure(struct in_intake *intake, const struct cf_config *config);
void In_SetMember(struct in_intake *intake, const char *node, bool present);
void In_ReceiveDemands(struct in_intake *intake, const char *node,
                       const struct pf_demands *demands);
void In_Join(struct in_intake *intake);
void In_Publish(struct in_intake *intake, struct pf_demands *out);
void In_Submit(struct in_intake *intake, struct rq_request *request);
void In_Remove(struct in_intake *intake, struct rq_request *request);
void In_DispatchQueued(struct in_intake *intake);

size_t In_DaemonCount(const struct in_intake *intake);
bool In_IsJoining(const struct in_intake *intake);
int64_t In_PublishInterval(const struct in_intake *intake);
int In_Queued(const struct in_intake *intake);

#ifdef __cplusplus
}
#endif

#endif
