#include "policy/yield.h"

#include <math.h>

#include "base/clock.h"

/*
 * Eighths of the memory.  The rest is for the process itself, and for the
 * kernel's queues of the connections.
 */
#define Yd_MEMORY_EIGHTHS 3
/* The rest of the descriptors is for endpoints, peers and the platform. */
#define Yd_FILES_DIVISOR 2
/*
 * The last part of the bound is kept for connections that hold little, so
 * that whole large requests, which cannot be given up, leave room for small
 * ones.
 */
#define Yd_RESERVE_DIVISOR 8
#define Yd_SMALL_BYTES ((size_t)64 << 10)
/* A caller that has just connected sends its request within this time. */
#define Yd_GRACE_USEC (250 * Ck_USEC_PER_MSEC)

/* From these parts of the bound on the kernel's queues are counted. */
#define Yd_CROWDED_BYTES_DIVISOR 2
#define Yd_CROWDED_DIVISOR 4
/* A request gets on by this part of its size, and by so many bytes. */
#define Yd_PART_DIVISOR 64
#define Yd_PART_BYTES 1024
/* What has just come weighs as if it had stood still so long. */
#define Yd_LEAST_SECONDS 0.01

/* Descriptors: classes of connections, those of a higher one yield first. */
enum {
    CLASS_NEW,
    CLASS_SERVED,
    CLASS_UNSERVED,
    CLASS_ENDING,
};
/* More than the age of any connection, seconds. */
#define Yd_CLASS_WEIGHT 1e9

struct yd_bound
Yd_Bound(int64_t memory_bytes, size_t files)
{
    return (struct yd_bound){
        .bytes = (size_t)memory_bytes / 8 * Yd_MEMORY_EIGHTHS,
        .connections = files / Yd_FILES_DIVISOR,
    };
}

bool
Yd_Fits(const struct yd_bound *bound, size_t all, size_t own)
{
    size_t reserve =
        own > Yd_SMALL_BYTES ? bound->bytes / Yd_RESERVE_DIVISOR : 0;
    return all <= bound->bytes - reserve;
}

static double
seconds(int64_t since, int64_t now)
{
    return (double)(now > since ? now - since : 0) / Ck_USEC_PER_SEC;
}

bool
Yd_CountsQueues(const struct yd_bound *bound, size_t all, size_t connections)
{
    return all > bound->bytes / Yd_CROWDED_BYTES_DIVISOR ||
           connections > bound->connections / Yd_CROWDED_DIVISOR;
}

void
Yd_NoteReceived(struct yd_holder *holder, size_t len, int64_t now)
{
    size_t least = holder->bytes / Yd_PART_DIVISOR;
    holder->received += len;
    if (holder->received >= least && holder->received >= Yd_PART_BYTES) {
        holder->received = 0;
        holder->moved_at = now;
    }
}

/*
 * Grows with the time that bytes have stood still, and much less with their
 * number: a part that stands still goes before one that comes in, and of those
 * that came just now a large one before a small one.
 */
static double
weight(size_t bytes, int64_t since, int64_t now)
{
    return (seconds(since, now) + Yd_LEAST_SECONDS) *
           sqrt(sqrt((double)bytes));
}

/*
 * A whole request is never given up, since it may have run; an answer that is
 * not read is.
 */
double
Yd_RankBytes(const struct yd_holder *holder, int64_t now)
{
    switch (holder->phase) {
    case YD_READING:
        return weight(holder->bytes, holder->moved_at, now);
    case YD_ENDING:
        return weight(holder->bytes, holder->since, now);
    case YD_SERVING:
    case YD_IDLE:
        break;
    }
    if (holder->unread > 0) {
        return weight(holder->unread + holder->queued, holder->unread_at, now);
    }
    return holder->queued > 0 ? weight(holder->queued, holder->queued_at, now)
                              : -1;
}

/*
 * Connections that end anyway yield first, then those that never completed a
 * request, then those that had answers; among these the one that has stood
 * still longest.  One that has just been made, or gets on, yields last.
 */
double
Yd_RankConnection(const struct yd_holder *holder, int64_t now)
{
    int64_t since =
        holder->phase == YD_READING ? holder->moved_at : holder->since;
    int class = CLASS_UNSERVED;
    if (holder->phase == YD_SERVING) {
        return -1;
    }
    if (holder->phase == YD_ENDING) {
        class = CLASS_ENDING;
    }
    else if (now - since < Yd_GRACE_USEC) {
        class = CLASS_NEW;
    }
    else if (holder->phase == YD_IDLE && holder->served) {
        class = CLASS_SERVED;
    }
    return class * Yd_CLASS_WEIGHT + seconds(since, now);
}
