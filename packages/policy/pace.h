/*
 * Compares the pace of streams of a new version with that of the old one: the
 * time between their first events or tokens.  Pure.
 */
#ifndef POLICY_PACE_H
#define POLICY_PACE_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* The pace of a stream. */
struct pa_pace {
    int64_t usec; /* mean time between two events */
    double load;  /* requests at its endpoint / slots */
};

/* Averages over the streams of the old version; zero: none yet. */
struct pa_typical {
    double usec;
    double load;
};

enum pa_verdict {
    PA_UNKNOWN, /* nothing to compare with */
    PA_USUAL,
    PA_SLOW,
};

/*
 * Judges a stream, and learns from it if it is of the old version.  The more
 * requests run at an endpoint, the slower each is: a stream of the new version
 * at an endpoint that is fuller than the old ones usually are is not judged.
 */
enum pa_verdict Pa_Judge(struct pa_typical *typical, bool is_new,
                         const struct pa_pace *pace);

#ifdef __cplusplus
}
#endif

#endif
