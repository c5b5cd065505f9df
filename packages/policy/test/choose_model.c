#include "choose_model.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PER_TOKEN_USEC 100
#define BASE_USEC 5000
#define ANSWER_TOKEN_USEC 20000
#define REPORT_PERIOD_USEC 1000000
#define RETRY_USEC 20000

enum kind { ARRIVE, FIRST_TOKEN, END, SAMPLE, DELIVER_REPORT };

struct event {
    int64_t at;
    enum kind kind;
    int subject;
    struct ch_sample sample;
};

struct job {
    int router;
    int endpoint;
    int64_t arrived;
    uint64_t prefix;
    int tokens;
    struct ch_flight flight;
    int next; /* in the endpoint's queue */
};

struct engine {
    int running;
    int waiting;
    int head;
    int tail;
    double slow_factor;
    uint64_t cache[64]; /* newest first */
};

struct model {
    const struct model_plan *plan;
    struct rn_random random;
    struct event *heap;
    int heap_count;
    struct job *jobs;
    struct engine *engines;
    struct ch_table **tables;
    int64_t *waits;
    int first_tokens;
    int hits;
    int64_t now;
    int ended;
    struct model_result *out;
};

static void
push(struct model *m, struct event event)
{
    int i = m->heap_count++;
    while (i > 0 && m->heap[(i - 1) / 2].at > event.at) {
        m->heap[i] = m->heap[(i - 1) / 2];
        i = (i - 1) / 2;
    }
    m->heap[i] = event;
}

static struct event
pop(struct model *m)
{
    struct event top = m->heap[0];
    struct event last = m->heap[--m->heap_count];
    int i = 0;
    for (;;) {
        int child = 2 * i + 1;
        if (child >= m->heap_count) {
            break;
        }
        if (child + 1 < m->heap_count &&
            m->heap[child + 1].at < m->heap[child].at) {
            child++;
        }
        if (m->heap[child].at >= last.at) {
            break;
        }
        m->heap[i] = m->heap[child];
        i = child;
    }
    m->heap[i] = last;
    return top;
}

static double
exponential(struct model *m, double mean)
{
    return -log(1 - Rn_Unit(&m->random)) * mean;
}

static bool
use_cache(struct model *m, struct engine *engine, uint64_t prefix)
{
    int size = m->plan->cache_size;
    int at = 0;
    while (at < size && engine->cache[at] != prefix) {
        at++;
    }
    bool hit = at < size;
    if (!hit) {
        at = size - 1;
    }
    memmove(engine->cache + 1, engine->cache, (size_t)at * sizeof(uint64_t));
    engine->cache[0] = prefix;
    return hit;
}

static void
begin_job(struct model *m, int job)
{
    struct job *j = &m->jobs[job];
    struct engine *engine = &m->engines[j->endpoint];
    int prefix = m->plan->prompt_tokens * 4 / 5;
    bool hit = use_cache(m, engine, j->prefix);
    m->hits += hit;
    m->out->started++;
    m->out->recomputed += hit ? 0 : prefix;
    int work = m->plan->prompt_tokens - (hit ? prefix : 0);
    double slowdown = 1 + (double)engine->running / m->plan->slots;
    engine->running++;
    double took =
        (BASE_USEC + PER_TOKEN_USEC * work) * slowdown * engine->slow_factor;
    push(m, (struct event){m->now + (int64_t)took, FIRST_TOKEN, job, {0}});
}

static void
on_arrive(struct model *m, int job)
{
    struct job *j = &m->jobs[job];
    struct ch_request request = {
        .prefix = j->prefix,
        .prompt_tokens = m->plan->prompt_tokens,
        .expected_tokens = m->plan->mean_answer_tokens,
    };
    struct ch_table *table = m->tables[j->router];
    if (Ch_Choose(table, &request, m->now, &m->random, &j->flight) != ST_OK) {
        m->out->refused++;
        push(m, (struct event){m->now + RETRY_USEC, ARRIVE, job, {0}});
        return;
    }
    j->endpoint = atoi(Ch_Info(j->flight.endpoint)->id);
    Ch_Start(table, &j->flight, m->now);
    struct engine *engine = &m->engines[j->endpoint];
    if (engine->running < m->plan->slots) {
        begin_job(m, job);
        return;
    }
    engine->waiting++;
    j->next = -1;
    if (engine->head < 0) {
        engine->head = job;
    }
    else {
        m->jobs[engine->tail].next = job;
    }
    engine->tail = job;
}

static void
on_first_token(struct model *m, int job)
{
    struct job *j = &m->jobs[job];
    struct engine *engine = &m->engines[j->endpoint];
    m->waits[m->first_tokens++] = m->now - j->arrived;
    Ch_FirstToken(m->tables[j->router], &j->flight, m->now);
    double took = j->tokens * ANSWER_TOKEN_USEC * engine->slow_factor;
    push(m, (struct event){m->now + (int64_t)took, END, job, {0}});
}

static void
on_end(struct model *m, int job)
{
    struct job *j = &m->jobs[job];
    struct engine *engine = &m->engines[j->endpoint];
    Ch_End(m->tables[j->router], &j->flight, CH_GOOD, m->now);
    engine->running--;
    m->ended++;
    if (engine->head >= 0) {
        int next = engine->head;
        engine->head = m->jobs[next].next;
        engine->waiting--;
        begin_job(m, next);
    }
}

static void
on_sample(struct model *m, int endpoint)
{
    struct engine *engine = &m->engines[endpoint];
    struct ch_sample sample = {engine->running, engine->waiting, 0, m->now};
    sample.tokens_per_s =
        engine->running * 1e6 / ANSWER_TOKEN_USEC / engine->slow_factor;
    push(m, (struct event){m->now + m->plan->report_lag, DELIVER_REPORT,
                           endpoint, sample});
    push(m,
         (struct event){m->now + REPORT_PERIOD_USEC, SAMPLE, endpoint, {0}});
}

static void
on_deliver(struct model *m, const struct event *event)
{
    char id[Ch_NAME_MAX];
    snprintf(id, sizeof(id), "%d", event->subject);
    for (int i = 0; i < m->plan->routers; i++) {
        Ch_Report(m->tables[i], id, &event->sample);
    }
}

static void
set_up(struct model *m)
{
    const struct model_plan *plan = m->plan;
    struct ch_settings settings;
    Ch_Defaults(&settings);
    for (int r = 0; r < plan->routers; r++) {
        m->tables[r] = Ch_Create("a", plan->ops, &settings);
        for (int e = 0; e < plan->endpoints; e++) {
            struct ch_info info = {.port = 1, .price = 1};
            info.slots = plan->slots;
            snprintf(info.id, sizeof(info.id), "%d", e);
            snprintf(info.data_centre, sizeof(info.data_centre), "a");
            Ch_Put(m->tables[r], &info);
        }
    }
    for (int e = 0; e < plan->endpoints; e++) {
        m->engines[e].head = -1;
        m->engines[e].slow_factor =
            e < plan->slow_endpoints ? plan->slow_factor : 1;
        int64_t at = (int64_t)(Rn_Unit(&m->random) * REPORT_PERIOD_USEC);
        push(m, (struct event){at, SAMPLE, e, {0}});
    }
    double at = 0;
    for (int i = 0; i < plan->requests; i++) {
        at += exponential(m, 1e6 / plan->per_sec);
        struct job *j = &m->jobs[i];
        double skew = Rn_Unit(&m->random);
        j->router = (int)Rn_Below(&m->random, (uint32_t)plan->routers);
        j->prefix = 1 + (uint64_t)(skew * skew * plan->prefixes);
        j->prefix *= UINT64_C(0x9e3779b97f4a7c15);
        j->tokens = 1 + (int)exponential(m, plan->mean_answer_tokens);
        j->arrived = (int64_t)at;
        push(m, (struct event){j->arrived, ARRIVE, i, {0}});
    }
}

static int
compare(const void *a, const void *b)
{
    int64_t x = *(const int64_t *)a;
    int64_t y = *(const int64_t *)b;
    return (x > y) - (x < y);
}

void
Model_Run(const struct model_plan *plan, struct model_result *out)
{
    struct model m = {.plan = plan, .out = out};
    size_t requests = (size_t)plan->requests;
    size_t endpoints = (size_t)plan->endpoints;
    memset(out, 0, sizeof(*out));
    Rn_Seed(&m.random, plan->seed);
    m.heap = calloc(requests * 2 + endpoints * 16, sizeof(*m.heap));
    m.jobs = calloc(requests, sizeof(*m.jobs));
    m.waits = calloc(requests, sizeof(*m.waits));
    m.engines = calloc(endpoints, sizeof(*m.engines));
    m.tables = calloc((size_t)plan->routers, sizeof(struct ch_table *));
    set_up(&m);
    while (m.ended < plan->requests) {
        struct event event = pop(&m);
        m.now = event.at;
        switch (event.kind) {
        case ARRIVE:
            on_arrive(&m, event.subject);
            break;
        case FIRST_TOKEN:
            on_first_token(&m, event.subject);
            break;
        case END:
            on_end(&m, event.subject);
            break;
        case SAMPLE:
            on_sample(&m, event.subject);
            break;
        case DELIVER_REPORT:
            on_deliver(&m, &event);
            break;
        }
    }
    qsort(m.waits, requests, sizeof(*m.waits), compare);
    out->p50 = m.waits[requests / 2];
    out->p95 = m.waits[requests * 95 / 100];
    out->p99 = m.waits[requests * 99 / 100];
    out->hit_share = (double)m.hits / out->started;
    for (int r = 0; r < plan->routers; r++) {
        Ch_Destroy(m.tables[r]);
    }
    free(m.heap);
    free(m.jobs);
    free(m.waits);
    free(m.engines);
    free(m.tables);
}
