#include "gate/stop.h"

#include <signal.h>
#include <stdlib.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include "base/event.h"
#include "gate/events.h"
#include "web/listening.h"

/*
 * How long new requests are still taken after readiness went false: the
 * balancer needs that long to see it.
 */
#define Sp_SETTLE (2 * Ck_USEC_PER_SEC)
/*
 * How long connections made before listening ended have to send their
 * request, which is then refused in words rather than by a reset: the least,
 * and the most for those that are still silent.
 */
#define Sp_CLOSED (500 * Ck_USEC_PER_MSEC)
#define Sp_CLOSED_MOST (5 * Ck_USEC_PER_SEC)
#define Sp_POLL (50 * Ck_USEC_PER_MSEC)
/* Before the limit, so that a forced stop resets nobody who connects then. */
#define Sp_CLOSING_MOST (Ls_ENDING_MOST + Sp_CLOSED)
/* While listening ends, a caller's attempt to connect is left unanswered. */
#define Sp_POLL_CLOSING (10 * Ck_USEC_PER_MSEC)

enum sp_phase {
    SP_SERVING,
    SP_SETTLING,
    SP_DRAINING,
    SP_CLOSING,
    SP_CLOSED,
};

struct sp_stop {
    struct gt_gate *gate;
    const struct sp_ops *ops;
    void *arg;
    int fd;
    struct lp_watch *watch;
    struct lp_timer *timer;
    enum sp_phase phase;
    int64_t limit;
    int64_t phase_end;
    bool over;
};

static void
advance(struct sp_stop *stop, int64_t now)
{
    switch (stop->phase) {
    case SP_SERVING:
        return;
    case SP_SETTLING:
        if (now >= stop->phase_end) {
            stop->phase = SP_DRAINING;
            stop->ops->refusing(stop->arg);
        }
        return;
    case SP_DRAINING:
        if (stop->ops->idle(stop->arg) ||
            now >= stop->limit - Sp_CLOSING_MOST) {
            stop->phase = SP_CLOSING;
            stop->ops->closed(stop->arg, now);
        }
        return;
    case SP_CLOSING:
        if (stop->ops->closed(stop->arg, now)) {
            stop->phase = SP_CLOSED;
            stop->phase_end = now + Sp_CLOSED;
        }
        return;
    case SP_CLOSED:
        stop->over = now >= stop->phase_end && stop->ops->idle(stop->arg) &&
                     (stop->ops->quiet(stop->arg) ||
                      now >= stop->phase_end + Sp_CLOSED_MOST);
        return;
    }
}

static void
poll_drain(void *arg)
{
    struct sp_stop *stop = arg;
    int64_t now = Ck_Now(stop->gate->clock);
    advance(stop, now);
    if (stop->over || now >= stop->limit) {
        stop->ops->finished(stop->arg, !stop->over);
        return;
    }
    Lp_TimerSet(stop->timer,
                stop->phase == SP_CLOSING ? Sp_POLL_CLOSING : Sp_POLL);
}

/* Begins the stop; a second call forces it. */
void
Sp_Begin(struct sp_stop *stop)
{
    if (stop->phase != SP_SERVING) {
        stop->ops->finished(stop->arg, true);
        return;
    }
    int64_t now = Ck_Now(stop->gate->clock);
    stop->phase = SP_SETTLING;
    stop->phase_end = now + Sp_SETTLE;
    stop->limit = now + Sp_SETTLE + stop->gate->options->drain_usec;
    Ev_Log(&GT_DRAINING, "limit_sec=%lld",
           (long long)(stop->gate->options->drain_usec / Ck_USEC_PER_SEC));
    stop->ops->leaving(stop->arg);
    Lp_TimerSet(stop->timer, Sp_POLL);
}

/* True from the first Sp_Begin() on. */
bool
Sp_Begun(const struct sp_stop *stop)
{
    return stop->phase != SP_SERVING;
}

static void
signal_readable(void *arg)
{
    struct sp_stop *stop = arg;
    struct signalfd_siginfo info;
    if (read(stop->fd, &info, sizeof(info)) == (ssize_t)sizeof(info)) {
        Sp_Begin(stop);
    }
}

static void
signal_closed(void *arg)
{
    struct sp_stop *stop = arg;
    stop->watch = NULL;
}

static const struct lp_watch_ops signal_ops = {
    .readable = signal_readable,
    .closed = signal_closed,
};

/* Waits for SIGTERM and SIGINT on the loop. */
enum st_status
Sp_Create(struct gt_gate *gate, const struct sp_ops *ops, void *arg,
          struct sp_stop **out)
{
    struct sp_stop *stop = calloc(1, sizeof(*stop));
    if (stop == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for the planned stop");
    }
    stop->gate = gate;
    stop->ops = ops;
    stop->arg = arg;
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigprocmask(SIG_BLOCK, &signals, NULL);
    stop->fd = signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
    stop->timer = Lp_TimerCreate(gate->loop, poll_drain, stop);
    if (stop->fd >= 0) {
        stop->watch = Lp_WatchCreate(gate->loop, stop->fd, &signal_ops, stop);
    }
    if (stop->watch == NULL || stop->timer == NULL) {
        Sp_Destroy(stop);
        return St_Fail(ST_INTERNAL, "cannot wait for signals");
    }
    *out = stop;
    return ST_OK;
}

/* Stops waiting for signals; call it before the loop is destroyed. */
void
Sp_Destroy(struct sp_stop *stop)
{
    if (stop == NULL) {
        return;
    }
    Lp_WatchDestroy(stop->watch);
    Lp_TimerDestroy(stop->timer);
    free(stop);
}
