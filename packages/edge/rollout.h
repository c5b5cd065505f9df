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

#ifdef __cplusplus
extern "C" {
#endif

#define Ro_MOVES_MAX 16
#define Ro_ROUTES_MAX 16
/* one for failures and one for slow answers per route */
#define Ro_ROWS_MAX (2 * Ro_ROUTES_MAX)
#define Ro_FULL_SHARE 1000 /* all requests; shares are in thousandths */

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

struct ro_count {
    uint32_t answers;
    uint32_t bad; /* failed, or slow to the first byte, as the row counts */
};

/*
 * Answers of both versions on one route, counted by one daemon: how many
 * failed, or how many were slow.
 */
struct ro_outcomes {
    uint32_t service; /* hash of the name */
    /* hash of the route and of what is counted, see Ro_RowKey() */
    uint32_t route;
    int64_t order;
    struct ro_count old_version;
    struct ro_count new_version;
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

/* Answers with the weights of Ro_CloseWindow(). */
struct ro_weighted_count {
    double answers;
    double bad;
};

/* Slow answers of both versions, weighted window by window. */
struct ro_slow_counts {
    struct ro_count counted[2]; /* totals at the end of the last window */
    struct ro_weighted_count weighted[2];
};

/* Counts of one route: either its failures or its slow answers. */
struct ro_row {
    uint32_t key;
    /* average time to the first byte of the old version on this daemon */
    double typical_usec;
    struct ro_count own[2];
    struct ro_count peers[2];
    struct ro_slow_counts slow_counts;
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
    int64_t window_since; /* start of the current window of slow answers */
    size_t row_count;
    struct ro_row rows[Ro_ROWS_MAX];
};

struct ro_table;

struct ro_table *Ro_Create(const struct ck_clock *clock);
void Ro_Destroy(struct ro_table *table);
uint32_t Ro_Hash(const char *name);

void Ro_Order(struct ro_table *table, const struct ro_order *order);
uint32_t Ro_RowKey(const char *route, bool slow);
bool Ro_IsSlowKey(uint32_t key);

/*
 * Records the time to a first byte; returns whether it is slow, that is,
 * several times the average of the old version.
 */
bool Ro_RecordFirstByte(struct ro_table *table, const char *service,
                        const char *route, bool is_new, int64_t usec);
void Ro_RecordAnswer(struct ro_table *table, const char *service,
                     const char *route, bool is_new, bool failed, bool slow);
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
    int old_running; /* requests of all daemons at the old version */
};
/* Sets the share of a move and ends it; called by the lease holder only. */
void Ro_Advance(struct ro_table *table, struct ro_move *move,
                const struct ro_endpoint_counts *counts);

/* Whether the service is being moved and the move has not ended. */
bool Ro_IsRunning(struct ro_table *table, const char *service);
struct ro_move *Ro_Find(struct ro_table *table, const char *service);
/* NULL past the last move */
struct ro_move *Ro_At(struct ro_table *table, size_t index);
/* Chooses for a request by a random number from 0 to below 1. */
enum ro_pick Ro_Pick(const struct ro_move *move, bool retry, double random);
size_t Ro_LocalOutcomes(const struct ro_table *table, struct ro_outcomes *out,
                        size_t size);
struct ro_status Ro_Status(const struct ro_move *move);
size_t Ro_Statuses(const struct ro_table *table, struct ro_status *out,
                   size_t size);
const char *Ro_StateName(enum ro_state state);

/* Returns whether the new version is worse beyond chance. */
bool Ro_IsWorse(const struct ro_count *old_count,
                const struct ro_count *new_count);
/* Adds the answers since the last window, with bounded weight. */
void Ro_CloseWindow(struct ro_slow_counts *slow_counts,
                    const struct ro_count sums[2]);
bool Ro_IsWorseWeighted(const struct ro_weighted_count *old_count,
                        const struct ro_weighted_count *new_count);

#ifdef __cplusplus
}
#endif

#endif
