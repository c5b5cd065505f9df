#include "web/loop.h"

#include <bsd/string.h>
#include <bsd/sys/queue.h>
#include <bsd/sys/tree.h>
#include <libwebsockets.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/timerfd.h>
#include <time.h>
#include <unistd.h>

#include "base/clock.h"

#include "web/internal.h"

#define Lp_MAX_DESCRIPTORS 8192
/* One for each connection that reads a head, of clients and to endpoints. */
#define Lp_MAX_HEADER_BLOCKS Lp_MAX_DESCRIPTORS
#define Lp_HEADER_BLOCK_BYTES 8192
#define Lp_SERVICE_BUFFER_BYTES 16384
#define Lp_NEVER_SECS 3600
#define Lp_NSEC_PER_USEC 1000

/* Daemons that were asked to connect, in the life of this one. */
#define Lp_PROXIES_MAX 64
#define Lp_PROXY_NAME_MAX 160

/* The library keeps the name's address. */
struct proxy {
    char name[Lp_PROXY_NAME_MAX];
    struct lws_vhost *vhost;
};

RB_HEAD(timer_tree, lp_timer);
LIST_HEAD(watch_list, lp_watch);

/*
 * Timers are ours, behind one timer descriptor.  Those of libwebsockets wait
 * in whole milliseconds rounded down and then call poll() without waiting
 * until the rest has passed: with a tick every 20 ms an idle daemon called
 * poll() 1900 times a second and used 2% of a core.
 */
struct lp_loop {
    struct timer_tree timers;
    struct lp_watch *alarm;
    int alarm_fd;
    int64_t alarm_at; /* what the descriptor is set to; 0: nothing */
    uint64_t next_number;
    struct lws_context *context;
    struct lws_vhost *client_vhost;
    size_t proxy_count;
    struct proxy proxies[Lp_PROXIES_MAX];
    STAILQ_HEAD(later_list, lp_later) later;
    struct watch_list unwritten; /* asked for "writable" within it */
    int depth;                   /* callbacks on the stack */
    bool firing;
    bool stopping;
    lp_turn_fn turn_fn; /* NULL: nobody asks */
    void *turn_arg;
    int64_t turn_at; /* first callback of this turn; 0: none yet */
};

struct lp_timer {
    RB_ENTRY(lp_timer) link;
    struct lp_loop *loop;
    int64_t due; /* 0: not set */
    uint64_t
        number; /* timers due at once fire in the order of their setting */
    lp_timer_fn fn;
    void *arg;
};

struct lp_watch {
    LIST_ENTRY(lp_watch) unwritten_link;
    struct lp_loop *loop;
    struct lws *wsi;
    const struct lp_watch_ops *ops;
    void *arg;
    bool writing;   /* "writable" is being called */
    bool unwritten; /* is in the loop's list of that name */
};

static void
enter(struct lp_loop *loop)
{
    if (loop->turn_fn != NULL && loop->turn_at == 0) {
        loop->turn_at = Ck_Now(Ck_System());
    }
    loop->depth++;
}

static void
leave(struct lp_loop *loop)
{
    struct lp_later *later;
    while (loop->depth == 1 && (later = STAILQ_FIRST(&loop->later)) != NULL) {
        STAILQ_REMOVE_HEAD(&loop->later, link);
        later->fn(later->arg);
    }
    loop->depth--;
}

void
Lp_Later(struct lp_loop *loop, struct lp_later *later, void (*fn)(void *arg),
         void *arg)
{
    later->fn = fn;
    later->arg = arg;
    STAILQ_INSERT_TAIL(&loop->later, later, link);
}

static int
timer_compare(const struct lp_timer *a, const struct lp_timer *b)
{
    if (a->due != b->due) {
        return a->due < b->due ? -1 : 1;
    }
    return a->number < b->number ? -1 : a->number > b->number;
}

RB_PROTOTYPE(timer_tree, lp_timer, link, timer_compare);
RB_GENERATE(timer_tree, lp_timer, link, timer_compare);

/* Sets the descriptor for the earliest timer, when it is set for later. */
static void
arm(struct lp_loop *loop)
{
    const struct lp_timer *first = RB_MIN(timer_tree, &loop->timers);
    if (first == NULL ||
        (loop->alarm_at != 0 && loop->alarm_at <= first->due)) {
        return;
    }
    loop->alarm_at = first->due;
    struct itimerspec at = {0};
    at.it_value.tv_sec = first->due / Ck_USEC_PER_SEC;
    at.it_value.tv_nsec = first->due % Ck_USEC_PER_SEC * Lp_NSEC_PER_USEC;
    timerfd_settime(loop->alarm_fd, TFD_TIMER_ABSTIME, &at, NULL);
}

static int64_t
alarm_now(void)
{
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return now.tv_sec * Ck_USEC_PER_SEC + now.tv_nsec / Lp_NSEC_PER_USEC;
}

/*
 * Fires what is due.  A timer that is set meanwhile is due later than "now",
 * so one that sets itself again cannot keep the loop here.
 */
static void
alarm_rang(void *arg)
{
    struct lp_loop *loop = arg;
    uint64_t expirations;
    if (read(loop->alarm_fd, &expirations, sizeof(expirations)) < 0) {
        return;
    }
    loop->alarm_at = 0;
    enter(loop);
    loop->firing = true;
    int64_t now = alarm_now();
    struct lp_timer *timer;
    while ((timer = RB_MIN(timer_tree, &loop->timers)) != NULL &&
           timer->due <= now) {
        RB_REMOVE(timer_tree, &loop->timers, timer);
        timer->due = 0;
        timer->fn(timer->arg);
    }
    loop->firing = false;
    arm(loop);
    leave(loop);
}

static void
alarm_closed(void *arg)
{
    struct lp_loop *loop = arg;
    loop->alarm_fd = -1;
}

static const struct lp_watch_ops alarm_ops = {
    .readable = alarm_rang,
    .closed = alarm_closed,
};

static enum st_status
alarm_create(struct lp_loop *loop)
{
    RB_INIT(&loop->timers);
    loop->alarm_fd =
        timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
    if (loop->alarm_fd < 0) {
        return St_Fail(ST_INTERNAL, "no descriptor for timers; raise the "
                                    "limit of open files");
    }
    loop->alarm = Lp_WatchCreate(loop, loop->alarm_fd, &alarm_ops, loop);
    if (loop->alarm == NULL) {
        close(loop->alarm_fd);
        return St_Fail(ST_NO_MEMORY, "no memory for timers");
    }
    return ST_OK;
}

static void
write_watch(struct lws *wsi, struct lp_watch *watch)
{
    if (watch->ops->writable == NULL) {
        return;
    }
    watch->writing = true;
    watch->ops->writable(watch->arg);
    /* The handler may have destroyed its watch. */
    if (lws_get_opaque_user_data(wsi) == watch) {
        watch->writing = false;
    }
}

static int
watch_callback(struct lws *wsi, enum lws_callback_reasons reason, void *user,
               void *in, size_t len)
{
    struct lp_watch *watch = lws_get_opaque_user_data(wsi);
    if (watch == NULL) {
        /* Destroyed by its owner; let libwebsockets close the descriptor. */
        return reason == LWS_CALLBACK_RAW_RX_FILE ||
                       reason == LWS_CALLBACK_RAW_WRITEABLE_FILE
                   ? -1
                   : 0;
    }
    struct lp_loop *loop = watch->loop;
    enter(loop);
    switch (reason) {
    case LWS_CALLBACK_RAW_RX_FILE:
        watch->ops->readable(watch->arg);
        break;
    case LWS_CALLBACK_RAW_WRITEABLE_FILE:
        write_watch(wsi, watch);
        break;
    case LWS_CALLBACK_RAW_CLOSE_FILE:
        watch->wsi = NULL;
        watch->ops->closed(watch->arg);
        break;
    default:
        break;
    }
    leave(loop);
    /* The handler may have destroyed its watch. */
    return lws_get_opaque_user_data(wsi) == NULL ? -1 : 0;
}

static const struct lws_protocols client_protocols[] = {
    {.name = "http-client", .callback = Hc_Callback},
    {.name = "watch", .callback = watch_callback},
    {.name = NULL},
};

static struct lws_vhost *
create_client_vhost(const struct lp_loop *loop, const char *name)
{
    struct lws_context_creation_info vhost = {0};
    vhost.port = CONTEXT_PORT_NO_LISTEN;
    vhost.vhost_name = name;
    vhost.protocols = client_protocols;
    /* Every call has timers of its own; those of the library stay away. */
    vhost.timeout_secs = Lp_NEVER_SECS;
    return lws_create_vhost(loop->context, &vhost);
}

size_t
Lp_DescriptorsMax(void)
{
    return Lp_MAX_DESCRIPTORS;
}

/*
 * Creates the loop with its client side.  SIGPIPE is ignored for the whole
 * process: a peer that goes away shows as a failed write.
 */
enum st_status
Lp_Create(struct lp_loop **out)
{
    signal(SIGPIPE, SIG_IGN);
    lws_set_log_level(LLL_ERR, NULL);
    struct lp_loop *loop = calloc(1, sizeof(*loop));
    if (loop == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for the loop");
    }
    STAILQ_INIT(&loop->later);
    LIST_INIT(&loop->unwritten);
    struct lws_context_creation_info info = {0};
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS |
                   LWS_SERVER_OPTION_DO_SSL_GLOBAL_INIT;
    info.fd_limit_per_thread = Lp_MAX_DESCRIPTORS;
    info.max_http_header_pool = Lp_MAX_HEADER_BLOCKS;
    info.max_http_header_data = Lp_HEADER_BLOCK_BYTES;
    info.pt_serv_buf_size = Lp_SERVICE_BUFFER_BYTES;
    loop->context = lws_create_context(&info);
    if (loop->context == NULL) {
        free(loop);
        return St_Fail(ST_INTERNAL, "libwebsockets context not created");
    }
    loop->client_vhost = create_client_vhost(loop, "client");
    if (loop->client_vhost == NULL) {
        lws_context_destroy(loop->context);
        free(loop);
        return St_Fail(ST_INTERNAL, "libwebsockets client not created");
    }
    enum st_status status = alarm_create(loop);
    if (status != ST_OK) {
        lws_context_destroy(loop->context);
        free(loop);
        return status;
    }
    *out = loop;
    return ST_OK;
}

/* Closes every connection and frees the loop. */
void
Lp_Destroy(struct lp_loop *loop)
{
    if (loop == NULL) {
        return;
    }
    enter(loop);
    leave(loop);
    lws_context_destroy(loop->context);
    enter(loop);
    leave(loop);
    free(loop->alarm);
    free(loop);
}

void
Lp_SetTurn(struct lp_loop *loop, lp_turn_fn fn, void *arg)
{
    loop->turn_fn = fn;
    loop->turn_arg = arg;
}

/*
 * The library forgets a request for "writable" that was made within it, and
 * what is left of a large answer would never be sent.
 */
static void
ask_again(struct lp_loop *loop)
{
    struct lp_watch *watch;
    while ((watch = LIST_FIRST(&loop->unwritten)) != NULL) {
        LIST_REMOVE(watch, unwritten_link);
        watch->unwritten = false;
        Lp_WatchWritable(watch);
    }
}

static void
end_turn(struct lp_loop *loop)
{
    if (loop->turn_at != 0) {
        int64_t usec = Ck_Now(Ck_System()) - loop->turn_at;
        loop->turn_at = 0;
        loop->turn_fn(loop->turn_arg, usec);
    }
}

/* Serves until Lp_Stop(). */
void
Lp_Run(struct lp_loop *loop)
{
    while (!loop->stopping) {
        if (lws_service(loop->context, 0) < 0) {
            break;
        }
        ask_again(loop);
        end_turn(loop);
    }
}

/* Makes Lp_Run() return.  Safe in a signal handler. */
void
Lp_Stop(struct lp_loop *loop)
{
    loop->stopping = true;
    lws_cancel_service(loop->context);
}

/* The library's context, for the other modules of this package. */
struct lws_context *
Lp_Context(struct lp_loop *loop)
{
    return loop->context;
}

/* The library's client side, for the other modules of this package. */
struct lws_vhost *
Lp_ClientVhost(struct lp_loop *loop)
{
    return loop->client_vhost;
}

struct lws_vhost *
Lp_ProxyVhost(struct lp_loop *loop, const char *proxy)
{
    for (size_t i = 0; i < loop->proxy_count; i++) {
        if (strcmp(loop->proxies[i].name, proxy) == 0) {
            return loop->proxies[i].vhost;
        }
    }
    if (loop->proxy_count == Lp_PROXIES_MAX) {
        return NULL;
    }
    struct proxy *fresh = &loop->proxies[loop->proxy_count];
    if (strlcpy(fresh->name, proxy, sizeof(fresh->name)) >=
        sizeof(fresh->name)) {
        return NULL;
    }
    fresh->vhost = create_client_vhost(loop, fresh->name);
    if (fresh->vhost == NULL || lws_set_proxy(fresh->vhost, proxy) != 0) {
        return NULL;
    }
    loop->proxy_count++;
    return fresh->vhost;
}

/* Creates a timer that is not set; NULL without memory. */
struct lp_timer *
Lp_TimerCreate(struct lp_loop *loop, lp_timer_fn fn, void *arg)
{
    struct lp_timer *timer = calloc(1, sizeof(*timer));
    if (timer != NULL) {
        timer->loop = loop;
        timer->fn = fn;
        timer->arg = arg;
    }
    return timer;
}

/* Fires once after the delay; replaces an earlier setting. */
void
Lp_TimerSet(struct lp_timer *timer, int64_t delay_usec)
{
    if (delay_usec < 1) {
        delay_usec = 1;
    }
    Lp_TimerCancel(timer);
    timer->due = alarm_now() + delay_usec;
    timer->number = timer->loop->next_number++;
    RB_INSERT(timer_tree, &timer->loop->timers, timer);
    if (!timer->loop->firing) {
        arm(timer->loop);
    }
}

/* Unsets the timer; nothing happens when it was not set. */
void
Lp_TimerCancel(struct lp_timer *timer)
{
    if (timer->due != 0) {
        RB_REMOVE(timer_tree, &timer->loop->timers, timer);
        timer->due = 0;
    }
}

/* Unsets and frees the timer. */
void
Lp_TimerDestroy(struct lp_timer *timer)
{
    if (timer != NULL) {
        Lp_TimerCancel(timer);
        free(timer);
    }
}

/*
 * Watches a non-blocking descriptor for reading.  The loop closes the
 * descriptor when the watch is destroyed or the other side hangs up.
 */
struct lp_watch *
Lp_WatchCreate(struct lp_loop *loop, int fd, const struct lp_watch_ops *ops,
               void *arg)
{
    struct lp_watch *watch = calloc(1, sizeof(*watch));
    if (watch == NULL) {
        return NULL;
    }
    watch->loop = loop;
    watch->ops = ops;
    watch->arg = arg;
    lws_sock_file_fd_type descriptor;
    memset(&descriptor, 0, sizeof(descriptor));
    descriptor.filefd = fd;
    watch->wsi =
        lws_adopt_descriptor_vhost(loop->client_vhost, LWS_ADOPT_RAW_FILE_DESC,
                                   descriptor, "watch", NULL);
    if (watch->wsi == NULL) {
        free(watch);
        return NULL;
    }
    lws_set_opaque_user_data(watch->wsi, watch);
    return watch;
}

/* Asks for one call of "writable" when the descriptor can take bytes. */
void
Lp_WatchWritable(struct lp_watch *watch)
{
    if (watch->writing) {
        if (!watch->unwritten) {
            watch->unwritten = true;
            LIST_INSERT_HEAD(&watch->loop->unwritten, watch, unwritten_link);
        }
    }
    else if (watch->wsi != NULL) {
        lws_callback_on_writable(watch->wsi);
    }
}

/*
 * Stops or resumes reading: "readable" is called for as long as there is
 * something to read, so an owner that cannot take more has to pause.
 */
void
Lp_WatchPause(struct lp_watch *watch, bool pause)
{
    if (watch->wsi != NULL) {
        lws_rx_flow_control(watch->wsi, pause ? 0 : 1);
    }
}

/* Stops watching and closes the descriptor. */
void
Lp_WatchDestroy(struct lp_watch *watch)
{
    if (watch == NULL) {
        return;
    }
    if (watch->unwritten) {
        LIST_REMOVE(watch, unwritten_link);
    }
    if (watch->wsi != NULL) {
        lws_set_opaque_user_data(watch->wsi, NULL);
        lws_set_timeout(watch->wsi, PENDING_TIMEOUT_CLOSE_SEND,
                        LWS_TO_KILL_ASYNC);
    }
    free(watch);
}
