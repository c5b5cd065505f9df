/*
 * Simulation of a model engine with continuous batching.  Each step generates
 * one token for every running request and reads a chunk of the prompts that
 * are still to be read.  Memory that running requests leave free holds the
 * prompt parts used most recently.  Deterministic.
 *
 * Not simulated: preemption (a request waits until its prompt fits), transfer
 * of cached prompts between engines, faults.
 */
#ifndef MODEL_ENGINE_H
#define MODEL_ENGINE_H

#include <bsd/sys/queue.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

struct me_engine;

struct me_speed {
    int slots; /* requests that run at once */
    int64_t memory_tokens;
    int64_t chunk_tokens;  /* most prompt tokens read in a step */
    double step_usec;      /* a step of an empty batch */
    double running_usec;   /* added for each running request */
    double context_usec;   /* added for each 1,000 tokens of their context */
    double prefill_usec;   /* added for each prompt token read */
    double attention_usec; /* added for each million pairs of a token of the
                              chunk and a token before it */
};

#define Me_PARTS_MAX 3

/* A request, owned by the caller; it is at one engine at a time. */
struct me_job {
    TAILQ_ENTRY(me_job) link;
    uint64_t parts[Me_PARTS_MAX]; /* ids of the prompt parts, in order */
    int64_t part_tokens[Me_PARTS_MAX];
    size_t part_count;
    int64_t answer_tokens; /* 1 or more */
    /* Set by the engine. */
    int64_t context;         /* tokens in memory */
    int64_t prefill_left;    /* prompt tokens to read */
    int64_t answer_left;     /* answer tokens to generate */
    int64_t uncached_tokens; /* prompt tokens that were not cached */
    bool prefilled;          /* the whole prompt was read */
};

/* Called by Me_EndStep when a request reaches its first token or its end. */
struct me_ops {
    void (*first_token)(void *arg, struct me_job *job, int64_t now);
    void (*ended)(void *arg, struct me_job *job, int64_t now);
};

/* Returns NULL if an allocation fails. */
struct me_engine *Me_Create(const struct me_speed *speed,
                            const struct me_ops *ops, void *arg);
void Me_Destroy(struct me_engine *engine);
/* Queues a request until a slot is free and its prompt fits in memory. */
void Me_Submit(struct me_engine *engine, struct me_job *job);
/*
 * Begins a step and returns its length in microseconds, or 0 if there is no
 * request.  A request submitted during a step waits for the next step.
 */
int64_t Me_BeginStep(struct me_engine *engine);
/* Ends the step that Me_BeginStep began. */
void Me_EndStep(struct me_engine *engine, int64_t now);

#ifdef __cplusplus
}
#endif

#endif
