#include "policy/brittle.h"

#include "base/clock.h"

/* All answers say so; after this long without, it is over. */
#define Br_LASTS_USEC (3 * Ck_USEC_PER_SEC)
/* Longer than the second in which an endpoint counts. */
#define Br_CLOSED_USEC (1100 * Ck_USEC_PER_MSEC)
/* By then a request that was turned away is back. */
#define Br_TAKEN_USEC (50 * Ck_USEC_PER_MSEC)
#define Br_RANK_USEC (1 * Ck_USEC_PER_SEC)
/* Hosts know the list of hosts a little differently. */
#define Br_SPARE 2

struct br_part
Br_Part(int most, size_t hosts)
{
    size_t spent = (size_t)(most + Br_SPARE - 1) / Br_SPARE;
    struct br_part part = {.hosts = hosts < spent ? hosts : spent, .each = 1};
    if (part.hosts > 0 && spent / part.hosts > 1) {
        part.each = (int)(spent / part.hosts);
    }
    return part;
}

void
Br_Told(struct br_room *room, int most, int64_t now)
{
    room->most = most;
    room->told_at = now;
}

bool
Br_IsBrittle(const struct br_room *room, int64_t now)
{
    return room->told_at != 0 && now - room->told_at < Br_LASTS_USEC;
}

bool
Br_RankIsOld(const struct br_room *room, int64_t now)
{
    return room->rank_at == 0 || now - room->rank_at >= Br_RANK_USEC;
}

/* Of this host's requests, those that may yet be turned away. */
static int
untaken(const struct br_room *room, int64_t now)
{
    return now - room->sent_since < Br_TAKEN_USEC ? room->sent : 0;
}

/*
 * Where half the places are free, a host may take its part of a half of them
 * at once: were all to do so, none would be turned away.
 */
static int
untaken_most(const struct br_part *part, int running, int slots)
{
    int free_places = slots - running;
    int most = part->each;
    if (part->hosts > 0 && free_places * 2 > slots) {
        int share = free_places / 2 / (int)part->hosts;
        most = share > most ? share : most;
    }
    return most;
}

bool
Br_MaySend(const struct br_room *room, const struct br_part *part, int running,
           int slots, int64_t now)
{
    if (now < room->closed_until ||
        untaken(room, now) >= untaken_most(part, running, slots)) {
        return false;
    }
    if (room->rank < part->hosts) {
        return running < slots;
    }
    return room->best && running * 2 < slots;
}

void
Br_Sent(struct br_room *room, int64_t now)
{
    room->sent = untaken(room, now) + 1;
    room->sent_since = now;
}

void
Br_Refused(struct br_room *room, int64_t now)
{
    room->closed_until = now + Br_CLOSED_USEC;
}
