#include "model/engine.h"

#include <stdlib.h>

#include "base/hash.h"

#define Me_BUCKETS 1024 /* a power of two */

/* A part of a prompt that is kept, with all parts before it. */
struct kept {
    LIST_ENTRY(kept) bucket_link;
    TAILQ_ENTRY(kept) age_link;
    uint64_t chain;
    int64_t tokens;
};

LIST_HEAD(kept_bucket, kept);
TAILQ_HEAD(kept_list, kept);
TAILQ_HEAD(job_list, me_job);

struct me_engine {
    struct me_speed speed;
    const struct me_ops *ops;
    void *arg;
    struct job_list waiting;
    struct job_list running;
    int running_count;
    int64_t context;         /* tokens of those that run */
    struct kept_list by_age; /* the one used last is last */
    struct kept_bucket buckets[Me_BUCKETS];
    int64_t kept_tokens;
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
        TAILQ_INIT(&engine->by_age);
    }
    return engine;
}

static void
drop(struct me_engine *engine, struct kept *kept)
{
    LIST_REMOVE(kept, bucket_link);
    TAILQ_REMOVE(&engine->by_age, kept, age_link);
    engine->kept_tokens -= kept->tokens;
    free(kept);
}

void
Me_Destroy(struct me_engine *engine)
{
    if (engine == NULL) {
        return;
    }
    struct kept *kept;
    struct kept *next;
    TAILQ_FOREACH_SAFE (kept, &engine->by_age, age_link, next) {
        drop(engine, kept);
    }
    free(engine);
}

static void
make_room(struct me_engine *engine)
{
    struct kept *oldest;
    struct kept *next;
    TAILQ_FOREACH_SAFE (oldest, &engine->by_age, age_link, next) {
        if (engine->kept_tokens + engine->context <=
            engine->speed.memory_tokens) {
            return;
        }
        drop(engine, oldest);
    }
}

static struct kept *
find(struct me_engine *engine, uint64_t chain)
{
    struct kept *kept;
    LIST_FOREACH (kept, &engine->buckets[chain & (Me_BUCKETS - 1)],
                  bucket_link) {
        if (kept->chain == chain) {
            return kept;
        }
    }
    return NULL;
}

static void
use(struct me_engine *engine, struct kept *kept)
{
    TAILQ_REMOVE(&engine->by_age, kept, age_link);
    TAILQ_INSERT_TAIL(&engine->by_age, kept, age_link);
}

static void
keep(struct me_engine *engine, uint64_t chain, int64_t tokens)
{
    struct kept *kept = calloc(1, sizeof(*kept));
    if (kept == NULL) {
        return;
    }
    kept->chain = chain;
    kept->tokens = tokens;
    LIST_INSERT_HEAD(&engine->buckets[chain & (Me_BUCKETS - 1)], kept,
                     bucket_link);
    TAILQ_INSERT_TAIL(&engine->by_age, kept, age_link);
    engine->kept_tokens += tokens;
}

static uint64_t
extend(uint64_t chain, uint64_t part)
{
    uint64_t both[2] = {chain, part};
    return Hash_Bytes(both, sizeof(both), 0);
}

/* Finds what is kept of the prompt; the rest is to be read. */
static void
look_up(struct me_engine *engine, struct me_job *job)
{
    uint64_t chain = 0;
    bool all_kept = true;
    job->missed = 0;
    for (size_t i = 0; i < job->part_count; i++) {
        chain = extend(chain, job->parts[i]);
        struct kept *kept = all_kept ? find(engine, chain) : NULL;
        all_kept = kept != NULL;
        if (kept != NULL) {
            use(engine, kept);
        }
        else {
            job->missed += job->part_tokens[i];
        }
    }
    /* The last token is always read, to answer from. */
    job->unread = job->missed > 0 ? job->missed : 1;
}

void
Me_Take(struct me_engine *engine, struct me_job *job)
{
    job->answers = false;
    job->left = job->answer_tokens;
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
admit(struct me_engine *engine)
{
    struct me_job *job;
    while ((job = TAILQ_FIRST(&engine->waiting)) != NULL &&
           engine->running_count < engine->speed.places) {
        job->context = prompt_tokens(job);
        bool fits =
            engine->context + job->context <= engine->speed.memory_tokens;
        if (!fits && engine->running_count > 0) {
            return;
        }
        TAILQ_REMOVE(&engine->waiting, job, link);
        look_up(engine, job);
        TAILQ_INSERT_TAIL(&engine->running, job, link);
        engine->running_count++;
        engine->context += job->context;
        make_room(engine);
    }
}

/* Reads a piece of the prompts, the first come first; returns its cost. */
static double
read_piece(struct me_engine *engine)
{
    const struct me_speed *speed = &engine->speed;
    int64_t room = speed->piece_tokens;
    double cost = 0;
    struct me_job *job;
    TAILQ_FOREACH (job, &engine->running, link) {
        if (job->unread == 0) {
            continue;
        }
        int64_t piece = job->unread < room ? job->unread : room;
        int64_t before = job->context - job->unread;
        job->unread -= piece;
        room -= piece;
        cost += (double)piece * speed->token_usec;
        cost += (double)piece * ((double)before + (double)piece / 2) / 1e6 *
                speed->attention_usec;
        if (room == 0) {
            break;
        }
    }
    return cost;
}

int64_t
Me_BeginStep(struct me_engine *engine)
{
    admit(engine);
    if (engine->running_count == 0) {
        return 0;
    }
    const struct me_speed *speed = &engine->speed;
    double usec = speed->step_usec +
                  engine->running_count * speed->running_usec +
                  (double)engine->context / 1000 * speed->context_usec;
    usec += read_piece(engine);
    return usec < 1 ? 1 : (int64_t)usec;
}

/* Parts can be used by others once the whole prompt is read. */
static void
keep_prompt(struct me_engine *engine, const struct me_job *job)
{
    uint64_t chain = 0;
    for (size_t i = 0; i < job->part_count; i++) {
        chain = extend(chain, job->parts[i]);
        if (find(engine, chain) == NULL) {
            keep(engine, chain, job->part_tokens[i]);
        }
    }
    make_room(engine);
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
        if (job->unread > 0) {
            continue;
        }
        if (!job->answers) {
            job->answers = true;
            keep_prompt(engine, job);
            engine->ops->first(engine->arg, job, now);
        }
        job->left--;
        job->context++;
        engine->context++;
        if (job->left <= 0) {
            finish(engine, job, now);
        }
    }
}
