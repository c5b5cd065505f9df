/*
 * The one loop of a process, on the libwebsockets service loop: timers and
 * watched descriptors.  Everything runs on the thread that calls Lp_Run().
 */
#ifndef WEB_LOOP_H
#define WEB_LOOP_H

#include <bsd/sys/queue.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/status.h"

#ifdef __cplusplus
extern "C" {
#endif

struct lp_loop;
struct lp_timer;
struct lp_watch;

typedef void (*lp_timer_fn)(void *arg);
typedef void (*lp_ready_fn)(void *arg);

struct lp_watch_ops {
    lp_ready_fn readable;
    lp_ready_fn writable;
    lp_ready_fn closed; /* the descriptor is gone; do not use the watch */
};

/* How many descriptors a loop can watch. */
size_t Lp_DescriptorsMax(void);
enum st_status Lp_Create(struct lp_loop **out);
void Lp_Destroy(struct lp_loop *loop);
void Lp_Run(struct lp_loop *loop);
/*
 * "fn" is called after each turn with the microseconds from its first callback
 * to its end: what an event that was ready then may have waited.
 */
typedef void (*lp_turn_fn)(void *arg, int64_t usec);
void Lp_SetTurn(struct lp_loop *loop, lp_turn_fn fn, void *arg);

/*
 * Something to be done once no callback of the loop is on the stack.  An
 * object that is closed inside its own callback is freed so: its callers on
 * the stack may still look at it.
 */
struct lp_later {
    STAILQ_ENTRY(lp_later) link;
    void (*fn)(void *arg);
    void *arg;
};
void Lp_Later(struct lp_loop *loop, struct lp_later *later,
              void (*fn)(void *arg), void *arg);
void Lp_Stop(struct lp_loop *loop);

struct lp_timer *Lp_TimerCreate(struct lp_loop *loop, lp_timer_fn fn,
                                void *arg);
void Lp_TimerSet(struct lp_timer *timer, int64_t delay_usec);
void Lp_TimerCancel(struct lp_timer *timer);
void Lp_TimerDestroy(struct lp_timer *timer);

struct lp_watch *Lp_WatchCreate(struct lp_loop *loop, int fd,
                                const struct lp_watch_ops *ops, void *arg);
void Lp_WatchPause(struct lp_watch *watch, bool pause);
void Lp_WatchWritable(struct lp_watch *watch);
void Lp_WatchDestroy(struct lp_watch *watch);

/* For the other modules of this package. */
struct lws_context;
struct lws_vhost;
struct lws_context *Lp_Context(struct lp_loop *loop);
struct lws_vhost *Lp_ClientVhost(struct lp_loop *loop);
/* The same through a proxy, "USER:SECRET@IP:PORT"; NULL: too many. */
struct lws_vhost *Lp_ProxyVhost(struct lp_loop *loop, const char *proxy);

#ifdef __cplusplus
}
#endif

#endif
