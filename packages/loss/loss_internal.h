/* Declarations shared by the files of this package. */
#ifndef LOSS_LOSS_INTERNAL_H
#define LOSS_LOSS_INTERNAL_H

#include <bsd/sys/queue.h>
#include <bsd/sys/tree.h>
#include <stdbool.h>
#include <stdint.h>

#include "loss/loss.h"

/* Rows of a table; requests with further names are counted as "others". */
#define Ls_ROWS_MAX 4096
/* Requests tracked in flight; beyond it, the oldest one is evicted. */
#define Ls_PENDING_MAX 200000

/* Requests of one reason, customer, route, endpoint or second. */
struct ls_row {
    RB_ENTRY(ls_row) link;
    char *name;
    int64_t number; /* seconds since 1970 in the table of seconds, else 0 */
    uint64_t total;
    uint64_t late; /* served after the route's latency target */
    uint64_t lost;
};

RB_HEAD(ls_rows, ls_row);

struct ls_table {
    const char *title;
    bool by_number; /* sorted by number, else by late and lost requests */
    struct ls_rows rows;
    size_t count;
};

/* A request that was sent to an endpoint and has not ended. */
struct ls_pending {
    RB_ENTRY(ls_pending) link;
    TAILQ_ENTRY(ls_pending) age_link;
    char *id;
    char *customer;
    char *endpoint;
    double sent_at;
};

RB_HEAD(ls_pending_tree, ls_pending);
TAILQ_HEAD(ls_pending_list, ls_pending);

enum ls_table_id {
    LS_REASON,
    LS_CUSTOMER,
    LS_ROUTE,
    LS_ENDPOINT,
    LS_SECOND,
    LS_TABLES,
};

struct ls_losses {
    struct ls_table tables[LS_TABLES];
    struct ls_pending_tree pending;
    struct ls_pending_list pending_by_age; /* oldest first */
    size_t pending_count;
    uint64_t requests;
    uint64_t served;
    uint64_t late;
    uint64_t lost;
    uint64_t discarded; /* not tracked: too many in flight, or no memory */
    uint64_t lines;
    uint64_t malformed;  /* lines too long, or with a brace but no JSON */
    uint64_t other;      /* lines that are not events */
    uint64_t suppressed; /* lines that daemons report as not written */
};

/* How a request ended. */
struct ls_end {
    const char *reason; /* NULL: served in time */
    const char *customer;
    const char *route;
    const char *endpoint;
    double at; /* seconds since 1970 */
    bool late; /* served after the latency target; "reason" is set */
};

void ls_count(struct ls_losses *losses, const struct ls_end *end);

void ls_table_init(struct ls_table *table, const char *title, bool by_number);
void ls_table_clear(struct ls_table *table);
/* Finds or creates a row; returns NULL if an allocation fails. */
struct ls_row *ls_table_row(struct ls_table *table, const char *name,
                            int64_t number);
/*
 * Returns the rows in display order; the caller frees the array.  Returns NULL
 * if the table is empty or an allocation fails.
 */
const struct ls_row **ls_table_sorted(const struct ls_table *table);

/* Requests in flight, by id; ls_pending_take removes one from the tree. */
void ls_pending_add(struct ls_losses *losses, const char *id,
                    const char *customer, const char *endpoint, double at);
struct ls_pending *ls_pending_take(struct ls_losses *losses, const char *id);
void ls_pending_free(struct ls_pending *request);

#endif
