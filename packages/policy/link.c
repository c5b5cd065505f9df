#include "policy/link.h"

/*
 * After neither this host nor a peer could connect, only direct attempts are
 * made for this long: an endpoint that no host reaches would otherwise cost
 * each request two more attempts, and the peers as many.
 */
#define Li_DIRECT_ONLY_USEC (100 * Ck_USEC_PER_MSEC)
/*
 * Interval between direct attempts while a link is cut; it doubles after each
 * failed one.
 */
#define Li_PROBE_INTERVAL_USEC (250 * Ck_USEC_PER_MSEC)
#define Li_PROBE_DOUBLINGS_MAX 2
#define Li_TEST_INTERVAL_USEC (250 * Ck_USEC_PER_MSEC)
/*
 * A single slow direct connection may be due to a lost SYN segment; two in a
 * row within this time mean that the link is cut.
 */
#define Li_SLOW_WINDOW_USEC (2 * Ck_USEC_PER_SEC)

/*
 * For this long after it failed to connect, a peer is used only if no other
 * peer is left.
 */
#define Li_PEER_AVOID_USEC (2 * Ck_USEC_PER_SEC)

static bool
has_passed(int64_t since, int64_t gap, int64_t now)
{
    return since == 0 || now - since >= gap;
}

enum li_order
Li_Order(const struct li_link *link, int64_t now)
{
    if (link->cut) {
        return LI_PEER_FIRST;
    }
    return has_passed(link->unreachable_at, Li_DIRECT_ONLY_USEC, now)
               ? LI_DIRECT_FIRST
               : LI_DIRECT_ONLY;
}

void
Li_NoteFailure(struct li_failures *failures, uint64_t peer, int64_t now)
{
    size_t row = 0;
    while (row < Li_FAILURES_MAX && failures->rows[row].peer != peer) {
        row++;
    }
    if (row == Li_FAILURES_MAX) {
        row = failures->next;
        failures->next = (failures->next + 1) % Li_FAILURES_MAX;
    }
    failures->rows[row].peer = peer;
    failures->rows[row].at = now;
}

int64_t
Li_LastFailure(const struct li_failures *failures, uint64_t peer)
{
    for (size_t i = 0; i < Li_FAILURES_MAX; i++) {
        if (failures->rows[i].peer == peer) {
            return failures->rows[i].at;
        }
    }
    return 0;
}

static int
peer_rank(const struct li_link *link, const struct li_peer *peer, int64_t now)
{
    return (has_passed(peer->failed_at, Li_PEER_AVOID_USEC, now) ? 4 : 0) +
           (peer->cut ? 0 : 2) + (link->cut && peer->same_data_centre ? 1 : 0);
}

size_t
Li_PickPeer(const struct li_link *link, const struct li_peer *peers,
            size_t count, double unit, int64_t now)
{
    int best = -1;
    size_t best_count = 0;
    for (size_t i = 0; i < count; i++) {
        int rank = peer_rank(link, &peers[i], now);
        if (rank > best) {
            best = rank;
            best_count = 0;
        }
        best_count += rank == best;
    }
    size_t left = (size_t)(unit * (double)best_count);
    size_t picked = 0;
    for (size_t i = 0; i < count; i++) {
        if (peer_rank(link, &peers[i], now) == best) {
            picked = i;
            if (left-- == 0) {
                break;
            }
        }
    }
    return picked;
}

bool
Li_RecordOutcome(struct li_link *link, enum li_outcome direct,
                 enum li_outcome peer, int64_t now)
{
    bool was_cut = link->cut;
    if (direct == LI_CONNECTED) {
        link->cut = false;
        link->failed_probes = 0;
        link->unreachable_at = 0;
        link->slow_at = 0;
    }
    else if (peer == LI_CONNECTED && direct != LI_NOT_TRIED) {
        bool slow_again = !has_passed(link->slow_at, Li_SLOW_WINDOW_USEC, now);
        link->slow_at = now;
        link->cut = was_cut || direct == LI_FAILED || slow_again;
        link->probed_at = was_cut ? link->probed_at : now;
    }
    else if (peer == LI_FAILED) {
        link->unreachable_at = now;
    }
    return link->cut != was_cut;
}

bool
Li_IsProbeDue(const struct li_link *link, int64_t now)
{
    return link->cut &&
           has_passed(link->probed_at,
                      Li_PROBE_INTERVAL_USEC << link->failed_probes, now);
}

void
Li_ProbeStarted(struct li_link *link, int64_t now)
{
    link->probed_at = now;
}

void
Li_ProbeFailed(struct li_link *link)
{
    if (link->failed_probes < Li_PROBE_DOUBLINGS_MAX) {
        link->failed_probes++;
    }
}

void
Li_ProbeSoon(struct li_link *link)
{
    link->probed_at = 0;
    link->failed_probes = 0;
}

bool
Li_MayTest(const struct li_link *link, int64_t now)
{
    return !link->cut &&
           has_passed(link->tested_at, Li_TEST_INTERVAL_USEC, now);
}

bool
Li_IsSuspect(const struct li_link *link, int64_t sent_at, int64_t last_byte_at,
             int64_t now)
{
    return last_byte_at < sent_at && now - sent_at >= Li_SILENCE_USEC &&
           Li_MayTest(link, now);
}

void
Li_Tested(struct li_link *link, int64_t now)
{
    link->tested_at = now;
}
