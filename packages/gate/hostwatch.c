#include "gate/hostwatch.h"

#include <stdio.h>
#include <stdlib.h>

#include "base/event.h"
#include "gate/events.h"

#define Hw_LIST_PERIOD (1 * Ck_USEC_PER_SEC)
#define Hw_NOTICE_PERIOD (500 * Ck_USEC_PER_MSEC)
#define Hw_TIMEOUT (2 * Ck_USEC_PER_SEC)
#define Hw_PATH_MAX 64

struct hw_watch {
    struct gt_gate *gate;
    const struct hw_ops *ops;
    void *arg;
    struct hl_list *list;
    struct lp_timer *list_timer;
    struct lp_timer *notice_timer;
    struct jc_call *notice_call;
    uint64_t next_notice;
    bool failing;
};

static void
list_done(void *arg, enum st_status status, const struct hl_host *hosts,
          size_t count)
{
    struct hw_watch *watch = arg;
    Lp_TimerSet(watch->list_timer, Hw_LIST_PERIOD);
    if (status != ST_OK) {
        if (!watch->failing) {
            Ev_Log(&GT_HOST_LIST_FAILED, "reason=\"%s\"", St_Message());
        }
        watch->failing = true;
        return;
    }
    watch->failing = false;
    watch->ops->hosts(watch->arg, hosts, count);
}

static void
list_ask(void *arg)
{
    struct hw_watch *watch = arg;
    if (watch->list->ops->fetch(watch->list, Hw_TIMEOUT, list_done, watch) !=
        ST_OK) {
        Lp_TimerSet(watch->list_timer, Hw_LIST_PERIOD);
    }
}

static void
take_notice(struct hw_watch *watch, const json_t *notice)
{
    const char *host = json_string_value(json_object_get(notice, "host"));
    int64_t left_ms = json_integer_value(json_object_get(notice, "left_ms"));
    if (host == NULL) {
        return;
    }
    Ev_Log(&GT_NOTICE, "host=%s left_ms=%lld", host, (long long)left_ms);
    watch->ops->notice(watch->arg, host, left_ms * Ck_USEC_PER_MSEC);
}

static void
notice_done(void *arg, const struct jc_answer *answer)
{
    struct hw_watch *watch = arg;
    watch->notice_call = NULL;
    Lp_TimerSet(watch->notice_timer, Hw_NOTICE_PERIOD);
    const json_t *next = json_object_get(answer->body, "next");
    if (answer->status != ST_OK || answer->code != 200 ||
        !json_is_integer(next)) {
        return;
    }
    /* An older answer must not bring old notices back. */
    uint64_t after = (uint64_t)json_integer_value(next);
    if (after < watch->next_notice) {
        return;
    }
    watch->next_notice = after;
    size_t i;
    const json_t *notice;
    const json_t *notices = json_object_get(answer->body, "notices");
    json_array_foreach (notices, i, notice) {
        take_notice(watch, notice);
    }
}

static void
notice_ask(void *arg)
{
    struct hw_watch *watch = arg;
    char path[Hw_PATH_MAX];
    snprintf(path, sizeof(path), "/cloud/v1/notices?from=%llu",
             (unsigned long long)watch->next_notice);
    if (Jc_Start(watch->gate->loop, &watch->gate->options->cloud, "GET", path,
                 NULL, Hw_TIMEOUT, notice_done, watch,
                 &watch->notice_call) != ST_OK) {
        Lp_TimerSet(watch->notice_timer, Hw_NOTICE_PERIOD);
    }
}

/* Starts to watch; the first list is asked for at once. */
enum st_status
Hw_Create(struct gt_gate *gate, const struct hw_ops *ops, void *arg,
          struct hw_watch **out)
{
    struct hw_watch *watch = calloc(1, sizeof(*watch));
    if (watch == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory to watch hosts");
    }
    watch->gate = gate;
    watch->ops = ops;
    watch->arg = arg;
    watch->next_notice = 1;
    watch->list_timer = Lp_TimerCreate(gate->loop, list_ask, watch);
    watch->notice_timer = Lp_TimerCreate(gate->loop, notice_ask, watch);
    enum st_status status =
        Hl_HttpCreate(gate->loop, &gate->options->hosts, &watch->list);
    if (status != ST_OK || watch->list_timer == NULL ||
        watch->notice_timer == NULL) {
        Hw_Destroy(watch);
        return status != ST_OK ? status : St_Fail(ST_NO_MEMORY, "no timer");
    }
    Lp_TimerSet(watch->list_timer, 0);
    if (gate->options->cloud.port != 0) {
        Lp_TimerSet(watch->notice_timer, 0);
    }
    *out = watch;
    return ST_OK;
}

/* Stops watching; call it before the loop is destroyed. */
void
Hw_Destroy(struct hw_watch *watch)
{
    if (watch == NULL) {
        return;
    }
    if (watch->notice_call != NULL) {
        Jc_Cancel(watch->notice_call);
    }
    Lp_TimerDestroy(watch->list_timer);
    Lp_TimerDestroy(watch->notice_timer);
    if (watch->list != NULL) {
        watch->list->ops->destroy(watch->list);
    }
    free(watch);
}
