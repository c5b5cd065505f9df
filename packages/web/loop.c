#include "web/loop.h"

#include <libwebsockets.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "web/internal.h"

#define Lp_MAX_DESCRIPTORS 8192
#define Lp_MAX_HEADER_BLOCKS 4096
#define Lp_HEADER_BLOCK_BYTES 8192
#define Lp_SERVICE_BUFFER_BYTES 16384
#define Lp_NEVER_SECS 3600

struct lp_loop {
    struct lws_context *context;
    struct lws_vhost *client_vhost;
    bool stopping;
};

struct lp_timer {
    lws_sorted_usec_list_t sul;
    struct lp_loop *loop;
    lp_timer_fn fn;
    void *arg;
};

struct lp_watch {
    struct lws *wsi;
    const struct lp_watch_ops *ops;
    void *arg;
};

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
    switch (reason) {
    case LWS_CALLBACK_RAW_RX_FILE:
        watch->ops->readable(watch->arg);
        break;
    case LWS_CALLBACK_RAW_WRITEABLE_FILE:
        if (watch->ops->writable != NULL) {
            watch->ops->writable(watch->arg);
        }
        break;
    case LWS_CALLBACK_RAW_CLOSE_FILE:
        watch->wsi = NULL;
        watch->ops->closed(watch->arg);
        break;
    default:
        break;
    }
    /* The handler may have destroyed its watch. */
    return lws_get_opaque_user_data(wsi) == NULL ? -1 : 0;
}

static const struct lws_protocols client_protocols[] = {
    {.name = "http-client", .callback = Hc_Callback},
    {.name = "watch", .callback = watch_callback},
    {.name = NULL},
};

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
    struct lws_context_creation_info vhost = {0};
    vhost.port = CONTEXT_PORT_NO_LISTEN;
    vhost.vhost_name = "client";
    vhost.protocols = client_protocols;
    /* Every call has timers of its own; those of the library stay away. */
    vhost.timeout_secs = Lp_NEVER_SECS;
    loop->client_vhost = lws_create_vhost(loop->context, &vhost);
    if (loop->client_vhost == NULL) {
        lws_context_destroy(loop->context);
        free(loop);
        return St_Fail(ST_INTERNAL, "libwebsockets client not created");
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
    lws_context_destroy(loop->context);
    free(loop);
}

/* Serves until Lp_Stop(). */
void
Lp_Run(struct lp_loop *loop)
{
    while (!loop->stopping) {
        if (lws_service(loop->context, 0) < 0) {
            break;
        }
    }
}

/* Makes Lp_Run() return.  Safe in a signal handler. */
void
Lp_Stop(struct lp_loop *loop)
{
    loop->stopping = true;
    lws_cancel_service(loop->context);
}

struct lws_context *
Lp_Context(struct lp_loop *loop)
{
    return loop->context;
}

struct lws_vhost *
Lp_ClientVhost(struct lp_loop *loop)
{
    return loop->client_vhost;
}

static void
timer_fired(lws_sorted_usec_list_t *sul)
{
    struct lp_timer *timer = lws_container_of(sul, struct lp_timer, sul);
    timer->fn(timer->arg);
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
    lws_sul_schedule(timer->loop->context, 0, &timer->sul, timer_fired,
                     delay_usec);
}

/* Unsets the timer; nothing happens when it was not set. */
void
Lp_TimerCancel(struct lp_timer *timer)
{
    lws_sul_schedule(timer->loop->context, 0, &timer->sul, timer_fired,
                     LWS_SET_TIMER_USEC_CANCEL);
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
    if (watch->wsi != NULL) {
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
    if (watch->wsi != NULL) {
        lws_set_opaque_user_data(watch->wsi, NULL);
        lws_set_timeout(watch->wsi, PENDING_TIMEOUT_CLOSE_SEND,
                        LWS_TO_KILL_ASYNC);
    }
    free(watch);
}
