#include <math.h>

#include "edge/rollout.h"

/*
 * So many bad answers, or more, come by chance less often than once in
 * exp(9.5), one in 13,000 (Chernoff's bound, which overstates it).  Moves of
 * a version that is as good as the old one are judged over and over; in 40
 * moves with one answer in seven failing none is taken back.
 */
#define Ro_EVIDENCE 9.5
/* Fewer bad answers are an accident, whatever the share. */
#define Ro_BAD_LEAST 4
/*
 * A smaller difference is none that callers feel, and new endpoints have no
 * prompts kept at first.
 */
#define Ro_DIFFERENCE_LEAST 0.1
/*
 * The answers of a window prove no more than so many.  A pause of an endpoint
 * makes a run of them late; counted singly, one pause takes a move back.
 */
#define Ro_WINDOW_WORTH 4.0

/* How surprising the new share is where the old one is the truth. */
static double
divergence(double next, double old)
{
    double sum = next * log(next / old);
    if (next < 1) {
        sum += (1 - next) * log((1 - next) / (1 - old));
    }
    return sum;
}

/*
 * The share of the old version is taken with one more bad answer than seen,
 * so that no failure among few answers is no proof of perfection.
 */
bool
Ro_IsLater(const struct ro_weight *old, const struct ro_weight *next)
{
    if (next->bad < Ro_BAD_LEAST) {
        return false;
    }
    double old_share = (old->bad + 1) / (old->answers + 2);
    double next_share = next->bad / next->answers;
    return next_share - old_share >= Ro_DIFFERENCE_LEAST &&
           next->answers * divergence(next_share, old_share) > Ro_EVIDENCE;
}

static struct ro_weight
whole(const struct ro_count *count)
{
    return (struct ro_weight){count->answers, count->bad};
}

bool
Ro_IsWorse(const struct ro_count *old, const struct ro_count *next)
{
    struct ro_weight weights[2] = {whole(old), whole(next)};
    return Ro_IsLater(&weights[0], &weights[1]);
}

/* The counts of a peer that is no longer heard are missing from the sums. */
static double
grown(uint32_t now, uint32_t before)
{
    return now > before ? now - before : 0;
}

void
Ro_CloseWindow(struct ro_late *late, const struct ro_count sums[2])
{
    for (int version = 0; version < 2; version++) {
        struct ro_count *seen = &late->seen[version];
        double answers = grown(sums[version].answers, seen->answers);
        double bad = fmin(grown(sums[version].bad, seen->bad), answers);
        double worth =
            answers > Ro_WINDOW_WORTH ? Ro_WINDOW_WORTH / answers : 1;
        late->judged[version].answers += answers * worth;
        late->judged[version].bad += bad * worth;
        *seen = sums[version];
    }
}
