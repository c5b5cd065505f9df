/*
 * Creation of the links of a node, request handlers, timeouts and idle
 * connections.
 */
#include "member/link.h"

#include <bsd/string.h>
#include <stdlib.h>
#include <string.h>

#include "member/link_internal.h"

#define Lk_IDLE_USEC (60 * Ck_USEC_PER_SEC)
#define Lk_HELLO_TIMEOUT_USEC (5 * Ck_USEC_PER_SEC)
#define Lk_CALL_SWEEP_USEC (50 * Ck_USEC_PER_MSEC)
#define Lk_IDLE_SWEEP_USEC Ck_USEC_PER_SEC

static void on_timer(void *arg);
static void free_closed(struct lk_links *links);

/* Creates the links and listens.  They must be destroyed before the loop. */
enum st_status
Lk_Create(struct lp_loop *loop, const struct lk_options *options,
          struct lk_links **out)
{
    if (options->cluster_key == NULL || options->cluster_key[0] == '\0') {
        return St_Fail(ST_INVALID, "no cluster key; give every daemon the "
                                   "same secret");
    }
    struct lk_links *links = calloc(1, sizeof(*links));
    if (links == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for the links");
    }
    links->loop = loop;
    links->clock = options->clock;
    links->ledger = options->ledger;
    links->idle_usec =
        options->idle_usec != 0 ? options->idle_usec : Lk_IDLE_USEC;
    strlcpy(links->node, options->node, sizeof(links->node));
    Wr_DeriveKey(options->cluster_key, "frame", links->key);
    TAILQ_INIT(&links->connections);
    TAILQ_INIT(&links->closed);
    TAILQ_INIT(&links->calls);
    TAILQ_INIT(&links->requests);
    SLIST_INIT(&links->handlers);
    links->timer = Lp_TimerCreate(loop, on_timer, links);
    enum st_status status =
        links->timer == NULL
            ? St_Fail(ST_NO_MEMORY, "no memory for a timer")
            : lk_listen(links, options->address, options->port);
    if (status != ST_OK) {
        Lk_Destroy(links);
        return status;
    }
    *out = links;
    return ST_OK;
}

/*
 * Closes all connections.  Calls in flight end without a result, and
 * Lk_Reply() must not be called for pending requests any more.
 */
void
Lk_Destroy(struct lk_links *links)
{
    if (links == NULL) {
        return;
    }
    struct lk_call *call;
    struct lk_call *next_call;
    TAILQ_FOREACH_SAFE (call, &links->calls, link, next_call) {
        Lk_Cancel(call);
    }
    struct lk_connection *connection;
    struct lk_connection *next_connection;
    TAILQ_FOREACH_SAFE (connection, &links->connections, link,
                        next_connection) {
        lk_close(connection);
    }
    free_closed(links);
    struct lk_request *request;
    struct lk_request *next_request;
    TAILQ_FOREACH_SAFE (request, &links->requests, link, next_request) {
        free(request);
    }
    struct lk_handler *handler;
    struct lk_handler *next_handler;
    SLIST_FOREACH_SAFE(handler, &links->handlers, link, next_handler)
    {
        free(handler);
    }
    Lp_WatchDestroy(links->listener);
    Lp_TimerDestroy(links->timer);
    free(links);
}

uint16_t
Lk_Port(const struct lk_links *links)
{
    return links->port;
}

/* Counters since the links were created. */
const struct lk_counters *
Lk_Counters(const struct lk_links *links)
{
    return &links->counters;
}

/* Returns the number of open connections, in both directions. */
size_t
Lk_Connections(const struct lk_links *links)
{
    return links->connection_count;
}

/*
 * Sets the handler of a request type.  Returns ST_CONFLICT when the type has
 * one.
 */
enum st_status
Lk_SetHandler(struct lk_links *links, const char *type, lk_handler_fn fn,
              void *arg)
{
    struct lk_handler *handler;
    SLIST_FOREACH (handler, &links->handlers, link) {
        if (strcmp(handler->type, type) == 0) {
            return St_Fail(ST_CONFLICT, "requests of type %s have a handler",
                           type);
        }
    }
    if (strlen(type) >= Wr_TYPE_MAX) {
        return St_Fail(ST_INVALID, "request type %s; at most %d bytes fit",
                       type, Wr_TYPE_MAX - 1);
    }
    handler = calloc(1, sizeof(*handler));
    if (handler == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for a handler");
    }
    strlcpy(handler->type, type, sizeof(handler->type));
    handler->fn = fn;
    handler->arg = arg;
    SLIST_INSERT_HEAD(&links->handlers, handler, link);
    return ST_OK;
}

/*
 * Sets the timer: to the shorter interval while calls have deadlines or closed
 * connections wait to be freed, else to the interval of the idle check.
 */
void
lk_arm(struct lk_links *links)
{
    int64_t delay = 0;
    if (!TAILQ_EMPTY(&links->calls) || !TAILQ_EMPTY(&links->closed)) {
        delay = Lk_CALL_SWEEP_USEC;
    }
    else if (!TAILQ_EMPTY(&links->connections)) {
        delay = Lk_IDLE_SWEEP_USEC;
    }
    int64_t due = Ck_Now(links->clock) + delay;
    /*
     * Never postpone a timer that is set: with frequent calls it would never
     * fire.
     */
    if (delay != 0 && (links->timer_usec == 0 || due < links->timer_usec)) {
        links->timer_usec = due;
        Lp_TimerSet(links->timer, delay);
    }
}

static struct lk_handler *
find_handler(struct lk_links *links, const char *type)
{
    struct lk_handler *handler;
    SLIST_FOREACH (handler, &links->handlers, link) {
        if (strcmp(handler->type, type) == 0) {
            return handler;
        }
    }
    return NULL;
}

/* Passes a request to the handler of its type. */
void
lk_on_request(struct lk_connection *connection, const struct wr_frame *frame)
{
    struct lk_links *links = connection->links;
    struct lk_request *request = calloc(1, sizeof(*request) + frame->len);
    if (request == NULL) {
        lk_close(connection);
        return;
    }
    request->links = links;
    request->connection = connection;
    request->id = frame->id;
    request->len = frame->len;
    strlcpy(request->from, connection->node, sizeof(request->from));
    if (frame->len > 0) {
        memcpy(request->payload, frame->payload, frame->len);
    }
    TAILQ_INSERT_TAIL(&links->requests, request, link);
    connection->in_flight++;
    struct lk_handler *handler = find_handler(links, frame->name);
    if (handler == NULL) {
        Lk_Reply(request, ST_NOT_FOUND, NULL, 0);
        return;
    }
    handler->fn(handler->arg, request);
}

/* Returns the payload of a request, valid until Lk_Reply(). */
const void *
Lk_Payload(const struct lk_request *request, size_t *len)
{
    *len = request->len;
    return request->payload;
}

/* Returns the id of the node that sent a request. */
const char *
Lk_From(const struct lk_request *request)
{
    return request->from;
}

/*
 * Answers a request and frees it.  The answer is dropped when the connection
 * is closed or its send queue is full.  The caller then gets ST_UNAVAILABLE or
 * ST_TIMEOUT with "maybe_sent" set, so that it knows that the request may have
 * had its effect.
 */
void
Lk_Reply(struct lk_request *request, enum st_status status,
         const void *payload, size_t len)
{
    struct lk_connection *connection = request->connection;
    TAILQ_REMOVE(&request->links->requests, request, link);
    if (connection != NULL) {
        struct wr_frame frame = {.kind = WR_ANSWER,
                                 .id = request->id,
                                 .status = status,
                                 .payload = payload,
                                 .len = len};
        connection->in_flight--;
        if (lk_queue(connection, &frame, NULL) == ST_OK) {
            Lp_WatchWritable(connection->watch);
        }
    }
    free(request);
}

/* Ends the calls of a closed connection, and detaches its pending requests. */
void
lk_connection_lost(struct lk_connection *connection)
{
    struct lk_links *links = connection->links;
    struct lk_request *request;
    TAILQ_FOREACH (request, &links->requests, link) {
        if (request->connection == connection) {
            request->connection = NULL;
        }
    }
    struct lk_call *call;
    while ((call = lk_call_on(connection)) != NULL) {
        struct lk_result result = {.status = ST_UNAVAILABLE,
                                   .maybe_sent = call->maybe_sent};
        lk_finish(call, &result);
    }
}

static void
expire_calls(struct lk_links *links, int64_t now)
{
    struct lk_call *call;
    while ((call = lk_expired_call(links, now)) != NULL) {
        struct lk_result result = {.status = ST_TIMEOUT,
                                   .maybe_sent = call->maybe_sent};
        lk_finish(call, &result);
    }
}

static bool
is_idle(const struct lk_connection *connection, int64_t now)
{
    if (!connection->ready) {
        return now - connection->created_usec > Lk_HELLO_TIMEOUT_USEC;
    }
    return connection->in_flight == 0 && TAILQ_EMPTY(&connection->frames) &&
           now - connection->used_usec > connection->links->idle_usec;
}

static struct lk_connection *
find_idle(const struct lk_links *links, int64_t now)
{
    struct lk_connection *connection;
    TAILQ_FOREACH (connection, &links->connections, link) {
        if (is_idle(connection, now)) {
            return connection;
        }
    }
    return NULL;
}

/*
 * Searches again after each close: closing a connection may end calls, whose
 * callbacks may change the list.
 */
static void
close_idle(struct lk_links *links, int64_t now)
{
    struct lk_connection *connection;
    while ((connection = find_idle(links, now)) != NULL) {
        lk_close(connection);
    }
}

/*
 * Frees closed connections.  The timer calls this, when none of their event
 * handlers is running.
 */
static void
free_closed(struct lk_links *links)
{
    struct lk_connection *connection;
    struct lk_connection *next;
    TAILQ_FOREACH_SAFE (connection, &links->closed, link, next) {
        free(connection->in);
        free(connection);
    }
    TAILQ_INIT(&links->closed);
}

static void
on_timer(void *arg)
{
    struct lk_links *links = arg;
    int64_t now = Ck_Now(links->clock);
    links->timer_usec = 0;
    free_closed(links);
    expire_calls(links, now);
    close_idle(links, now);
    lk_arm(links);
}
