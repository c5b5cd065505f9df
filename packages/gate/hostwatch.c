#include "gate/hostwatch.h"

#include <stdio.h>
#include <stdlib.h>

#include "base/event.h"
#include "base/hash.h"
#include "gate/events.h"
#include "platform/jsonlist.h"

/*
 * Each poll reads the whole list: 230 KB at 1160 hosts, ten times the network
 * budget of a daemon for one second.  The period therefore grows with the
 * list, and a change seen by any daemon makes the others poll early.
 */
#define Hw_LIST_USEC (1 * Ck_USEC_PER_SEC)
#define Hw_HOST_BYTES 200
#define Hw_BYTES_PER_SEC 8192
/* An early poll waits at least 1/8 of the period after the last poll. */
#define Hw_EARLY_FRACTION 8
#define Hw_EARLY_JITTER_USEC (2 * Ck_USEC_PER_SEC)
#define Hw_NOTICE_USEC (500 * Ck_USEC_PER_MSEC)
#define Hw_TIMEOUT_USEC (2 * Ck_USEC_PER_SEC)
#define Hw_PATH_MAX 64
/* No platform gives a longer notice. */
#define Hw_NOTICE_MSEC_MAX (24 * 3600 * 1000)

struct hw_watch {
    struct gt_gate *gate;
    const struct hw_ops *ops;
    void *arg;
    struct hl_list *list;
    struct lp_timer *list_timer;
    int64_t list_period;
    int64_t list_at; /* when the last poll ended; 0: none has */
    uint64_t digest; /* of the last list, independent of its order */
    bool polling;
    bool early; /* an early poll is scheduled */
    struct lp_timer *notice_timer;
    struct jc_call *notice_call;
    uint64_t next_notice;
    size_t unreadable; /* entries of the last list that named no host */
    bool failing;      /* the last poll of the list failed; logged once */
};

/* The order of the hosts does not change the digest. */
static uint64_t
digest_of(const struct hl_host *hosts, size_t count)
{
    uint64_t digest = 0;
    for (size_t i = 0; i < count; i++) {
        digest += Hash_Bytes(&hosts[i], sizeof(hosts[i]), 0);
    }
    return digest;
}

/* Microseconds between two polls of a list with this many hosts. */
int64_t
Hw_PollPeriod(size_t hosts)
{
    int64_t bytes = (int64_t)hosts * Hw_HOST_BYTES;
    int64_t period = bytes * Ck_USEC_PER_SEC / Hw_BYTES_PER_SEC;
    return period > Hw_LIST_USEC ? period : Hw_LIST_USEC;
}

static void
list_done(void *arg, enum st_status status, const struct hl_host *hosts,
          size_t count)
{
    struct hw_watch *watch = arg;
    watch->polling = false;
    watch->early = false;
    watch->list_at = Ck_Now(watch->gate->clock);
    if (status != ST_OK) {
        Lp_TimerSet(watch->list_timer, Hw_LIST_USEC);
        if (!watch->failing) {
            Ev_Log(&GT_HOST_LIST_FAILED, "reason=\"%s\"", St_Message());
        }
        watch->failing = true;
        return;
    }
    watch->failing = false;
    if (watch->list->unreadable != watch->unreadable) {
        watch->unreadable = watch->list->unreadable;
        Ev_Log(&GT_HOST_UNREADABLE, "entries=%zu", watch->unreadable);
    }
    watch->list_period = Hw_PollPeriod(count);
    Lp_TimerSet(watch->list_timer, watch->list_period);
    watch->ops->hosts(watch->arg, hosts, count);
    uint64_t digest = digest_of(hosts, count);
    if (digest != watch->digest) {
        watch->digest = digest;
        watch->ops->changed(watch->arg, digest);
    }
}

static void
poll_list(void *arg)
{
    struct hw_watch *watch = arg;
    watch->polling = true;
    if (watch->list->ops->fetch(watch->list, Hw_TIMEOUT_USEC, list_done,
                                watch) != ST_OK) {
        watch->polling = false;
        Lp_TimerSet(watch->list_timer, Hw_LIST_USEC);
    }
}

/*
 * Handles the digest of a list that another daemon read.  If it differs from
 * the digest of this daemon's list, the list is polled early, with random
 * jitter so that not all daemons query the platform at once.  Early polls
 * have a minimum interval: without it, a platform whose responses differ
 * from poll to poll would make the daemon poll all the time.
 */
void
Hw_HandlePeerDigest(struct hw_watch *watch, uint64_t digest)
{
    if (digest == watch->digest || watch->polling || watch->early ||
        watch->list_at == 0) {
        return;
    }
    int64_t earliest = watch->list_at + watch->list_period / Hw_EARLY_FRACTION;
    int64_t wait = earliest - Ck_Now(watch->gate->clock);
    uint32_t jitter = Rn_Below(&watch->gate->random, Hw_EARLY_JITTER_USEC);
    watch->early = true;
    Lp_TimerSet(watch->list_timer, (wait > 0 ? wait : 0) + jitter);
}

static void
handle_notice(struct hw_watch *watch, const json_t *notice)
{
    const char *host = json_string_value(json_object_get(notice, "host"));
    int64_t left_ms = json_integer_value(json_object_get(notice, "left_ms"));
    if (host == NULL || left_ms < 0 || left_ms > Hw_NOTICE_MSEC_MAX) {
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
    Lp_TimerSet(watch->notice_timer, Hw_NOTICE_USEC);
    if (answer->status != ST_OK || answer->code != 200 ||
        answer->text == NULL) {
        return;
    }
    size_t unreadable;
    json_t *next = Jl_ReadMember(answer->text, answer->text_len, "next");
    json_t *notices =
        Jl_Read(answer->text, answer->text_len, "notices", &unreadable);
    uint64_t after = (uint64_t)json_integer_value(next);
    /*
     * A stale response must not deliver old notices again, and one that was
     * cut off must not make its notices count as read.
     */
    if (notices != NULL && json_is_integer(next) &&
        after >= watch->next_notice) {
        watch->next_notice = after;
        size_t i;
        const json_t *notice;
        json_array_foreach (notices, i, notice) {
            handle_notice(watch, notice);
        }
    }
    json_decref(next);
    json_decref(notices);
}

static void
poll_notices(void *arg)
{
    struct hw_watch *watch = arg;
    char path[Hw_PATH_MAX];
    snprintf(path, sizeof(path), "/cloud/v1/notices?from=%llu",
             (unsigned long long)watch->next_notice);
    if (Jc_Start(watch->gate->loop, &watch->gate->options->cloud, "GET", path,
                 NULL, Hw_TIMEOUT_USEC, notice_done, watch,
                 &watch->notice_call) != ST_OK) {
        Lp_TimerSet(watch->notice_timer, Hw_NOTICE_USEC);
    }
}

/* Starts polling; the list is first read at once. */
enum st_status
Hw_Create(struct gt_gate *gate, const struct hw_ops *ops, void *arg,
          struct hw_watch **out)
{
    struct hw_watch *watch = calloc(1, sizeof(*watch));
    if (watch == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for the host list poller");
    }
    watch->gate = gate;
    watch->ops = ops;
    watch->arg = arg;
    watch->next_notice = 1;
    watch->list_timer = Lp_TimerCreate(gate->loop, poll_list, watch);
    watch->notice_timer = Lp_TimerCreate(gate->loop, poll_notices, watch);
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

/* Stops polling; must be called before the loop is destroyed. */
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
