/* Scores a run by the value of its answers to the callers. */
#include <stdlib.h>

#include "base/clock.h"
#include "model/placing_internal.h"

#define Mp_LATE_VALUE 0.1
/*
 * Value of a request relative to the mean of its kind: a fixed amount plus one
 * proportional to its size, up to a limit.
 */
#define Mp_FIXED_VALUE 0.3
#define Mp_SIZE_VALUE 0.7
#define Mp_VALUE_MAX 4.0
#define Mp_ANSWER_TOKEN_SIZE 10.0 /* prompt tokens per answer token */

#define Mp_TOTAL_WEIGHT 0.5
#define Mp_SECONDS_WEIGHT 0.35
#define Mp_CLASS_WEIGHT 0.15

#define Mp_WORST_SECONDS_FRACTION 0.1
#define Mp_LARGEST_FRACTION 0.1
#define Mp_LARGE_FRACTION 0.3 /* includes the largest tenth */

/* Value earned, and the most that could have been earned. */
struct sum {
    double earned;
    double max;
};

static double
ratio(const struct sum *sum)
{
    return sum->max > 0 ? sum->earned / sum->max : 1;
}

/* A scored request; the array is sorted by kind and size. */
struct scored {
    size_t kind;
    size_t second;
    double size;
    struct sum value;
};

static void
add(struct sum *sum, const struct sum *more)
{
    sum->earned += more->earned;
    sum->max += more->max;
}

static int
compare_kind_size(const void *a, const void *b)
{
    const struct scored *x = a;
    const struct scored *y = b;
    if (x->kind != y->kind) {
        return x->kind < y->kind ? -1 : 1;
    }
    return (x->size > y->size) - (x->size < y->size);
}

static int
compare_ratio(const void *a, const void *b)
{
    double x = ratio(a);
    double y = ratio(b);
    return (x > y) - (x < y);
}

static double
size_of(const struct mp_request *request)
{
    return (double)request->prompt_tokens +
           (double)request->job.answer_tokens * Mp_ANSWER_TOKEN_SIZE;
}

static void
find_means(const struct mp_request *requests, size_t count,
           double means[Mp_KINDS_MAX])
{
    size_t counts[Mp_KINDS_MAX] = {0};
    for (size_t i = 0; i < count; i++) {
        means[requests[i].kind] += size_of(&requests[i]);
        counts[requests[i].kind]++;
    }
    for (size_t i = 0; i < Mp_KINDS_MAX; i++) {
        means[i] = counts[i] > 0 ? means[i] / (double)counts[i] : 1;
    }
}

/* Returns the fraction of its value that a request earned. */
static double
fraction_earned(const struct mp_kind *kind, const struct mp_request *request)
{
    if (request->first_token_msec < 0) {
        return 0;
    }
    return request->first_token_msec <= kind->target_msec ? 1 : Mp_LATE_VALUE;
}

static struct scored
score_request(const struct mp_load *load, const struct mp_request *request,
              double mean)
{
    const struct mp_kind *kind = &load->kinds[request->kind];
    double size = size_of(request);
    double factor = Mp_FIXED_VALUE + Mp_SIZE_VALUE * size / mean;
    double max = kind->value * (factor > Mp_VALUE_MAX ? Mp_VALUE_MAX : factor);
    return (struct scored){
        .kind = request->kind,
        .second = (size_t)(request->arrived_at / Ck_USEC_PER_SEC),
        .size = size,
        .value = {max * fraction_earned(kind, request), max},
    };
}

/*
 * Returns the lowest score among the whole kind, its largest tenth of requests
 * and the next fifth.
 */
static double
score_kind(const struct scored *scored, size_t count, double *total)
{
    struct sum all = {0, 0};
    struct sum large = {0, 0};
    struct sum largest = {0, 0};
    for (size_t i = 0; i < count; i++) {
        double above = (double)(count - i) / (double)count;
        add(&all, &scored[i].value);
        if (above <= Mp_LARGEST_FRACTION) {
            add(&largest, &scored[i].value);
        }
        else if (above <= Mp_LARGE_FRACTION) {
            add(&large, &scored[i].value);
        }
    }
    *total = ratio(&all);
    double worst = *total;
    worst = ratio(&large) < worst ? ratio(&large) : worst;
    return ratio(&largest) < worst ? ratio(&largest) : worst;
}

static double
score_kinds(const struct mp_load *load, const struct scored *scored,
            size_t count, struct mp_result *out)
{
    double worst = 1;
    size_t at = 0;
    for (size_t kind = 0; kind < load->kind_count; kind++) {
        size_t first = at;
        while (at < count && scored[at].kind == kind) {
            at++;
        }
        double kind_score =
            score_kind(&scored[first], at - first, &out->kinds[kind]);
        worst = kind_score < worst ? kind_score : worst;
    }
    return worst;
}

static bool
score_seconds(const struct scored *scored, size_t count, struct mp_result *out)
{
    size_t seconds = 0;
    for (size_t i = 0; i < count; i++) {
        seconds = scored[i].second >= seconds ? scored[i].second + 1 : seconds;
    }
    struct sum *sums = calloc(seconds, sizeof(*sums));
    if (sums == NULL) {
        return false;
    }
    struct sum all = {0, 0};
    for (size_t i = 0; i < count; i++) {
        add(&sums[scored[i].second], &scored[i].value);
        add(&all, &scored[i].value);
    }
    qsort(sums, seconds, sizeof(*sums), compare_ratio);
    size_t worst = (size_t)((double)seconds * Mp_WORST_SECONDS_FRACTION);
    worst = worst == 0 ? 1 : worst;
    for (size_t i = 0; i < worst; i++) {
        out->worst_seconds += ratio(&sums[i]) / (double)worst;
    }
    out->total = ratio(&all);
    free(sums);
    return true;
}

static void
count_shared(const struct mp_request *requests, size_t count,
             struct mp_result *out)
{
    double shared = 0;
    double reread = 0;
    for (size_t i = 0; i < count; i++) {
        const struct mp_request *request = &requests[i];
        if (request->first_token_msec < 0) {
            out->refused++;
            continue;
        }
        int64_t own = request->prompt_tokens - request->shared_tokens;
        int64_t uncached = request->job.uncached_tokens - own;
        shared += (double)request->shared_tokens;
        reread += uncached > 0 ? (double)uncached : 0;
    }
    out->shared_reread = shared > 0 ? reread / shared : 0;
}

bool
mp_score(const struct mp_load *load, const struct mp_request *requests,
         size_t count, struct mp_result *out)
{
    double means[Mp_KINDS_MAX] = {0};
    struct scored *scored = calloc(count, sizeof(*scored));
    if (scored == NULL) {
        return false;
    }
    out->requests = count;
    find_means(requests, count, means);
    for (size_t i = 0; i < count; i++) {
        scored[i] = score_request(load, &requests[i], means[requests[i].kind]);
    }
    qsort(scored, count, sizeof(*scored), compare_kind_size);
    bool ok = score_seconds(scored, count, out);
    out->worst_class = score_kinds(load, scored, count, out);
    out->score = Mp_TOTAL_WEIGHT * out->total +
                 Mp_SECONDS_WEIGHT * out->worst_seconds +
                 Mp_CLASS_WEIGHT * out->worst_class;
    count_shared(requests, count, out);
    free(scored);
    return ok;
}
