/* What the answers of a run were worth to their callers. */
#include <stdlib.h>

#include "base/clock.h"
#include "model/placing_internal.h"

#define Mp_LATE_WORTH 0.1
/* A larger request is worth more, within bounds. */
#define Mp_FIXED_WORTH 0.3
#define Mp_SIZE_WORTH 0.7
#define Mp_WORTH_MAX 4.0
#define Mp_ANSWER_SIZE 10.0 /* a token of the answer, in prompt tokens */

#define Mp_WHOLE_WEIGHT 0.5
#define Mp_SECONDS_WEIGHT 0.35
#define Mp_CLASS_WEIGHT 0.15

#define Mp_WORST_SECONDS 0.1
#define Mp_LARGEST 0.1
#define Mp_LARGE 0.3 /* with the largest */

/* What was had of what could be had. */
struct sum {
    double had;
    double most;
};

static double
part_of(const struct sum *sum)
{
    return sum->most > 0 ? sum->had / sum->most : 1;
}

/* A request as it is judged; the list is sorted by kind and size. */
struct judged {
    size_t kind;
    size_t second;
    double size;
    struct sum worth;
};

static void
add(struct sum *sum, const struct sum *more)
{
    sum->had += more->had;
    sum->most += more->most;
}

static int
by_kind_and_size(const void *a, const void *b)
{
    const struct judged *x = a;
    const struct judged *y = b;
    if (x->kind != y->kind) {
        return x->kind < y->kind ? -1 : 1;
    }
    return (x->size > y->size) - (x->size < y->size);
}

static int
by_part(const void *a, const void *b)
{
    double x = part_of(a);
    double y = part_of(b);
    return (x > y) - (x < y);
}

static double
size_of(const struct mp_request *request)
{
    return (double)request->prompt +
           (double)request->job.answer_tokens * Mp_ANSWER_SIZE;
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

/* The part of its worth that a request brought its caller. */
static double
part_had(const struct mp_kind *kind, const struct mp_request *request)
{
    if (request->first_msec < 0) {
        return 0;
    }
    return request->first_msec <= kind->aim_msec ? 1 : Mp_LATE_WORTH;
}

static struct judged
judge_one(const struct mp_load *load, const struct mp_request *request,
          double mean)
{
    const struct mp_kind *kind = &load->kinds[request->kind];
    double size = size_of(request);
    double times = Mp_FIXED_WORTH + Mp_SIZE_WORTH * size / mean;
    double most = kind->worth * (times > Mp_WORTH_MAX ? Mp_WORTH_MAX : times);
    return (struct judged){
        .kind = request->kind,
        .second = (size_t)(request->arrived_at / Ck_USEC_PER_SEC),
        .size = size,
        .worth = {most * part_had(kind, request), most},
    };
}

/* The worst of the kind, its largest tenth and the fifth below. */
static double
judge_kind(const struct judged *judged, size_t count, double *whole)
{
    struct sum all = {0, 0};
    struct sum large = {0, 0};
    struct sum largest = {0, 0};
    for (size_t i = 0; i < count; i++) {
        double above = (double)(count - i) / (double)count;
        add(&all, &judged[i].worth);
        if (above <= Mp_LARGEST) {
            add(&largest, &judged[i].worth);
        }
        else if (above <= Mp_LARGE) {
            add(&large, &judged[i].worth);
        }
    }
    *whole = part_of(&all);
    double worst = *whole;
    worst = part_of(&large) < worst ? part_of(&large) : worst;
    return part_of(&largest) < worst ? part_of(&largest) : worst;
}

static double
judge_kinds(const struct mp_load *load, const struct judged *judged,
            size_t count, struct mp_result *out)
{
    double worst = 1;
    size_t at = 0;
    for (size_t kind = 0; kind < load->kind_count; kind++) {
        size_t first = at;
        while (at < count && judged[at].kind == kind) {
            at++;
        }
        double of_kind =
            judge_kind(&judged[first], at - first, &out->kinds[kind]);
        worst = of_kind < worst ? of_kind : worst;
    }
    return worst;
}

static bool
judge_seconds(const struct judged *judged, size_t count, struct mp_result *out)
{
    size_t seconds = 0;
    for (size_t i = 0; i < count; i++) {
        seconds = judged[i].second >= seconds ? judged[i].second + 1 : seconds;
    }
    struct sum *sums = calloc(seconds, sizeof(*sums));
    if (sums == NULL) {
        return false;
    }
    struct sum all = {0, 0};
    for (size_t i = 0; i < count; i++) {
        add(&sums[judged[i].second], &judged[i].worth);
        add(&all, &judged[i].worth);
    }
    qsort(sums, seconds, sizeof(*sums), by_part);
    size_t worst = (size_t)((double)seconds * Mp_WORST_SECONDS);
    worst = worst == 0 ? 1 : worst;
    for (size_t i = 0; i < worst; i++) {
        out->worst_seconds += part_of(&sums[i]) / (double)worst;
    }
    out->whole = part_of(&all);
    free(sums);
    return true;
}

static void
count_shared(const struct mp_request *requests, size_t count,
             struct mp_result *out)
{
    double shared = 0;
    double again = 0;
    for (size_t i = 0; i < count; i++) {
        const struct mp_request *request = &requests[i];
        if (request->first_msec < 0) {
            out->refused++;
            continue;
        }
        int64_t own = request->prompt - request->shared;
        int64_t missed = request->job.missed - own;
        shared += (double)request->shared;
        again += missed > 0 ? (double)missed : 0;
    }
    out->shared_read = shared > 0 ? again / shared : 0;
}

bool
mp_judge(const struct mp_load *load, const struct mp_request *requests,
         size_t count, struct mp_result *out)
{
    double means[Mp_KINDS_MAX] = {0};
    struct judged *judged = calloc(count, sizeof(*judged));
    if (judged == NULL) {
        return false;
    }
    out->requests = count;
    find_means(requests, count, means);
    for (size_t i = 0; i < count; i++) {
        judged[i] = judge_one(load, &requests[i], means[requests[i].kind]);
    }
    qsort(judged, count, sizeof(*judged), by_kind_and_size);
    bool fine = judge_seconds(judged, count, out);
    out->worst_class = judge_kinds(load, judged, count, out);
    out->figure = Mp_WHOLE_WEIGHT * out->whole +
                  Mp_SECONDS_WEIGHT * out->worst_seconds +
                  Mp_CLASS_WEIGHT * out->worst_class;
    count_shared(requests, count, out);
    free(judged);
    return fine;
}
