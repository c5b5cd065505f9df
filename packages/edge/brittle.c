#include "edge/brittle.h"

#include <string.h>

static bool
serves_same(const struct fl_endpoint *a, const struct fl_endpoint *b)
{
    return strcmp(a->entry.service, b->entry.service) == 0;
}

void
Bt_Told(struct ga_gate *gate, const struct fl_endpoint *endpoint, int most)
{
    if (most < 0) {
        return;
    }
    int64_t now = Ga_Now(gate);
    if (!Br_IsBrittle(&endpoint->room, now)) {
        Ln_Log(LN_STATE, "service.brittle", "\"service\":\"%s\",\"most\":%d",
               endpoint->entry.service, most);
    }
    struct fl_endpoint *other;
    TAILQ_FOREACH (other, Fl_All(gate->fleet), link) {
        if (serves_same(other, endpoint)) {
            Br_Told(&other->room, most, now);
        }
    }
}

/* This host's claims on all endpoints of a service. */
static void
find_ranks(const struct ga_gate *gate, const struct fl_endpoint *endpoint)
{
    int64_t now = Ga_Now(gate);
    struct wu_hosts hosts;
    Ms_ListHosts(gate->mesh, &hosts);
    struct fl_endpoint *best = NULL;
    struct fl_endpoint *other;
    size_t count = 0;
    TAILQ_FOREACH (other, Fl_All(gate->fleet), link) {
        count += serves_same(other, endpoint) && Fl_Usable(other);
    }
    TAILQ_FOREACH (other, Fl_All(gate->fleet), link) {
        if (!serves_same(other, endpoint) || !Fl_Usable(other)) {
            continue;
        }
        other->room.rank = Wu_Rank(&hosts, other->hash);
        other->room.rank_at = now;
        other->room.best = false;
        other->room.endpoints = count;
        if (best == NULL || other->room.rank < best->room.rank) {
            best = other;
        }
    }
    if (best != NULL) {
        best->room.best = true;
    }
}

bool
Bt_Closed(const struct ga_gate *gate, struct fl_endpoint *endpoint)
{
    int64_t now = Ga_Now(gate);
    const struct br_room *room = &endpoint->room;
    if (!Br_IsBrittle(room, now)) {
        return false;
    }
    if (Br_RankIsOld(room, now)) {
        find_ranks(gate, endpoint);
    }
    struct br_part part =
        Br_Part(room->most, Ms_CountAll(gate->mesh), room->endpoints);
    return !Br_MaySend(room, &part,
                       endpoint->running + endpoint->others_running,
                       endpoint->entry.slots, now);
}

void
Bt_Sent(const struct ga_gate *gate, struct fl_endpoint *endpoint)
{
    Br_Sent(&endpoint->room, Ga_Now(gate));
}

void
Bt_Refused(const struct ga_gate *gate, struct fl_endpoint *endpoint)
{
    Br_Refused(&endpoint->room, Ga_Now(gate));
}
