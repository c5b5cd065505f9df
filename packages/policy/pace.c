#include "policy/pace.h"

#include "base/clock.h"

/*
 * A pace is slow if it is longer than this many times the average plus the
 * margin.  A prompt that is read beside a stream delays a few of its events.
 */
#define Pa_SLOW_FACTOR 2.0
#define Pa_SLOW_MARGIN_USEC (5.0 * Ck_USEC_PER_MSEC)
/* An endpoint this full is as fast as an idle one. */
#define Pa_LIGHT_LOAD 0.25
/* Weight of the newest stream in the averages. */
#define Pa_WEIGHT 0.1

static void
learn(struct pa_typical *typical, const struct pa_pace *pace)
{
    double weight = typical->usec > 0 ? Pa_WEIGHT : 1;
    typical->usec += weight * ((double)pace->usec - typical->usec);
    typical->load += weight * (pace->load - typical->load);
}

enum pa_verdict
Pa_Judge(struct pa_typical *typical, bool is_new, const struct pa_pace *pace)
{
    double limit = Pa_SLOW_FACTOR * typical->usec + Pa_SLOW_MARGIN_USEC;
    bool comparable =
        !is_new || pace->load <= Pa_LIGHT_LOAD || pace->load <= typical->load;
    enum pa_verdict verdict = PA_UNKNOWN;
    if (typical->usec > 0 && comparable) {
        verdict = (double)pace->usec > limit ? PA_SLOW : PA_USUAL;
    }
    if (!is_new) {
        learn(typical, pace);
    }
    return verdict;
}
