/*
 * Version moves.  An operator orders that the requests of a service move to
 * another version of its endpoints by a deadline.  The new version first gets
 * a small share of the requests while its answers are compared with those of
 * the old version, then all of them.  The move has succeeded when no request
 * runs at the old endpoints any more; these are then stopped without draining.
 * The functions depend on nothing but their arguments and the clock.
 *
 * Each daemon counts answers and sends its counts to its peers, which add them
 * up.  Any daemon that finds the new version worse rolls the move back and
 * tells its peers, which roll back at once without the store.  The lease
 * holder alone sets the share and decides that the move has succeeded.
 */
#ifndef EDGE_ROLLOUT_H
#define EDGE_ROLLOUT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "edge/config.h"
#include "policy/canary.h"
#include "policy/pace.h"

#ifdef __cplusplus
extern "C" {
#endif

#define Ro_MOVES_MAX 16
#define Ro_ROUTES_MAX 16
/* RO_FAILED, RO_SLOW and RO_SLOW_PACE for each route, and one row of each
   other kind for all routes */
#define Ro_ROWS_MAX (3 * Ro_ROUTES_MAX + 3)
#define Ro_FULL_SHARE Cy_FULL_SHARE

/* What the bad answers of a row are. */
enum ro_kind {
    RO_FAILED,
    RO_SLOW,
    RO_LOST, /* ended with their endpoint; of all routes together */
    /* streams with a long time between their events, and plain answers that
       end late */
    RO_SLOW_PACE,
    /* refused by an endpoint with room; of all routes together */
    RO_REFUSED,
    /* not answered by an endpoint that answered later ones; of all routes
       together */
    RO_MUTE,
    RO_KINDS,
};

/* How a request at an endpoint ended. */
struct ro_result {
    bool failed;
    bool slow; /* to the first byte */
    bool lost; /* the endpoint died; "failed" does not count then */
};

/* A later state replaces an earlier one and is never replaced by it. */
enum ro_state {
    RO_RUNNING,
    RO_ROLLED_BACK,
    RO_SUCCEEDED,
};

/* An operator's order. */
struct ro_order {
    char service[Ec_NAME_MAX];
    char target[Ec_NAME_MAX]; /* version to move to */
    int64_t duration_usec;
    int64_t number; /* increases with each order */
};

/*
 * Answers of both versions, counted by one daemon: how many failed or were
 * slow on one route, or were lost on all routes; see enum ro_kind.
 */
struct ro_outcomes {
    uint32_t service; /* hash of the name */
    /* identifies the row: route and kind, see Ro_RowKey() */
    uint32_t route;
    int64_t order;
    struct cy_count old_version;
    struct cy_count new_version;
};

/* Status of a move, sent to peers and recorded by the lease holder. */
struct ro_status {
    uint32_t service;
    int64_t order;
    enum ro_state state;
    int share; /* thousandths of the requests; set by the lease holder */
};

/* Which versions a request may go to. */
enum ro_pick {
    RO_ANY,
    RO_OLD,       /* the new version only if there is no old endpoint */
    RO_OLD_ONLY,  /* never the new version */
    RO_OLD_FIRST, /* the new version only if the old one has no free slot */
    RO_NEW_FIRST  /* other versions only if the new one has no free slot */
};

/* Counts of one kind, of one route or of all. */
struct ro_row {
    uint32_t key;
    /* average time to the first byte of the old version on this daemon */
    double typical_usec;
    struct pa_typical typical_pace; /* the same of its streams */
    struct cy_count own[CY_SIDES];
    struct cy_count peers[CY_SIDES];
    /* counted by processes of peers that have been restarted since */
    struct cy_count departed[CY_SIDES];
    struct cy_evidence evidence;
};

struct ro_move {
    struct ro_order order;
    uint32_t hash; /* of the service's name */
    enum ro_state state;
    int share;
    int64_t started_at;
    /* when the share became Ro_FULL_SHARE; 0: it is lower */
    int64_t full_since;
    /* when the old endpoints became idle; 0: they are not */
    int64_t drained_since;
    int64_t window_since;  /* start of the current window of evidence */
    size_t window_count;   /* that are over */
    bool suspect;          /* the new version looks worse, see canary.h */
    bool doubtful;         /* it may be worse */
    bool relapsed;         /* it became either when it had all requests */
    uint32_t good_answers; /* of the new version, when it last was either */
    struct cy_pacer pacer; /* of this daemon's requests */
    size_t row_count;
    struct ro_row rows[Ro_ROWS_MAX];
};

struct ro_table;

/* "seed" spreads the first requests to a new version over the daemons. */
struct ro_table *Ro_Create(const struct ck_clock *clock, uint64_t seed);
void Ro_Destroy(struct ro_table *table);
uint32_t Ro_Hash(const char *name);

void Ro_Order(struct ro_table *table, const struct ro_order *order);
/* "route" is NULL for kinds that count all routes together. */
uint32_t Ro_RowKey(const char *route, enum ro_kind kind);
enum ro_kind Ro_KindOfKey(uint32_t key);

/*
 * Records the time to a first byte; returns whether it is slow, that is,
 * several times the average of the old version.
 */
bool Ro_RecordFirstByte(struct ro_table *table, const char *service,
                        const char *route, bool is_new, int64_t usec);
/* Counts the pace of a stream, once several of its events have come. */
void Ro_RecordPace(struct ro_table *table, const char *service,
                   const char *route, bool is_new, const struct pa_pace *pace);
/*
 * The time after which an answer of a service that is being moved is slow;
 * 0: not known yet, or no move.
 */
int64_t Ro_SlowAfter(struct ro_table *table, const char *service,
                     const char *route);
void Ro_RecordAnswer(struct ro_table *table, const char *service,
                     const char *route, bool is_new,
                     const struct ro_result *result);
/* A slow request ended without an answer; nothing else is known of it. */
void Ro_RecordSilence(struct ro_table *table, const char *service,
                      const char *route, bool is_new);
/* The same, and its endpoint has answered requests that came later. */
void Ro_RecordMute(struct ro_table *table, const char *service, bool is_new);
/* Counts a request at an endpoint with room, which refused it or not. */
void Ro_RecordRefusal(struct ro_table *table, const char *service, bool is_new,
                      bool refused);
/*
 * A stream or plain answer ended unfinished; it counts if it is slow already.
 */
void Ro_RecordUnfinished(struct ro_table *table, const char *service,
                         const char *route, bool is_new,
                         const struct pa_pace *pace);
/* Counts a request sent, for the share of the new version. */
void Ro_NoteSent(struct ro_table *table, const char *service, bool is_new);
/* Keeps the counts of a peer's process that has been restarted. */
void Ro_RetireOutcomes(struct ro_table *table, const struct ro_outcomes *rows,
                       size_t count);
void Ro_ClearPeerOutcomes(struct ro_table *table);
void Ro_AddPeerOutcomes(struct ro_table *table, const struct ro_outcomes *rows,
                        size_t count);
/*
 * Applies a status from a peer or from the previous lease holder's record.
 * The share is taken only from the lease holder.
 */
void Ro_ApplyStatus(struct ro_table *table, const struct ro_status *status,
                    bool from_holder);
/* Compares the versions of all moves; called several times a second. */
void Ro_Tick(struct ro_table *table);

/* Endpoints of a service by version, as the lease holder sees them. */
struct ro_endpoint_counts {
    int old_usable;
    int new_usable;
    int old_running;    /* requests of all daemons at the old version */
    int64_t drain_usec; /* longest time that their requests may take */
};
/* Sets the share of a move and ends it; called by the lease holder only. */
void Ro_Advance(struct ro_table *table, struct ro_move *move,
                const struct ro_endpoint_counts *counts);

/* Whether the service is being moved and the move has not ended. */
bool Ro_IsRunning(struct ro_table *table, const char *service);
struct ro_move *Ro_Find(struct ro_table *table, const char *service);
/* NULL past the last move */
struct ro_move *Ro_At(struct ro_table *table, size_t index);
/*
 * Chooses the version for the next request of this daemon; "move" is NULL if
 * the service is not being moved.
 */
enum ro_pick Ro_Pick(const struct ro_move *move, bool retry);
/*
 * Whether the new version may get a request because no endpoint of the old one
 * is listed.
 */
bool Ro_MayStandIn(const struct ro_move *move);
size_t Ro_LocalOutcomes(const struct ro_table *table, struct ro_outcomes *out,
                        size_t size);
struct ro_status Ro_Status(const struct ro_move *move);
size_t Ro_Statuses(const struct ro_table *table, struct ro_status *out,
                   size_t size);
const char *Ro_StateName(enum ro_state state);

#ifdef __cplusplus
}
#endif

#endif
