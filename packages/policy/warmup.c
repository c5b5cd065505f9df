#include "policy/warmup.h"

#include <math.h>

#include "base/clock.h"
#include "base/hash.h"

/* Hosts hear of each other within this of their start. */
#define SETTLE_USEC (4 * Ck_USEC_PER_SEC)
/* Hosts come and go; who serves a cold endpoint is found anew this often. */
#define CLAIM_USEC (500 * Ck_USEC_PER_MSEC)
/* Cuts rarely last longer than this. */
#define REMEMBER_USEC (60 * Ck_USEC_PER_SEC)
/* An endpoint that bears less than this is as good as none. */
#define PER_SEC_LEAST 0.01
/* No endpoint's word is believed for longer. */
#define COLD_MOST_USEC (60 * Ck_USEC_PER_SEC)
/* Two requests a gap apart fall into different seconds. */
#define GAP_MARGIN_USEC (1 * Ck_USEC_PER_MSEC)

struct wu_part
Wu_Part(double per_sec, size_t hosts)
{
    if (!(per_sec > PER_SEC_LEAST)) {
        per_sec = PER_SEC_LEAST;
    }
    if (hosts < 1) {
        hosts = 1;
    }
    struct wu_part part = {.hosts = 1};
    if (per_sec >= 2) {
        double most = floor(fmin(per_sec, (double)hosts));
        part.hosts = (size_t)most;
    }
    /* Whole requests: a part of one is one in some second. */
    double each = per_sec / (double)part.hosts;
    each = each >= 1 ? floor(each) : each;
    part.gap_usec =
        (int64_t)((double)Ck_USEC_PER_SEC / each) + GAP_MARGIN_USEC;
    return part;
}

uint64_t
Wu_Claim(uint64_t host, uint64_t endpoint)
{
    uint64_t both[2] = {host, endpoint};
    return Hash_Bytes(both, sizeof(both), 0);
}

/*
 * A host that starts behind a cut counts itself among the first of its own
 * side; were both sides to give all places, an endpoint would get twice what
 * it bears.
 */
size_t
Wu_Places(const struct wu_part *part, const struct wu_view *view)
{
    if (view->up_usec < SETTLE_USEC || view->heard * 2 < view->known) {
        return 0;
    }
    if (view->first_start || view->up_usec >= REMEMBER_USEC) {
        return part->hosts;
    }
    return (part->hosts + 1) / 2;
}

size_t
Wu_Rank(const struct wu_hosts *hosts, uint64_t endpoint)
{
    uint64_t own = Wu_Claim(hosts->own, endpoint);
    size_t before = 0;
    for (size_t i = 0; i < hosts->count; i++) {
        before += Wu_Claim(hosts->others[i], endpoint) > own;
    }
    return before;
}

bool
Wu_ClaimIsOld(const struct wu_warmup *warmup, int64_t now)
{
    return warmup->claimed_at == 0 || now - warmup->claimed_at >= CLAIM_USEC;
}

void
Wu_RenewClaim(struct wu_warmup *warmup, const struct wu_hosts *hosts,
              double per_sec, uint64_t endpoint, int64_t now)
{
    struct wu_part part = Wu_Part(per_sec, hosts->count + 1);
    warmup->claimed_at = now;
    warmup->claimed =
        Wu_Rank(hosts, endpoint) < Wu_Places(&part, &hosts->view);
}

bool
Wu_IsCold(const struct wu_warmup *warmup, int64_t now)
{
    return now < warmup->until;
}

bool
Wu_IsDoubted(const struct wu_warmup *warmup, int64_t now)
{
    return now < warmup->doubted_to;
}

void
Wu_Told(struct wu_warmup *warmup, int64_t left_usec, int64_t now)
{
    if (left_usec > COLD_MOST_USEC) {
        left_usec = COLD_MOST_USEC;
    }
    warmup->until = left_usec > 0 ? now + left_usec : 0;
}

void
Wu_Doubt(struct wu_warmup *warmup, int64_t cold_usec, int64_t now)
{
    if (cold_usec > COLD_MOST_USEC) {
        cold_usec = COLD_MOST_USEC;
    }
    if (cold_usec > 0 && warmup->doubted_to < now + cold_usec) {
        warmup->doubted_to = now + cold_usec;
    }
}

bool
Wu_MaySend(const struct wu_warmup *warmup, int64_t now)
{
    return warmup->claimed && now >= warmup->next_at;
}

void
Wu_Sent(struct wu_warmup *warmup, const struct wu_part *part, int64_t now)
{
    warmup->next_at = now + part->gap_usec;
}
