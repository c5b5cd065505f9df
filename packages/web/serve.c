#include "web/serve_internal.h"

#include <stdlib.h>
#include <unistd.h>

/* Of a connection in the loop and the library, besides what is in view here.
 */
#define Sv_LOOP_BYTES 2048
#define Sv_HEAD_BYTES 16384
#define Sv_BODY_BYTES (4u << 20)
#define Sv_HEAD_USEC (3 * Ck_USEC_PER_SEC)
#define Sv_IDLE_USEC (15 * Ck_USEC_PER_SEC)
/*
 * Connections are kept somewhat longer than callers were told, so that a
 * request sent at the last moment does not meet our close.
 */
#define Sv_IDLE_EXTRA_USEC (1 * Ck_USEC_PER_SEC)

void
sv_account(struct sv_request *request)
{
    if (request->dead) {
        return;
    }
    struct lg_holder *holder = Sk_Holder(request->sock);
    Lg_Set(holder, LG_HEAD, H1_HeldBytes(request->parser));
    Lg_Set(holder, LG_BODY, request->body.capacity);
    Lg_Set(holder, LG_BEHIND, request->ahead.capacity);
}

static void
release(void *arg)
{
    struct sv_request *request = arg;
    H1_Destroy(request->parser);
    Bf_Free(&request->body);
    Bf_Free(&request->ahead);
    free(request);
}

void
sv_bury(struct sv_request *request)
{
    if (request->dead) {
        return;
    }
    request->dead = true;
    TAILQ_REMOVE(&request->server->connections, request, link);
    request->server->count--;
    Sk_Close(request->sock);
    Lp_Later(request->server->loop, &request->later, release, request);
}

void
sv_set_phase(struct sv_request *request, enum sv_phase phase)
{
    bool was = request->phase == HANDLING || request->phase == STREAMING;
    bool is = phase == HANDLING || phase == STREAMING;
    request->server->open += (size_t)is - (size_t)was;
    request->phase = phase;
    if (is) {
        Lg_SetPhase(Sk_Holder(request->sock), YD_SERVING);
    }
}

/* Sends the rest and ends the connection; the request is freed. */
void
sv_finish(struct sv_request *request)
{
    struct sk_sock *sock = request->sock;
    sv_set_phase(request, OVER);
    Bf_Free(&request->body);
    Bf_Free(&request->ahead);
    sv_account(request);
    request->sock = NULL;
    sv_bury(request);
    Sk_Finish(sock);
}

static void
on_closed(void *arg, bool clean)
{
    struct sv_request *request = arg;
    (void)clean;
    if (request->phase == HANDLING || request->phase == STREAMING) {
        request->server->ops->gone(request->server->arg, request);
        sv_set_phase(request, OVER);
    }
    sv_bury(request);
}

/*
 * Gives up what is held for the connection.  A request that was read in part
 * is refused: it has not run.  An answer that is not taken is broken off.
 */
static void
on_yield(void *arg, enum lg_why why)
{
    struct sv_request *request = arg;
    if (request->phase == HANDLING || request->phase == STREAMING) {
        Sk_Reset(request->sock);
        on_closed(request, false);
    }
    else if (request->head_at == 0) {
        if (Sk_Pending(request->sock) > 0) {
            Sk_Reset(request->sock);
        }
        sv_bury(request);
    }
    else {
        Bf_Free(&request->body);
        sv_refuse(request, 503,
                  why == LG_MEMORY ? Sv_NO_ROOM : "too many connections");
    }
}

static void
on_drained(void *arg)
{
    struct sv_request *request = arg;
    if (request->held_back) {
        request->held_back = false;
        Sk_Pause(request->sock, request->ahead.len > Sv_AHEAD_MAX);
        sv_feed_ahead(request);
        return;
    }
    if (request->phase == STREAMING && request->server->ops->drained != NULL) {
        request->server->ops->drained(request->server->arg, request);
    }
}

static const struct sk_ops sock_ops = {
    .data = sv_on_data,
    .closed = on_closed,
    .drained = on_drained,
    .yield = on_yield,
};

static enum ls_take
on_accept(void *arg, int fd)
{
    struct sv_server *server = arg;
    if ((server->ops->takes != NULL && !server->ops->takes(server->arg)) ||
        !Lg_TakesConnection(server->ledger, server->name, fd)) {
        close(fd);
        return LS_CLOSED;
    }
    struct sv_request *request = calloc(1, sizeof(*request));
    if (request == NULL) {
        close(fd);
        return LS_LOST;
    }
    request->server = server;
    request->parser = H1_Create(true, &sv_parser_ops, request);
    if (request->parser == NULL) {
        close(fd);
        free(request);
        return LS_LOST;
    }
    if (Sk_Adopt(server->loop, fd, &sock_ops, request, &request->sock) !=
        ST_OK) {
        H1_Destroy(request->parser);
        free(request);
        return LS_LOST;
    }
    Sk_Account(request->sock, server->ledger, server->name);
    Lg_Set(Sk_Holder(request->sock), LG_CONNECTION,
           Sv_LOOP_BYTES + sizeof(*request) + H1_BYTES);
    H1_SetHeadMax(request->parser, server->limits.head_bytes);
    request->moved_at = Ck_Now(server->clock);
    TAILQ_INSERT_TAIL(&server->connections, request, link);
    server->count++;
    return LS_TAKEN;
}

/* Listens on "IP:PORT". */
enum st_status
Sv_Create(struct lp_loop *loop, const struct ck_clock *clock,
          const char *address, const struct sv_ops *ops, void *arg,
          struct sv_server **out)
{
    struct sockaddr_in at;
    enum st_status status = Sk_Address(address, &at);
    if (status != ST_OK) {
        return status;
    }
    struct sv_server *server = calloc(1, sizeof(*server));
    if (server == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for a server");
    }
    server->loop = loop;
    server->clock = clock;
    server->ops = ops;
    server->arg = arg;
    server->limits = (struct sv_limits){
        .head_bytes = Sv_HEAD_BYTES,
        .body_bytes = Sv_BODY_BYTES,
        .head_usec = Sv_HEAD_USEC,
        .idle_usec = Sv_IDLE_USEC,
    };
    TAILQ_INIT(&server->connections);
    status = Ls_Open(loop, &at, on_accept, server, &server->listener);
    if (status != ST_OK) {
        free(server);
        return status;
    }
    *out = server;
    return ST_OK;
}

void
Sv_SetLimits(struct sv_server *server, const struct sv_limits *limits)
{
    server->limits = *limits;
}

void
Sv_SetLedger(struct sv_server *server, struct lg_ledger *ledger,
             const char *name)
{
    server->ledger = ledger;
    server->name = name;
    Ls_SetBuffers(server->listener, Lg_SOCKET_BYTES);
}

struct lg_holder *
Sv_Holder(struct sv_request *request)
{
    return Sk_Holder(request->sock);
}

int
Sv_Port(const struct sv_server *server)
{
    return Ls_Port(server->listener);
}

size_t
Sv_Connections(const struct sv_server *server)
{
    return server->count;
}

/* Requests that are being handled. */
size_t
Sv_Open(const struct sv_server *server)
{
    return server->open;
}

void
Sv_Drain(struct sv_server *server)
{
    server->draining = true;
}

static bool
idle(const struct sv_request *request)
{
    return request->phase == READING && request->head_at == 0 &&
           !request->dead;
}

/* Ends connections that have been without a request for that long. */
void
Sv_CloseIdle(struct sv_server *server, int64_t idle_usec)
{
    int64_t now = Ck_Now(server->clock);
    struct sv_request *request;
    struct sv_request *next;
    TAILQ_FOREACH_SAFE (request, &server->connections, link, next) {
        if (idle(request) && now - request->moved_at >= idle_usec) {
            sv_finish(request);
        }
    }
}

/* Enforces the limits on time; to be called about ten times a second. */
void
Sv_Tick(struct sv_server *server)
{
    int64_t now = Ck_Now(server->clock);
    Sv_CloseIdle(server, server->limits.idle_usec + Sv_IDLE_EXTRA_USEC);
    struct sv_request *request;
    struct sv_request *next;
    TAILQ_FOREACH_SAFE (request, &server->connections, link, next) {
        if (request->phase != READING || request->head_at == 0) {
            continue;
        }
        bool slow_head = !request->have_head &&
                         now - request->head_at > server->limits.head_usec;
        bool slow_body = request->have_head &&
                         now - request->moved_at > server->limits.idle_usec;
        if (slow_head || slow_body) {
            sv_refuse(request, 408, "the request came too slowly");
        }
    }
}

/*
 * Refuses new connections, in steps: to be called until it is true.  Those
 * that have begun are taken meanwhile.
 */
bool
Sv_StopListening(struct sv_server *server, struct ls_ending *ending)
{
    return Ls_End(server->listener, Ck_Now(server->clock), ending);
}

/* Closes everything. */
void
Sv_Destroy(struct sv_server *server)
{
    if (server == NULL) {
        return;
    }
    struct sv_request *request;
    while ((request = TAILQ_FIRST(&server->connections)) != NULL) {
        sv_bury(request);
    }
    Ls_Destroy(server->listener);
    free(server);
}

const struct h1_head *
Sv_Head(const struct sv_request *request)
{
    return H1_Head(request->parser);
}

const char *
Sv_Body(const struct sv_request *request, size_t *len)
{
    *len = request->body.len;
    return request->body.data;
}

void
Sv_SetUser(struct sv_request *request, void *user)
{
    request->user = user;
}

void *
Sv_User(const struct sv_request *request)
{
    return request->user;
}
