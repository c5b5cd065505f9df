#include "edge/truetime.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdlib.h>

#include "edge/mesh.h"

#define Tt_PEERS_MAX 32
/* An offset that a peer has not renewed for this long is ignored. */
#define Tt_EXPIRY_USEC (5 * Ck_USEC_PER_SEC)
/* A message is read with the next tick, which may be late, after its transit.
 */
#define Tt_DELAY_MAX_USEC (2 * Ms_TICK_USEC)

struct peer_offset {
    uint64_t peer;
    int64_t offset;
    int64_t received_at;
};

struct tt_time {
    const struct ck_clock *clock;
    struct peer_offset peer_offsets[Tt_PEERS_MAX];
    size_t count;
};

struct tt_time *
Tt_Create(const struct ck_clock *clock)
{
    struct tt_time *time = calloc(1, sizeof(*time));
    if (time != NULL) {
        time->clock = clock;
    }
    return time;
}

void
Tt_Destroy(struct tt_time *time)
{
    free(time);
}

/* Records the calendar time of a peer's message that has just arrived. */
void
Tt_AddPeerTime(struct tt_time *time, uint64_t peer, int64_t wall_usec)
{
    int64_t now = Ck_Now(time->clock);
    struct peer_offset *slot = NULL;
    for (size_t i = 0; i < time->count && slot == NULL; i++) {
        if (time->peer_offsets[i].peer == peer) {
            slot = &time->peer_offsets[i];
        }
    }
    if (slot == NULL && time->count < Tt_PEERS_MAX) {
        slot = &time->peer_offsets[time->count++];
    }
    for (size_t i = 0; i < time->count && slot == NULL; i++) {
        if (now - time->peer_offsets[i].received_at > Tt_EXPIRY_USEC) {
            slot = &time->peer_offsets[i];
        }
    }
    if (slot != NULL) {
        *slot = (struct peer_offset){peer, wall_usec - now, now};
    }
}

static int
compare_offsets(const void *a, const void *b)
{
    int64_t left = *(const int64_t *)a;
    int64_t right = *(const int64_t *)b;
    return left < right ? -1 : left > right;
}

/*
 * The delay of a message makes the peer's offset too small.  Where that delay
 * explains the difference between the median and this host's own offset, the
 * latter is the accurate one, and the same on all hosts.
 */
int64_t
Tt_Now(struct tt_time *time)
{
    int64_t offsets[Tt_PEERS_MAX + 1];
    size_t count = 0;
    int64_t now = Ck_Now(time->clock);
    int64_t own = Ck_Wall(time->clock) - now;
    offsets[count++] = own;
    for (size_t i = 0; i < time->count; i++) {
        if (now - time->peer_offsets[i].received_at <= Tt_EXPIRY_USEC) {
            offsets[count++] = time->peer_offsets[i].offset;
        }
    }
    qsort(offsets, count, sizeof(offsets[0]), compare_offsets);
    int64_t median = offsets[(count - 1) / 2];
    bool delayed = own > median && own - median <= Tt_DELAY_MAX_USEC;
    return now + (delayed ? own : median);
}
