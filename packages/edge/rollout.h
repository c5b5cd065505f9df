/*
 * Version moves: an operator orders that a service's requests go to another
 * version of its endpoints by a deadline.  The version gets a small part of
 * the requests while it is judged against the one in use, then all, and the
 * move is done when nothing runs at the old endpoints any more: they are
 * stopped without draining.  Pure but for the clock.
 *
 * Every daemon counts answers, and the counts of all are summed; any daemon
 * that finds the version bad says so, and all stop at once, without the
 * store.  The holder of the duty decides how much the version gets and when
 * the move is done.
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
#define Ro_ROWS_MAX (2 * Ro_ROUTES_MAX) /* failures and lateness of each */
#define Ro_ALL 1000                     /* a share, in thousandths */

/* Ordered by finality: a later one replaces an earlier one, never back. */
enum ro_state {
    RO_RUNNING,
    RO_ROLLED_BACK,
    RO_SUCCEEDED,
};

/* What the operator wrote. */
struct ro_order {
    char service[Ec_NAME_MAX];
    char target[Ec_NAME_MAX]; /* the version */
    int64_t duration_usec;
    int64_t number; /* rises with each order */
};

struct ro_count {
    uint32_t answers;
    uint32_t bad; /* failed, or late: several times as long as usual */
};

/*
 * Answers of both versions on a route, counted by one daemon: how many of
 * them failed, or how many were late.
 */
struct ro_evidence {
    uint32_t service; /* hashes of the names */
    uint32_t route;   /* with what is counted, see Ro_RowKey() */
    int64_t order;
    struct ro_count old;
    struct ro_count next;
};

/* Where a move stands; told to peers and recorded by the holder. */
struct ro_standing {
    uint32_t service;
    int64_t order;
    enum ro_state state;
    int share; /* of the requests, in thousandths; told by the holder */
};

/* Which endpoints a request may go to. */
enum ro_pick {
    RO_ANY,
    RO_OLD,       /* the new version only where there is no other */
    RO_OLD_ONLY,  /* never the new version */
    RO_OLD_FIRST, /* the old version, the new one when it has no room */
    RO_NEXT_FIRST /* the new version, others when it has no room */
};

/* Answers as they are judged: those of one pause are one. */
struct ro_weight {
    double answers;
    double bad;
};

/* What was late of both versions, taken in a window at a time. */
struct ro_late {
    struct ro_count seen[2]; /* up to the last window */
    struct ro_weight judged[2];
};

/* A row of evidence: a route's failures, or what was late on it. */
struct ro_row {
    uint32_t key;
    double usual_usec; /* first byte from the old version, here */
    struct ro_count own[2];
    struct ro_count others[2];
    struct ro_late late;
};

struct ro_move {
    struct ro_order order;
    uint32_t hash; /* of the service's name */
    enum ro_state state;
    int share;
    int64_t seen_at;
    int64_t all_at;    /* since when all requests go to the new version */
    int64_t empty_at;  /* since when nothing runs at the old one */
    int64_t window_at; /* when the window of what is late began */
    size_t row_count;
    struct ro_row rows[Ro_ROWS_MAX];
};

struct ro_table;

struct ro_table *Ro_Create(const struct ck_clock *clock);
void Ro_Destroy(struct ro_table *table);
uint32_t Ro_Hash(const char *name);

/* Changes. */
void Ro_Order(struct ro_table *table, const struct ro_order *order);
uint32_t Ro_RowKey(const char *route, bool late);
bool Ro_IsLate(uint32_t key);

/* A first byte came; true when it took several times as long as usual. */
bool Ro_First(struct ro_table *table, const char *service, const char *route,
              bool next, int64_t usec);
void Ro_Answered(struct ro_table *table, const char *service,
                 const char *route, bool next, bool failed, bool late);
void Ro_ClearOthers(struct ro_table *table);
void Ro_AddOthers(struct ro_table *table, const struct ro_evidence *rows,
                  size_t count);
/* Takes what a peer, or the record of the last holder, says; a share only
   from who holds the duty. */
void Ro_Heard(struct ro_table *table, const struct ro_standing *standing,
              bool from_holder);
/* Judges all moves; to be called several times a second. */
void Ro_Tick(struct ro_table *table);

/* What the holder knows of a service's endpoints. */
struct ro_scene {
    int old_usable;
    int next_usable;
    int old_running; /* requests, of all daemons */
};
/* Decides share and end of a move; for the holder alone. */
void Ro_Lead(struct ro_table *table, struct ro_move *move,
             const struct ro_scene *scene);

/* Queries. */
struct ro_move *Ro_Find(struct ro_table *table, const char *service);
struct ro_move *Ro_At(struct ro_table *table, size_t index); /* NULL: end */
enum ro_pick Ro_Pick(const struct ro_move *move, bool repeat, double unit);
size_t Ro_Own(const struct ro_table *table, struct ro_evidence *out,
              size_t size);
struct ro_standing Ro_Standing(const struct ro_move *move);
size_t Ro_Standings(const struct ro_table *table, struct ro_standing *out,
                    size_t size);
const char *Ro_StateName(enum ro_state state);

/* Whether the new version is worse beyond chance. */
bool Ro_IsWorse(const struct ro_count *old, const struct ro_count *next);
/* Takes in what has come since the last window. */
void Ro_CloseWindow(struct ro_late *late, const struct ro_count sums[2]);
bool Ro_IsLater(const struct ro_weight *old, const struct ro_weight *next);

#ifdef __cplusplus
}
#endif

#endif
