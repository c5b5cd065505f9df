#include "web/dial.h"

#include <libwebsockets.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define Di_HEAD_MAX 128
#define Di_BASIC "Proxy-authorization: basic "
#define Di_BASIC_MAX (2 * Di_CREDENTIALS_MAX)

/* One way that is being tried. */
struct attempt {
    struct di_dial *dial;
    struct sk_sock *sock;
    enum di_state state;
    char head[Di_HEAD_MAX]; /* of the daemon's answer */
    size_t head_len;
};

struct di_dial {
    struct lp_loop *loop;
    struct lp_timer *timer; /* the patience, or a failure told later */
    struct di_plan plan;
    struct attempt attempts[Di_WAYS_MAX];
    di_done_fn done;
    void *arg;
    struct lp_later later;
    bool over;
};

static void start_next(struct di_dial *dial);

static void
release(void *arg)
{
    free(arg);
}

static void
end(struct di_dial *dial)
{
    dial->over = true;
    Lp_TimerDestroy(dial->timer);
    for (size_t i = 0; i < Di_WAYS_MAX; i++) {
        Sk_Close(dial->attempts[i].sock);
        dial->attempts[i].sock = NULL;
    }
    Lp_Later(dial->loop, &dial->later, release, dial);
}

static void
tell(struct di_dial *dial, struct sk_sock *sock, size_t way)
{
    struct di_result result = {.sock = sock, .way = way};
    for (size_t i = 0; i < Di_WAYS_MAX; i++) {
        result.ways[i] = dial->attempts[i].state;
    }
    end(dial);
    dial->done(dial->arg, &result);
}

static size_t
way_of(const struct attempt *attempt)
{
    return (size_t)(attempt - attempt->dial->attempts);
}

static void
made(struct attempt *attempt)
{
    struct sk_sock *sock = attempt->sock;
    attempt->sock = NULL;
    attempt->state = DI_MADE;
    tell(attempt->dial, sock, way_of(attempt));
}

static bool
any_left(const struct di_dial *dial)
{
    for (size_t i = 0; i < dial->plan.count; i++) {
        if (dial->attempts[i].state < DI_FAILED) {
            return true;
        }
    }
    return false;
}

static void
failed(struct attempt *attempt, enum di_state state)
{
    struct di_dial *dial = attempt->dial;
    attempt->state = state;
    Sk_Close(attempt->sock);
    attempt->sock = NULL;
    start_next(dial);
    if (!any_left(dial)) {
        Lp_TimerSet(dial->timer, 0);
    }
}

/* Asks the daemon at the address for a connection to the target. */
static void
ask(struct sk_sock *sock, const struct di_way *way)
{
    char text[sizeof(Di_ASK) + Di_TARGET_MAX];
    int len = snprintf(text, sizeof(text), Di_ASK, way->target);
    Sk_Write(sock, text, (size_t)len);
    if (way->credentials[0] != '\0') {
        char basic[Di_BASIC_MAX];
        int basic_len = lws_b64_encode_string(way->credentials,
                                              (int)strlen(way->credentials),
                                              basic, sizeof(basic));
        Sk_Write(sock, Di_BASIC, strlen(Di_BASIC));
        Sk_Write(sock, basic, basic_len < 0 ? 0 : (size_t)basic_len);
        Sk_Write(sock, "\r\n", 2);
    }
    Sk_Write(sock, "\r\n", 2);
}

static void
on_connected(void *arg)
{
    struct attempt *attempt = arg;
    const struct di_way *way = &attempt->dial->plan.ways[way_of(attempt)];
    if (way->target[0] == '\0') {
        made(attempt);
        return;
    }
    ask(attempt->sock, way);
}

/* The far end speaks only when asked: nothing may follow the head. */
static void
on_data(void *arg, const char *data, size_t len)
{
    struct attempt *attempt = arg;
    if (attempt->head_len + len >= sizeof(attempt->head)) {
        failed(attempt, DI_FAILED);
        return;
    }
    memcpy(attempt->head + attempt->head_len, data, len);
    attempt->head_len += len;
    attempt->head[attempt->head_len] = '\0';
    const char *last = strstr(attempt->head, Di_HEAD_END);
    if (last == NULL) {
        return;
    }
    if (strcmp(attempt->head, Di_MADE) == 0) {
        made(attempt);
    }
    else {
        failed(attempt, DI_DECLINED);
    }
}

static void
on_closed(void *arg, bool clean)
{
    (void)clean;
    failed(arg, DI_FAILED);
}

static const struct sk_ops sock_ops = {
    .connected = on_connected,
    .data = on_data,
    .closed = on_closed,
};

/* Tries the first way that was not, and those after it that fail at once. */
static void
start_next(struct di_dial *dial)
{
    for (size_t i = 0; i < dial->plan.count; i++) {
        struct attempt *attempt = &dial->attempts[i];
        if (attempt->state != DI_UNTRIED) {
            continue;
        }
        attempt->state = DI_PENDING;
        if (Sk_Connect(dial->loop, dial->plan.ways[i].address, &sock_ops,
                       attempt, &attempt->sock) == ST_OK) {
            Lp_TimerSet(dial->timer, dial->plan.patience_usec);
            return;
        }
        attempt->state = DI_FAILED;
    }
}

static void
on_timer(void *arg)
{
    struct di_dial *dial = arg;
    if (any_left(dial)) {
        start_next(dial);
    }
    if (!any_left(dial)) {
        tell(dial, NULL, 0);
    }
}

/* NULL without memory. */
struct di_dial *
Di_Start(struct lp_loop *loop, const struct di_plan *plan, di_done_fn done,
         void *arg)
{
    struct di_dial *dial = calloc(1, sizeof(*dial));
    if (dial == NULL) {
        return NULL;
    }
    dial->loop = loop;
    dial->plan = *plan;
    dial->done = done;
    dial->arg = arg;
    dial->timer = Lp_TimerCreate(loop, on_timer, dial);
    if (dial->timer == NULL) {
        free(dial);
        return NULL;
    }
    for (size_t i = 0; i < Di_WAYS_MAX; i++) {
        dial->attempts[i].dial = dial;
    }
    start_next(dial);
    if (!any_left(dial)) {
        Lp_TimerSet(dial->timer, 0);
    }
    return dial;
}

/* Gives up; "done" is not called. */
void
Di_Cancel(struct di_dial *dial)
{
    if (dial != NULL && !dial->over) {
        end(dial);
    }
}
