#include "policy/brittle.h"

#include "base/clock.h"

/*
 * Long, so that a report does not expire between two answers at a host that
 * sends few requests.
 */
#define Br_ENDPOINT_REPORT_TTL_USEC (30 * Ck_USEC_PER_SEC)
/* A host with a recent endpoint report sends it several times within this. */
#define Br_PEER_REPORT_TTL_USEC (3 * Ck_USEC_PER_SEC)
#define Br_PEER_REPORT_GAP_USEC (500 * Ck_USEC_PER_MSEC)
/* Longer than the second over which an endpoint counts refusals. */
#define Br_BACKOFF_USEC (1100 * Ck_USEC_PER_MSEC)
/* A refusal arrives within this time of the request. */
#define Br_CONFIRM_USEC (50 * Ck_USEC_PER_MSEC)
#define Br_RANK_TTL_USEC (1 * Ck_USEC_PER_SEC)
/* The hosts that may fill all slots get this fraction of the refusal limit. */
#define Br_FULL_HOSTS_DIVISOR 2
/* Hosts of lower rank together send an endpoint one request per turn. */
#define Br_TURN_USEC (500 * Ck_USEC_PER_MSEC)

struct br_quota
Br_Quota(int refusal_limit, size_t hosts, size_t endpoints)
{
    size_t full_budget = (size_t)(refusal_limit + Br_FULL_HOSTS_DIVISOR - 1) /
                         Br_FULL_HOSTS_DIVISOR;
    struct br_quota quota = {.full_hosts =
                                 hosts < full_budget ? hosts : full_budget,
                             .max_unconfirmed = 1};
    if (quota.full_hosts > 0 && full_budget / quota.full_hosts > 1) {
        quota.max_unconfirmed = (int)(full_budget / quota.full_hosts);
    }
    quota.half_hosts =
        quota.full_hosts + ((size_t)refusal_limit - full_budget);
    quota.half_hosts = quota.half_hosts < hosts ? quota.half_hosts : hosts;
    quota.hosts_per_endpoint =
        endpoints > 0 ? (hosts + endpoints - 1) / endpoints : hosts;
    return quota;
}

static bool
is_recent(int64_t since, int64_t usec, int64_t now)
{
    return since != 0 && now - since < usec;
}

static void
record_limit(struct br_service *service, int refusal_limit, int64_t now)
{
    if (!Br_IsBrittle(service, now)) {
        service->learned_at = now;
    }
    service->refusal_limit = refusal_limit;
}

void
Br_NoteEndpointReport(struct br_service *service, struct br_state *reporter,
                      int refusal_limit, int64_t now)
{
    record_limit(service, refusal_limit, now);
    service->endpoint_report_at = now;
    reporter->reported_at = now;
}

void
Br_NotePeerReport(struct br_service *service, int refusal_limit, int64_t now)
{
    record_limit(service, refusal_limit, now);
    service->peer_report_at = now;
}

bool
Br_IsWithdrawn(const struct br_service *service, const struct br_state *state,
               int64_t sent_at)
{
    bool reported =
        state->reported_at != 0 && state->reported_at >= service->learned_at;
    return reported && service->endpoint_report_at != 0 &&
           sent_at > service->endpoint_report_at;
}

void
Br_Clear(struct br_service *service)
{
    service->endpoint_report_at = 0;
    service->peer_report_at = 0;
}

bool
Br_IsPeerReportRecent(const struct br_service *service, int64_t now)
{
    return is_recent(service->peer_report_at, Br_PEER_REPORT_GAP_USEC, now);
}

bool
Br_ShouldReport(const struct br_service *service, int64_t now)
{
    return is_recent(service->endpoint_report_at, Br_PEER_REPORT_TTL_USEC,
                     now);
}

bool
Br_WasReported(const struct br_service *service)
{
    return service->endpoint_report_at != 0 || service->peer_report_at != 0;
}

bool
Br_IsBrittle(const struct br_service *service, int64_t now)
{
    return is_recent(service->endpoint_report_at, Br_ENDPOINT_REPORT_TTL_USEC,
                     now) ||
           is_recent(service->peer_report_at, Br_PEER_REPORT_TTL_USEC, now);
}

bool
Br_RankIsOld(const struct br_state *state, int64_t now)
{
    return state->rank_at == 0 || now - state->rank_at >= Br_RANK_TTL_USEC;
}

void
Br_SetRank(struct br_state *state, size_t rank, size_t endpoints, int64_t now)
{
    if (state->joined_at == 0) {
        state->joined_at = now;
    }
    state->rank = rank;
    state->rank_at = now;
    state->best = false;
    state->endpoint_count = endpoints;
}

/* Requests of this host that the endpoint may still refuse. */
static int
unconfirmed_requests(const struct br_state *state, int64_t now)
{
    return now - state->last_sent_at < Br_CONFIRM_USEC ? state->unconfirmed
                                                       : 0;
}

/*
 * While more than half of the slots are free, a host may send at once its
 * equal fraction of half of the free slots: even if all hosts did so, the
 * endpoint would refuse none.
 */
static int
unconfirmed_limit(const struct br_state *state, const struct br_quota *quota,
                  int running, int slots)
{
    int free_slots = slots - running;
    int limit = quota->max_unconfirmed;
    if (state->rank < quota->full_hosts && free_slots * 2 > slots) {
        int per_host = free_slots / 2 / (int)quota->half_hosts;
        limit = per_host > limit ? per_host : limit;
    }
    return limit;
}

/*
 * Turns are staggered by rank from the time when the host learned that the
 * service is brittle, or that the endpoint joined it; otherwise all hosts
 * would take their first turn at once.
 */
static bool
has_turn(const struct br_service *service, const struct br_state *state,
         const struct br_quota *quota, int64_t now)
{
    int64_t first_turn =
        (int64_t)(state->rank % quota->hosts_per_endpoint + 1) * Br_TURN_USEC;
    int64_t since = service->learned_at > state->joined_at
                        ? service->learned_at
                        : state->joined_at;
    return now - since >= first_turn &&
           now - state->last_sent_at >=
               (int64_t)quota->hosts_per_endpoint * Br_TURN_USEC;
}

bool
Br_MaySend(const struct br_service *service, const struct br_state *state,
           const struct br_quota *quota, int running, int slots, int64_t now)
{
    if (now < state->backoff_until ||
        unconfirmed_requests(state, now) >=
            unconfirmed_limit(state, quota, running, slots)) {
        return false;
    }
    if (state->rank < quota->full_hosts) {
        return running < slots;
    }
    if (!state->best) {
        return false;
    }
    if (state->rank < quota->half_hosts) {
        return running * 2 < slots;
    }
    return running * 4 < slots && has_turn(service, state, quota, now);
}

void
Br_Sent(struct br_state *state, int64_t now)
{
    state->unconfirmed = unconfirmed_requests(state, now) + 1;
    state->last_sent_at = now;
}

void
Br_Refused(struct br_state *state, int64_t now)
{
    state->backoff_until = now + Br_BACKOFF_USEC;
}
