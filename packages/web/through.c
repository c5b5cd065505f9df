#include "web/through.h"

#include <bsd/string.h>
#include <bsd/sys/queue.h>
#include <libwebsockets.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "web/dial.h"
#include "web/join.h"
#include "web/listening.h"

#define Th_HEAD_MAX 1024
#define Th_ID_MAX 256
#define Th_BASIC_MAX 256
#define Th_PORT "tunnel" /* in the ledger */
#define Th_BASIC_FIELD "proxy-authorization: basic "
/* From a peer's coming to its connection; a peer waits no longer. */
#define Th_MAKE_USEC (500 * Ck_USEC_PER_MSEC)
/* One peer's connection. */
struct visit {
    LIST_ENTRY(visit) link;
    struct th_through *through;
    struct sk_sock *near;
    struct di_dial *dial;
    struct jn_join *join; /* NULL until the connection is made */
    int64_t since;
    char head[Th_HEAD_MAX];
    size_t head_len;
    struct lp_later later;
    bool dead;
};

LIST_HEAD(visit_list, visit);

struct th_through {
    struct th_options options;
    char basic[Th_BASIC_MAX]; /* credentials as peers send them; empty: none */
    struct ls_listener *listener;
    struct visit_list visits;
    size_t count;
};

static void
release(void *arg)
{
    free(arg);
}

static void
bury(struct visit *visit)
{
    if (visit->dead) {
        return;
    }
    visit->dead = true;
    LIST_REMOVE(visit, link);
    visit->through->count--;
    Di_Cancel(visit->dial);
    Sk_Close(visit->near);
    Jn_Destroy(visit->join);
    Lp_Later(visit->through->options.loop, &visit->later, release, visit);
}

static void
refuse(struct visit *visit)
{
    Sk_Write(visit->near, Di_NOT_MADE, strlen(Di_NOT_MADE));
    Sk_Finish(visit->near);
    visit->near = NULL;
    bury(visit);
}

static void
on_joined_end(void *arg)
{
    struct visit *visit = arg;
    visit->join = NULL;
    bury(visit);
}

static void
on_dialed(void *arg, const struct di_result *result)
{
    struct visit *visit = arg;
    struct th_through *through = visit->through;
    visit->dial = NULL;
    if (result->sock == NULL) {
        refuse(visit);
        return;
    }
    Sk_Write(visit->near, Di_MADE, strlen(Di_MADE));
    visit->join = Jn_Create(through->options.loop, visit->near, result->sock,
                            on_joined_end, visit);
    if (visit->join == NULL) {
        Sk_Close(result->sock);
        bury(visit);
        return;
    }
    Lg_SetPhase(Sk_Holder(visit->near), YD_SERVING);
    visit->near = NULL;
    through->options.ops->made(through->options.arg);
}

/* Only to endpoints of the own list: this is no way to anywhere else. */
static void
connect_to(struct visit *visit, const char *id)
{
    const struct th_options *options = &visit->through->options;
    struct di_plan plan = {.count = 1};
    struct di_way *way = &plan.ways[0];
    if (!options->ops->find(options->arg, id, way->address,
                            sizeof(way->address))) {
        refuse(visit);
        return;
    }
    visit->dial = Di_Start(options->loop, &plan, on_dialed, visit);
    if (visit->dial == NULL) {
        refuse(visit);
    }
}

/* Whether a peer shows what only daemons of the cluster know. */
static bool
is_peer(const struct visit *visit)
{
    const char *wanted = visit->through->basic;
    const char *field = strcasestr(visit->head, Th_BASIC_FIELD);
    if (wanted[0] == '\0') {
        return true;
    }
    if (field == NULL) {
        return false;
    }
    const char *shown = field + strlen(Th_BASIC_FIELD);
    size_t len = strcspn(shown, "\r");
    return len == strlen(wanted) &&
           lws_timingsafe_bcmp(shown, wanted, (uint32_t)len) == 0;
}

static void
on_data(void *arg, const char *data, size_t len)
{
    struct visit *visit = arg;
    if (visit->dial != NULL || visit->head_len + len >= sizeof(visit->head)) {
        bury(visit);
        return;
    }
    memcpy(visit->head + visit->head_len, data, len);
    visit->head_len += len;
    visit->head[visit->head_len] = '\0';
    if (strstr(visit->head, Di_HEAD_END) == NULL) {
        return;
    }
    char id[Th_ID_MAX];
    if (sscanf(visit->head, "CONNECT %255s HTTP/1.1", id) != 1 ||
        !is_peer(visit)) {
        refuse(visit);
        return;
    }
    connect_to(visit, id);
}

static void
on_closed(void *arg, bool clean)
{
    (void)clean;
    bury(arg);
}

static void
on_yield(void *arg, enum lg_why why)
{
    (void)why;
    bury(arg);
}

static const struct sk_ops near_ops = {
    .data = on_data,
    .closed = on_closed,
    .yield = on_yield,
};

static enum ls_take
on_accept(void *arg, int fd)
{
    struct th_through *through = arg;
    if (through->count >= through->options.most ||
        !Lg_TakesConnection(through->options.ledger, Th_PORT, fd)) {
        close(fd);
        return LS_LOST;
    }
    struct visit *visit = calloc(1, sizeof(*visit));
    if (visit == NULL) {
        close(fd);
        return LS_LOST;
    }
    visit->through = through;
    visit->since = Ck_Now(through->options.clock);
    if (Sk_Adopt(through->options.loop, fd, &near_ops, visit, &visit->near) !=
        ST_OK) {
        free(visit);
        return LS_LOST;
    }
    Sk_Account(visit->near, through->options.ledger, Th_PORT);
    Lg_Set(Sk_Holder(visit->near), LG_CONNECTION, sizeof(*visit));
    Lg_SetPhase(Sk_Holder(visit->near), YD_READING);
    LIST_INSERT_HEAD(&through->visits, visit, link);
    through->count++;
    return LS_TAKEN;
}

enum st_status
Th_Create(const struct th_options *options, struct th_through **out)
{
    struct sockaddr_in at;
    enum st_status status = Sk_Address(options->address, &at);
    if (status != ST_OK) {
        return status;
    }
    struct th_through *through = calloc(1, sizeof(*through));
    if (through == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for peers' connections");
    }
    through->options = *options;
    if (options->credentials != NULL &&
        lws_b64_encode_string(options->credentials,
                              (int)strlen(options->credentials),
                              through->basic, sizeof(through->basic)) < 0) {
        free(through);
        return St_Fail(ST_INVALID, "the credentials of peers are too long");
    }
    LIST_INIT(&through->visits);
    status =
        Ls_Open(options->loop, &at, on_accept, through, &through->listener);
    if (status != ST_OK) {
        free(through);
        return status;
    }
    Ls_SetBuffers(through->listener, Lg_SOCKET_BYTES);
    *out = through;
    return ST_OK;
}

void
Th_Destroy(struct th_through *through)
{
    if (through == NULL) {
        return;
    }
    struct visit *visit;
    struct visit *next;
    LIST_FOREACH_SAFE (visit, &through->visits, link, next) {
        bury(visit);
    }
    Ls_Destroy(through->listener);
    free(through);
}

void
Th_Tick(struct th_through *through)
{
    int64_t now = Ck_Now(through->options.clock);
    struct visit *visit;
    struct visit *next;
    LIST_FOREACH_SAFE (visit, &through->visits, link, next) {
        if (visit->join == NULL && now - visit->since > Th_MAKE_USEC) {
            refuse(visit);
        }
    }
}

int
Th_Port(const struct th_through *through)
{
    return Ls_Port(through->listener);
}

size_t
Th_Count(const struct th_through *through)
{
    return through->count;
}
