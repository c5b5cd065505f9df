/* Calls: sending requests and returning exactly one result for each. */
#include <bsd/string.h>
#include <stdlib.h>
#include <string.h>

#include "member/link.h"
#include "member/link_internal.h"

static void
free_call(struct lk_call *call)
{
    struct lk_connection *connection = call->connection;
    if (connection != NULL) {
        connection->in_flight--;
        connection->used_usec = Ck_Now(connection->links->clock);
    }
    free(call);
}

static struct lk_connection *
connection_to(struct lk_links *links, const struct mb_endpoint *to)
{
    struct lk_connection *connection;
    TAILQ_FOREACH (connection, &links->connections, link) {
        if (connection->outgoing && connection->peer.port == to->port &&
            strcmp(connection->peer.address, to->address) == 0) {
            return connection;
        }
    }
    return NULL;
}

/*
 * Sends a request.  "done" is called once, never from within this function,
 * and not at all when this function fails or after Lk_Cancel() or
 * Lk_Destroy().  A request still in the send queue at its deadline is removed:
 * when the result says that the request was not sent, it will not be sent
 * later.
 */
enum st_status
Lk_Call(struct lk_links *links, const struct mb_endpoint *to, const char *type,
        const void *payload, size_t len, int64_t timeout_usec, lk_done_fn done,
        void *arg, struct lk_call **out)
{
    if (len > Lk_PAYLOAD_MAX || strlen(type) >= Wr_TYPE_MAX) {
        return St_Fail(ST_INVALID, "request %s of %zu bytes; at most %d fit",
                       type, len, Lk_PAYLOAD_MAX);
    }
    struct lk_connection *connection = connection_to(links, to);
    if (connection == NULL) {
        enum st_status status = lk_connect(links, to, &connection);
        if (status != ST_OK) {
            return status;
        }
    }
    struct lk_call *call = calloc(1, sizeof(*call));
    if (call == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for a call");
    }
    call->id = ++links->next_id;
    struct wr_frame frame = {
        .kind = WR_REQUEST, .id = call->id, .payload = payload, .len = len};
    strlcpy(frame.name, type, sizeof(frame.name));
    enum st_status status = lk_queue(connection, &frame, call);
    if (status != ST_OK) {
        free(call);
        return status;
    }
    call->connection = connection;
    connection->in_flight++;
    call->deadline_usec = Ck_Now(links->clock) + timeout_usec;
    call->done = done;
    call->arg = arg;
    TAILQ_INSERT_TAIL(&links->calls, call, link);
    /*
     * Send from the event loop, not from here: a send error would end the call
     * before this function returns.
     */
    Lp_WatchWritable(connection->watch);
    lk_arm(links);
    if (out != NULL) {
        *out = call;
    }
    return ST_OK;
}

static void
withdraw_frame(struct lk_call *call)
{
    struct lk_frame *frame = call->frame;
    if (frame == NULL) {
        return;
    }
    if (frame->sealed) {
        frame->call = NULL; /* partly sent: must be sent in full */
        call->frame = NULL;
    }
    else {
        lk_unqueue(call->connection, frame);
    }
}

/*
 * Ends a call without calling "done".  An answer that arrives later is
 * dropped.
 */
void
Lk_Cancel(struct lk_call *call)
{
    struct lk_links *links = call->connection->links;
    TAILQ_REMOVE(&links->calls, call, link);
    withdraw_frame(call);
    free_call(call);
}

/* Ends a call with its result.  "done" may start and cancel other calls. */
void
lk_finish(struct lk_call *call, const struct lk_result *result)
{
    struct lk_links *links = call->connection->links;
    lk_done_fn done = call->done;
    void *arg = call->arg;
    TAILQ_REMOVE(&links->calls, call, link);
    withdraw_frame(call);
    free_call(call);
    done(arg, result);
}

/* Passes an answer to its call.  An answer whose call has ended is dropped. */
void
lk_on_answer(struct lk_connection *connection, const struct wr_frame *frame)
{
    struct lk_links *links = connection->links;
    struct lk_call *call;
    TAILQ_FOREACH (call, &links->calls, link) {
        if (call->id == frame->id && call->connection == connection) {
            break;
        }
    }
    if (call == NULL) {
        return;
    }
    struct lk_result result = {.status = frame->status,
                               .answered = true,
                               .maybe_sent = true,
                               .payload = frame->payload,
                               .len = frame->len};
    lk_finish(call, &result);
}

/* Returns a call in flight on a connection; NULL when there is none. */
struct lk_call *
lk_call_on(const struct lk_connection *connection)
{
    struct lk_call *call;
    TAILQ_FOREACH (call, &connection->links->calls, link) {
        if (call->connection == connection) {
            return call;
        }
    }
    return NULL;
}

/* Returns a call whose deadline has passed; NULL when there is none. */
struct lk_call *
lk_expired_call(const struct lk_links *links, int64_t now)
{
    struct lk_call *call;
    TAILQ_FOREACH (call, &links->calls, link) {
        if (now >= call->deadline_usec) {
            return call;
        }
    }
    return NULL;
}
