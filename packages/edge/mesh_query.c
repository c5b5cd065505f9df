/* Tells which daemons are known, alive or reachable, from their messages. */
#include <string.h>

#include "edge/mesh_internal.h"

/* A peer that has sent no message for this long does not count as alive. */
#define Ms_ALIVE_USEC (1500 * Ck_USEC_PER_MSEC)
/* The timeout is at least this many intervals between messages. */
#define Ms_ALIVE_INTERVALS 5
/*
 * The timeout is shorter where another daemon can take over at once. Two lost
 * messages in a row are rare.
 */
#define Ms_RECENT_USEC (500 * Ck_USEC_PER_MSEC)
#define Ms_RESPONSIVE_INTERVALS 3
/*
 * The usage of an unreachable peer must be accounted for at once. A false
 * alarm after a lost message costs a hundredth of the rate for a moment.
 */
#define Ms_REACHABLE_INTERVALS 2

struct ms_usage
Ms_UsageIncrease(const struct ms_usage *now, const struct ms_usage *before,
                 size_t count)
{
    struct ms_usage more = *now;
    for (size_t i = 0; i < count; i++) {
        const struct ms_usage *row = &before[i];
        if (row->tenant == now->tenant) {
            more.total = now->total > row->total ? now->total - row->total : 0;
            more.requested = now->requested > row->requested
                                 ? now->requested - row->requested
                                 : 0;
            break;
        }
    }
    return more;
}

static bool
received_within(const struct ms_mesh *mesh, const struct ms_peer *peer,
                int64_t min_usec, int intervals)
{
    int64_t timeout = ms_send_interval(mesh, peer->same_zone) * intervals;
    if (timeout < min_usec) {
        timeout = min_usec;
    }
    return peer->last_message_at != 0 &&
           mesh->now - peer->last_message_at < timeout;
}

bool
Ms_Alive(const struct ms_mesh *mesh, const struct ms_peer *peer)
{
    return received_within(mesh, peer, Ms_ALIVE_USEC, Ms_ALIVE_INTERVALS);
}

bool
Ms_IsResponsive(const struct ms_mesh *mesh, const struct ms_peer *peer)
{
    return received_within(mesh, peer, Ms_RECENT_USEC,
                           Ms_RESPONSIVE_INTERVALS);
}

bool
Ms_IsReachable(const struct ms_mesh *mesh, const struct ms_peer *peer)
{
    return received_within(mesh, peer, Ms_RECENT_USEC, Ms_REACHABLE_INTERVALS);
}

const struct ms_peers *
Ms_Peers(const struct ms_mesh *mesh)
{
    return &mesh->peers;
}

uint64_t
Ms_Changes(const struct ms_mesh *mesh)
{
    return mesh->changes;
}

uint64_t
Ms_OwnHash(const struct ms_mesh *mesh)
{
    return mesh->hash;
}

bool
Ms_WasSuspended(const struct ms_mesh *mesh)
{
    return mesh->suspended;
}

size_t
Ms_CountReachable(const struct ms_mesh *mesh)
{
    return mesh->reachable_count;
}

size_t
Ms_CountAlive(const struct ms_mesh *mesh)
{
    size_t count = 1;
    const struct ms_peer *peer;
    TAILQ_FOREACH (peer, &mesh->peers, link) {
        count += Ms_Alive(mesh, peer);
    }
    return count;
}

/*
 * Daemons that sent a message in the last minute and have not announced their
 * stop, including this one.
 */
size_t
Ms_CountRunning(const struct ms_mesh *mesh)
{
    return mesh->running_count;
}

size_t
Ms_CountExpected(const struct ms_mesh *mesh)
{
    return mesh->expected_count;
}

size_t
Ms_CountAll(const struct ms_mesh *mesh)
{
    return mesh->count + 1;
}

void
Ms_ListSenders(const struct ms_mesh *mesh, struct wu_hosts *out)
{
    out->own = mesh->hash;
    out->count = 0;
    out->completeness.received_from = 1;
    out->completeness.known = Ms_CountAll(mesh);
    const struct ms_peer *peer;
    TAILQ_FOREACH (peer, &mesh->peers, link) {
        if (out->count < Wu_HOSTS_MAX) {
            out->peers[out->count++] = peer->hash;
        }
        out->completeness.received_from += peer->last_message_at != 0;
    }
}

bool
Ms_AnyStartedWithin(const struct ms_mesh *mesh, int64_t usec)
{
    const struct ms_peer *peer;
    TAILQ_FOREACH (peer, &mesh->peers, link) {
        if (Ms_Alive(mesh, peer) && mesh->now - peer->started_at < usec) {
            return true;
        }
    }
    return false;
}

unsigned
Ms_Rank(const struct ms_mesh *mesh)
{
    unsigned rank = 0;
    const struct ms_peer *peer;
    TAILQ_FOREACH (peer, &mesh->peers, link) {
        rank += Ms_Alive(mesh, peer) && !peer->stopping &&
                strcmp(peer->name, mesh->node->name) < 0;
    }
    return rank;
}
