#include "policy/prefill_fit.h"

#include <stdbool.h>
#include <stdlib.h>

#include "base/clock.h"

/*
 * Between prompts that differ by less, waits and decoding steps outweigh the
 * difference in prefill time.
 */
#define Fi_DIFFERENCE_MIN_TOKENS 1500
#define Fi_PAIRS_MIN 24
#define Fi_PAIRS_MAX (Fi_SAMPLES * (Fi_SAMPLES - 1) / 2)
/* A line is fitted after this many new samples. */
#define Fi_INTERVAL 4
/* The residuals above this quantile are taken to include a wait. */
#define Fi_FIXED_QUANTILE 0.2
/*
 * Shorter fixed times are a few decoding steps and the network delay, which
 * the headroom of capacity planning covers.
 */
#define Fi_FIXED_MIN_USEC 20000
/*
 * Weights of a new line.  Prompts that wait behind others make an engine look
 * slower and never faster, so a lower rate counts less.
 */
#define Fi_HIGHER_WEIGHT 0.3
#define Fi_LOWER_WEIGHT 0.05
/*
 * A rate that is higher by more than this factor is most likely due to prompts
 * that were already cached, whose prefill takes no time.  It counts as this
 * factor, with the weight of a lower rate.
 */
#define Fi_SUDDEN_FACTOR 1.3

static int
compare(const void *a, const void *b)
{
    double left = *(const double *)a;
    double right = *(const double *)b;
    return (left > right) - (left < right);
}

/* Sorts the values and returns one of them. */
static double
find_quantile(double *values, size_t count, double fraction)
{
    qsort(values, count, sizeof(*values), compare);
    return values[(size_t)((double)(count - 1) * fraction)];
}

/*
 * Returns the microseconds per token: the median of the slopes between all
 * pairs of samples (Theil-Sen estimator), which tolerates up to a quarter of
 * outliers.  Returns 0 if there are too few pairs.
 */
static double
find_slope(const struct fi_fit *fit, size_t count)
{
    double slopes[Fi_PAIRS_MAX];
    size_t pairs = 0;
    for (size_t i = 0; i < count; i++) {
        for (size_t j = 0; j < i; j++) {
            const struct fi_sample *a = &fit->samples[i];
            const struct fi_sample *b = &fit->samples[j];
            double tokens = a->tokens - b->tokens;
            if (tokens >= Fi_DIFFERENCE_MIN_TOKENS ||
                tokens <= -Fi_DIFFERENCE_MIN_TOKENS) {
                slopes[pairs++] = (a->usec - b->usec) / tokens;
            }
        }
    }
    return pairs < Fi_PAIRS_MIN ? 0 : find_quantile(slopes, pairs, 0.5);
}

/* Returns false if the samples do not determine a line. */
static bool
fit_line(const struct fi_fit *fit, struct fi_line *line)
{
    size_t count = fit->added < Fi_SAMPLES ? fit->added : Fi_SAMPLES;
    double slope = find_slope(fit, count);
    if (slope <= 0) {
        return false;
    }
    double residuals[Fi_SAMPLES];
    for (size_t i = 0; i < count; i++) {
        residuals[i] = fit->samples[i].usec - slope * fit->samples[i].tokens;
    }
    double fixed = find_quantile(residuals, count, Fi_FIXED_QUANTILE);
    line->fixed_usec = fixed > 0 ? fixed : 0;
    line->tokens_per_sec = (double)Ck_USEC_PER_SEC / slope;
    return true;
}

static void
update_line(struct fi_line *line, const struct fi_line *fitted)
{
    if (line->tokens_per_sec <= 0) {
        if (fitted->fixed_usec >= Fi_FIXED_MIN_USEC) {
            *line = *fitted;
        }
        return;
    }
    double rate_max = line->tokens_per_sec * Fi_SUDDEN_FACTOR;
    bool sudden = fitted->tokens_per_sec > rate_max;
    double rate = sudden ? rate_max : fitted->tokens_per_sec;
    double rate_change = rate - line->tokens_per_sec;
    double fixed_change = fitted->fixed_usec - line->fixed_usec;
    line->tokens_per_sec +=
        rate_change *
        (rate_change > 0 && !sudden ? Fi_HIGHER_WEIGHT : Fi_LOWER_WEIGHT);
    line->fixed_usec +=
        fixed_change * (fixed_change < 0 ? Fi_HIGHER_WEIGHT : Fi_LOWER_WEIGHT);
}

void
Fi_Add(struct fi_fit *fit, int64_t prompt_tokens, int64_t usec)
{
    fit->samples[fit->added % Fi_SAMPLES] =
        (struct fi_sample){(double)prompt_tokens, (double)usec};
    fit->added++;
    struct fi_line fitted;
    if (fit->added % Fi_INTERVAL == 0 && fit_line(fit, &fitted)) {
        update_line(&fit->line, &fitted);
    }
}
