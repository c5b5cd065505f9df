/*
 * Declarations shared by controller.c, controller_orders.c and
 * controller_moves.c.
 */
#ifndef EDGE_CONTROLLER_INTERNAL_H
#define EDGE_CONTROLLER_INTERNAL_H

#include "edge/gate_internal.h"
#include "edge/plan.h"

#define Co_ORDERS_MAX 64
#define Co_SERVICES_MAX 16
/* Delay before a failed call to the platform or the store is repeated. */
#define Co_RETRY_USEC (700 * Ck_USEC_PER_MSEC)

/* Latest order for one kind of endpoint of a service in a data centre. */
struct order {
    char service[Ec_NAME_MAX];
    char zone[Ec_NAME_MAX];
    bool spot;
    int requested;
    int confirmed;  /* -1: no order confirmed under this fence */
    int usable;     /* usable endpoints when last planned */
    int max_usable; /* maximum since no endpoint was usable */
    /* when all ordered endpoints had disappeared; 0: never */
    int64_t reclaimed_at;
    int64_t sent_at;
    int64_t increased_at; /* when a larger order was last confirmed */
    int64_t unavailable_until;
    bool in_flight;
    struct co_controller *controller;
};

/* Endpoints that a service was found to need during this lease. */
struct service_estimate {
    char service[Ec_NAME_MAX];
    struct pn_estimate estimate;
    bool complete; /* all endpoints of the service have been discovered */
};

/* State of a move that was last published to operators. */
struct reported_move {
    bool published;
    int64_t order;
    enum ro_state state;
};

struct co_controller {
    struct ga_gate *gate;
    struct reported_move reported[Ro_MOVES_MAX];
    int64_t status_end; /* end of the topic AG_STATUS; -1: not known */
    int64_t publish_at;
    bool publishing;
    size_t publishing_index;
    int64_t publishing_order;
    enum ro_state publishing_state;
    int64_t report_window; /* window of the usage report in flight; 0: none */
    int64_t report_retry_at;
    int64_t planned_at;
    size_t order_count;
    struct order orders[Co_ORDERS_MAX];
    size_t estimate_count;
    struct service_estimate estimates[Co_SERVICES_MAX];
};

/*
 * Plans every service whose endpoints may be ordered and sends an order
 * wherever the plan differs from the usable endpoints.
 */
void co_tick_orders(struct co_controller *controller);
void co_tick_moves(struct co_controller *controller);
void co_restore_moves(struct co_controller *controller);

#endif
