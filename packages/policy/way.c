#include "policy/way.h"

/*
 * An endpoint that nobody reaches would cost each request two tries more, and
 * the peers as many.
 */
#define Wy_NOBODY_GAP (100 * Ck_USEC_PER_MSEC)
/* Own tries while a link is cut, twice as far apart each time. */
#define Wy_TRIAL_GAP (250 * Ck_USEC_PER_MSEC)
#define Wy_TRIAL_DOUBLINGS 2
#define Wy_TEST_GAP (250 * Ck_USEC_PER_MSEC)
/* One opening segment may be lost; two in a row within this are a cut. */
#define Wy_LATE_USEC (2 * Ck_USEC_PER_SEC)

/* A peer that did not connect is asked after the others for so long. */
#define Wy_FAILED_USEC (2 * Ck_USEC_PER_SEC)

static bool
passed(int64_t since, int64_t gap, int64_t now)
{
    return since == 0 || now - since >= gap;
}

enum wy_order
Wy_Order(const struct wy_link *link, int64_t now)
{
    if (link->cut) {
        return WY_PEER_FIRST;
    }
    return passed(link->nobody_at, Wy_NOBODY_GAP, now) ? WY_DIRECT_FIRST
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
rank_of(const struct wy_link *link, const struct wy_peer *peer, int64_t now)
{
    return (passed(peer->failed_at, Wy_FAILED_USEC, now) ? 4 : 0) +
           (peer->cut ? 0 : 2) + (link->cut && peer->near ? 1 : 0);
}

size_t
Wy_PickPeer(const struct wy_link *link, const struct wy_peer *peers,
            size_t count, double unit, int64_t now)
{
    int best = -1;
    size_t best_count = 0;
    for (size_t i = 0; i < count; i++) {
        int rank = rank_of(link, &peers[i], now);
        if (rank > best) {
            best = rank;
            best_count = 0;
        }
        best_count += rank == best;
    }
    size_t left = (size_t)(unit * (double)best_count);
    size_t picked = 0;
    for (size_t i = 0; i < count; i++) {
        if (rank_of(link, &peers[i], now) == best) {
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
    bool was = link->cut;
    if (direct == WY_CAME) {
        link->cut = false;
        link->trials = 0;
        link->nobody_at = 0;
        link->late_at = 0;
    }
    else if (peer == WY_CAME && direct != WY_NOT_TRIED) {
        bool again = !passed(link->late_at, Wy_LATE_USEC, now);
        link->late_at = now;
        link->cut = was || direct == WY_FAILED || again;
        link->trial_at = was ? link->trial_at : now;
    }
    else if (peer == WY_FAILED) {
        link->nobody_at = now;
    }
    return link->cut != was;
}

bool
Wy_TrialDue(const struct wy_link *link, int64_t now)
{
    return link->cut &&
           passed(link->trial_at, Wy_TRIAL_GAP << link->trials, now);
}

void
Wy_TrialBegun(struct wy_link *link, int64_t now)
{
    link->trial_at = now;
}

void
Wy_TrialFailed(struct wy_link *link)
{
    if (link->trials < Wy_TRIAL_DOUBLINGS) {
        link->trials++;
    }
}

void
Wy_TrySoon(struct wy_link *link)
{
    link->trial_at = 0;
    link->trials = 0;
}

bool
Wy_MayTest(const struct wy_link *link, int64_t now)
{
    return !link->cut && passed(link->doubt_at, Wy_TEST_GAP, now);
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
    link->doubt_at = now;
}
