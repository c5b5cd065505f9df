/*
 * Division of an endpoint's rate limit among hosts.  An endpoint reports how
 * many requests a second it takes from all hosts together.  Pure.
 *
 * A few hosts hold the limit, each a share of it; all others send the endpoint
 * nothing.  The holders are selected by rendezvous hashing, weighted by the
 * requests for the service that each host gets: so many that they together get
 * several times the limit.  They divide the limit by the same weights, which
 * is all that hosts exchange.  Each holder has a token bucket that is filled
 * at the rate of its share.
 *
 * Hosts may disagree for as long as a message takes.  A host that becomes a
 * holder first waits that long with an empty bucket, so that the former holder
 * has stopped.  What an endpoint may get at once beyond its limit is at most
 * what all buckets hold: the limit of one second and three requests.
 */
#ifndef POLICY_RATE_SHARE_H
#define POLICY_RATE_SHARE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

struct rs_host {
    uint64_t hash;
    double weight; /* requests a second for the service; above 0 */
};

#define Rs_HOSTS_MAX 1024

/* The hosts among which a limit is divided; the first is this host. */
struct rs_hosts {
    size_t count;
    struct rs_host list[Rs_HOSTS_MAX];
};

/* What one host knows of one endpoint's limit. */
struct rs_state {
    double per_sec;       /* the limit; 0: none is known */
    int64_t reported_at;  /* when an answer reported it or its end; 0: never */
    bool from_answer;     /* this host received that answer */
    double share;         /* fraction of the limit that this host may use */
    double burst;         /* most tokens */
    int64_t share_set_at; /* 0: never */
    double tokens;
    int64_t filled_at;
};

/*
 * Takes a report of the limit by an answer that arrived at "at", here
 * ("from_answer") or at a peer; "per_sec" below 0: the answer has no limit.
 * An older report than the last one changes nothing.
 */
void Rs_Note(struct rs_state *state, double per_sec, int64_t at,
             bool from_answer, int64_t now);
bool Rs_IsLimited(const struct rs_state *state);
/*
 * Whether to pass the report on to other hosts.  "relayed": also one that this
 * host has from a peer.
 */
bool Rs_ShouldReport(const struct rs_state *state, bool relayed, int64_t now);

/* What one host may use of a limit. */
struct rs_share {
    double fraction; /* 0: the host is no holder */
    double burst;    /* requests that it may send at once */
};

/* What the first of the hosts may use of an endpoint's limit. */
struct rs_share Rs_Share(const struct rs_hosts *hosts, uint64_t endpoint,
                         double per_sec);
/* Whether to call Rs_SetShare() again, as hosts and their weights change. */
bool Rs_ShareIsOld(const struct rs_state *state, int64_t now);
/*
 * Sets what this host may use of the limit; "delay_usec" is how long a message
 * between hosts takes.
 */
void Rs_SetShare(struct rs_state *state, const struct rs_share *share,
                 int64_t delay_usec, int64_t now);
/*
 * Factor of a share while only some of the hosts can be reached, as those on
 * the other side of a network partition use the limit too.
 */
double Rs_PartitionFactor(size_t reachable, size_t expected);
/*
 * The share of a host that is no holder.  If it has not heard of the limit for
 * so long that this may have ended, all such hosts together try a small part.
 */
struct rs_share Rs_TrialShare(const struct rs_state *state, size_t hosts,
                              int64_t now);

bool Rs_MaySend(struct rs_state *state, int64_t now);
/* Whether the bucket is nearly full, so that room may stay unused. */
bool Rs_IsUnused(struct rs_state *state, int64_t now);
void Rs_Sent(struct rs_state *state, int64_t now);

#ifdef __cplusplus
}
#endif

#endif
