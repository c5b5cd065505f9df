/*
 * Which way a host connects to an endpoint: by itself, or through a peer that
 * reaches it.  Pure; one link for each endpoint, fed with how connections
 * came.  A link is cut when a peer connects where this host cannot: an
 * endpoint that nobody reaches is not.
 */
#ifndef POLICY_WAY_H
#define POLICY_WAY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"

#ifdef __cplusplus
extern "C" {
#endif

/* A connection that takes longer is tried another way as well. */
#define Wy_PATIENCE (100 * Ck_USEC_PER_MSEC)
/* What a request waits for an answer before its link may be doubted. */
#define Wy_SILENCE (250 * Ck_USEC_PER_MSEC)

struct wy_link {
    bool cut;
    int64_t late_at;   /* a peer connected while this host's try hung */
    int64_t nobody_at; /* when neither this host nor a peer connected */
    int64_t trial_at;  /* when this host last tried by itself, while cut */
    int64_t doubt_at;  /* when the link was last tested for its silence */
    int trials;        /* in a row that came to nothing, while cut */
};

enum wy_order {
    WY_DIRECT_ONLY,
    WY_DIRECT_FIRST,
    WY_PEER_FIRST,
};

/* A peer that may be asked to connect. */
struct wy_peer {
    bool near;         /* in this host's data centre */
    bool cut;          /* from some endpoints, as it says */
    int64_t failed_at; /* when it last did not connect for this host; 0 */
};

/* Peers that did not connect lately, the oldest forgotten first. */
#define Wy_FAILURES_MAX 32

struct wy_failures {
    struct {
        uint64_t peer;
        int64_t at;
    } rows[Wy_FAILURES_MAX];
    size_t next;
};

void Wy_NoteFailure(struct wy_failures *failures, uint64_t peer, int64_t now);
/* When a peer last did not connect; 0: not lately. */
int64_t Wy_FailedAt(const struct wy_failures *failures, uint64_t peer);

/* How a try ended. */
enum wy_end {
    WY_NOT_TRIED,
    WY_CAME,
    WY_OVERDUE, /* not there when another way came */
    WY_FAILED,
};

/* "now" in microseconds. */
enum wy_order Wy_Order(const struct wy_link *link, int64_t now);
/*
 * Which of "count" peers, at least one, to ask; "unit" is a draw, 0 to 1.  As
 * long as the link's cut is not shown the near ones, which would be cut with
 * this host, are nothing better.
 */
size_t Wy_PickPeer(const struct wy_link *link, const struct wy_peer *peers,
                   size_t count, double unit, int64_t now);
/* Takes how a connection came; true when the link's state has changed. */
bool Wy_Ended(struct wy_link *link, enum wy_end direct, enum wy_end peer,
              int64_t now);
/* Whether this host should try by itself, to see whether its link is back. */
bool Wy_TrialDue(const struct wy_link *link, int64_t now);
void Wy_TrialBegun(struct wy_link *link, int64_t now);
void Wy_TrialFailed(struct wy_link *link);
/* The link of another endpoint is back: this one may be as well. */
void Wy_TrySoon(struct wy_link *link);
/*
 * Whether a request that was sent on a kept connection at "sent_at" has met
 * such silence that the link itself should be tested.  "heard_at" is when
 * any endpoint of its service was last heard directly.
 */
bool Wy_Doubtful(const struct wy_link *link, int64_t sent_at, int64_t heard_at,
                 int64_t now);
/* Whether the link may be tested again, whatever the reason. */
bool Wy_MayTest(const struct wy_link *link, int64_t now);
void Wy_Tested(struct wy_link *link, int64_t now);

#ifdef __cplusplus
}
#endif

#endif
