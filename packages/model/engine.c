#include "model/engine.h"

#include <stdlib.h>

#include "base/hash.h"

#define Me_BUCKETS 1024 /* a power of two */

/* A cached prompt part, identified by a hash of it and all parts before it. */
struct cached_part {
    LIST_ENTRY(cached_part) bucket_link;
    TAILQ_ENTRY(cached_part) lru_link;
    uint64_t prefix_hash;
    int64_t tokens;
};

LIST_HEAD(cache_bucket, cached_part);
TAILQ_HEAD(cache_list, cached_part);
TAILQ_HEAD(job_list, me_job);

struct me_engine {
    struct me_speed speed;
    const struct me_ops *ops;
    void *arg;
    struct job_list waiting;
    struct job_list running;
    int running_count;
    int64_t context;       /* tokens of the running requests */
    struct cache_list lru; /* least recently used first */
    struct cache_bucket buckets[Me_BUCKETS];
    int64_t cached_tokens;
};

struct me_engine *
Me_Create(const struct me_speed *speed, const struct me_ops *ops, void *arg)
{
    struct me_engine *engine = calloc(1, sizeof(*engine));
    if (engine != NULL) {
        engine->speed = *speed;
        engine->ops = ops;
        engine->arg = arg;
        TAILQ_INIT(&engine->waiting);
        TAILQ_INIT(&engine->running);
        TAILQ_INIT(&engine->lru);
    }
    return engine;
}

static void
evict(struct me_engine *engine, struct cached_part *cached)
{
    LIST_REMOVE(cached, bucket_link);
    TAILQ_REMOVE(&engine->lru, cached, lru_link);
    engine->cached_tokens -= cached->tokens;
    free(cached);
}

void
Me_Destroy(struct me_engine *engine)
{
    if (engine == NULL) {
        return;
    }
    struct cached_part *cached;
    struct cached_part *next;
    TAILQ_FOREACH_SAFE (cached, &engine->lru, lru_link, next) {
        evict(engine, cached);
    }
    free(engine);
}

static void
evict_excess(struct me_engine *engine)
{
    struct cached_part *oldest;
    struct cached_part *next;
    TAILQ_FOREACH_SAFE (oldest, &engine->lru, lru_link, next) {
        if (engine->cached_tokens + engine->context <=
            engine->speed.memory_tokens) {
            return;
        }
        evict(engine, oldest);
    }
}

static struct cached_part *
find_cached(struct me_engine *engine, uint64_t prefix_hash)
{
    struct cached_part *cached;
    LIST_FOREACH (cached, &engine->buckets[prefix_hash & (Me_BUCKETS - 1)],
                  bucket_link) {
        if (cached->prefix_hash == prefix_hash) {
            return cached;
        }
    }
    return NULL;
}

static void
touch(struct me_engine *engine, struct cached_part *cached)
{
    TAILQ_REMOVE(&engine->lru, cached, lru_link);
    TAILQ_INSERT_TAIL(&engine->lru, cached, lru_link);
}

static void
cache_part(struct me_engine *engine, uint64_t prefix_hash, int64_t tokens)
{
    struct cached_part *cached = calloc(1, sizeof(*cached));
    if (cached == NULL) {
        return;
    }
    cached->prefix_hash = prefix_hash;
    cached->tokens = tokens;
    LIST_INSERT_HEAD(&engine->buckets[prefix_hash & (Me_BUCKETS - 1)], cached,
                     bucket_link);
    TAILQ_INSERT_TAIL(&engine->lru, cached, lru_link);
    engine->cached_tokens += tokens;
}

static uint64_t
extend_prefix(uint64_t prefix_hash, uint64_t part)
{
    uint64_t input[2] = {prefix_hash, part};
    return Hash_Bytes(input, sizeof(input), 0);
}

/* Counts the prompt tokens that are not cached and must be read. */
static void
look_up_cache(struct me_engine *engine, struct me_job *job)
{
    uint64_t prefix_hash = 0;
    bool all_cached = true;
    job->uncached_tokens = 0;
    for (size_t i = 0; i < job->part_count; i++) {
        prefix_hash = extend_prefix(prefix_hash, job->parts[i]);
        struct cached_part *cached =
            all_cached ? find_cached(engine, prefix_hash) : NULL;
        all_cached = cached != NULL;
        if (cached != NULL) {
            touch(engine, cached);
        }
        else {
            job->uncached_tokens += job->part_tokens[i];
        }
    }
    /* Even a cached prompt is read from its last token, to begin the answer.
     */
    job->prefill_left = job->uncached_tokens > 0 ? job->uncached_tokens : 1;
}

void
Me_Submit(struct me_engine *engine, struct me_job *job)
{
    job->prefilled = false;
    job->answer_left = job->answer_tokens;
    TAILQ_INSERT_TAIL(&engine->waiting, job, link);
}

static int64_t
prompt_tokens(const struct me_job *job)
{
    int64_t tokens = 0;
    for (size_t i = 0; i < job->part_count; i++) {
        tokens += job->part_tokens[i];
    }
    return tokens;
}

static void
admit_waiting(struct me_engine *engine)
{
    struct me_job *job;
    while ((job = TAILQ_FIRST(&engine->waiting)) != NULL &&
           engine->running_count < engine->speed.slots) {
        job->context = prompt_tokens(job);
        bool fits =
            engine->context + job->context <= engine->speed.memory_tokens;
        if (!fits && engine->running_count > 0) {
            return;
        }
        TAILQ_REMOVE(&engine->waiting, job, link);
        look_up_cache(engine, job);
        TAILQ_INSERT_TAIL(&engine->running, job, link);
        engine->running_count++;
        engine->context += job->context;
        evict_excess(engine);
    }
}

/* Reads a chunk of the prompts in order of admission; returns microseconds. */
static double
prefill_chunk(struct me_engine *engine)
{
    const struct me_speed *speed = &engine->speed;
    int64_t budget = speed->chunk_tokens;
    double cost = 0;
    struct me_job *job;
    TAILQ_FOREACH (job, &engine->running, link) {
        if (job->prefill_left == 0) {
            continue;
        }
        int64_t chunk =
            job->prefill_left < budget ? job->prefill_left : budget;
        int64_t before = job->context - job->prefill_left;
        job->prefill_left -= chunk;
        budget -= chunk;
        cost += (double)chunk * speed->prefill_usec;
        cost += (double)chunk * ((double)before + (double)chunk / 2) / 1e6 *
                speed->attention_usec;
        if (budget == 0) {
            break;
        }
    }
    return cost;
}

int64_t
Me_BeginStep(struct me_engine *engine)
{
    admit_waiting(engine);
    if (engine->running_count == 0) {
        return 0;
    }
    const struct me_speed *speed = &engine->speed;
    double usec = speed->step_usec +
                  engine->running_count * speed->running_usec +
                  (double)engine->context / 1000 * speed->context_usec;
    usec += prefill_chunk(engine);
    return usec < 1 ? 1 : (int64_t)usec;
}

/* Parts can be reused by other requests once the whole prompt is read. */
static void
cache_prompt(struct me_engine *engine, const struct me_job *job)
{
    uint64_t prefix_hash = 0;
    for (size_t i = 0; i < job->part_count; i++) {
        prefix_hash = extend_prefix(prefix_hash, job->parts[i]);
        if (find_cached(engine, prefix_hash) == NULL) {
            cache_part(engine, prefix_hash, job->part_tokens[i]);
        }
    }
    evict_excess(engine);
}

static void
finish(struct me_engine *engine, struct me_job *job, int64_t now)
{
    TAILQ_REMOVE(&engine->running, job, link);
    engine->running_count--;
    engine->context -= job->context;
    engine->ops->ended(engine->arg, job, now);
}

void
Me_EndStep(struct me_engine *engine, int64_t now)
{
    struct me_job *job;
    struct me_job *next;
    TAILQ_FOREACH_SAFE (job, &engine->running, link, next) {
        if (job->prefill_left > 0) {
            continue;
        }
        if (!job->prefilled) {
            job->prefilled = true;
            cache_prompt(engine, job);
            engine->ops->first_token(engine->arg, job, now);
        }
        job->answer_left--;
        job->context++;
        engine->context++;
        if (job->answer_left <= 0) {
            finish(engine, job, now);
        }
    }
}
