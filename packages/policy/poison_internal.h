/* Shared by the files of the decision on poison requests only. */
#ifndef POLICY_POISON_INTERNAL_H
#define POLICY_POISON_INTERNAL_H

#include <bsd/sys/queue.h>

#include "base/clock.h"
#include "policy/poison.h"

#ifdef __cplusplus
extern "C" {
#endif

#define Pz_CRASHES_MAX 256
/* Parts whose beginning is kept in mind: so many sets of so many. */
#define Pz_SETS 1024 /* a power of two */
#define Pz_WAYS 4
#define Pz_SERVICES_MAX 16
#define Pz_BEGINS_MAX 8

struct pz_row {
    TAILQ_ENTRY(pz_row) link;
    struct pz_crash crash;
    bool own;  /* a request of this host */
    bool sure; /* the endpoint has ended */
    /* As of the last decision. */
    bool stopped;
    bool explained;
};

TAILQ_HEAD(pz_rows, pz_row);

/* When a part began, in requests of this host or as others say. */
struct pz_seen {
    struct pz_key key;
    uint32_t count;
    int64_t at;
    int64_t accused_at; /* last end of an endpoint under it that was heard */
};

/* The last beginnings of requests of a service at this host. */
struct pz_begins {
    uint32_t service;
    size_t next;
    int64_t at[Pz_BEGINS_MAX];
};

struct pz_table {
    struct pz_rule rule;
    const struct pz_ops *ops;
    void *arg;
    int64_t started_at;
    bool changed;        /* since the last decision */
    bool waits;          /* a part is accused, and too little else has begun */
    struct pz_rows rows; /* the oldest first */
    struct pz_rows spare;
    struct pz_row pool[Pz_CRASHES_MAX];
    struct pz_stop stops[Pz_STOPS_MAX];
    size_t stop_count;
    size_t service_count;
    struct pz_begins begins[Pz_SERVICES_MAX];
    struct pz_seen seen[Pz_SETS][Pz_WAYS];
};

/* The part in requests of all customers. */
#define Pz_ANY 0

struct pz_key pz_any(const struct pz_key *key);
/* Whether the end of its endpoint is known, or has not been denied. */
bool pz_counts(const struct pz_row *row, int64_t now);
bool pz_same(const struct pz_key *a, const struct pz_key *b);
/* NULL: it has not begun, as far as is known. */
struct pz_seen *pz_find_seen(const struct pz_table *table,
                             const struct pz_key *key);
/* Notes a beginning, "count" times, at "at". */
void pz_see(struct pz_table *table, const struct pz_key *key, uint32_t count,
            int64_t at);
/* When it last began; 0: never, as far as is known. */
int64_t pz_cleared_at(const struct pz_table *table, const struct pz_key *key);
/* How often it began lately. */
uint32_t pz_seen_count(const struct pz_table *table, const struct pz_key *key,
                       int64_t now);
void pz_note_begin(struct pz_table *table, uint32_t service, int64_t now);
/* Requests of the service that began since, Pz_BEGINS_MAX at most. */
int pz_begun_since(const struct pz_table *table, uint32_t service,
                   int64_t since);

void pz_add_crash(struct pz_table *table, const struct pz_crash *crash,
                  bool own);
struct pz_stop *pz_find_stop(struct pz_table *table, const struct pz_key *key);
/* False: there is no room. */
bool pz_add_stop(struct pz_table *table, const struct pz_stop *stop);
/* Whether requests with the part came lately. */
bool pz_is_current(const struct pz_stop *stop, int64_t now);
/* Forgets what is over. */
void pz_expire(struct pz_table *table, int64_t now);
/* Lifts the stop of a part that began after it was decided. */
void pz_lift_cleared(struct pz_table *table, const struct pz_key *key);

/*
 * Endpoints that ended one after the other under a part and that nothing
 * clears or explains; "begun": only under requests whose answer had begun.
 */
struct pz_chain {
    int length;
    int customers;
    int requests;
    uint32_t endpoint; /* the last */
    int64_t first_at;
    int64_t last_at;
    int depth;
};

struct pz_chain pz_find_chain(const struct pz_table *table,
                              const struct pz_key *key, bool begun,
                              int64_t now);
#ifdef __cplusplus
}
#endif

#endif
