/*
 * What endpoints may be sent that say that they are brittle: one that has to
 * turn more than so many requests away in a second falls over.  Pure.
 *
 * Hosts hear of each other late or not at all, so the bound is kept without a
 * word between them.  The first few hosts, by their claims on an endpoint (see
 * warmup.h), may use its places to the last, the next few, of those that have
 * no better claim elsewhere, half of them; each is turned away once a second
 * at most.  The rest of these send it a request now and then while it is idle,
 * and all others pass it by.
 */
#ifndef POLICY_BRITTLE_H
#define POLICY_BRITTLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* One endpoint, as one host knows it. */
struct br_room {
    int most;             /* turned away in a second, and it still stands */
    int64_t told_at;      /* an answer of its service said so last; 0: none */
    int64_t heard_at;     /* another host said so last; 0: none */
    bool said;            /* its own answers say so */
    int64_t begun_at;     /* when this host learned of it */
    int64_t closed_until; /* it turned a request of this host away */
    size_t rank;          /* of this host's claim on it */
    int64_t rank_at;      /* when that was found; 0: never */
    bool best;            /* this host has no better claim in the service */
    size_t endpoints;     /* of the service, when that was found */
    int sent;             /* and not known to be taken */
    int64_t sent_since;
};

/* How hosts share the endpoint. */
struct br_part {
    size_t hosts;  /* that may use it to the last place */
    int each;      /* requests of one that are not known to be taken */
    size_t halves; /* these and those that may use a half of it */
    size_t hosts_per_endpoint; /* any other waits its turn */
};

struct br_part Br_Part(int most, size_t hosts, size_t endpoints);

/* An endpoint of the service says that it, as all of them, is brittle. */
void Br_Told(struct br_room *room, int most, int64_t now);
/* Another host, which was told so, says it. */
void Br_Heard(struct br_room *room, int most, int64_t now);
/* Whether another word would be no news yet. */
bool Br_HeardLately(const struct br_room *room, int64_t now);
/*
 * Whether an answer that does not say so, to a request sent at "sent_at",
 * shows that it is over: only one of an endpoint that has said it does.
 */
bool Br_IsOver(const struct br_room *room, int64_t sent_at);
void Br_End(struct br_room *room);
/* Whether other hosts are to be told: an answer said so lately. */
bool Br_IsTold(const struct br_room *room, int64_t now);
bool Br_IsBrittle(const struct br_room *room, int64_t now);
/* Whether the place in the order of claims is to be found anew. */
bool Br_RankIsOld(const struct br_room *room, int64_t now);
/*
 * Whether this host may send to it now; "running" are the requests of all
 * hosts there, as far as it knows.
 */
bool Br_MaySend(const struct br_room *room, const struct br_part *part,
                int running, int slots, int64_t now);
void Br_Sent(struct br_room *room, int64_t now);
void Br_Refused(struct br_room *room, int64_t now);

#ifdef __cplusplus
}
#endif

#endif
