/*
 * Which endpoint takes a request.  Pure: it sees candidates and returns one.
 * The load it answers: many daemons place by reports that lag, long prompts
 * hold up the first tokens of whatever runs beside them, and a part of a
 * prompt that an endpoint keeps costs nothing there.
 */
#ifndef EDGE_PLACE_H
#define EDGE_PLACE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

struct pl_candidate {
    int slots;
    int running;     /* requests there, of all daemons */
    int64_t reading; /* prompt tokens waiting there, of all daemons */
    int64_t missing; /* prompt tokens it would have to read */
    bool near;       /* in the caller's data centre */
    bool shunned;
    bool tried;      /* by this request already */
    bool full;       /* no connection to be had */
    double failing;  /* 0 to 1 */
    double slowness; /* its time to the first byte against the others' */
    uint64_t draw;   /* the group's preference among endpoints */
};

enum pl_verdict {
    PL_CHOSEN,
    PL_BUSY, /* all that could take it are at their limit */
    PL_NONE, /* there is none */
};

struct pl_limits {
    bool engine;
    double fill; /* requests an endpoint is given, as a multiple of slots */
};

enum pl_verdict Pl_Choose(const struct pl_candidate *candidates, size_t count,
                          const struct pl_limits *limits, size_t *chosen);

#ifdef __cplusplus
}
#endif

#endif
