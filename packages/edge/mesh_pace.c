/*
 * When a word is due and to whom: no input or output, only the clock and
 * random numbers.
 */
#include "base/hash.h"
#include "edge/mesh_internal.h"

/*
 * Datagrams a daemon sends in a second at the most to peers in its data
 * centre, and to those beyond: with few peers each hears it ten times a
 * second, with many less often, and the cost stays the same.
 */
#define Ms_NEAR_SENDS_PER_SEC 120
#define Ms_FAR_SENDS_PER_SEC 100
/* A summary is several times as long as a word, and each hop waits for one. */
#define Ms_SUMMARY_LEAST_USEC (200 * Ck_USEC_PER_MSEC)
/* One that was not heard is still told, this often, and then forgotten. */
#define Ms_QUIET_EVERY_USEC (500 * Ck_USEC_PER_MSEC)
#define Ms_FORGET_USEC (60 * Ck_USEC_PER_SEC)
/* How long one that is only known of is expected to be heard. */
#define Ms_HOPE_USEC (4 * Ck_USEC_PER_SEC)
/* A gap is drawn from this part of it up to as much more. */
#define Ms_GAP_DRAWN_PART 0.8

static int64_t
more_of(int64_t a, int64_t b)
{
    return a > b ? a : b;
}

int64_t
ms_gap(const struct ms_mesh *mesh, bool near)
{
    size_t count = near ? mesh->near_count : mesh->count - mesh->near_count;
    int64_t per_sec = near ? Ms_NEAR_SENDS_PER_SEC : Ms_FAR_SENDS_PER_SEC;
    return more_of((int64_t)count * Ck_USEC_PER_SEC / per_sec,
                   Ms_GAP_LEAST_USEC);
}

bool
Ms_Summarizes(const struct ms_mesh *mesh)
{
    return mesh->count >= Ms_SUMMARIES_LEAST && mesh->near_count < mesh->count;
}

static int64_t
summary_gap(const struct ms_mesh *mesh)
{
    return more_of(ms_gap(mesh, true), Ms_SUMMARY_LEAST_USEC);
}

/* A word of another data centre reaches its reporter first. */
int64_t
Ms_Lag(const struct ms_mesh *mesh)
{
    if (!Ms_Summarizes(mesh)) {
        return more_of(ms_gap(mesh, true), ms_gap(mesh, false));
    }
    return ms_gap(mesh, true) + summary_gap(mesh);
}

/*
 * Peers become known by the hundred at once.  Told all in one tick of a gap,
 * they would pass on what is new only from gap to gap.
 */
static int64_t
next_due(struct ms_mesh *mesh, int64_t gap)
{
    int64_t now = mesh->now;
    if (gap <= 2 * Ms_TICK_USEC) {
        return now + gap;
    }
    double part = Ms_GAP_DRAWN_PART +
                  2 * (1 - Ms_GAP_DRAWN_PART) * Rn_Unit(&mesh->random);
    return now + (int64_t)((double)gap * part);
}

/* Half a tick early is in time. */
static bool
is_due(const struct ms_mesh *mesh, int64_t due_at)
{
    return mesh->now >= due_at - Ms_TICK_USEC / 2;
}

static uint64_t
claim_on(const struct ms_peer *peer, uint64_t reporter)
{
    uint64_t both[2] = {peer->hash, reporter};
    return Hash_Bytes(both, sizeof(both), 0);
}

/*
 * Whether this daemon is the one of its data centre that tells a peer of
 * another: all of them draw the same lots, and the next one stands in for one
 * that is no longer heard.
 */
static bool
reports_to(const struct ms_mesh *mesh, const struct ms_peer *peer)
{
    uint64_t own = claim_on(peer, mesh->hash);
    const struct ms_peer *other;
    TAILQ_FOREACH (other, &mesh->peers, link) {
        if (other->near && !other->stopping && Ms_Close(mesh, other) &&
            claim_on(peer, other->hash) > own) {
            return false;
        }
    }
    return true;
}

void
ms_begin_tick(struct ms_mesh *mesh)
{
    mesh->now = Ck_Now(mesh->clock);
    mesh->near_count = 0;
    mesh->heard_count = 1;
    mesh->expected_count = 1;
    mesh->known_count = 1;
    const struct ms_peer *peer;
    TAILQ_FOREACH (peer, &mesh->peers, link) {
        bool stays = !peer->stopping;
        bool ever = peer->heard_at != 0;
        bool hoped = !ever && mesh->now - peer->known_at < Ms_HOPE_USEC;
        mesh->near_count += peer->near;
        mesh->heard_count += stays && Ms_Heard(mesh, peer);
        mesh->expected_count += ever ? stays : hoped;
        mesh->known_count += ever && stays;
    }
}

bool
ms_is_forgotten(const struct ms_mesh *mesh, const struct ms_peer *peer)
{
    int64_t last = peer->heard_at != 0 ? peer->heard_at : peer->known_at;
    return !Ms_Alive(mesh, peer) && mesh->now - last > Ms_FORGET_USEC;
}

bool
ms_word_due(struct ms_mesh *mesh, struct ms_peer *peer)
{
    if (!is_due(mesh, peer->due_at)) {
        return false;
    }
    int64_t gap =
        Ms_Alive(mesh, peer) ? ms_gap(mesh, peer->near) : Ms_QUIET_EVERY_USEC;
    peer->due_at = next_due(mesh, gap);
    return true;
}

bool
ms_summary_due(struct ms_mesh *mesh, struct ms_peer *peer)
{
    if (!Ms_Summarizes(mesh) || peer->near ||
        !is_due(mesh, peer->summary_due_at) || !Ms_Alive(mesh, peer)) {
        return false;
    }
    peer->summary_due_at = next_due(mesh, summary_gap(mesh));
    return reports_to(mesh, peer);
}
