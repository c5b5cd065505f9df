/* Who is there, as far as they were heard. */
#include <string.h>

#include "edge/mesh_internal.h"

/* A peer that is not heard for this long is not counted on. */
#define Ms_ALIVE_USEC (1500 * Ck_USEC_PER_MSEC)
/* With many peers the gap between two words grows; so does the patience. */
#define Ms_ALIVE_GAPS 5
/* The same where another daemon stands in at once; two lost words are few. */
#define Ms_CLOSE_USEC (500 * Ck_USEC_PER_MSEC)
#define Ms_CLOSE_GAPS 3
/* What an unheard peer spends counts at once; that a word was lost costs a
   hundredth of the rate for a moment. */
#define Ms_HEARD_GAPS 2
struct ms_spent
Ms_SpentMore(const struct ms_spent *now, const struct ms_spent *before,
             size_t count)
{
    struct ms_spent more = *now;
    for (size_t i = 0; i < count; i++) {
        const struct ms_spent *row = &before[i];
        if (row->tenant == now->tenant) {
            more.total = now->total > row->total ? now->total - row->total : 0;
            more.asked = now->asked > row->asked ? now->asked - row->asked : 0;
            break;
        }
    }
    return more;
}

static bool
heard_within(const struct ms_mesh *mesh, const struct ms_peer *peer,
             int64_t least_usec, int gaps)
{
    int64_t patience = ms_gap(mesh, peer->near) * gaps;
    if (patience < least_usec) {
        patience = least_usec;
    }
    return peer->heard_at != 0 && mesh->now - peer->heard_at < patience;
}

bool
Ms_Alive(const struct ms_mesh *mesh, const struct ms_peer *peer)
{
    return heard_within(mesh, peer, Ms_ALIVE_USEC, Ms_ALIVE_GAPS);
}

bool
Ms_Close(const struct ms_mesh *mesh, const struct ms_peer *peer)
{
    return heard_within(mesh, peer, Ms_CLOSE_USEC, Ms_CLOSE_GAPS);
}

bool
Ms_Heard(const struct ms_mesh *mesh, const struct ms_peer *peer)
{
    return heard_within(mesh, peer, Ms_CLOSE_USEC, Ms_HEARD_GAPS);
}

const struct ms_peers *
Ms_Peers(const struct ms_mesh *mesh)
{
    return &mesh->peers;
}

size_t
Ms_CountHeard(const struct ms_mesh *mesh)
{
    return mesh->heard_count;
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

/* Daemons heard in the last minute, this one included. */
size_t
Ms_CountKnown(const struct ms_mesh *mesh)
{
    return mesh->known_count;
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
Ms_ListHosts(const struct ms_mesh *mesh, struct wu_hosts *out)
{
    out->own = mesh->hash;
    out->count = 0;
    out->view.heard = 1;
    out->view.known = Ms_CountAll(mesh);
    const struct ms_peer *peer;
    TAILQ_FOREACH (peer, &mesh->peers, link) {
        if (out->count < Wu_HOSTS_MAX) {
            out->others[out->count++] = peer->hash;
        }
        out->view.heard += peer->heard_at != 0;
    }
}

bool
Ms_AnyYounger(const struct ms_mesh *mesh, int64_t usec)
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
