#include "gate/hostwatch.h"

#include <stdio.h>
#include <stdlib.h>

#include "base/event.h"
#include "base/hash.h"
#include "gate/events.h"

/*
 * The whole list is read each time: at 1160 hosts 230 KB, ten times what a
 * daemon may spend in a second.  So its period grows with it, and a change
 * that any daemon saw has the others ask before their time.
 */
#define Hw_LIST_PERIOD (1 * Ck_USEC_PER_SEC)
#define Hw_HOST_BYTES 200
#define Hw_BYTES_PER_SEC 8192
/* Least time between lists that others cause, as a part of the period. */
#define Hw_HEARD_PART 8
#define Hw_HEARD_SPREAD (2 * Ck_USEC_PER_SEC)
#define Hw_NOTICE_PERIOD (500 * Ck_USEC_PER_MSEC)
#define Hw_TIMEOUT (2 * Ck_USEC_PER_SEC)
#define Hw_PATH_MAX 64

struct hw_watch {
    struct gt_gate *gate;
    const struct hw_ops *ops;
    void *arg;
    struct hl_list *list;
    struct lp_timer *list_timer;
    int64_t list_period;
    int64_t list_at; /* when the last list came */
    uint64_t digest; /* of that list, whatever its order */
    bool asking;
    bool hurried;
    struct lp_timer *notice_timer;
    struct jc_call *notice_call;
    uint64_t next_notice;
    bool failing;
};

/* Lists with the same hosts in another order are the same. */
static uint64_t
digest_of(const struct hl_host *hosts, size_t count)
{
    uint64_t digest = 0;
    for (size_t i = 0; i < count; i++) {
        digest += Hash_Bytes(&hosts[i], sizeof(hosts[i]), 0);
    }
    return digest;
}

/* Microseconds between two readings of a list of so many hosts. */
int64_t
Hw_Period(size_t hosts)
{
    int64_t bytes = (int64_t)hosts * Hw_HOST_BYTES;
    int64_t period = bytes * Ck_USEC_PER_SEC / Hw_BYTES_PER_SEC;
    return period > Hw_LIST_PERIOD ? period : Hw_LIST_PERIOD;
}

static void
list_done(void *arg, enum st_status status, const struct hl_host *hosts,
          size_t count)
{
    struct hw_watch *watch = arg;
    watch->asking = false;
    watch->hurried = false;
    watch->list_at = Ck_Now(watch->gate->clock);
    if (status != ST_OK) {
        Lp_TimerSet(watch->list_timer, Hw_LIST_PERIOD);
        if (!watch->failing) {
            Ev_Log(&GT_HOST_LIST_FAILED, "reason=\"%s\"", St_Message());
        }
        watch->failing = true;
        return;
    }
    watch->failing = false;
    watch->list_period = Hw_Period(count);
    Lp_TimerSet(watch->list_timer, watch->list_period);
    watch->ops->hosts(watch->arg, hosts, count);
    uint64_t digest = digest_of(hosts, count);
    if (digest != watch->digest) {
        watch->digest = digest;
        watch->ops->changed(watch->arg, digest);
    }
}

static void
list_ask(void *arg)
{
    struct hw_watch *watch = arg;
    watch->asking = true;
    if (watch->list->ops->fetch(watch->list, Hw_TIMEOUT, list_done, watch) !=
        ST_OK) {
        watch->asking = false;
        Lp_TimerSet(watch->list_timer, Hw_LIST_PERIOD);
    }
}

/*
 * Another daemon got a list with this digest.  If ours says something else
 * it is read soon, at a random moment, so that not all daemons ask the
 * platform at once.  Answers that differ from one reading to the next cannot
 * make this daemon read all the time: there is a least time between two.
 */
void
Hw_Hear(struct hw_watch *watch, uint64_t digest)
{
    if (digest == watch->digest || watch->asking || watch->hurried ||
        watch->list_at == 0) {
        return;
    }
    int64_t least = watch->list_at + watch->list_period / Hw_HEARD_PART;
    int64_t wait = least - Ck_Now(watch->gate->clock);
    uint32_t spread = Rn_Below(&watch->gate->random, Hw_HEARD_SPREAD);
    watch->hurried = true;
    Lp_TimerSet(watch->list_timer, (wait > 0 ? wait : 0) + spread);
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
