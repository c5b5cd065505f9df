#include "policy/warmup.h"

#include <math.h>

#include "base/clock.h"
#include "base/hash.h"

/* Hosts discover each other within this time after they start. */
#define DISCOVERY_USEC (4 * Ck_USEC_PER_SEC)
/*
 * The senders are selected again after this time, because hosts join and
 * leave.
 */
#define SELECTION_MAX_AGE_USEC (500 * Ck_USEC_PER_MSEC)
/* Network partitions rarely last longer. */
#define PARTITION_MAX_USEC (60 * Ck_USEC_PER_SEC)
/* Lower rates are raised to this one. */
#define PER_SEC_MIN 0.01
/* Longer reported cold periods are reduced to this one. */
#define COLD_MAX_USEC (60 * Ck_USEC_PER_SEC)
/*
 * With this margin two requests an interval apart fall into different seconds.
 */
#define GAP_MARGIN_USEC (1 * Ck_USEC_PER_MSEC)

struct wu_pacing
Wu_Pacing(double per_sec, size_t hosts)
{
    if (!(per_sec > PER_SEC_MIN)) {
        per_sec = PER_SEC_MIN;
    }
    if (hosts < 1) {
        hosts = 1;
    }
    struct wu_pacing pacing = {.senders = 1};
    if (per_sec >= 2) {
        double hosts_max = floor(fmin(per_sec, (double)hosts));
        pacing.senders = (size_t)hosts_max;
    }
    /*
     * Each sender gets whole requests a second: a fraction above one could put
     * one request more into some seconds.
     */
    double each = per_sec / (double)pacing.senders;
    each = each >= 1 ? floor(each) : each;
    pacing.interval_usec =
        (int64_t)((double)Ck_USEC_PER_SEC / each) + GAP_MARGIN_USEC;
    return pacing;
}

uint64_t
Wu_Weight(uint64_t host, uint64_t endpoint)
{
    uint64_t key[2] = {host, endpoint};
    return Hash_Bytes(key, sizeof(key), 0);
}

/*
 * A host that starts during a network partition ranks itself only among the
 * hosts on its own side. If the hosts of both sides assumed all senders, an
 * endpoint would get twice the requests that it can serve.
 */
size_t
Wu_SenderCount(const struct wu_pacing *pacing,
               const struct wu_completeness *completeness)
{
    if (completeness->up_usec < DISCOVERY_USEC ||
        completeness->received_from * 2 < completeness->known) {
        return 0;
    }
    if (completeness->first_start ||
        completeness->up_usec >= PARTITION_MAX_USEC) {
        return pacing->senders;
    }
    return (pacing->senders + 1) / 2;
}

size_t
Wu_Rank(const struct wu_hosts *hosts, uint64_t endpoint)
{
    uint64_t own = Wu_Weight(hosts->own, endpoint);
    size_t higher = 0;
    for (size_t i = 0; i < hosts->count; i++) {
        higher += Wu_Weight(hosts->peers[i], endpoint) > own;
    }
    return higher;
}

bool
Wu_SelectionIsStale(const struct wu_warmup *warmup, int64_t now)
{
    return warmup->selected_at == 0 ||
           now - warmup->selected_at >= SELECTION_MAX_AGE_USEC;
}

void
Wu_RenewSelection(struct wu_warmup *warmup, const struct wu_hosts *hosts,
                  double per_sec, uint64_t endpoint, int64_t now)
{
    struct wu_pacing pacing = Wu_Pacing(per_sec, hosts->count + 1);
    warmup->selected_at = now;
    warmup->selected = Wu_Rank(hosts, endpoint) <
                       Wu_SenderCount(&pacing, &hosts->completeness);
}

bool
Wu_IsCold(const struct wu_warmup *warmup, int64_t now)
{
    return now < warmup->cold_until;
}

bool
Wu_MayBeCold(const struct wu_warmup *warmup, int64_t now)
{
    return now < warmup->maybe_cold_until;
}

void
Wu_SetColdLeft(struct wu_warmup *warmup, int64_t cold_left_usec, int64_t now)
{
    if (cold_left_usec > COLD_MAX_USEC) {
        cold_left_usec = COLD_MAX_USEC;
    }
    warmup->cold_until = cold_left_usec > 0 ? now + cold_left_usec : 0;
}

void
Wu_SuspectRestart(struct wu_warmup *warmup, int64_t cold_usec, int64_t now)
{
    if (cold_usec > COLD_MAX_USEC) {
        cold_usec = COLD_MAX_USEC;
    }
    if (cold_usec > 0 && warmup->maybe_cold_until < now + cold_usec) {
        warmup->maybe_cold_until = now + cold_usec;
    }
}

bool
Wu_MaySend(const struct wu_warmup *warmup, int64_t now)
{
    return warmup->selected && now >= warmup->next_send_at;
}

void
Wu_Sent(struct wu_warmup *warmup, const struct wu_pacing *pacing, int64_t now)
{
    warmup->next_send_at = now + pacing->interval_usec;
}
