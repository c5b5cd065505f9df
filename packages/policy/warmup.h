/*
 * What an endpoint that has just started may be sent.  Pure.  The load it
 * answers: a cold endpoint looks idle to hundreds of hosts at once, bears a
 * few requests a second, and falls over when each host sends it one.
 *
 * A few hosts serve a cold endpoint, the first by their claims on it, and each
 * keeps a gap between two requests; the others pass it by.  Claims need no
 * word between hosts: the sum holds while they do not hear each other, as long
 * as they remember of whom they have heard.
 */
#ifndef POLICY_WARMUP_H
#define POLICY_WARMUP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* How hosts divide what a cold endpoint bears. */
struct wu_part {
    size_t hosts;     /* that may send to it */
    int64_t gap_usec; /* between two requests of one host, at the least */
};

/* What one host knows of an endpoint's warm-up. */
struct wu_warmup {
    int64_t until; /* cold until then, as the endpoint says; 0: it is not */
    int64_t doubted_to; /* may have started again: perhaps cold until then */
    int64_t next_at;    /* when this host may send to it again */
    int64_t claimed_at; /* when "claimed" was found; 0: never */
    bool claimed;       /* this host is one of those that serve it */
};

/*
 * "per_sec" requests a second are borne, by an endpoint that "hosts" hosts
 * know, this one included.
 */
struct wu_part Wu_Part(double per_sec, size_t hosts);
/* The claim of a host on an endpoint; the highest go first. */
uint64_t Wu_Claim(uint64_t host, uint64_t endpoint);
/* How well a host can count the claims of others. */
struct wu_view {
    int64_t up_usec;  /* since its start */
    bool first_start; /* it started with all the others */
    size_t heard;     /* hosts heard since then, this one included */
    size_t known;     /* these and those only known of */
};

#define Wu_HOSTS_MAX 1024

/* The hosts that a host knows, as the claims are counted. */
struct wu_hosts {
    uint64_t own;
    size_t count; /* of the others */
    uint64_t others[Wu_HOSTS_MAX];
    struct wu_view view;
};

/* How many hosts have a higher claim on an endpoint than this one. */
size_t Wu_Rank(const struct wu_hosts *hosts, uint64_t endpoint);

/*
 * The place in the order of claims before which a host must be to serve a
 * cold endpoint: none while it has yet to hear of the others; a part while it
 * may not know of hosts that it is cut off from.
 */
size_t Wu_Places(const struct wu_part *part, const struct wu_view *view);

/*
 * Finds anew whether this host is one of those that serve an endpoint that
 * bears "per_sec"; due now and then, as hosts come and go.
 */
bool Wu_ClaimIsOld(const struct wu_warmup *warmup, int64_t now);
void Wu_RenewClaim(struct wu_warmup *warmup, const struct wu_hosts *hosts,
                   double per_sec, uint64_t endpoint, int64_t now);

/* Whether the endpoint says that it is cold; whether it may be. */
bool Wu_IsCold(const struct wu_warmup *warmup, int64_t now);
bool Wu_IsDoubted(const struct wu_warmup *warmup, int64_t now);
/* The endpoint says for how much longer it is cold; 0: it is warm. */
void Wu_Told(struct wu_warmup *warmup, int64_t left_usec, int64_t now);
/* It may have started again without a word: "cold_usec" is what it takes. */
void Wu_Doubt(struct wu_warmup *warmup, int64_t cold_usec, int64_t now);
/* Whether this host may send to it now, and that it did. */
bool Wu_MaySend(const struct wu_warmup *warmup, int64_t now);
void Wu_Sent(struct wu_warmup *warmup, const struct wu_part *part,
             int64_t now);

#ifdef __cplusplus
}
#endif

#endif
