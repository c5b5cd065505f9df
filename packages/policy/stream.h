/*
 * Streams on an endpoint that is about to be reclaimed: what to do with each
 * one, and the tracking of token indexes by which the caller gets every token
 * once and in order, whichever endpoint sent it. Times are microseconds.
 */
#ifndef POLICY_STREAM_H
#define POLICY_STREAM_H

#include <stdbool.h>
#include <stdint.h>

#include "base/random.h"
#include "base/status.h"

#ifdef __cplusplus
extern "C" {
#endif

#define Sm_ID_MAX 64

enum sm_plan {
    SM_FINISH, /* leave the stream on its endpoint */
    SM_MOVE, /* export the KV cache, import it at the target, continue there */
    SM_RESUME, /* send the prompt and the tokens so far to the target */
};

struct sm_stream {
    int64_t time_left; /* time until the endpoint is gone */
    int prompt_tokens;
    int tokens_given;
    int tokens_expected; /* tokens still to come */
    int64_t token_usec;  /* between two tokens on the present endpoint */
};

/* The endpoint that would take the stream over. */
struct sm_target {
    bool found;
    bool imports_cache; /* takes KV caches from this endpoint */
    int64_t wait;       /* time until the target has a free slot */
    int cached_tokens;  /* prompt tokens probably in its prefix cache */
    int64_t move_usec;  /* fixed duration of a move */
    int64_t move_per_token;
    int64_t prefill_per_token;
};

struct sm_settings {
    double safety_factor; /* factor on the expected remaining time */
    int64_t margin;       /* time kept free before the endpoint is gone */
    int64_t recompute;    /* cost of one recomputed token, as time */
};

struct sm_decision {
    enum sm_plan plan;
    int64_t act_after; /* delay until the action; with SM_FINISH until the next
                          decision */
    int64_t pause;     /* predicted pause between two tokens for the caller */
    int recomputed;    /* predicted number of tokens computed again */
    bool at_risk;      /* not expected to end before the endpoint is gone */
};

void Sm_Defaults(struct sm_settings *settings);
void Sm_Decide(const struct sm_settings *settings,
               const struct sm_stream *stream, const struct sm_target *target,
               struct rn_random *random, struct sm_decision *out);

/* What to do with a received token. */
enum sm_token_result {
    SM_DELIVER,  /* pass it on to the caller */
    SM_REPEATED, /* passed on before; drop it */
    SM_STALE,    /* from an endpoint that the stream has left; drop it */
    SM_FOREIGN,  /* of another request; drop it */
    SM_GAP,      /* an earlier token is missing; resume on another endpoint */
};

struct sm_counts {
    uint64_t delivered;
    uint64_t repeated;
    uint64_t stale;
    uint64_t foreign;
    uint64_t gaps;
};

struct sm_track {
    char request[Sm_ID_MAX];
    int source;   /* number of the dispatch whose tokens are accepted */
    int64_t next; /* index of the next token to pass on */
    bool broken;  /* a token of this source was missing */
    struct sm_counts *counts;
};

void Sm_Start(struct sm_track *track, const char *request,
              struct sm_counts *counts);
enum sm_token_result Sm_AddToken(struct sm_track *track, int source,
                                 const char *request, int64_t index);
enum st_status Sm_Switch(struct sm_track *track, int64_t from, int *source);
enum st_status Sm_Finish(struct sm_track *track, int source,
                         int64_t completion_tokens);

#ifdef __cplusplus
}
#endif

#endif
