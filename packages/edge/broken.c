#include "edge/broken.h"

#include <bsd/string.h>
#include <bsd/sys/queue.h>
#include <stdlib.h>

/* Time for the link test to finish: tests start 250 ms apart, take 300 ms. */
#define Bk_WAIT_USEC (1 * Ck_USEC_PER_SEC)
#define Bk_LIST_MAX 1024

struct broken {
    STAILQ_ENTRY(broken) link;
    struct fl_endpoint *endpoint; /* counted reference */
    char route[Ec_NAME_MAX];
    bool slow;
    int64_t at;
};

struct bk_breaks {
    struct ga_gate *gate;
    STAILQ_HEAD(break_list, broken) list; /* oldest first */
    size_t count;
};

struct bk_breaks *
Bk_Create(struct ga_gate *gate)
{
    struct bk_breaks *breaks = calloc(1, sizeof(*breaks));
    if (breaks != NULL) {
        breaks->gate = gate;
        STAILQ_INIT(&breaks->list);
    }
    return breaks;
}

static void
drop_oldest(struct bk_breaks *breaks)
{
    struct broken *oldest = STAILQ_FIRST(&breaks->list);
    STAILQ_REMOVE_HEAD(&breaks->list, link);
    breaks->count--;
    Fl_Unref(oldest->endpoint);
    free(oldest);
}

static void
count_oldest(struct bk_breaks *breaks)
{
    struct ga_gate *gate = breaks->gate;
    const struct broken *oldest = STAILQ_FIRST(&breaks->list);
    const struct fl_endpoint *endpoint = oldest->endpoint;
    const struct ro_move *move = Ro_Find(gate->moves, endpoint->entry.service);
    if (move != NULL && !endpoint->link_state.cut) {
        struct ro_result result = {
            .failed = true,
            .slow = oldest->slow,
            .lost = !El_LivedSince(gate->liveness, endpoint, oldest->at),
        };
        Ro_RecordAnswer(gate->moves, endpoint->entry.service, oldest->route,
                        Ga_HasTargetVersion(move, endpoint), &result);
    }
    drop_oldest(breaks);
}

bool
Bk_Note(struct bk_breaks *breaks, const struct xc_exchange *exchange)
{
    struct ga_gate *gate = breaks->gate;
    const struct xc_attempt *attempt = &exchange->attempt;
    struct fl_endpoint *endpoint = attempt->endpoint;
    /* A connection that a peer relays may have broken at the peer. */
    if (Ro_Find(gate->moves, endpoint->entry.service) == NULL ||
        Cn_Peer(attempt->channel) != 0) {
        return false;
    }
    if (breaks->count == Bk_LIST_MAX) {
        count_oldest(breaks);
    }
    struct broken *broken = calloc(1, sizeof(*broken));
    if (broken == NULL) {
        Ln_Log(LN_FAILURE, "break.lost", "\"endpoint\":\"%s\"",
               endpoint->entry.id);
        return false;
    }
    broken->endpoint = Fl_Ref(endpoint);
    strlcpy(broken->route, exchange->route->name, sizeof(broken->route));
    broken->slow = attempt->slow;
    broken->at = Ga_Now(gate);
    STAILQ_INSERT_TAIL(&breaks->list, broken, link);
    breaks->count++;
    endpoint->probe_wanted |= !endpoint->link_state.cut;
    return true;
}

void
Bk_Tick(struct bk_breaks *breaks)
{
    int64_t due = Ga_Now(breaks->gate) - Bk_WAIT_USEC;
    while (breaks->count > 0 && STAILQ_FIRST(&breaks->list)->at <= due) {
        count_oldest(breaks);
    }
}

void
Bk_Destroy(struct bk_breaks *breaks)
{
    while (breaks != NULL && breaks->count > 0) {
        drop_oldest(breaks);
    }
    free(breaks);
}
