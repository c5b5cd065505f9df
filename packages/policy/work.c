#include "policy/work.h"

#include <math.h>
#include <stdbool.h>
#include <stdlib.h>

#include "base/hash.h"

/* Rows for hundreds of routes with 16 customers each; 192 KiB. */
#define Wk_SETS 2048 /* a power of two */
#define Wk_WAYS 4
/* Answers after which an older one has lost most of its weight. */
#define Wk_DECAY_ANSWERS 64.0F
/* Weight of the estimate that a row falls back to, in answers. */
#define Wk_PARENT_ANSWERS 3.0
/* Prior: half of the maximum, often off by a factor of 2. */
#define Wk_USE_LOG_MEAN (-0.69)
#define Wk_USE_LOG_VAR 0.5
/* Prior of a customer's hints: right in the median, often off by a factor of
   2. */
#define Wk_HINT_LOG_VAR 0.5
/* Answers are whole events, so no variance is smaller. */
#define Wk_LOG_VAR_MIN 0.01
/* Least probability of an answer longer than what was produced.  Below it, the
   formula for the remaining length divides two numbers that are nearly 0. */
#define Wk_SURVIVAL_MIN 1e-4

enum kind {
    KIND_USE = 1, /* part of the maximum that answers have */
    KIND_SERVICE,
    KIND_ROUTE,
    KIND_CUSTOMER, /* of a route */
    KIND_HINT_ANY,
    KIND_HINT, /* of a customer: answer / hint */
};

/* Mean and variance of a logarithm over recent answers. */
struct row {
    uint64_t key; /* 0: unused */
    float count;
    float mean;
    float var;
    uint32_t used; /* the table's clock at the last use */
};

struct wk_table {
    uint32_t clock; /* counts uses */
    struct row rows[Wk_SETS][Wk_WAYS];
};

struct normal {
    double mean;
    double var;
};

struct wk_table *
Wk_Create(void)
{
    return calloc(1, sizeof(struct wk_table));
}

void
Wk_Destroy(struct wk_table *table)
{
    free(table);
}

static uint64_t
key_of(enum kind kind, uint64_t a, uint64_t b)
{
    uint64_t parts[3] = {kind, a, b};
    uint64_t key = Hash_Bytes(parts, sizeof(parts), 0);
    return key == 0 ? 1 : key;
}

/* The key's row; if it has none, the set's least recently used one. */
static struct row *
locate(struct wk_table *table, uint64_t key)
{
    struct row *set = table->rows[key & (Wk_SETS - 1)];
    struct row *oldest = &set[0];
    for (size_t i = 0; i < Wk_WAYS; i++) {
        if (set[i].key == key) {
            return &set[i];
        }
        if (set[i].key == 0 ||
            (oldest->key != 0 &&
             table->clock - set[i].used > table->clock - oldest->used)) {
            oldest = &set[i];
        }
    }
    return oldest;
}

static void
learn(struct wk_table *table, uint64_t key, double value)
{
    struct row *row = locate(table, key);
    if (row->key != key) {
        *row = (struct row){.key = key};
    }
    row->used = ++table->clock;
    row->count = fminf(row->count + 1, Wk_DECAY_ANSWERS);
    float weight = 1 / row->count;
    float above = (float)value - row->mean;
    row->mean += weight * above;
    row->var = (1 - weight) * (row->var + weight * above * above);
}

void
Wk_Learn(struct wk_table *table, const struct wk_request *request,
         int64_t tokens)
{
    if (tokens <= 0) {
        return;
    }
    const struct wk_source *source = &request->source;
    double value = log((double)tokens);
    learn(table, key_of(KIND_SERVICE, source->service, 0), value);
    learn(table, key_of(KIND_ROUTE, source->service, source->route), value);
    learn(table, key_of(KIND_CUSTOMER, source->route, source->customer),
          value);
    if (request->max_tokens > 0) {
        learn(table, key_of(KIND_USE, 0, 0),
              value - log((double)request->max_tokens));
    }
    /* An answer that was cut at the maximum says nothing about the hint. */
    bool cut = request->max_tokens > 0 && tokens >= request->max_tokens;
    if (request->hint > 0 && !cut) {
        double error = value - log((double)request->hint);
        learn(table, key_of(KIND_HINT_ANY, 0, 0), error);
        learn(table, key_of(KIND_HINT, source->customer, 0), error);
    }
}

/* Moves an estimate towards a row, with a weight that grows with its count. */
static void
refine(struct wk_table *table, uint64_t key, struct normal *estimate)
{
    struct row *row = locate(table, key);
    if (row->key != key) {
        return;
    }
    row->used = ++table->clock;
    double weight = row->count / (row->count + Wk_PARENT_ANSWERS);
    estimate->mean += weight * (row->mean - estimate->mean);
    estimate->var += weight * (row->var - estimate->var);
}

/*
 * Weighs two estimates of the same value by their precision.  A customer whose
 * hints are off by varying factors thus has them ignored.
 */
static struct normal
combine(struct normal a, struct normal b)
{
    a.var = fmax(a.var, Wk_LOG_VAR_MIN);
    b.var = fmax(b.var, Wk_LOG_VAR_MIN);
    double var = 1 / (1 / a.var + 1 / b.var);
    return (struct normal){var * (a.mean / a.var + b.mean / b.var), var};
}

struct wk_estimate
Wk_Estimate(struct wk_table *table, const struct wk_request *request)
{
    const struct wk_source *source = &request->source;
    struct normal length = {Wk_USE_LOG_MEAN, Wk_USE_LOG_VAR};
    refine(table, key_of(KIND_USE, 0, 0), &length);
    length.mean +=
        log(request->max_tokens > 0 ? (double)request->max_tokens : 1);
    refine(table, key_of(KIND_SERVICE, source->service, 0), &length);
    refine(table, key_of(KIND_ROUTE, source->service, source->route), &length);
    refine(table, key_of(KIND_CUSTOMER, source->route, source->customer),
           &length);
    if (request->hint > 0) {
        struct normal hinted = {0, Wk_HINT_LOG_VAR};
        refine(table, key_of(KIND_HINT_ANY, 0, 0), &hinted);
        refine(table, key_of(KIND_HINT, source->customer, 0), &hinted);
        hinted.mean += log((double)request->hint);
        length = combine(length, hinted);
    }
    return (struct wk_estimate){length.mean,
                                sqrt(fmax(length.var, Wk_LOG_VAR_MIN)),
                                request->max_tokens};
}

/* Probability that a standard normal variable is above "z". */
static double
above(double z)
{
    return erfc(z * M_SQRT1_2) / 2;
}

/*
 * Expected length of an answer that has "produced" tokens and has not ended,
 * the conditional mean of the log-normal distribution, capped at the maximum.
 */
static double
expected_length(const struct wk_estimate *estimate, double produced)
{
    double median = estimate->log_median;
    double sd = estimate->log_sd;
    double mean = exp(median + sd * sd / 2);
    double from = produced > 0 ? (log(produced) - median) / sd : -HUGE_VAL;
    double survival = above(from);
    if (survival < Wk_SURVIVAL_MIN) {
        /* the tail's mean excess */
        return produced * (1 + sd / from);
    }
    double sum = mean * above(from - sd);
    if (estimate->max_tokens > 0) {
        double max = (double)estimate->max_tokens;
        double to = (log(max) - median) / sd;
        sum += max * above(to) - mean * above(to - sd);
    }
    return sum / survival;
}

int64_t
Wk_Remaining(const struct wk_estimate *estimate, int64_t produced)
{
    int64_t max = estimate->max_tokens;
    if (estimate->log_sd <= 0 || (max > 0 && produced >= max)) {
        return 0;
    }
    double length = expected_length(estimate, (double)produced);
    if (max > 0) {
        length = fmin(length, (double)max);
    }
    int64_t remaining = (int64_t)length - produced;
    /* What has not ended has at least one token to come. */
    return remaining > 0 ? remaining : 1;
}
