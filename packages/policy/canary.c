#include "policy/canary.h"

#include <math.h>
#include <stdlib.h>

#include "base/clock.h"

/*
 * Thresholds of the log-likelihood ratio.  A result above one occurs by chance
 * less often than once in exp() of it (the Chernoff bound).  The higher one
 * takes a version back for good, and versions are compared again and again:
 * 40 moves between equally good versions with one answer in seven failing must
 * not be rolled back.
 */
#define Cy_WORSE_LOG_RATIO 9.5
#define Cy_SUSPECT_LOG_RATIO 5.5
#define Cy_DOUBT_LOG_RATIO 3.0
/* Fewer bad answers are no evidence, whatever their rate. */
#define Cy_WORSE_MIN_BAD 4.0
#define Cy_SUSPECT_MIN_BAD 3.0
#define Cy_DOUBT_MIN_BAD 2.0
/*
 * Callers do not notice a smaller difference of the rates, and new endpoints
 * start with an empty prompt cache.
 */
#define Cy_WORSE_MIN_DIFFERENCE 0.1
#define Cy_SUSPECT_MIN_DIFFERENCE 0.1
/*
 * The old version's rate in a window counts this many answers at its rate
 * over the whole move as well: few answers of one window tell little.
 */
#define Cy_PRIOR_ANSWERS 10.0

/*
 * A window is disturbed if the old version had this many standard deviations
 * more bad answers than at its median rate.
 */
#define Cy_DISTURBED_DEVIATIONS 2.5

/*
 * Share of the new version in thousandths, by the elapsed fraction of the
 * move's duration.  A bad version may get a tenth of all requests: most of the
 * duration at 50 and some of it at 150 stay below that.
 */
#define Cy_CANARY_SHARE 50
#define Cy_RAISED_SHARE 150
#define Cy_RAISE_AFTER 0.5
/*
 * More requests come before all: a fault that shows under load only, or is
 * told late, then meets fewer callers.
 */
#define Cy_MORE_SHARE 300
#define Cy_MORE_USEC (1500 * Ck_USEC_PER_MSEC)
/* All requests go to the new version once it has given this many answers. */
#define Cy_MIN_ANSWERS 12
/* Good answers after which a version that lost all requests may get them
 * again. */
#define Cy_RETRIAL_ANSWERS 6
/* A version that gets no more than this many requests needs no trial. */
#define Cy_FEW_REQUESTS 40
/*
 * All requests go to the new version as late as the old endpoints' requests
 * and the recording of the outcome allow, but within these fractions.
 */
#define Cy_FULL_FIRST 0.625
#define Cy_FULL_LAST 0.8
#define Cy_RECORD_USEC (3500 * Ck_USEC_PER_MSEC)

/*
 * Bounds of a pacer's credit: what the new version is not sent now is not
 * caught up later, and what it was sent for other reasons is soon forgotten.
 */
#define Cy_CREDIT_MAX 2.0
#define Cy_CREDIT_MIN (-20.0)

/* Kullback-Leibler divergence of the new version's rate from the old one's. */
static double
divergence(double new_rate, double old_rate)
{
    double result = new_rate * log(new_rate / old_rate);
    if (new_rate < 1) {
        result += (1 - new_rate) * log((1 - new_rate) / (1 - old_rate));
    }
    return result;
}

static bool
exceeds(const struct cy_tally *tally, double min_bad, double min_difference,
        double log_ratio)
{
    if (tally->bad < min_bad || tally->answers < 1) {
        return false;
    }
    double new_rate = tally->bad / tally->answers;
    double old_rate = tally->expected / tally->answers;
    return new_rate - old_rate >= min_difference &&
           tally->answers * divergence(new_rate, old_rate) > log_ratio;
}

bool
Cy_IsWorse(const struct cy_tally *tally)
{
    return exceeds(tally, Cy_WORSE_MIN_BAD, Cy_WORSE_MIN_DIFFERENCE,
                   Cy_WORSE_LOG_RATIO);
}

bool
Cy_IsSuspect(const struct cy_tally *tally)
{
    return exceeds(tally, Cy_SUSPECT_MIN_BAD, Cy_SUSPECT_MIN_DIFFERENCE,
                   Cy_SUSPECT_LOG_RATIO);
}

bool
Cy_IsDoubtful(const struct cy_tally *tally)
{
    return exceeds(tally, Cy_DOUBT_MIN_BAD, Cy_SUSPECT_MIN_DIFFERENCE,
                   Cy_DOUBT_LOG_RATIO);
}

/* The totals decrease when a host is forgotten and its counts drop out. */
static double
increase(uint32_t now, uint32_t before)
{
    return now > before ? now - before : 0;
}

static struct cy_tally
current_window(const struct cy_evidence *evidence,
               const struct cy_count totals[CY_SIDES])
{
    const struct cy_count *start = evidence->at_start;
    double old_answers =
        increase(totals[CY_OLD].answers, start[CY_OLD].answers);
    double old_bad = increase(totals[CY_OLD].bad, start[CY_OLD].bad);
    /* One more bad answer than seen: no rate is zero. */
    double whole_rate =
        (totals[CY_OLD].bad + 1.0) / (totals[CY_OLD].answers + 2.0);
    double rate = (old_bad + Cy_PRIOR_ANSWERS * whole_rate) /
                  (old_answers + Cy_PRIOR_ANSWERS);
    struct cy_tally window = {
        .answers = increase(totals[CY_NEW].answers, start[CY_NEW].answers),
        .bad = increase(totals[CY_NEW].bad, start[CY_NEW].bad),
    };
    window.bad = fmin(window.bad, window.answers);
    window.expected = fmin(rate, 1) * window.answers;
    return window;
}

void
Cy_Add(struct cy_tally *to, const struct cy_tally *addend)
{
    to->answers += addend->answers;
    to->bad += addend->bad;
    to->expected += addend->expected;
}

static double
excess(const struct cy_tally *window)
{
    return window->bad - window->expected;
}

static void
remember(struct cy_evidence *evidence, size_t number,
         const struct cy_count totals[CY_SIDES])
{
    struct cy_window *window = &evidence->windows[number % Cy_WINDOWS];
    for (int side = CY_OLD; side < CY_SIDES; side++) {
        const struct cy_count *start = &evidence->at_start[side];
        window->counts[side] = (struct cy_count){
            (uint32_t)increase(totals[side].answers, start->answers),
            (uint32_t)increase(totals[side].bad, start->bad),
        };
    }
}

static double
bad_rate(const struct cy_count *count)
{
    return count->answers == 0 ? 0
                               : fmin((double)count->bad / count->answers, 1);
}

static int
compare_rates(const void *a, const void *b)
{
    double left = *(const double *)a;
    double right = *(const double *)b;
    return left < right ? -1 : left > right;
}

/* The old version's median rate over the windows in which it answered. */
static double
usual_rate(const struct cy_evidence *evidence)
{
    double rates[Cy_WINDOWS];
    size_t count = 0;
    for (size_t i = 0; i < Cy_WINDOWS; i++) {
        const struct cy_count *old = &evidence->windows[i].counts[CY_OLD];
        if (old->answers > 0) {
            rates[count++] = bad_rate(old);
        }
    }
    qsort(rates, count, sizeof(rates[0]), compare_rates);
    return count == 0 ? 0 : rates[(count - 1) / 2];
}

uint64_t
Cy_DisturbedWindows(const struct cy_evidence *evidence)
{
    uint64_t mask = 0;
    double rate = usual_rate(evidence);
    for (size_t i = 0; i < Cy_WINDOWS; i++) {
        const struct cy_count *old = &evidence->windows[i].counts[CY_OLD];
        double expected = rate * old->answers;
        double deviation = sqrt(expected * (1 - rate) + 1);
        if (old->bad > expected + Cy_DISTURBED_DEVIATIONS * deviation) {
            mask |= UINT64_C(1) << i;
        }
    }
    return mask;
}

struct cy_tally
Cy_UndisturbedTally(const struct cy_evidence *evidence, uint64_t disturbed)
{
    struct cy_tally tally = {0, 0, 0};
    double old_answers = 0;
    double old_bad = 0;
    for (size_t i = 0; i < Cy_WINDOWS; i++) {
        const struct cy_count *counts = evidence->windows[i].counts;
        if ((disturbed >> i & 1) == 0) {
            old_answers += counts[CY_OLD].answers;
            old_bad += counts[CY_OLD].bad;
            tally.answers += counts[CY_NEW].answers;
            tally.bad += counts[CY_NEW].bad;
        }
    }
    tally.bad = fmin(tally.bad, tally.answers);
    double rate = (old_bad + 1) / (old_answers + 2);
    tally.expected = fmin(rate, 1) * tally.answers;
    return tally;
}

void
Cy_CloseWindow(struct cy_evidence *evidence, size_t number,
               const struct cy_count totals[CY_SIDES])
{
    struct cy_tally window = current_window(evidence, totals);
    remember(evidence, number, totals);
    for (int i = 0; i < Cy_LEFT_OUT; i++) {
        if (excess(&window) > excess(&evidence->worst[i])) {
            struct cy_tally replaced = evidence->worst[i];
            evidence->worst[i] = window;
            window = replaced;
        }
    }
    Cy_Add(&evidence->sum, &window);
    evidence->at_start[CY_OLD] = totals[CY_OLD];
    evidence->at_start[CY_NEW] = totals[CY_NEW];
}

struct cy_tally
Cy_Tally(const struct cy_evidence *evidence,
         const struct cy_count totals[CY_SIDES], int left_out)
{
    struct cy_tally tally = current_window(evidence, totals);
    Cy_Add(&tally, &evidence->sum);
    for (int i = left_out; i < Cy_LEFT_OUT; i++) {
        Cy_Add(&tally, &evidence->worst[i]);
    }
    return tally;
}

struct cy_tally
Cy_CalmTally(const struct cy_evidence *evidence)
{
    return evidence->sum;
}

/*
 * Whether the new version has given enough answers to be judged by, or would
 * get few even if all requests until the deadline went to it.
 */
static bool
is_tried(const struct cy_progress *progress)
{
    double elapsed = (double)progress->elapsed_usec;
    double left = (double)progress->duration_usec - elapsed;
    if (progress->relapsed) {
        return progress->answers_since_relapse >= Cy_RETRIAL_ANSWERS;
    }
    if (progress->answers >= Cy_MIN_ANSWERS || left <= 0) {
        return true;
    }
    double to_come = progress->all_answers / fmax(elapsed, 1) * left;
    return progress->answers + to_come <= Cy_FEW_REQUESTS;
}

/* When all requests are to go to the new version. */
static double
time_for_all(const struct cy_progress *progress)
{
    double duration = (double)progress->duration_usec;
    double at = duration - (double)(progress->drain_usec + Cy_RECORD_USEC);
    at = fmax(at, Cy_FULL_FIRST * duration);
    return fmin(at, Cy_FULL_LAST * duration);
}

/* The share of a version that is tried and not in doubt. */
static int
share_of_tried(const struct cy_progress *progress, int raised)
{
    double elapsed = (double)progress->elapsed_usec;
    double at = time_for_all(progress);
    if (elapsed >= at) {
        return Cy_FULL_SHARE;
    }
    return elapsed >= at - Cy_MORE_USEC ? Cy_MORE_SHARE : raised;
}

/*
 * The share is also limited by the usable endpoints of the new version; half
 * as many as of the old version are enough for all requests.
 */
int
Cy_Share(const struct cy_progress *progress)
{
    if (progress->new_usable == 0) {
        return 0;
    }
    int share = Cy_CANARY_SHARE;
    if (!progress->suspect &&
        (double)progress->elapsed_usec >=
            Cy_RAISE_AFTER * (double)progress->duration_usec) {
        share = Cy_RAISED_SHARE;
    }
    if (!progress->suspect && !progress->doubtful && is_tried(progress)) {
        share = share_of_tried(progress, share);
    }
    int limit =
        progress->old_usable == 0
            ? Cy_FULL_SHARE
            : 2 * Cy_FULL_SHARE * progress->new_usable / progress->old_usable;
    return share < limit ? share : limit;
}

/* "random" is from 0 to below 1: hosts send their first request apart. */
void
Cy_PaceStart(struct cy_pacer *pacer, double random)
{
    pacer->credit = random;
}

bool
Cy_PaceNew(const struct cy_pacer *pacer, int share)
{
    return pacer->credit + (double)share / Cy_FULL_SHARE >= 1;
}

void
Cy_PaceSent(struct cy_pacer *pacer, int share, bool is_new)
{
    double credit =
        pacer->credit + (double)share / Cy_FULL_SHARE - (is_new ? 1 : 0);
    pacer->credit = fmax(Cy_CREDIT_MIN, fmin(Cy_CREDIT_MAX, credit));
}
