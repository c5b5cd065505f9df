#include "policy/brittle.h"

#include "base/clock.h"

/* A host that sends little keeps in mind for so long what answers said. */
#define Br_LASTS_USEC (30 * Ck_USEC_PER_SEC)
/* Those who had such an answer lately tell the others several times. */
#define Br_HEARD_USEC (3 * Ck_USEC_PER_SEC)
#define Br_LATELY_USEC (500 * Ck_USEC_PER_MSEC)
/* Longer than the second in which an endpoint counts. */
#define Br_CLOSED_USEC (1100 * Ck_USEC_PER_MSEC)
/* By then a request that was turned away is back. */
#define Br_TAKEN_USEC (50 * Ck_USEC_PER_MSEC)
#define Br_RANK_USEC (1 * Ck_USEC_PER_SEC)
/* The first few hosts spend this part of what an endpoint bears. */
#define Br_SPARE 2
/* Of hosts beyond those, one request in so long for each endpoint. */
#define Br_APART_USEC (500 * Ck_USEC_PER_MSEC)

struct br_part
Br_Part(int most, size_t hosts, size_t endpoints)
{
    size_t spent = (size_t)(most + Br_SPARE - 1) / Br_SPARE;
    struct br_part part = {.hosts = hosts < spent ? hosts : spent, .each = 1};
    if (part.hosts > 0 && spent / part.hosts > 1) {
        part.each = (int)(spent / part.hosts);
    }
    part.halves = part.hosts + ((size_t)most - spent);
    part.halves = part.halves < hosts ? part.halves : hosts;
    part.hosts_per_endpoint =
        endpoints > 0 ? (hosts + endpoints - 1) / endpoints : hosts;
    return part;
}

static bool
lasts(int64_t since, int64_t usec, int64_t now)
{
    return since != 0 && now - since < usec;
}

static void
learn(struct br_room *room, int most, int64_t now)
{
    if (!Br_IsBrittle(room, now)) {
        room->begun_at = now;
    }
    room->most = most;
}

void
Br_Told(struct br_room *room, int most, int64_t now)
{
    learn(room, most, now);
    room->told_at = now;
}

void
Br_Heard(struct br_room *room, int most, int64_t now)
{
    learn(room, most, now);
    room->heard_at = now;
}

bool
Br_IsOver(const struct br_room *room, int64_t sent_at)
{
    return room->said && sent_at > room->told_at;
}

void
Br_End(struct br_room *room)
{
    room->told_at = 0;
    room->heard_at = 0;
    room->said = false;
}

bool
Br_HeardLately(const struct br_room *room, int64_t now)
{
    return lasts(room->heard_at, Br_LATELY_USEC, now);
}

bool
Br_IsTold(const struct br_room *room, int64_t now)
{
    return lasts(room->told_at, Br_HEARD_USEC, now);
}

bool
Br_IsBrittle(const struct br_room *room, int64_t now)
{
    return lasts(room->told_at, Br_LASTS_USEC, now) ||
           lasts(room->heard_at, Br_HEARD_USEC, now);
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
untaken_most(const struct br_room *room, const struct br_part *part,
             int running, int slots)
{
    int free_places = slots - running;
    int most = part->each;
    if (room->rank < part->hosts && free_places * 2 > slots) {
        int share = free_places / 2 / (int)part->halves;
        most = share > most ? share : most;
    }
    return most;
}

/* All of the others would have their first turn at once. */
static bool
has_turn(const struct br_room *room, const struct br_part *part, int64_t now)
{
    int64_t first =
        (int64_t)(room->rank % part->hosts_per_endpoint + 1) * Br_APART_USEC;
    return now - room->begun_at >= first &&
           now - room->sent_since >=
               (int64_t)part->hosts_per_endpoint * Br_APART_USEC;
}

bool
Br_MaySend(const struct br_room *room, const struct br_part *part, int running,
           int slots, int64_t now)
{
    if (now < room->closed_until ||
        untaken(room, now) >= untaken_most(room, part, running, slots)) {
        return false;
    }
    if (room->rank < part->hosts) {
        return running < slots;
    }
    if (!room->best) {
        return false;
    }
    if (room->rank < part->halves) {
        return running * 2 < slots;
    }
    return running * 4 < slots && has_turn(room, part, now);
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
