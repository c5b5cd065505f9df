#include "tools/load_stats.h"

#include <stdlib.h>
#include <string.h>

#include "base/clock.h"

static const char *const class_names[] = {"urgent", "patient", "charge"};

static const char *const outcome_names[] = {
    "answered", "wrong",  "cut",       "not_run",
    "unknown",  "failed", "no_answer", "unfinished",
};

static const char *const latency_names[] = {"whole", "first", "between"};

/*
 * Returns the name of a class in the report.  Those of the urgent and patient
 * classes are also values of the cornelgate-class header.
 */
const char *
Ld_ClassName(enum ld_class index)
{
    return class_names[index];
}

void
Ld_StatsInit(struct ld_stats *stats)
{
    memset(stats, 0, sizeof(*stats));
    stats->codes = json_object();
    stats->errors = json_object();
}

void
Ld_StatsFree(struct ld_stats *stats)
{
    for (int i = 0; i < LD_CLASSES; i++) {
        for (int k = 0; k < LD_LATENCIES; k++) {
            free(stats->classes[i].latencies[k].usec);
        }
    }
    json_decref(stats->codes);
    json_decref(stats->errors);
}

void
Ld_AddSample(struct ld_samples *samples, int64_t usec)
{
    if (samples->count == samples->capacity) {
        samples->capacity =
            samples->capacity == 0 ? 1024 : samples->capacity * 2;
        samples->usec =
            realloc(samples->usec, samples->capacity * sizeof(int64_t));
        if (samples->usec == NULL) {
            abort();
        }
    }
    samples->usec[samples->count++] = usec;
}

/* Adds 1 to the counter of the name. */
void
Ld_Count(json_t *counts, const char *name)
{
    json_int_t old = json_integer_value(json_object_get(counts, name));
    json_object_set_new(counts, name, json_integer(old + 1));
}

static int
compare_usec(const void *a, const void *b)
{
    int64_t x = *(const int64_t *)a;
    int64_t y = *(const int64_t *)b;
    return (x > y) - (x < y);
}

static json_t *
msec_json(int64_t usec)
{
    return json_real((double)usec / Ck_USEC_PER_MSEC);
}

static json_t *
quantile(const struct ld_samples *samples, double fraction)
{
    size_t at = (size_t)(fraction * (double)(samples->count - 1) + 0.5);
    return msec_json(samples->usec[at]);
}

static json_t *
quantiles(struct ld_samples *samples)
{
    json_t *out = json_pack("{s:I}", "count", (json_int_t)samples->count);
    if (samples->count == 0) {
        return out;
    }
    qsort(samples->usec, samples->count, sizeof(int64_t), compare_usec);
    json_object_set_new(out, "p50", quantile(samples, 0.50));
    json_object_set_new(out, "p90", quantile(samples, 0.90));
    json_object_set_new(out, "p95", quantile(samples, 0.95));
    json_object_set_new(out, "p99", quantile(samples, 0.99));
    json_object_set_new(out, "max", quantile(samples, 1));
    return out;
}

static json_t *
class_report(struct ld_class_stats *stats)
{
    json_t *outcomes = json_object();
    for (int i = 0; i < LD_OUTCOMES; i++) {
        json_object_set_new(outcomes, outcome_names[i],
                            json_integer(stats->outcomes[i]));
    }
    json_t *latencies = json_object();
    for (int i = 0; i < LD_LATENCIES; i++) {
        json_object_set_new(latencies, latency_names[i],
                            quantiles(&stats->latencies[i]));
    }
    return json_pack("{s:I, s:o, s:o}", "sent", (json_int_t)stats->sent,
                     "outcomes", outcomes, "latency_ms", latencies);
}

static json_t *
retries_report(const struct ld_retries *retries)
{
    return json_pack("{s:I, s:I, s:I, s:I}", "sent", (json_int_t)retries->sent,
                     "same", (json_int_t)retries->same, "differ",
                     (json_int_t)retries->differ, "refused",
                     (json_int_t)retries->refused);
}

/* Builds the report; sorts the samples in place. */
json_t *
Ld_Report(struct ld_stats *stats)
{
    json_t *classes = json_object();
    for (int i = 0; i < LD_CLASSES; i++) {
        json_object_set_new(classes, class_names[i],
                            class_report(&stats->classes[i]));
    }
    double seconds = (double)stats->loaded_usec / Ck_USEC_PER_SEC;
    double per_sec = seconds > 0 ? (double)stats->tokens / seconds : 0;
    return json_pack("{s:f, s:o, s:o, s:O, s:O, s:I, s:f, s:I, s:I, s:o}",
                     "seconds", seconds, "classes", classes, "repeats",
                     retries_report(&stats->retries), "codes", stats->codes,
                     "errors", stats->errors, "tokens",
                     (json_int_t)stats->tokens, "tokens_per_s", per_sec,
                     "bytes_compared", (json_int_t)stats->bytes_compared,
                     "most_open", (json_int_t)stats->most_open, "most_late_ms",
                     msec_json(stats->most_late_usec));
}
