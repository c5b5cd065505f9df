/*
 * Decides when a message is due and to which peer. The functions do no input
 * or output and depend only on the clock and on random numbers.
 */
#include "base/hash.h"
#include "edge/mesh_internal.h"

/*
 * Limits on the datagrams that a daemon sends each second to peers in its own
 * data centre and in others. Few peers each get a message ten times a second
 * and many peers less often, at the same total cost.
 */
#define Ms_LOCAL_SENDS_PER_SEC 120
#define Ms_REMOTE_SENDS_PER_SEC 100
/*
 * A summary is several times as long as a message, and each hop adds the wait
 * for the next one.
 */
#define Ms_SUMMARY_MIN_USEC (200 * Ck_USEC_PER_MSEC)
/* A peer that is not alive gets messages at this interval until it expires. */
#define Ms_DEAD_INTERVAL_USEC (500 * Ck_USEC_PER_MSEC)
#define Ms_EXPIRY_USEC (60 * Ck_USEC_PER_SEC)
/*
 * How long a peer of which only the address is known is expected to send its
 * first message.
 */
#define Ms_FIRST_MESSAGE_USEC (4 * Ck_USEC_PER_SEC)
/* Intervals vary by a random factor from this up to 2 minus this. */
#define Ms_INTERVAL_JITTER_MIN 0.8

static int64_t
max_usec(int64_t a, int64_t b)
{
    return a > b ? a : b;
}

int64_t
ms_send_interval(const struct ms_mesh *mesh, bool same_zone)
{
    size_t count =
        same_zone ? mesh->local_count : mesh->count - mesh->local_count;
    int64_t per_sec =
        same_zone ? Ms_LOCAL_SENDS_PER_SEC : Ms_REMOTE_SENDS_PER_SEC;
    return max_usec((int64_t)count * Ck_USEC_PER_SEC / per_sec,
                    Ms_INTERVAL_MIN_USEC);
}

bool
Ms_UsesSummaries(const struct ms_mesh *mesh)
{
    return mesh->count >= Ms_SUMMARY_MIN_DAEMONS &&
           mesh->local_count < mesh->count;
}

static int64_t
summary_interval(const struct ms_mesh *mesh)
{
    return max_usec(ms_send_interval(mesh, true), Ms_SUMMARY_MIN_USEC);
}

/* Usage in another data centre first has to reach the reporter there. */
int64_t
Ms_ReportDelay(const struct ms_mesh *mesh)
{
    if (!Ms_UsesSummaries(mesh)) {
        return max_usec(ms_send_interval(mesh, true),
                        ms_send_interval(mesh, false));
    }
    return ms_send_interval(mesh, true) + summary_interval(mesh);
}

int64_t
Ms_MessageDelay(const struct ms_mesh *mesh)
{
    int64_t interval =
        max_usec(ms_send_interval(mesh, true), ms_send_interval(mesh, false));
    return (int64_t)((double)interval * (2 - Ms_INTERVAL_JITTER_MIN)) +
           Ms_TICK_USEC;
}

/*
 * Hundreds of peers may become known at once. If messages to all of them were
 * sent in the same tick of each interval, anything new would be passed on only
 * once an interval. So longer intervals vary at random.
 */
static int64_t
next_due(struct ms_mesh *mesh, int64_t interval)
{
    int64_t now = mesh->now;
    if (interval <= 2 * Ms_TICK_USEC) {
        return now + interval;
    }
    double factor = Ms_INTERVAL_JITTER_MIN +
                    2 * (1 - Ms_INTERVAL_JITTER_MIN) * Rn_Unit(&mesh->random);
    return now + (int64_t)((double)interval * factor);
}

/* A message that is due within half a tick is sent now. */
static bool
is_due(const struct ms_mesh *mesh, int64_t due_at)
{
    return mesh->now >= due_at - Ms_TICK_USEC / 2;
}

static uint64_t
reporter_rank(const struct ms_peer *peer, uint64_t reporter)
{
    uint64_t key[2] = {peer->hash, reporter};
    return Hash_Bytes(key, sizeof(key), 0);
}

/*
 * Whether this daemon is the one of its data centre that sends summaries to a
 * peer in another. All daemons of the data centre rank each other by the same
 * hash (rendezvous hashing), and the next one in rank takes over when messages
 * of the first one stop.
 */
static bool
is_reporter_for(const struct ms_mesh *mesh, const struct ms_peer *peer)
{
    uint64_t own = reporter_rank(peer, mesh->hash);
    const struct ms_peer *other;
    TAILQ_FOREACH (other, &mesh->peers, link) {
        if (other->same_zone && !other->stopping &&
            Ms_IsResponsive(mesh, other) &&
            reporter_rank(peer, other->hash) > own) {
            return false;
        }
    }
    return true;
}

void
ms_begin_tick(struct ms_mesh *mesh)
{
    mesh->now = Ck_Now(mesh->clock);
    mesh->local_count = 0;
    mesh->reachable_count = 1;
    mesh->expected_count = 1;
    mesh->running_count = 1;
    const struct ms_peer *peer;
    TAILQ_FOREACH (peer, &mesh->peers, link) {
        bool running = !peer->stopping;
        bool has_sent = peer->last_message_at != 0;
        bool is_expected =
            !has_sent && mesh->now - peer->added_at < Ms_FIRST_MESSAGE_USEC;
        mesh->local_count += peer->same_zone;
        mesh->reachable_count += running && Ms_IsReachable(mesh, peer);
        mesh->expected_count += has_sent ? running : is_expected;
        mesh->running_count += has_sent && running;
    }
}

bool
ms_is_expired(const struct ms_mesh *mesh, const struct ms_peer *peer)
{
    int64_t known_at =
        peer->last_message_at != 0 ? peer->last_message_at : peer->added_at;
    return !Ms_Alive(mesh, peer) && mesh->now - known_at > Ms_EXPIRY_USEC;
}

bool
ms_message_due(struct ms_mesh *mesh, struct ms_peer *peer)
{
    if (!is_due(mesh, peer->due_at)) {
        return false;
    }
    int64_t interval = Ms_Alive(mesh, peer)
                           ? ms_send_interval(mesh, peer->same_zone)
                           : Ms_DEAD_INTERVAL_USEC;
    peer->due_at = next_due(mesh, interval);
    return true;
}

bool
ms_summary_due(struct ms_mesh *mesh, struct ms_peer *peer)
{
    if (!Ms_UsesSummaries(mesh) || peer->same_zone ||
        !is_due(mesh, peer->summary_due_at) || !Ms_Alive(mesh, peer)) {
        return false;
    }
    peer->summary_due_at = next_due(mesh, summary_interval(mesh));
    return is_reporter_for(mesh, peer);
}
