/*
 * Decides how a host connects to an endpoint: directly, or through a peer that
 * can reach the endpoint. Pure; there is one link for each endpoint, updated
 * with the outcome of each connection. A link is cut when a peer connects to
 * the endpoint and this host cannot; an endpoint that no host reaches has no
 * cut link. Times are microseconds.
 */
#ifndef POLICY_LINK_H
#define POLICY_LINK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"

#ifdef __cplusplus
extern "C" {
#endif

/* A direct connection that takes longer is tried through a peer as well. */
#define Li_FALLBACK_USEC (100 * Ck_USEC_PER_MSEC)
/* Time that a request waits for an answer before its link may be tested. */
#define Li_SILENCE_USEC (250 * Ck_USEC_PER_MSEC)

struct li_link {
    bool cut;
    int64_t slow_at;        /* a peer connected, this host's attempt did not */
    int64_t unreachable_at; /* both this host and a peer failed */
    int64_t probed_at;      /* last direct attempt while cut */
    int64_t tested_at;      /* last test while not cut */
    int failed_probes;      /* failed direct attempts in a row while cut */
};

enum li_order {
    LI_DIRECT_ONLY,
    LI_DIRECT_FIRST,
    LI_PEER_FIRST,
};

/* A peer that may be asked to connect. */
struct li_peer {
    bool same_data_centre; /* in this host's data centre */
    bool cut;              /* it reports a cut link to some endpoint */
    int64_t failed_at;     /* when it last failed for this host; 0: never */
};

/* Peers that recently failed to connect; the oldest entry is overwritten. */
#define Li_FAILURES_MAX 32

struct li_failures {
    struct {
        uint64_t peer;
        int64_t at;
    } rows[Li_FAILURES_MAX];
    size_t next;
};

void Li_NoteFailure(struct li_failures *failures, uint64_t peer, int64_t now);
/* When a peer last failed to connect; 0: not recently. */
int64_t Li_LastFailure(const struct li_failures *failures, uint64_t peer);

/* Outcome of a connection attempt. */
enum li_outcome {
    LI_NOT_TRIED,
    LI_CONNECTED,
    LI_OVERDUE, /* still pending when the other attempt connected */
    LI_FAILED,
};

enum li_order Li_Order(const struct li_link *link, int64_t now);
/*
 * Picks one of "count" peers, at least one, to ask; "unit" is a random number
 * from 0 to 1. Peers in this host's data centre are preferred only once the
 * link is known to be cut: until then, they are likely to have lost the same
 * link as this host.
 */
size_t Li_PickPeer(const struct li_link *link, const struct li_peer *peers,
                   size_t count, double unit, int64_t now);
/*
 * Records the outcome of a direct attempt and of one through a peer; true when
 * the link's cut state has changed.
 */
bool Li_RecordOutcome(struct li_link *link, enum li_outcome direct,
                      enum li_outcome peer, int64_t now);
/*
 * Whether this host should try directly, to find out whether a cut link works
 * again.
 */
bool Li_IsProbeDue(const struct li_link *link, int64_t now);
void Li_ProbeStarted(struct li_link *link, int64_t now);
void Li_ProbeFailed(struct li_link *link);
/* The link to another endpoint works again: try this one directly at once. */
void Li_ProbeSoon(struct li_link *link);
/*
 * Whether a request sent on a kept connection at "sent_at" has waited so long
 * without an answer that the link should be tested. "last_byte_at" is when the
 * last byte came directly from any endpoint of the service.
 */
bool Li_IsSuspect(const struct li_link *link, int64_t sent_at,
                  int64_t last_byte_at, int64_t now);
/* Whether the link may be tested again, for any reason. */
bool Li_MayTest(const struct li_link *link, int64_t now);
void Li_Tested(struct li_link *link, int64_t now);

#ifdef __cplusplus
}
#endif

#endif
