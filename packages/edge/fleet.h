/*
 * The endpoints of all services as their entries in the store tell, with
 * what this daemon has seen of them.  An endpoint is known by its identity:
 * an address may be given to another service once it is free, and the same
 * identity with another start time knows nothing of what was before.
 */
#ifndef EDGE_FLEET_H
#define EDGE_FLEET_H

#include <bsd/sys/queue.h>
#include <bsd/sys/tree.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "edge/config.h"
#include "policy/brittle.h"
#include "policy/warmup.h"
#include "policy/way.h"
#include "web/channel.h"

#ifdef __cplusplus
extern "C" {
#endif

/* An entry of the store, decoded. */
struct fl_entry {
    char id[Ec_NAME_MAX];
    char service[Ec_NAME_MAX];
    char address[Ec_NAME_MAX];
    char zone[Ec_NAME_MAX];
    char version[Ec_NAME_MAX]; /* of its software */
    int slots;
    bool draining;
    bool spot;         /* may be taken away at short notice */
    int64_t born;      /* start, milliseconds since 1970 */
    int64_t cold_usec; /* how much longer it is slow after its start */
};

/* Data centres that can be evacuated at the same time. */
#define Fl_EVACUATED_MAX 64

TAILQ_HEAD(fl_idle_list, fl_idle);

struct fl_endpoint {
    TAILQ_ENTRY(fl_endpoint) link;
    RB_ENTRY(fl_endpoint) by_hash;
    int refs;
    uint32_t hash; /* of the identity; names it between daemons */
    struct fl_entry entry;
    bool gone;            /* the entry was removed */
    bool evacuated;       /* its data centre is to be sent nothing */
    int64_t vanished_at;  /* removed while that may be false; 0: no */
    int64_t refreshed_at; /* last entry seen */
    int64_t since;        /* first entry seen */
    int64_t returned_at;  /* its data centre was taken back; 0: never */
    struct wu_warmup warmup;
    struct br_room room;

    /* What this daemon has sent and not yet seen the end of. */
    int running;
    int connections;
    int64_t reading; /* prompt tokens sent whose first event is awaited */
    struct fl_idle_list idle;
    /* The same of all other daemons, as they last told, and of those of this
       data centre among them. */
    int others_running;
    int near_running;
    int64_t others_reading;
    int64_t near_reading;

    /* How it has answered; see health.h. */
    double failing;    /* share of recent answers that failed, 0 to 1 */
    double first_usec; /* recent time to the first byte */
    int64_t shunned_until;
    int64_t silent_at; /* when its silence was counted last; 0: never */
    int64_t answered_at;
    int64_t noted_at; /* last end of a request, good or bad */
    int64_t first_at; /* last first byte; 0: never */
    int strikes;      /* breaks in a row */
    int64_t ended_at; /* a request lost it before its first event; 0: no */

    /* This host's link to it; see paths.h. */
    bool test_wanted;
    struct wy_link way;
    int64_t heard_at; /* last bytes that came directly */
};

/* A kept connection. */
struct fl_idle {
    TAILQ_ENTRY(fl_idle) link;
    struct fl_endpoint *endpoint;
    struct cn_channel *channel;
};

TAILQ_HEAD(fl_list, fl_endpoint);

struct fl_fleet;

struct fl_fleet *Fl_Create(const struct ck_clock *clock);
void Fl_Destroy(struct fl_fleet *fleet);

/*
 * Whether an entry says the same as the one before it.  A warm-up that goes on
 * is no news, but one that has begun anew is.
 */
bool Fl_SameEntry(const struct fl_entry *before, const struct fl_entry *now);

/* Changes. */
void Fl_Apply(struct fl_fleet *fleet, const struct fl_entry *entry);
void Fl_Remove(struct fl_fleet *fleet, const char *id);
/* Removals told from now on may be false for "usec" (the store was away). */
void Fl_Doubt(struct fl_fleet *fleet, int64_t usec);
void Fl_Tick(struct fl_fleet *fleet);
/*
 * An operator wants nothing more to be sent to a data centre, or takes that
 * back; true when that is new.
 */
bool Fl_Evacuate(struct fl_fleet *fleet, const char *zone, bool asked);
void Fl_ClearOthers(struct fl_fleet *fleet);

/* Queries. */
const struct fl_list *Fl_All(const struct fl_fleet *fleet);
struct fl_endpoint *Fl_ByHash(const struct fl_fleet *fleet, uint32_t hash);
struct fl_endpoint *Fl_Find(const struct fl_fleet *fleet, const char *id);
bool Fl_Usable(const struct fl_endpoint *endpoint);
bool Fl_Any(const struct fl_fleet *fleet);
bool Fl_IsEvacuated(const struct fl_fleet *fleet, const char *zone);
/* Requests under way in evacuated data centres. */
int Fl_CountEvacuated(const struct fl_fleet *fleet);

struct fl_endpoint *Fl_Hold(struct fl_endpoint *endpoint);
void Fl_Drop(struct fl_endpoint *endpoint);

#ifdef __cplusplus
}
#endif

#endif
