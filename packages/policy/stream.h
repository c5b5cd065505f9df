/*
 * Streams on an endpoint that is about to be reclaimed: what to do with each,
 * and the index bookkeeping that gives the caller every token once and in
 * order, whichever endpoint it came from.  Times are microseconds.
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
    SM_FINISH, /* leave it where it is */
    SM_MOVE,   /* export the KV cache, import it at the target, go on there */
    SM_RESUME, /* send prompt and tokens so far to the target */
};

struct sm_stream {
    int64_t left; /* until the endpoint is gone */
    int prompt_tokens;
    int tokens_given;
    int tokens_expected; /* still to come */
    int64_t token_usec;  /* between tokens where it runs */
};

/* The endpoint that would take the stream over. */
struct sm_target {
    bool found;
    bool imports;      /* takes KV caches from this endpoint */
    int64_t wait;      /* until it has a place */
    int cached_tokens; /* of the prompt, likely in its prefix cache */
    int64_t move_usec; /* of any move */
    int64_t move_per_token;
    int64_t prefill_per_token;
};

struct sm_settings {
    double doubt;      /* factor on the expected rest */
    int64_t margin;    /* kept before the endpoint goes */
    int64_t recompute; /* what one recomputed token is worth */
};

struct sm_decision {
    enum sm_plan plan;
    int64_t act_after; /* when to do it; for FINISH: when to decide again */
    int64_t gap;       /* the caller's pause, predicted */
    int recomputed;    /* tokens computed a second time, predicted */
    bool at_risk;      /* it is not expected to end before the endpoint */
};

void Sm_Defaults(struct sm_settings *settings);
void Sm_Decide(const struct sm_settings *settings,
               const struct sm_stream *stream, const struct sm_target *target,
               struct rn_random *random, struct sm_decision *out);

/* What became of a token's event. */
enum sm_take {
    SM_GIVE,     /* pass it on */
    SM_REPEATED, /* passed on before */
    SM_LATE,     /* from an endpoint the stream has left */
    SM_CROSSED,  /* of another request */
    SM_GAP,      /* a token before it is missing; resume elsewhere */
};

struct sm_counts {
    uint64_t given;
    uint64_t repeated;
    uint64_t late;
    uint64_t crossed;
    uint64_t gaps;
};

struct sm_track {
    char request[Sm_ID_MAX];
    int source; /* number of the dispatch that may add tokens */
    int64_t next;
    bool broken; /* a gap was seen on this source */
    struct sm_counts *counts;
};

void Sm_Start(struct sm_track *track, const char *request,
              struct sm_counts *counts);
enum sm_take Sm_Take(struct sm_track *track, int source, const char *request,
                     int64_t index);
enum st_status Sm_Switch(struct sm_track *track, int64_t from, int *source);
enum st_status Sm_Finish(struct sm_track *track, int source,
                         int64_t completion_tokens);

#ifdef __cplusplus
}
#endif

#endif
