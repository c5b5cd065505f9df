#include "gate/stop.h"

#include <signal.h>
#include <stdlib.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include "base/event.h"
#include "gate/events.h"
#include "web/listening.h"

/*
 * New requests are still accepted for this long after readiness went false:
 * the load balancer needs the time to notice.
 */
#define Sp_SETTLE_USEC (2 * Ck_USEC_PER_SEC)
/*
 * A connection accepted before listening ended may still send its request,
 * which is then refused by an error response rather than by a reset.  The
 * daemon always waits Sp_CLOSED_USEC, and up to Sp_FRESH_USEC more for
 * connections that have not sent a request.
 */
#define Sp_CLOSED_USEC (500 * Ck_USEC_PER_MSEC)
#define Sp_FRESH_USEC (5 * Ck_USEC_PER_SEC)
#define Sp_POLL_USEC (50 * Ck_USEC_PER_MSEC)
/*
 * Listening ends this long before the deadline, so that a forced stop resets
 * no connection that is made at the last moment.
 */
#define Sp_CLOSING_USEC (Ls_ENDING_MOST + Sp_CLOSED_USEC)
/* Short, as connection attempts go unanswered while the listeners close. */
#define Sp_CLOSING_POLL_USEC (10 * Ck_USEC_PER_MSEC)

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
    int signal_fd;
    struct lp_watch *signal_watch;
    struct lp_timer *timer;
    enum sp_phase phase;
    int64_t deadline;
    int64_t phase_end;
    bool complete;
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
            now >= stop->deadline - Sp_CLOSING_USEC) {
            stop->phase = SP_CLOSING;
            stop->ops->stop_listening(stop->arg, now);
        }
        return;
    case SP_CLOSING:
        if (stop->ops->stop_listening(stop->arg, now)) {
            stop->phase = SP_CLOSED;
            stop->phase_end = now + Sp_CLOSED_USEC;
        }
        return;
    case SP_CLOSED:
        stop->complete = now >= stop->phase_end &&
                         stop->ops->idle(stop->arg) &&
                         (stop->ops->none_fresh(stop->arg) ||
                          now >= stop->phase_end + Sp_FRESH_USEC);
        return;
    }
}

static void
poll_phase(void *arg)
{
    struct sp_stop *stop = arg;
    int64_t now = Ck_Now(stop->gate->clock);
    advance(stop, now);
    if (stop->complete || now >= stop->deadline) {
        stop->ops->finished(stop->arg, !stop->complete);
        return;
    }
    Lp_TimerSet(stop->timer, stop->phase == SP_CLOSING ? Sp_CLOSING_POLL_USEC
                                                       : Sp_POLL_USEC);
}

/* Begins the graceful stop; a second call ends the daemon at once. */
void
Sp_Begin(struct sp_stop *stop)
{
    if (stop->phase != SP_SERVING) {
        stop->ops->finished(stop->arg, true);
        return;
    }
    int64_t now = Ck_Now(stop->gate->clock);
    stop->phase = SP_SETTLING;
    stop->phase_end = now + Sp_SETTLE_USEC;
    stop->deadline = now + Sp_SETTLE_USEC + stop->gate->options->drain_usec;
    Ev_Log(&GT_DRAINING, "limit_sec=%lld",
           (long long)(stop->gate->options->drain_usec / Ck_USEC_PER_SEC));
    stop->ops->leaving(stop->arg);
    Lp_TimerSet(stop->timer, Sp_POLL_USEC);
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
    if (read(stop->signal_fd, &info, sizeof(info)) == (ssize_t)sizeof(info)) {
        Sp_Begin(stop);
    }
}

static void
signal_closed(void *arg)
{
    struct sp_stop *stop = arg;
    stop->signal_watch = NULL;
}

static const struct lp_watch_ops signal_ops = {
    .readable = signal_readable,
    .closed = signal_closed,
};

/* Calls Sp_Begin() on SIGTERM and SIGINT, which are received on the loop. */
enum st_status
Sp_Create(struct gt_gate *gate, const struct sp_ops *ops, void *arg,
          struct sp_stop **out)
{
    struct sp_stop *stop = calloc(1, sizeof(*stop));
    if (stop == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for the shutdown state");
    }
    stop->gate = gate;
    stop->ops = ops;
    stop->arg = arg;
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigprocmask(SIG_BLOCK, &signals, NULL);
    stop->signal_fd = signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
    stop->timer = Lp_TimerCreate(gate->loop, poll_phase, stop);
    if (stop->signal_fd >= 0) {
        stop->signal_watch =
            Lp_WatchCreate(gate->loop, stop->signal_fd, &signal_ops, stop);
    }
    if (stop->signal_watch == NULL || stop->timer == NULL) {
        Sp_Destroy(stop);
        return St_Fail(ST_INTERNAL, "cannot wait for signals");
    }
    *out = stop;
    return ST_OK;
}

/* Must be called before the loop is destroyed. */
void
Sp_Destroy(struct sp_stop *stop)
{
    if (stop == NULL) {
        return;
    }
    Lp_WatchDestroy(stop->signal_watch);
    Lp_TimerDestroy(stop->timer);
    free(stop);
}
