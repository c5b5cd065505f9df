#include "web/channel.h"

#include <stdlib.h>
#include <string.h>

#include "base/buffer.h"

/* Bytes of answers to other requests before the own one. */
#define Cn_SKIP_MAX (1u << 20)

struct cn_channel {
    const struct ck_clock *clock;
    struct sk_sock *sock; /* NULL while it is dialed */
    struct di_dial *dial; /* NULL once the connection is there */
    struct cn_dialing dialing;
    bool dialed;              /* not by Cn_Open() */
    struct bf_buffer waiting; /* a request, until the connection is there */
    uint32_t peer;
    struct h1_parser *parser;
    struct lp_timer *deferred; /* reports a failure outside Cn_Send() */
    cn_idle_fn idle;
    void *idle_arg;
    const struct cn_ops *ops; /* of the exchange; NULL while idle */
    void *arg;
    struct lp_loop *loop;
    struct lp_later later;
    bool dead;
    bool gone; /* the connection has ended */
    bool connected;
    bool sent;
    bool used; /* has carried a whole exchange */
    bool spoiled;
    bool finishing; /* the answer is complete, "done" comes next */
    bool skipping;  /* this answer is another request's */
    bool rejected;  /* the body cannot be an answer's */
    size_t skipped; /* bytes of answers to other requests */
    bool paused;
    bool chunked; /* the answer of the exchange */
    enum cn_end end;
    int64_t keep_usec;
    int64_t idle_since;
};

static void
release(void *arg)
{
    struct cn_channel *channel = arg;
    H1_Destroy(channel->parser);
    Bf_Free(&channel->waiting);
    free(channel);
}

static void
finish(struct cn_channel *channel, enum cn_outcome outcome)
{
    const struct cn_ops *ops = channel->ops;
    channel->ops = NULL;
    channel->finishing = false;
    if (ops != NULL) {
        ops->done(channel->arg, outcome);
    }
    else if (channel->idle != NULL && !channel->dead) {
        channel->idle(channel->idle_arg, channel);
    }
}

static void
fail(struct cn_channel *channel)
{
    channel->spoiled = true;
    finish(channel, Cn_Sent(channel) ? CN_BROKEN : CN_NOT_SENT);
}

static void
note_keep_alive(struct cn_channel *channel, const struct h1_head *head)
{
    char value[64];
    if (!H1_Copy(head, "keep-alive", value, sizeof(value))) {
        return;
    }
    const char *at = strstr(value, "timeout=");
    if (at != NULL) {
        channel->keep_usec =
            strtol(at + strlen("timeout="), NULL, 10) * Ck_USEC_PER_SEC;
    }
}

static void
on_head(void *arg, const struct h1_head *head)
{
    struct cn_channel *channel = arg;
    if (!head->keep_alive) {
        channel->spoiled = true;
    }
    note_keep_alive(channel, head);
    channel->chunked = head->chunked;
    channel->skipping = !channel->ops->head(channel->arg, head);
    channel->spoiled |= channel->skipping;
}

static void
on_body(void *arg, const char *data, size_t len)
{
    struct cn_channel *channel = arg;
    if (channel->skipping) {
        channel->skipped += len;
        channel->rejected = channel->skipped > Cn_SKIP_MAX;
    }
    else if (channel->ops != NULL && !channel->rejected) {
        channel->rejected = !channel->ops->body(channel->arg, data, len);
    }
}

static void
on_end(void *arg)
{
    struct cn_channel *channel = arg;
    channel->finishing = true;
    channel->end = channel->chunked ? CN_END_CHUNKS : CN_END_LENGTH;
}

static const struct h1_ops parser_ops = {
    .head = on_head,
    .body = on_body,
    .end = on_end,
};

/* The whole answer is here; what may follow belongs to no request. */
static void
complete(struct cn_channel *channel, size_t extra)
{
    if (extra > 0 || Sk_Pending(channel->sock) > 0) {
        channel->spoiled = true;
    }
    channel->used = true;
    channel->idle_since = Ck_Now(channel->clock);
    finish(channel, CN_COMPLETE);
}

static void
take_answer(struct cn_channel *channel, const char *data, size_t len)
{
    while (len > 0 && channel->ops != NULL && !channel->dead) {
        size_t used = 0;
        enum h1_error error = H1_Feed(channel->parser, data, len, &used);
        data += used;
        len -= used;
        if (channel->dead || channel->ops == NULL) {
            return;
        }
        if (error != H1_FINE || channel->rejected) {
            fail(channel);
            return;
        }
        if (channel->finishing && !channel->skipping) {
            complete(channel, len);
            return;
        }
        if (channel->finishing) {
            channel->finishing = false;
            channel->skipping = false;
            channel->end = CN_END_NONE;
            H1_Reset(channel->parser);
        }
    }
}

static void
on_data(void *arg, const char *data, size_t len)
{
    struct cn_channel *channel = arg;
    if (channel->ops == NULL) {
        /* Nobody asked: a second answer must not meet the next caller. */
        channel->spoiled = true;
        finish(channel, CN_BROKEN);
    }
    else {
        take_answer(channel, data, len);
    }
}

static void
on_closed(void *arg, bool clean)
{
    struct cn_channel *channel = arg;
    channel->gone = true;
    channel->end = clean ? CN_END_CLOSED : CN_END_RESET;
    if (channel->ops != NULL && clean && !channel->skipping &&
        H1_Eof(channel->parser)) {
        channel->spoiled = true;
        complete(channel, 0);
    }
    else {
        fail(channel);
    }
}

static void
on_connected(void *arg)
{
    struct cn_channel *channel = arg;
    channel->connected = true;
}

static const struct sk_ops sock_ops = {
    .connected = on_connected,
    .data = on_data,
    .closed = on_closed,
};

static void
on_deferred(void *arg)
{
    fail(arg);
}

static void
take_sock(struct cn_channel *channel, const struct di_result *result)
{
    channel->sock = result->sock;
    channel->peer = channel->dialing.plan.ways[result->way].peer;
    channel->connected = true;
    Sk_SetOwner(channel->sock, &sock_ops, channel);
    Sk_Pause(channel->sock, channel->paused);
    if (channel->waiting.len > 0) {
        channel->sent = true;
        Sk_Write(channel->sock, channel->waiting.data, channel->waiting.len);
        Bf_Free(&channel->waiting);
    }
}

static void
on_dialed(void *arg, const struct di_result *result)
{
    struct cn_channel *channel = arg;
    channel->dial = NULL;
    channel->dialing.made(channel->dialing.arg, result);
    if (result->sock != NULL) {
        take_sock(channel, result);
        return;
    }
    channel->gone = true;
    fail(channel);
}

/* Without a connection yet; NULL without memory. */
static struct cn_channel *
create(struct lp_loop *loop, const struct ck_clock *clock, cn_idle_fn idle,
       void *arg)
{
    struct cn_channel *channel = calloc(1, sizeof(*channel));
    if (channel == NULL) {
        return NULL;
    }
    channel->loop = loop;
    channel->clock = clock;
    channel->idle = idle;
    channel->idle_arg = arg;
    channel->parser = H1_Create(false, &parser_ops, channel);
    channel->deferred = Lp_TimerCreate(loop, on_deferred, channel);
    if (channel->parser == NULL || channel->deferred == NULL) {
        Lp_TimerDestroy(channel->deferred);
        release(channel);
        return NULL;
    }
    return channel;
}

/*
 * Starts to connect; a request may be sent at once.  NULL without memory or
 * descriptors.
 */
struct cn_channel *
Cn_Open(struct lp_loop *loop, const struct ck_clock *clock,
        const char *address, cn_idle_fn idle, void *arg)
{
    struct cn_channel *channel = create(loop, clock, idle, arg);
    if (channel != NULL && Sk_Connect(loop, address, &sock_ops, channel,
                                      &channel->sock) != ST_OK) {
        Lp_TimerDestroy(channel->deferred);
        release(channel);
        return NULL;
    }
    return channel;
}

/*
 * The same by one of several ways.  NULL without memory; "made" is not called
 * then.
 */
struct cn_channel *
Cn_Dial(struct lp_loop *loop, const struct ck_clock *clock,
        const struct cn_dialing *dialing, cn_idle_fn idle, void *arg)
{
    struct cn_channel *channel = create(loop, clock, idle, arg);
    if (channel == NULL) {
        return NULL;
    }
    channel->dialed = true;
    channel->dialing = *dialing;
    channel->dial = Di_Start(loop, &dialing->plan, on_dialed, channel);
    if (channel->dial == NULL) {
        Lp_TimerDestroy(channel->deferred);
        release(channel);
        return NULL;
    }
    return channel;
}

/* Sends a request on an idle channel. */
void
Cn_Send(struct cn_channel *channel, const void *head, size_t head_len,
        const void *body, size_t body_len, bool no_answer_body,
        const struct cn_ops *ops, void *arg)
{
    channel->ops = ops;
    channel->arg = arg;
    channel->finishing = false;
    channel->skipping = false;
    channel->rejected = false;
    channel->skipped = 0;
    channel->end = CN_END_NONE;
    if (channel->gone) {
        Lp_TimerSet(channel->deferred, 0);
        return;
    }
    channel->sent = channel->connected;
    H1_Reset(channel->parser);
    H1_ExpectNoBody(channel->parser, no_answer_body);
    if (channel->sock == NULL) {
        if (!Bf_Add(&channel->waiting, head, head_len) ||
            !Bf_Add(&channel->waiting, body, body_len)) {
            Bf_Free(&channel->waiting);
            Lp_TimerSet(channel->deferred, 0);
        }
        return;
    }
    Sk_Write(channel->sock, head, head_len);
    Sk_Write(channel->sock, body, body_len);
}

/* Whether any byte of the request may have left. */
bool
Cn_Sent(const struct cn_channel *channel)
{
    /* A dialed connection may have carried bytes before it was ours. */
    return channel->sent || (!channel->dialed && Sk_Sent(channel->sock));
}

uint32_t
Cn_Peer(const struct cn_channel *channel)
{
    return channel->peer;
}

size_t
Cn_HeldBytes(const struct cn_channel *channel)
{
    return channel->sock == NULL ? channel->waiting.capacity
                                 : Sk_Pending(channel->sock);
}

bool
Cn_IsOpen(const struct cn_channel *channel)
{
    return channel->connected && !channel->gone;
}

enum cn_end
Cn_End(const struct cn_channel *channel)
{
    return channel->end;
}

const char *
Cn_EndName(enum cn_end end)
{
    static const char *const names[] = {"", "length", "chunks", "closed",
                                        "reset"};
    return names[end];
}

/* Whether the connection has carried an exchange before. */
bool
Cn_Used(const struct cn_channel *channel)
{
    return channel->used;
}

bool
Cn_Reusable(const struct cn_channel *channel)
{
    return channel->ops == NULL && !channel->spoiled && !channel->gone;
}

int64_t
Cn_KeepUsec(const struct cn_channel *channel)
{
    return channel->keep_usec;
}

int64_t
Cn_IdleSince(const struct cn_channel *channel)
{
    return channel->idle_since;
}

void
Cn_Pause(struct cn_channel *channel, bool pause)
{
    channel->paused = pause;
    if (channel->sock != NULL) {
        Sk_Pause(channel->sock, pause);
    }
}

/* Closes at once; an open exchange gets no "done". */
void
Cn_Close(struct cn_channel *channel)
{
    if (channel == NULL || channel->dead) {
        return;
    }
    channel->dead = true;
    channel->ops = NULL;
    if (channel->dial != NULL) {
        Di_Cancel(channel->dial);
        channel->dial = NULL;
        channel->dialing.made(channel->dialing.arg, NULL);
    }
    Sk_Close(channel->sock);
    Lp_TimerDestroy(channel->deferred);
    channel->deferred = NULL;
    Lp_Later(channel->loop, &channel->later, release, channel);
}
