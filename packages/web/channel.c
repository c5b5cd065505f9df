#include "web/channel.h"

#include <stdlib.h>
#include <string.h>

struct cn_channel {
    const struct ck_clock *clock;
    struct sk_sock *sock;
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
    int64_t keep_usec;
    int64_t idle_since;
};

static void
release(void *arg)
{
    struct cn_channel *channel = arg;
    H1_Destroy(channel->parser);
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
    channel->skipping = !channel->ops->head(channel->arg, head);
    channel->spoiled |= channel->skipping;
}

static void
on_body(void *arg, const char *data, size_t len)
{
    struct cn_channel *channel = arg;
    if (channel->ops != NULL && !channel->skipping) {
        channel->ops->body(channel->arg, data, len);
    }
}

static void
on_end(void *arg)
{
    struct cn_channel *channel = arg;
    channel->finishing = true;
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
        if (error != H1_FINE) {
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

/*
 * Starts to connect; a request may be sent at once.  NULL without memory or
 * descriptors.
 */
struct cn_channel *
Cn_Open(struct lp_loop *loop, const struct ck_clock *clock,
        const char *address, cn_idle_fn idle, void *arg)
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
    if (channel->parser == NULL || channel->deferred == NULL ||
        Sk_Connect(loop, address, &sock_ops, channel, &channel->sock) !=
            ST_OK) {
        H1_Destroy(channel->parser);
        Lp_TimerDestroy(channel->deferred);
        free(channel);
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
    if (channel->gone) {
        Lp_TimerSet(channel->deferred, 0);
        return;
    }
    channel->sent = channel->connected;
    H1_Reset(channel->parser);
    H1_ExpectNoBody(channel->parser, no_answer_body);
    Sk_Write(channel->sock, head, head_len);
    Sk_Write(channel->sock, body, body_len);
}

/* Whether any byte of the request may have left. */
bool
Cn_Sent(const struct cn_channel *channel)
{
    return channel->sent || Sk_Sent(channel->sock);
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
    Sk_Pause(channel->sock, pause);
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
    Sk_Close(channel->sock);
    Lp_TimerDestroy(channel->deferred);
    channel->deferred = NULL;
    Lp_Later(channel->loop, &channel->later, release, channel);
}
