/* The results of a load run: counters, latency samples and the report. */
#ifndef TOOLS_LOAD_STATS_H
#define TOOLS_LOAD_STATS_H

#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

#include "tools/load_plan.h"

enum ld_outcome {
    LD_ANSWERED, /* complete, and every byte as expected */
    LD_WRONG,    /* complete, but not the expected bytes */
    LD_CUT,     /* headers received, then cut off or ended by an error event */
    LD_NOT_RUN, /* outcome header "not-run": the request was not run */
    LD_UNKNOWN, /* outcome header "unknown" */
    LD_FAILED,  /* any other status but 200 */
    LD_NO_ANSWER,  /* no headers received */
    LD_UNFINISHED, /* not ended when the run stopped */
    LD_OUTCOMES,
};

enum ld_latency {
    LD_WHOLE,   /* to the end of the answer */
    LD_FIRST,   /* to the first token of a stream */
    LD_BETWEEN, /* two tokens of a stream */
    LD_LATENCIES,
};

struct ld_samples {
    int64_t *usec;
    size_t count;
    size_t capacity;
};

struct ld_class_stats {
    int64_t sent;
    int64_t outcomes[LD_OUTCOMES];
    struct ld_samples latencies[LD_LATENCIES];
};

/* Charges that were sent a second time with the same idempotency key. */
struct ld_retries {
    int64_t sent;
    int64_t same;    /* both answered, with the same bytes */
    int64_t differ;  /* both answered, with different bytes: run twice */
    int64_t refused; /* one or both refused or not answered */
};

struct ld_stats {
    struct ld_class_stats classes[LD_CLASSES];
    struct ld_retries retries;
    int64_t tokens;
    int64_t bytes_compared;
    int64_t most_open;      /* requests at the same time */
    int64_t most_late_usec; /* longest delay of a request behind schedule */
    int64_t loaded_usec;
    json_t *codes;  /* answers by HTTP status */
    json_t *errors; /* answers other than 200, by error type */
};

void Ld_StatsInit(struct ld_stats *stats);
void Ld_StatsFree(struct ld_stats *stats);
void Ld_AddSample(struct ld_samples *samples, int64_t usec);
void Ld_Count(json_t *counts, const char *name);
json_t *Ld_Report(struct ld_stats *stats);

#endif
