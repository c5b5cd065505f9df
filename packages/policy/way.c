#include "policy/way.h"

/*
 * After neither this host nor a peer could connect, only direct attempts are
 * made for this long: an endpoint that no host reaches would otherwise cost
 * each request two more attempts, and the peers as many.
 */
#define Wy_DIRECT_ONLY_USEC (100 * Ck_USEC_PER_MSEC)
/*
 * Interval between direct attempts while a link is cut; it doubles after each
 * failed one.
 */
#define Wy_PROBE_INTERVAL_USEC (250 * Ck_USEC_PER_MSEC)
#define Wy_PROBE_DOUBLINGS_MAX 2
#define Wy_TEST_INTERVAL_USEC (250 * Ck_USEC_PER_MSEC)
/*
 * A single slow direct connection may be due to a lost SYN segment; two in a
 * row within this time mean that the link is cut.
 */
#define Wy_SLOW_WINDOW_USEC (2 * Ck_USEC_PER_SEC)

/*
 * A peer that failed to connect is asked only after the others for this long.
 */
#define Wy_PEER_AVOID_USEC (2 * Ck_USEC_PER_SEC)

static bool
has_passed(int64_t since, int64_t gap, int64_t now)
{
    return since == 0 || now - since >= gap;
}

enum wy_order
Wy_Order(const struct wy_link *link, int64_t now)
{
    if (link->cut) {
        return WY_PEER_FIRST;
    }
    return has_passed(link->unreachable_at, Wy_DIRECT_ONLY_USEC, now)
               ? WY_DIRECT_FIRST
               : WY_DIRECT_ONLY;
}

void
Wy_NoteFailure(struct wy_failures *failures, uint64_t peer, int64_t now)
{
    size_t row = 0;
    while (row < Wy_FAILURES_MAX && failures->rows[row].peer != peer) {
        row++;
    }
    if (row == Wy_FAILURES_MAX) {
        row = failures->next;
        failures->next = (failures->next + 1) % Wy_FAILURES_MAX;
    }
    failures->rows[row].peer = peer;
    failures->rows[row].at = now;
}

int64_t
Wy_FailedAt(const struct wy_failures *failures, uint64_t peer)
{
    for (size_t i = 0; i < Wy_FAILURES_MAX; i++) {
        if (failures->rows[i].peer == peer) {
            return failures->rows[i].at;
        }
    }
    return 0;
}

static int
peer_rank(const struct wy_link *link, const struct wy_peer *peer, int64_t now)
{
    return (has_passed(peer->failed_at, Wy_PEER_AVOID_USEC, now) ? 4 : 0) +
           (peer->cut ? 0 : 2) + (link->cut && peer->near ? 1 : 0);
}

size_t
Wy_PickPeer(const struct wy_link *link, const struct wy_peer *peers,
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
Wy_Ended(struct wy_link *link, enum wy_end direct, enum wy_end peer,
         int64_t now)
{
    bool was_cut = link->cut;
    if (direct == WY_CAME) {
        link->cut = false;
        link->failed_probes = 0;
        link->unreachable_at = 0;
        link->slow_at = 0;
    }
    else if (peer == WY_CAME && direct != WY_NOT_TRIED) {
        bool slow_again = !has_passed(link->slow_at, Wy_SLOW_WINDOW_USEC, now);
        link->slow_at = now;
        link->cut = was_cut || direct == WY_FAILED || slow_again;
        link->trial_at = was_cut ? link->trial_at : now;
    }
    else if (peer == WY_FAILED) {
        link->unreachable_at = now;
    }
    return link->cut != was_cut;
}

bool
Wy_TrialDue(const struct wy_link *link, int64_t now)
{
    return link->cut &&
           has_passed(link->trial_at,
                      Wy_PROBE_INTERVAL_USEC << link->failed_probes, now);
}

void
Wy_TrialBegun(struct wy_link *link, int64_t now)
{
    link->trial_at = now;
}

void
Wy_TrialFailed(struct wy_link *link)
{
    if (link->failed_probes < Wy_PROBE_DOUBLINGS_MAX) {
        link->failed_probes++;
    }
}

void
Wy_TrySoon(struct wy_link *link)
{
    link->trial_at = 0;
    link->failed_probes = 0;
}

bool
Wy_MayTest(const struct wy_link *link, int64_t now)
{
    return !link->cut &&
           has_passed(link->tested_at, Wy_TEST_INTERVAL_USEC, now);
}

bool
Wy_Doubtful(const struct wy_link *link, int64_t sent_at, int64_t heard_at,
            int64_t now)
{
    return heard_at < sent_at && now - sent_at >= Wy_SILENCE &&
           Wy_MayTest(link, now);
}

void
Wy_Tested(struct wy_link *link, int64_t now)
{
    link->tested_at = now;
}
