/*
 * A model engine: it runs requests in one batch, a token of each a step,
 * reads prompts in pieces between, and keeps the parts of prompts used last
 * in the memory that running requests leave.  Deterministic.
 *
 * Left out: preemption (a request waits until its prompt fits), moves of
 * memory between engines, faults.
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
    int places; /* requests that run at once */
    int64_t memory_tokens;
    int64_t piece_tokens;  /* prompt tokens read in a step at the most */
    double step_usec;      /* a step of an empty batch */
    double running_usec;   /* more for each request that runs */
    double context_usec;   /* more for each 1,000 tokens of their context */
    double token_usec;     /* more for each prompt token read */
    double attention_usec; /* more for each million pairs of a piece's tokens
                              and those before them */
};

#define Me_PARTS_MAX 3

/* A request at an engine; the caller's, and at one engine at a time. */
struct me_job {
    TAILQ_ENTRY(me_job) link;
    uint64_t parts[Me_PARTS_MAX]; /* of the prompt, in order */
    int64_t part_tokens[Me_PARTS_MAX];
    size_t part_count;
    int64_t answer_tokens; /* 1 or more */
    /* Of the engine. */
    int64_t context; /* tokens in memory */
    int64_t unread;  /* of the prompt */
    int64_t left;    /* of the answer */
    int64_t missed;  /* prompt tokens that were not kept */
    bool answers;    /* the prompt is read */
};

/* What comes of a step. */
struct me_ops {
    void (*first)(void *arg, struct me_job *job, int64_t now);
    void (*ended)(void *arg, struct me_job *job, int64_t now);
};

/* NULL without memory. */
struct me_engine *Me_Create(const struct me_speed *speed,
                            const struct me_ops *ops, void *arg);
void Me_Destroy(struct me_engine *engine);
/* Hands over a request; it waits until it has a place. */
void Me_Take(struct me_engine *engine, struct me_job *job);
/*
 * Begins a step; returns its length in microseconds, 0 when there is nothing
 * to do.  What arrives during a step waits for the next.
 */
int64_t Me_BeginStep(struct me_engine *engine);
/* Ends the step begun last. */
void Me_EndStep(struct me_engine *engine, int64_t now);

#ifdef __cplusplus
}
#endif

#endif
