/*
 * The lease holder's controller: it reports usage and orders endpoints.  Both
 * calls carry the fence of its lease, and both can be repeated: a report is
 * recorded before it is sent, and an order names the number of endpoints and
 * not a change.
 */
#include <bsd/string.h>
#include <stdlib.h>
#include <string.h>

#include "edge/controller_internal.h"

/*
 * Daemons exchange the counts of a window for a while after its end.  The
 * report is due many seconds later, so waiting for the last counts is safe.
 */
#define Co_COUNTS_SETTLE_USEC (2500 * Ck_USEC_PER_MSEC)

struct co_controller *
Co_Create(struct ga_gate *gate)
{
    struct co_controller *controller = calloc(1, sizeof(*controller));
    if (controller != NULL) {
        controller->gate = gate;
    }
    return controller;
}

/* The platform must not deliver any answer after this call. */
void
Co_Destroy(struct co_controller *controller)
{
    free(controller);
}

/* Returns the number of the usage window that contains a true time. */
int64_t
Co_UsageWindow(const struct ga_gate *gate, int64_t true_usec)
{
    return true_usec / gate->options.node->usage_window_usec;
}

void
Co_LeaseChanged(void *arg, bool holder, int64_t fence)
{
    struct ga_gate *gate = arg;
    Ln_Log(LN_STATE, holder ? "duty.won" : "duty.lost", "\"fence\":%lld",
           (long long)fence);
    if (holder && gate->controller != NULL) {
        /*
         * The estimates of an earlier lease of this daemon are older than the
         * recorded needs.  With old estimates, 25 endpoints were scaled down
         * to 6 after a restart of most hosts, because the low load seen at
         * first took effect at once.
         */
        gate->controller->estimate_count = 0;
        co_restore_moves(gate->controller);
    }
    for (size_t i = 0;
         gate->controller != NULL && i < gate->controller->order_count; i++) {
        gate->controller->orders[i].confirmed = -1;
    }
}

static void
on_reported(void *arg, enum cl_status status)
{
    struct co_controller *controller = arg;
    struct ga_gate *gate = controller->gate;
    struct lr_usage *usage = Lr_Usage(gate->lease, controller->report_window);
    Ln_Log(status == CL_DONE ? LN_ORDINARY : LN_FAILURE, "usage.reported",
           "\"window\":%lld,\"status\":%d,\"fence\":%lld",
           (long long)controller->report_window, (int)status,
           (long long)Lr_Fence(gate->lease));
    controller->report_window = 0;
    if (status == CL_DONE && usage != NULL) {
        usage->reported = true;
        return;
    }
    controller->report_retry_at = Ga_Now(gate) + Co_RETRY_USEC;
    if (status == CL_FENCED) {
        Lr_FenceRefused(gate->lease);
    }
}

static void
report(struct co_controller *controller, struct lr_usage *usage)
{
    struct ga_gate *gate = controller->gate;
    controller->report_window = usage->window;
    gate->options.cloud->ops->report(gate->options.cloud,
                                     Lr_Fence(gate->lease), usage, on_reported,
                                     controller);
}

static const char *
tenant_name(const struct ec_config *config, uint32_t hash)
{
    for (size_t i = 0; i < config->tenant_count; i++) {
        if (Qt_Hash(config->tenants[i].name) == hash) {
            return config->tenants[i].name;
        }
    }
    return NULL;
}

static void
record_usage(struct co_controller *controller, int64_t window)
{
    struct ga_gate *gate = controller->gate;
    const struct ec_config *config = Fe_Config(gate->feed);
    if (config == NULL) {
        return;
    }
    struct us_count counts[Us_TENANTS_MAX];
    size_t count = Us_Total(gate->usage, window, counts);
    static struct lr_usage usage;
    memset(&usage, 0, sizeof(usage));
    usage.window = window;
    for (size_t i = 0; i < count && usage.count < Lr_TENANTS_MAX; i++) {
        const char *name = tenant_name(config, counts[i].tenant);
        if (name != NULL) {
            struct lr_tenant *tenant = &usage.tenants[usage.count++];
            strlcpy(tenant->name, name, sizeof(tenant->name));
            tenant->count = counts[i].count;
        }
    }
    if (Lr_RecordUsage(gate->lease, &usage)) {
        Ln_Log(LN_STATE, "usage.agreed", "\"window\":%lld,\"tenants\":%zu",
               (long long)window, usage.count);
    }
}

/* Handles one completed usage window at a time, oldest first. */
static void
tick_usage(struct co_controller *controller)
{
    struct ga_gate *gate = controller->gate;
    const struct nd_node *node = gate->options.node;
    if (controller->report_window != 0 ||
        Ga_Now(gate) < controller->report_retry_at) {
        return;
    }
    int64_t now = Tt_Now(gate->true_time);
    int64_t newest = Co_UsageWindow(gate, now - Co_COUNTS_SETTLE_USEC) - 1;
    int64_t oldest = newest - node->usage_late_usec / node->usage_window_usec;
    for (int64_t window = oldest; window <= newest; window++) {
        struct lr_usage *usage = Lr_Usage(gate->lease, window);
        if (usage == NULL) {
            record_usage(controller, window);
            return;
        }
        if (!usage->reported) {
            report(controller, usage);
            return;
        }
    }
}

/*
 * Passes the previous holder's record of what tenants spent to the quotas, and
 * sets what the next renewal records.
 */
static void
exchange_recent(struct ga_gate *gate)
{
    const struct qt_recent *inherited;
    size_t count = Lr_InheritedRecent(gate->lease, &inherited);
    Qt_RestoreUsage(gate->quota, inherited, count);
    if (Lr_Holds(gate->lease)) {
        struct qt_recent recent[Qt_RECENT_MAX];
        count = Qt_RecentUsage(gate->quota, recent);
        Lr_SetRecent(gate->lease, recent, count);
    }
}

void
Co_Tick(struct co_controller *controller)
{
    struct ga_gate *gate = controller->gate;
    exchange_recent(gate);
    if (!Lr_Holds(gate->lease)) {
        return;
    }
    if (gate->options.node->report_usage) {
        tick_usage(controller);
    }
    co_tick_moves(controller);
    if (gate->options.node->order_endpoints && Lr_Holds(gate->lease) &&
        gate->stopping_at == 0) {
        co_tick_orders(controller);
    }
}
