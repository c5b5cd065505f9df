#include "gate/loadwatch.h"

#include <bsd/string.h>
#include <stdlib.h>
#include <string.h>

#include "gate/endpoints.h"

#define Lw_ROUND_USEC (200 * Ck_USEC_PER_MSEC)
#define Lw_PERIOD_USEC (1 * Ck_USEC_PER_SEC)
#define Lw_TIMEOUT_USEC (1 * Ck_USEC_PER_SEC)
#define Lw_UNREACHABLE_FAILURES 3
/*
 * Samples that all daemons of a data centre together gossip in a second.  With
 * more endpoints each is gossiped less often, because every sample costs every
 * daemon of the data centre a few hundred bytes.
 */
#define Lw_RATE_LIMIT_MAX 1e6 /* requests a second */
#define Lw_GOSSIP_PER_SEC 20
/* Rounds without assignment after which the poll of an endpoint is removed. */
#define Lw_UNASSIGNED_ROUNDS 10

/* The periodic poll of one endpoint. */
struct poll {
    TAILQ_ENTRY(poll) link;
    struct lw_watch *watch;
    char service[Cf_NAME_MAX];
    char endpoint[Ch_NAME_MAX];
    struct jc_call *call;
    int64_t due_at;
    int failures;          /* consecutive failed calls */
    int rounds_unassigned; /* rounds since the endpoint was last assigned */
};

TAILQ_HEAD(poll_list, poll);

struct lw_watch {
    struct gt_gate *gate;
    const struct lw_ops *ops;
    void *arg;
    struct lp_timer *timer;
    struct poll_list polls;
    int64_t local_endpoints; /* in this data centre, as of the last round */
};

static struct poll *
find_poll(struct lw_watch *watch, const char *service, const char *endpoint)
{
    struct poll *poll;
    TAILQ_FOREACH (poll, &watch->polls, link) {
        if (strcmp(poll->endpoint, endpoint) == 0 &&
            strcmp(poll->service, service) == 0) {
            return poll;
        }
    }
    return NULL;
}

static struct poll *
add_poll(struct lw_watch *watch, const char *service, const char *endpoint)
{
    struct poll *poll = calloc(1, sizeof(*poll));
    if (poll == NULL) {
        return NULL;
    }
    poll->watch = watch;
    strlcpy(poll->service, service, sizeof(poll->service));
    strlcpy(poll->endpoint, endpoint, sizeof(poll->endpoint));
    /* A random offset in the period avoids bursts of polls. */
    poll->due_at = Ck_Now(watch->gate->clock) +
                   Rn_Below(&watch->gate->random, (uint32_t)Lw_PERIOD_USEC);
    TAILQ_INSERT_TAIL(&watch->polls, poll, link);
    return poll;
}

/* Frees a poll, which must be out of the list. */
static void
poll_free(struct poll *poll)
{
    if (poll->call != NULL) {
        Jc_Cancel(poll->call);
    }
    free(poll);
}

static void
count_failure(struct poll *poll)
{
    struct lw_watch *watch = poll->watch;
    poll->failures++;
    if (poll->failures == Lw_UNREACHABLE_FAILURES) {
        watch->ops->unreachable(watch->arg, poll->service, poll->endpoint);
    }
}

static int
number(const json_t *body, const char *key)
{
    return (int)json_integer_value(json_object_get(body, key));
}

static int64_t
gossip_interval(const struct lw_watch *watch)
{
    int64_t usec =
        watch->local_endpoints * Ck_USEC_PER_SEC / Lw_GOSSIP_PER_SEC;
    return usec > Lw_PERIOD_USEC ? usec : Lw_PERIOD_USEC;
}

/* Higher limits, and negative ones, are not plausible for one engine. */
static double
read_rate_limit(const json_t *body)
{
    const json_t *value = json_object_get(body, "requests_per_s");
    double per_sec = json_number_value(value);
    bool valid =
        json_is_number(value) && per_sec >= 0 && per_sec <= Lw_RATE_LIMIT_MAX;
    return valid ? per_sec : -1;
}

static void
poll_done(void *arg, const struct jc_answer *answer)
{
    struct poll *poll = arg;
    struct lw_watch *watch = poll->watch;
    const json_t *body = answer->body;
    poll->call = NULL;
    if (answer->status != ST_OK || answer->code != 200 ||
        !json_is_integer(json_object_get(body, "running"))) {
        count_failure(poll);
        return;
    }
    poll->failures = 0;
    const char *state = json_string_value(json_object_get(body, "state"));
    const char *version = json_string_value(json_object_get(body, "version"));
    struct lw_report report = {
        .service = poll->service,
        .endpoint = poll->endpoint,
        .sample =
            {
                .running = number(body, "running"),
                .waiting = number(body, "waiting"),
                .tokens_per_s =
                    json_number_value(json_object_get(body, "tokens_per_s")),
                .taken = Ck_Now(watch->gate->clock) -
                         number(body, "age_ms") * Ck_USEC_PER_MSEC,
            },
        .leaving = state != NULL && strcmp(state, "leaving") == 0,
        .left_usec = number(body, "left_ms") * Ck_USEC_PER_MSEC,
        .has_cold = json_is_integer(json_object_get(body, "cold_ms")),
        .cold_left_usec = number(body, "cold_ms") * Ck_USEC_PER_MSEC,
        .refusal_limit =
            json_is_integer(json_object_get(body, "refusals_borne"))
                ? number(body, "refusals_borne")
                : -1,
        .rate_limit = read_rate_limit(body),
        .gossip_interval_usec = gossip_interval(watch),
    };
    strlcpy(report.version, version != NULL ? version : "",
            sizeof(report.version));
    watch->ops->report(watch->arg, &report);
}

static void
start_poll(struct poll *poll, const struct ch_info *info)
{
    struct lw_watch *watch = poll->watch;
    struct jc_target target = {.port = info->port};
    strlcpy(target.address, info->address, sizeof(target.address));
    poll->due_at += Lw_PERIOD_USEC;
    if (Jc_Start(watch->gate->loop, &target, "GET", "/v1/load", NULL,
                 Lw_TIMEOUT_USEC, poll_done, poll, &poll->call) != ST_OK) {
        poll->call = NULL;
    }
}

static void
poll_if_assigned(struct lw_watch *watch, const char *service,
                 const struct ch_info *info)
{
    if (!watch->ops->is_assigned(watch->arg, info)) {
        return;
    }
    struct poll *poll = find_poll(watch, service, info->id);
    if (poll == NULL) {
        poll = add_poll(watch, service, info->id);
    }
    if (poll == NULL) {
        return;
    }
    poll->rounds_unassigned = 0;
    if (poll->call == NULL && Ck_Now(watch->gate->clock) >= poll->due_at) {
        start_poll(poll, info);
    }
}

static void
remove_unassigned(struct lw_watch *watch)
{
    struct poll *poll;
    struct poll *next;
    TAILQ_FOREACH_SAFE (poll, &watch->polls, link, next) {
        poll->rounds_unassigned++;
        if (poll->rounds_unassigned > Lw_UNASSIGNED_ROUNDS) {
            TAILQ_REMOVE(&watch->polls, poll, link);
            poll_free(poll);
        }
    }
}

static void
on_round(void *arg)
{
    struct lw_watch *watch = arg;
    const struct cf_config *config = watch->gate->config;
    const char *here = watch->gate->options->data_centre;
    int64_t local_endpoints = 0;
    for (size_t i = 0; config != NULL && i < config->service_count; i++) {
        const struct cf_service *service = &config->services[i];
        struct ch_table *table =
            Ep_Table(watch->gate->endpoints, service->name);
        if (service->kind != CF_ENGINE || table == NULL) {
            continue;
        }
        struct ch_endpoint *endpoint = Ch_First(table);
        for (; endpoint != NULL; endpoint = Ch_Next(endpoint)) {
            const struct ch_info *info = Ch_Info(endpoint);
            local_endpoints += strcmp(info->data_centre, here) == 0 ? 1 : 0;
            poll_if_assigned(watch, service->name, info);
        }
    }
    watch->local_endpoints = local_endpoints;
    remove_unassigned(watch);
    Lp_TimerSet(watch->timer, Lw_ROUND_USEC);
}

/* Starts polling; "ops" and "arg" must outlive the watch. */
enum st_status
Lw_Create(struct gt_gate *gate, const struct lw_ops *ops, void *arg,
          struct lw_watch **out)
{
    struct lw_watch *watch = calloc(1, sizeof(*watch));
    if (watch == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory to watch the load");
    }
    watch->gate = gate;
    watch->ops = ops;
    watch->arg = arg;
    TAILQ_INIT(&watch->polls);
    watch->timer = Lp_TimerCreate(gate->loop, on_round, watch);
    if (watch->timer == NULL) {
        free(watch);
        return St_Fail(ST_NO_MEMORY, "no timer");
    }
    Lp_TimerSet(watch->timer, 0);
    *out = watch;
    return ST_OK;
}

/* Stops polling; must be called before the loop is destroyed. */
void
Lw_Destroy(struct lw_watch *watch)
{
    if (watch == NULL) {
        return;
    }
    struct poll *poll;
    while ((poll = TAILQ_FIRST(&watch->polls)) != NULL) {
        TAILQ_REMOVE(&watch->polls, poll, link);
        poll_free(poll);
    }
    Lp_TimerDestroy(watch->timer);
    free(watch);
}
