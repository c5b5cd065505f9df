#include <stdlib.h>

#include "edge/exchange.h"
#include "edge/paths.h"

/*
 * An idle connection is reused only well before the endpoint's keep-alive time
 * ends: of a request that is sent while the endpoint closes the connection it
 * is unknown whether it ran.
 */
#define Po_KEEP_MARGIN_USEC (1500 * Ck_USEC_PER_MSEC)
/* Idle time limit where the endpoint gives no keep-alive time. */
#define Po_KEEP_DEFAULT_USEC (2000 * Ck_USEC_PER_MSEC)
/*
 * Lower limit for a request that must not run twice: a new connection costs
 * 1 ms, but a request that may have run cannot be retried.
 */
#define Po_KEEP_ONCE_USEC (1000 * Ck_USEC_PER_MSEC)
/* Hosts assumed beside the known ones when an endpoint's connections are
   divided among all hosts. */
#define Po_SPARE_HOSTS 2
#define Po_CONNECTIONS_MIN 2

static int64_t
reuse_usec(const struct cn_channel *channel, bool retryable)
{
    int64_t keep = Cn_KeepUsec(channel);
    int64_t usec =
        keep > 0 ? keep - Po_KEEP_MARGIN_USEC : Po_KEEP_DEFAULT_USEC;
    if (!retryable && usec > Po_KEEP_ONCE_USEC) {
        usec = Po_KEEP_ONCE_USEC;
    }
    return usec;
}

void
Po_Close(struct fl_endpoint *endpoint, struct fl_idle *idle)
{
    TAILQ_REMOVE(&endpoint->idle, idle, link);
    Cn_Close(idle->channel);
    endpoint->connections--;
    free(idle);
}

/* The endpoint closed an idle connection, or sent unexpected bytes on it. */
static void
on_idle_end(void *arg, struct cn_channel *channel)
{
    struct fl_endpoint *endpoint = arg;
    struct fl_idle *idle;
    TAILQ_FOREACH (idle, &endpoint->idle, link) {
        if (idle->channel == channel) {
            Po_Close(endpoint, idle);
            return;
        }
    }
}

/* Closes idle connections through a peer that is stopping or out of reach. */
static void
close_unusable(const struct ga_gate *gate, struct fl_endpoint *endpoint)
{
    struct fl_idle *idle;
    struct fl_idle *next;
    TAILQ_FOREACH_SAFE (idle, &endpoint->idle, link, next) {
        if (!Pt_MayReuse(gate->paths, idle->channel)) {
            Po_Close(endpoint, idle);
        }
    }
}

/*
 * Takes the most recently used idle connection, or opens one; NULL when out of
 * memory or descriptors.
 */
struct cn_channel *
Po_Take(struct ga_gate *gate, struct fl_endpoint *endpoint, bool retryable)
{
    int64_t now = Ga_Now(gate);
    close_unusable(gate, endpoint);
    struct fl_idle *idle = TAILQ_FIRST(&endpoint->idle);
    if (idle != NULL && now - Cn_IdleSince(idle->channel) <
                            reuse_usec(idle->channel, retryable)) {
        struct cn_channel *channel = idle->channel;
        TAILQ_REMOVE(&endpoint->idle, idle, link);
        free(idle);
        return channel;
    }
    struct cn_channel *channel =
        Pt_Connect(gate->paths, endpoint, on_idle_end);
    if (channel != NULL) {
        endpoint->connections++;
        Mt_Add(gate->count.connections_opened, 1);
    }
    return channel;
}

void
Po_Return(struct ga_gate *gate, struct fl_endpoint *endpoint,
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

/* Whether this host's quota of the endpoint's connections is in use. */
bool
Po_IsFull(const struct ga_gate *gate, const struct fl_endpoint *endpoint,
          const struct ec_service *service)
{
    if (endpoint->connections < Po_CONNECTIONS_MIN ||
        !TAILQ_EMPTY(&endpoint->idle) || service->conn_max <= 0) {
        return false;
    }
    size_t hosts = Ms_CountRunning(gate->mesh) + Po_SPARE_HOSTS;
    int quota = service->conn_max / (int)hosts;
    if (quota < Po_CONNECTIONS_MIN) {
        quota = Po_CONNECTIONS_MIN;
    }
    return endpoint->connections >= quota;
}

/* Closes idle connections that are too old to be reused. */
void
Po_Sweep(struct ga_gate *gate)
{
    int64_t now = Ga_Now(gate);
    struct fl_endpoint *endpoint;
    TAILQ_FOREACH (endpoint, Fl_All(gate->fleet), link) {
        close_unusable(gate, endpoint);
        struct fl_idle *idle;
        struct fl_idle *next;
        TAILQ_FOREACH_SAFE (idle, &endpoint->idle, link, next) {
            if (now - Cn_IdleSince(idle->channel) >
                reuse_usec(idle->channel, true)) {
                Po_Close(endpoint, idle);
            }
        }
    }
}
