#include "base/metric.h"

#include <bsd/sys/queue.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Histogram buckets: powers of two from 128 us to about 2.2 minutes. */
#define Mt_BUCKETS 21
#define Mt_FIRST_BOUND_USEC INT64_C(128)
#define Mt_METRICS_MAX 4096

struct mt_metric {
    TAILQ_ENTRY(mt_metric) link;
    enum mt_kind kind;
    char *name;
    char *labels;
    int64_t value; /* sum of observations for a histogram */
    int64_t count;
    int64_t buckets[Mt_BUCKETS + 1];
};

struct mt_registry {
    TAILQ_HEAD(mt_metrics, mt_metric) metrics;
    size_t count;
    struct mt_metric overflow;
};

/* Creates an empty registry; returns NULL if an allocation fails. */
struct mt_registry *
Mt_Create(void)
{
    struct mt_registry *registry = calloc(1, sizeof(*registry));
    if (registry != NULL) {
        TAILQ_INIT(&registry->metrics);
    }
    return registry;
}

/* Frees the registry and every metric in it. */
void
Mt_Destroy(struct mt_registry *registry)
{
    if (registry == NULL) {
        return;
    }
    struct mt_metric *metric;
    while ((metric = TAILQ_FIRST(&registry->metrics)) != NULL) {
        TAILQ_REMOVE(&registry->metrics, metric, link);
        free(metric->name);
        free(metric->labels);
        free(metric);
    }
    free(registry);
}

static struct mt_metric *
metric_create(struct mt_registry *registry, enum mt_kind kind,
              const char *name, const char *labels)
{
    struct mt_metric *metric = calloc(1, sizeof(*metric));
    if (metric == NULL) {
        return NULL;
    }
    metric->kind = kind;
    metric->name = strdup(name);
    metric->labels = strdup(labels);
    if (metric->name == NULL || metric->labels == NULL) {
        free(metric->name);
        free(metric->labels);
        free(metric);
        return NULL;
    }
    /* The text format requires the series of one name to be adjacent. */
    struct mt_metric *after = NULL;
    struct mt_metric *other;
    TAILQ_FOREACH (other, &registry->metrics, link) {
        if (strcmp(other->name, name) == 0) {
            after = other;
        }
    }
    if (after != NULL) {
        TAILQ_INSERT_AFTER(&registry->metrics, after, metric, link);
    }
    else {
        TAILQ_INSERT_TAIL(&registry->metrics, metric, link);
    }
    registry->count++;
    return metric;
}

/*
 * Finds or creates a metric.  "labels" is the text between the braces, without
 * them, or empty.  Never returns NULL: beyond 4096 series, or if an allocation
 * fails, returns a shared metric that is never printed, so that a large number
 * of label values cannot exhaust memory.
 */
struct mt_metric *
Mt_Get(struct mt_registry *registry, enum mt_kind kind, const char *name,
       const char *labels)
{
    struct mt_metric *metric;
    TAILQ_FOREACH (metric, &registry->metrics, link) {
        if (strcmp(metric->name, name) == 0 &&
            strcmp(metric->labels, labels) == 0) {
            return metric;
        }
    }
    if (registry->count >= Mt_METRICS_MAX) {
        return &registry->overflow;
    }
    metric = metric_create(registry, kind, name, labels);
    return metric != NULL ? metric : &registry->overflow;
}

/* Adds to a counter or gauge. */
void
Mt_Add(struct mt_metric *metric, int64_t amount)
{
    metric->value += amount;
}

/* Sets a gauge. */
void
Mt_Set(struct mt_metric *metric, int64_t value)
{
    metric->value = value;
}

/* Adds one duration in microseconds to a histogram. */
void
Mt_Observe(struct mt_metric *metric, int64_t usec)
{
    int bucket = 0;
    int64_t bound = Mt_FIRST_BOUND_USEC;
    while (bucket < Mt_BUCKETS && usec > bound) {
        bound *= 2;
        bucket++;
    }
    metric->buckets[bucket]++;
    metric->count++;
    metric->value += usec;
}

/* Value of a counter or gauge, or sum of a histogram in microseconds. */
int64_t
Mt_Value(const struct mt_metric *metric)
{
    return metric->value;
}

/* Upper bound in microseconds of the bucket that holds the quantile. */
int64_t
Mt_Quantile(const struct mt_metric *metric, double quantile)
{
    int64_t rank = (int64_t)(quantile * (double)metric->count);
    int64_t cumulative = 0;
    int64_t bound = Mt_FIRST_BOUND_USEC;
    for (int i = 0; i <= Mt_BUCKETS; i++) {
        cumulative += metric->buckets[i];
        if (cumulative > rank) {
            return bound;
        }
        bound *= 2;
    }
    return metric->count == 0 ? 0 : bound;
}

static const char *
kind_name(enum mt_kind kind)
{
    switch (kind) {
    case MT_COUNTER:
        return "counter";
    case MT_GAUGE:
        return "gauge";
    case MT_HISTOGRAM:
        return "histogram";
    }
    return "untyped";
}

static void
print_histogram(FILE *out, const struct mt_metric *metric)
{
    const char *comma = metric->labels[0] != '\0' ? "," : "";
    int64_t cumulative = 0;
    int64_t bound = Mt_FIRST_BOUND_USEC;
    for (int i = 0; i < Mt_BUCKETS; i++) {
        cumulative += metric->buckets[i];
        fprintf(out, "%s_bucket{%s%sle=\"%.6f\"} %lld\n", metric->name,
                metric->labels, comma, (double)bound / 1e6,
                (long long)cumulative);
        bound *= 2;
    }
    fprintf(out, "%s_bucket{%s%sle=\"+Inf\"} %lld\n", metric->name,
            metric->labels, comma, (long long)metric->count);
    fprintf(out, "%s_sum{%s} %.6f\n", metric->name, metric->labels,
            (double)metric->value / 1e6);
    fprintf(out, "%s_count{%s} %lld\n", metric->name, metric->labels,
            (long long)metric->count);
}

void
Mt_Clear(struct mt_registry *registry, const char *name)
{
    struct mt_metric *metric;
    TAILQ_FOREACH (metric, &registry->metrics, link) {
        if (strcmp(metric->name, name) == 0) {
            metric->value = 0;
        }
    }
}

/* Returns all metrics as text, which the caller frees, or NULL on failure. */
char *
Mt_Print(const struct mt_registry *registry)
{
    char *text = NULL;
    size_t len = 0;
    FILE *out = open_memstream(&text, &len);
    if (out == NULL) {
        return NULL;
    }
    const char *last = "";
    const struct mt_metric *metric;
    TAILQ_FOREACH (metric, &registry->metrics, link) {
        if (strcmp(last, metric->name) != 0) {
            fprintf(out, "# TYPE %s %s\n", metric->name,
                    kind_name(metric->kind));
            last = metric->name;
        }
        if (metric->kind == MT_HISTOGRAM) {
            print_histogram(out, metric);
        }
        else if (metric->labels[0] == '\0') {
            fprintf(out, "%s %lld\n", metric->name, (long long)metric->value);
        }
        else {
            fprintf(out, "%s{%s} %lld\n", metric->name, metric->labels,
                    (long long)metric->value);
        }
    }
    fclose(out);
    return text;
}
