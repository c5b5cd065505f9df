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
    int64_t reading; /* prompt tokens waiting there, of all daemons */
    int64_t missing; /* prompt tokens it would have to read, as known here */
    int64_t shared;  /* of these, in parts that other requests have too */
    uint64_t draw;   /* the group's preference among endpoints */
    double lot;      /* the request's own draw, 0 to 1 */
    double failing;  /* 0 to 1 */
    double slowness; /* its time to the first byte against the others' */
    int slots;
    int running; /* requests there, of all daemons */
    bool near;   /* in the caller's data centre */
    bool shunned;
    bool tried;     /* by this request already */
    bool full;      /* no connection to be had, or cold and left to others */
    bool long_lane; /* one of those that long prompts go to */
};

enum pl_verdict {
    PL_CHOSEN,
    PL_BUSY, /* all that could take it are at their limit */
    PL_NONE, /* there is none */
};

struct pl_limits {
    bool engine;
    double fill; /* requests an endpoint is given, as a multiple of slots */
    bool lanes;  /* long and short prompts have endpoints of their own */
    bool is_long;
    /* The part of the endpoints that is looked at besides the group's homes;
       1: all. */
    double drawn_part;
};

struct pl_choice {
    size_t index;
    int64_t reading; /* prompt tokens that it is expected to read */
};

enum pl_verdict Pl_Choose(const struct pl_candidate *candidates, size_t count,
                          const struct pl_limits *limits,
                          struct pl_choice *choice);

/*
 * Which part of the endpoints, in order of their hashes, long prompts go to;
 * 0: none are set apart.  "long_share" is the part of all prompt tokens that
 * long prompts bring.
 */
double Pl_LongPart(size_t endpoints, double long_share);
/*
 * The part of the endpoints that each request looks at, where "unheard"
 * requests are sent in the time that daemons hear of each other's late.  All
 * see the same endpoint idle; were all to take it, it would get a second's
 * requests of the whole service before anyone knows.
 */
double Pl_DrawnPart(size_t endpoints, double unheard);
/* Whether a prompt of so many tokens is long. */
bool Pl_IsLong(int64_t tokens);

#ifdef __cplusplus
}
#endif

#endif
