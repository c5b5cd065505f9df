/*
 * Limits the requests sent to an endpoint that has just started and is cold.
 * Pure. A cold endpoint looks idle to hundreds of hosts at once, serves only a
 * few requests a second, and fails when each host sends it one.
 *
 * Only a few hosts, the senders, may send to a cold endpoint: those with the
 * highest rendezvous hash of host and endpoint. Each sender keeps an interval
 * between two requests, and all other hosts choose other endpoints. Hosts
 * exchange no messages about this. The total rate holds even while hosts are
 * partitioned from each other, provided that each host keeps counting the
 * hosts it was in contact with before.
 */
#ifndef POLICY_WARMUP_H
#define POLICY_WARMUP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* How the senders divide the rate that a cold endpoint can serve. */
struct wu_pacing {
    size_t senders;        /* number of senders */
    int64_t interval_usec; /* least time between two requests of one sender */
};

/* One host's state of an endpoint's warm-up. */
struct wu_warmup {
    int64_t cold_until;       /* as reported by the endpoint; 0: warm */
    int64_t maybe_cold_until; /* perhaps cold, after a restart */
    int64_t next_send_at;     /* when this host may send the next request */
    int64_t selected_at;      /* when "selected" was computed; 0: never */
    bool selected;            /* this host is a sender */
};

/*
 * Divides the "per_sec" requests a second that a cold endpoint can serve among
 * the senders of "hosts" hosts, this one included.
 */
struct wu_pacing Wu_Pacing(double per_sec, size_t hosts);
/*
 * Rendezvous hash of a host and an endpoint; the hosts with the highest ones
 * are the senders.
 */
uint64_t Wu_Weight(uint64_t host, uint64_t endpoint);

/* What is known about how complete a host's list of hosts is. */
struct wu_completeness {
    int64_t up_usec;      /* time since this host started */
    bool first_start;     /* this host started together with all others */
    size_t received_from; /* hosts heard from since the start, this one
                             included */
    size_t known;         /* hosts heard from and hosts only known by name */
};

#define Wu_HOSTS_MAX 1024

/* The hosts that this host ranks by their hashes. */
struct wu_hosts {
    uint64_t own; /* hash of this host */
    size_t count; /* number of peers */
    uint64_t peers[Wu_HOSTS_MAX];
    struct wu_completeness completeness;
};

/* Number of hosts whose hash for the endpoint is higher than this host's. */
size_t Wu_Rank(const struct wu_hosts *hosts, uint64_t endpoint);

/*
 * Number of senders that this host may assume; it is a sender if its Wu_Rank()
 * is lower. 0 until the host has been up long enough to discover the others
 * and has heard from half of the known hosts; about half of the senders while
 * the list may lack hosts that it is partitioned from.
 */
size_t Wu_SenderCount(const struct wu_pacing *pacing,
                      const struct wu_completeness *completeness);

/* Whether to call Wu_RenewSelection() again, because hosts join and leave. */
bool Wu_SelectionIsStale(const struct wu_warmup *warmup, int64_t now);
/*
 * Computes again whether this host is a sender of an endpoint that can serve
 * "per_sec" requests a second.
 */
void Wu_RenewSelection(struct wu_warmup *warmup, const struct wu_hosts *hosts,
                       double per_sec, uint64_t endpoint, int64_t now);

/* Whether the endpoint has reported that it is cold. */
bool Wu_IsCold(const struct wu_warmup *warmup, int64_t now);
/* Whether the endpoint may be cold because it may have restarted. */
bool Wu_MayBeCold(const struct wu_warmup *warmup, int64_t now);
/*
 * Records for how much longer the endpoint reports that it is cold; 0: warm.
 */
void Wu_SetColdLeft(struct wu_warmup *warmup, int64_t cold_left_usec,
                    int64_t now);
/*
 * Records that the endpoint may have restarted without a report; it is then
 * cold for "cold_usec".
 */
void Wu_SuspectRestart(struct wu_warmup *warmup, int64_t cold_usec,
                       int64_t now);
/* Whether this host may send to the endpoint now, if that is cold. */
bool Wu_MaySend(const struct wu_warmup *warmup, int64_t now);
void Wu_Sent(struct wu_warmup *warmup, const struct wu_pacing *pacing,
             int64_t now);

#ifdef __cplusplus
}
#endif

#endif
