/*
 * One client connection that carries one exchange after the other, to an
 * endpoint, a peer or the platform.  It tells how far an exchange got, since
 * only a request of which no byte has left is certain not to have run.
 */
#ifndef WEB_CHANNEL_H
#define WEB_CHANNEL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "web/dial.h"
#include "web/http1.h"
#include "web/sock.h"

#ifdef __cplusplus
extern "C" {
#endif

struct cn_channel;

enum cn_outcome {
    CN_COMPLETE, /* the whole answer has come */
    CN_NOT_SENT, /* no byte of the request has left */
    CN_BROKEN,   /* ended, or made no sense, after bytes had left */
};

/* How the answer, or what came of it, ended. */
enum cn_end {
    CN_END_NONE,   /* it has not, or this side gave it up */
    CN_END_LENGTH, /* its length was reached, or it has no body */
    CN_END_CHUNKS, /* by its last chunk */
    CN_END_CLOSED, /* the connection ended in order */
    CN_END_RESET,  /* the connection broke */
};

struct cn_ops {
    /*
     * False: the answer is another request's.  It is skipped, the next one is
     * waited for, and the channel is not used again.
     */
    bool (*head)(void *arg, const struct h1_head *head);
    /* False: the body cannot be an answer's; the exchange is broken. */
    bool (*body)(void *arg, const char *data, size_t len);
    /*
     * The end, once, never from within Cn_Send().  After it the channel is
     * idle when Cn_Reusable(), otherwise the owner closes it.
     */
    void (*done)(void *arg, enum cn_outcome outcome);
};

/* An idle channel can no longer be used; the owner closes it. */
typedef void (*cn_idle_fn)(void *arg, struct cn_channel *channel);

/* A connection that may come by one of several ways. */
struct cn_dialing {
    struct di_plan plan;
    /* Once: how it came, or NULL when it was given up before. */
    void (*made)(void *arg, const struct di_result *result);
    void *arg;
};

struct cn_channel *Cn_Dial(struct lp_loop *loop, const struct ck_clock *clock,
                           const struct cn_dialing *dialing, cn_idle_fn idle,
                           void *arg);
struct cn_channel *Cn_Open(struct lp_loop *loop, const struct ck_clock *clock,
                           const char *address, cn_idle_fn idle, void *arg);
void Cn_Send(struct cn_channel *channel, const void *head, size_t head_len,
             const void *body, size_t body_len, bool no_answer_body,
             const struct cn_ops *ops, void *arg);
bool Cn_Sent(const struct cn_channel *channel);
/* The daemon that it goes through; 0: none. */
uint32_t Cn_Peer(const struct cn_channel *channel);
/* Whether the connection is made and has not ended. */
/* Bytes allocated for a request that has not left. */
size_t Cn_HeldBytes(const struct cn_channel *channel);
bool Cn_IsOpen(const struct cn_channel *channel);
enum cn_end Cn_End(const struct cn_channel *channel);
/* "length", "chunks", "closed", "reset"; empty: CN_END_NONE. */
const char *Cn_EndName(enum cn_end end);
bool Cn_Used(const struct cn_channel *channel);
bool Cn_Reusable(const struct cn_channel *channel);
/* How long the other side keeps an idle connection; 0: not said. */
int64_t Cn_KeepUsec(const struct cn_channel *channel);
int64_t Cn_IdleSince(const struct cn_channel *channel);
void Cn_Pause(struct cn_channel *channel, bool pause);
void Cn_Close(struct cn_channel *channel);

#ifdef __cplusplus
}
#endif

#endif
