/*
 * Counters, gauges and histograms, printed in the Prometheus text exposition
 * format.  A metric is looked up or created by name and label text; the handle
 * stays valid until the registry is destroyed.
 */
#ifndef BASE_METRIC_H
#define BASE_METRIC_H

#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

enum mt_kind {
    MT_COUNTER,
    MT_GAUGE,
    MT_HISTOGRAM,
};

struct mt_registry;
struct mt_metric;

struct mt_registry *Mt_Create(void);
void Mt_Destroy(struct mt_registry *registry);
struct mt_metric *Mt_Get(struct mt_registry *registry, enum mt_kind kind,
                         const char *name, const char *labels);
void Mt_Add(struct mt_metric *metric, int64_t amount);
void Mt_Set(struct mt_metric *metric, int64_t value);
/* Sets all counters or gauges of a name to 0, whatever their labels. */
void Mt_Clear(struct mt_registry *registry, const char *name);
void Mt_Observe(struct mt_metric *metric, int64_t usec);
int64_t Mt_Value(const struct mt_metric *metric);
int64_t Mt_Quantile(const struct mt_metric *metric, double quantile);
char *Mt_Print(const struct mt_registry *registry);

#ifdef __cplusplus
}
#endif

#endif
