/*
 * Admission of requests to brittle endpoints.  A brittle endpoint reports a
 * refusal limit: if it refuses more requests than that within a second, it
 * fails.  The limit belongs to the service: it holds for each of its
 * endpoints, also for one that joins later.  Pure.
 *
 * Hosts learn of each other's requests late or not at all, so each host keeps
 * to the limit without coordination.  The hosts are ranked for each endpoint
 * by rendezvous hashing (see Wu_Rank() in warmup.h).  The first few hosts may
 * fill all slots of the endpoint.  The hosts of the next few ranks may fill
 * half of them, but only at the endpoint of the service where they rank best.
 * A host that was refused sends nothing to that endpoint for a second.  Hosts
 * of lower rank send a request to their best endpoint at long intervals while
 * it is nearly idle, and skip all other endpoints.
 */
#ifndef POLICY_BRITTLE_H
#define POLICY_BRITTLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* What one host knows of one service. */
struct br_service {
    int refusal_limit; /* refusal limit, in refusals per second */
    /* Last report of the limit by an endpoint of the service; 0: none. */
    int64_t endpoint_report_at;
    int64_t peer_report_at; /* last report by another host; 0: none */
    int64_t learned_at;     /* when it became brittle for this host */
};

/* What one host knows of one endpoint. */
struct br_state {
    int64_t reported_at;   /* when it last reported a limit; 0: never */
    int64_t joined_at;     /* when this host first ranked it; 0: not yet */
    int64_t backoff_until; /* nothing is sent to it until then */
    size_t rank;           /* of this host for the endpoint; 0 is first */
    int64_t rank_at;       /* when "rank" was computed; 0: never */
    bool best; /* this host ranks no better at any other endpoint */
    size_t endpoint_count; /* of the service, when "rank" was computed */
    int unconfirmed;       /* requests sent that may still be refused */
    int64_t last_sent_at;
};

/* How the hosts divide the capacity of an endpoint. */
struct br_quota {
    size_t full_hosts;   /* hosts of a rank below it may fill all slots */
    int max_unconfirmed; /* of one host; see br_state.unconfirmed */
    size_t half_hosts;   /* hosts of a rank below it may fill half the slots */
    size_t hosts_per_endpoint; /* hosts of lower rank that take turns */
};

struct br_quota Br_Quota(int refusal_limit, size_t hosts, size_t endpoints);

/* Records that the endpoint "reporter" reported its service's limit. */
void Br_NoteEndpointReport(struct br_service *service,
                           struct br_state *reporter, int refusal_limit,
                           int64_t now);
/* Records that another host passed on such a report. */
void Br_NotePeerReport(struct br_service *service, int refusal_limit,
                       int64_t now);
/* Whether another host's report is so recent that a new one adds nothing. */
bool Br_IsPeerReportRecent(const struct br_service *service, int64_t now);
/*
 * Whether an answer without a refusal limit, to a request sent at "sent_at",
 * shows that the service is no longer brittle.  Only an endpoint that itself
 * reported the limit can withdraw it.
 */
bool Br_IsWithdrawn(const struct br_service *service,
                    const struct br_state *state, int64_t sent_at);
/* Clears the reports: the service is no longer brittle. */
void Br_Clear(struct br_service *service);
/*
 * Whether to report the limit to other hosts: an endpoint of the service
 * reported it recently.
 */
bool Br_ShouldReport(const struct br_service *service, int64_t now);
bool Br_IsBrittle(const struct br_service *service, int64_t now);
/* Whether it ever was: false for most services, without a clock's reading. */
bool Br_WasReported(const struct br_service *service);
/* Whether the rank must be computed again, as hosts come and go. */
bool Br_RankIsOld(const struct br_state *state, int64_t now);
/* Sets the rank of this host among "endpoints" endpoints of the service. */
void Br_SetRank(struct br_state *state, size_t rank, size_t endpoints,
                int64_t now);
/*
 * Whether this host may send a request to the endpoint now; "running" is its
 * estimate of the requests of all hosts there.
 */
bool Br_MaySend(const struct br_service *service, const struct br_state *state,
                const struct br_quota *quota, int running, int slots,
                int64_t now);
void Br_Sent(struct br_state *state, int64_t now);
void Br_Refused(struct br_state *state, int64_t now);

#ifdef __cplusplus
}
#endif

#endif
