#include <stdlib.h>

#include "edge/exchange.h"
#include "edge/paths.h"

/*
 * A connection is used again only well before its other side would close it:
 * a request that meets that close may or may not have run.
 */
#define Po_KEEP_MARGIN_USEC (1500 * Ck_USEC_PER_MSEC)
/* Where the other side does not say how long it keeps connections. */
#define Po_KEEP_UNSAID_USEC (2000 * Ck_USEC_PER_MSEC)
/*
 * A request that may run once only takes a younger one: one connection more
 * costs a millisecond, a doubt costs the request.
 */
#define Po_KEEP_ONCE_USEC (1000 * Ck_USEC_PER_MSEC)
/* Room left below an endpoint's cap for daemons that are not heard. */
#define Po_SPARE_DAEMONS 2
#define Po_LEAST_CONNECTIONS 2

static int64_t
usable_for(const struct cn_channel *channel, bool repeatable)
{
    int64_t keep = Cn_KeepUsec(channel);
    int64_t usec = keep > 0 ? keep - Po_KEEP_MARGIN_USEC : Po_KEEP_UNSAID_USEC;
    if (!repeatable && usec > Po_KEEP_ONCE_USEC) {
        usec = Po_KEEP_ONCE_USEC;
    }
    return usec;
}

void
Po_Drop(struct fl_endpoint *endpoint, struct fl_idle *idle)
{
    TAILQ_REMOVE(&endpoint->idle, idle, link);
    Cn_Close(idle->channel);
    endpoint->connections--;
    free(idle);
}

/* An idle connection was closed by the other side, or spoke unasked. */
static void
on_idle_end(void *arg, struct cn_channel *channel)
{
    struct fl_endpoint *endpoint = arg;
    struct fl_idle *idle;
    TAILQ_FOREACH (idle, &endpoint->idle, link) {
        if (idle->channel == channel) {
            Po_Drop(endpoint, idle);
            return;
        }
    }
}

/* Those that lead through a peer that is going, or is not heard. */
static void
drop_useless(const struct ga_gate *gate, struct fl_endpoint *endpoint)
{
    struct fl_idle *idle;
    struct fl_idle *next;
    TAILQ_FOREACH_SAFE (idle, &endpoint->idle, link, next) {
        if (!Pt_MayUse(gate->paths, idle->channel)) {
            Po_Drop(endpoint, idle);
        }
    }
}

/* The connection used last is taken first; NULL when none can be had. */
struct cn_channel *
Po_Take(struct ga_gate *gate, struct fl_endpoint *endpoint, bool repeatable)
{
    int64_t now = Ga_Now(gate);
    drop_useless(gate, endpoint);
    struct fl_idle *idle = TAILQ_FIRST(&endpoint->idle);
    if (idle != NULL && now - Cn_IdleSince(idle->channel) <
                            usable_for(idle->channel, repeatable)) {
        struct cn_channel *channel = idle->channel;
        TAILQ_REMOVE(&endpoint->idle, idle, link);
        free(idle);
        return channel;
    }
    struct cn_channel *channel =
        Pt_Connect(gate->paths, endpoint, on_idle_end);
    if (channel != NULL) {
        endpoint->connections++;
        Mt_Add(gate->count.opened, 1);
    }
    return channel;
}

void
Po_Give(struct ga_gate *gate, struct fl_endpoint *endpoint,
        struct cn_channel *channel)
{
    (void)gate;
    struct fl_idle *idle = NULL;
    if (Cn_Reusable(channel) && Fl_Usable(endpoint)) {
        idle = calloc(1, sizeof(*idle));
    }
    if (idle == NULL) {
        Cn_Close(channel);
        endpoint->connections--;
        return;
    }
    idle->endpoint = endpoint;
    idle->channel = channel;
    TAILQ_INSERT_HEAD(&endpoint->idle, idle, link);
}

/* Whether this daemon's part of the endpoint's connections is in use. */
bool
Po_Full(const struct ga_gate *gate, const struct fl_endpoint *endpoint,
        const struct ec_service *service)
{
    if (!TAILQ_EMPTY(&endpoint->idle) || service->conn_max <= 0) {
        return false;
    }
    size_t daemons = Ms_CountKnown(gate->mesh) + Po_SPARE_DAEMONS;
    int part = service->conn_max / (int)daemons;
    if (part < Po_LEAST_CONNECTIONS) {
        part = Po_LEAST_CONNECTIONS;
    }
    return endpoint->connections >= part;
}

/* Closes connections that would not be used any more. */
void
Po_Sweep(struct ga_gate *gate)
{
    int64_t now = Ga_Now(gate);
    struct fl_endpoint *endpoint;
    TAILQ_FOREACH (endpoint, Fl_All(gate->fleet), link) {
        drop_useless(gate, endpoint);
        struct fl_idle *idle;
        struct fl_idle *next;
        TAILQ_FOREACH_SAFE (idle, &endpoint->idle, link, next) {
            if (now - Cn_IdleSince(idle->channel) >
                usable_for(idle->channel, true)) {
                Po_Drop(endpoint, idle);
            }
        }
    }
}
