/* What came of the load: counts, samples and the report. */
#ifndef TOOLS_LOAD_STATS_H
#define TOOLS_LOAD_STATS_H

#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

#include "tools/load_plan.h"

enum ld_outcome {
    LD_ANSWERED,   /* whole, and every byte as expected */
    LD_WRONG,      /* whole, but not the expected bytes */
    LD_CUT,        /* began and did not end, or ended with an error event */
    LD_NOT_RUN,    /* refused with "not-run" */
    LD_UNKNOWN,    /* told that the outcome is not known */
    LD_FAILED,     /* any other answer but 200 */
    LD_NO_ANSWER,  /* no headers came */
    LD_UNFINISHED, /* still open at the end */
    LD_OUTCOMES,
};

enum ld_latency {
    LD_WHOLE,
    LD_FIRST,   /* to the first token of a stream */
    LD_BETWEEN, /* tokens of a stream */
    LD_LATENCIES,
};

struct ld_samples {
    int64_t *usec;
    size_t count;
    size_t size;
};

struct ld_class_stats {
    int64_t sent;
    int64_t outcomes[LD_OUTCOMES];
    struct ld_samples latencies[LD_LATENCIES];
};

/* Charges that were sent a second time under their key. */
struct ld_repeats {
    int64_t sent;
    int64_t same;    /* both answered, with the same bytes */
    int64_t differ;  /* both answered, with other bytes: run twice */
    int64_t refused; /* one or both refused or not answered */
};

struct ld_stats {
    struct ld_class_stats classes[LD_CLASSES];
    struct ld_repeats repeats;
    int64_t tokens;
    int64_t bytes_compared;
    int64_t most_open;
    int64_t most_late_usec; /* of the generator behind its schedule */
    int64_t loaded_usec;
    json_t *codes;  /* answers by HTTP status */
    json_t *errors; /* by type of the refusal */
};

void Ld_StatsInit(struct ld_stats *stats);
void Ld_StatsFree(struct ld_stats *stats);
void Ld_Sample(struct ld_samples *samples, int64_t usec);
void Ld_Count(json_t *counts, const char *name);
json_t *Ld_Report(struct ld_stats *stats);

#endif
