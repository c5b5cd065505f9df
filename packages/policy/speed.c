#include "policy/speed.h"

#include <math.h>
#include <string.h>

#include "base/clock.h"

/*
 * A block has at least this many gaps and lasts at least this long.  A host
 * that has used up its processor time reads the events of up to 100 ms at
 * once; longer blocks end with the first of them and are not distorted.
 */
#define Sd_BLOCK_GAPS 4
#define Sd_BLOCK_USEC (150 * Ck_USEC_PER_MSEC)
/*
 * Blocks of a sample.  Disturbances only make a stream slower, so the fastest
 * block counts: noise that lasts 600 ms rarely covers all four.
 */
#define Sd_BLOCKS 4
/* Fewer blocks count only if the stream has given no sample yet. */
#define Sd_LAST_BLOCKS_MIN 3
/* Least gaps for a sample of a stream that is shorter than a block. */
#define Sd_SHORT_GAPS_MIN 2
/*
 * Events with less time between them were read together: an engine needs more
 * for one token.
 */
#define Sd_APART_USEC Ck_USEC_PER_MSEC
/* Largest weight of a sample. */
#define Sd_FULL_GAPS ((double)(Sd_BLOCK_GAPS * Sd_BLOCKS))
/* Samples after which an older one has lost most of its weight in the
   reference. */
#define Sd_REFERENCE_SAMPLES 256.0
/* Samples of a reference at which comparisons with it have half weight. */
#define Sd_REFERENCE_MIN 2.0
/* With fewer samples than this, the reference is not used to clip others. */
#define Sd_CLIP_SAMPLES 8.0
/*
 * A sample counts as no further than this from the endpoint's known speed,
 * that is a factor of 1.74: a period of noise that covers a whole sample is a
 * factor of 2.5.
 */
#define Sd_CLIP_LOG2 0.8
#define Sd_LOG2_MAX 2.0
#define Sd_USEC_MIN 1e-3
/* Weight of the assumption that an endpoint is as fast as the others. */
#define Sd_PRIOR_GAPS Sd_FULL_GAPS
/* Time constant of the long-term estimate. */
#define Sd_KNOWN_USEC (30.0 * (double)Ck_USEC_PER_SEC)
/* Differences up to the first are noise and count as none; above the second
   one they count in full. */
#define Sd_IGNORED_LOG2 0.1
#define Sd_CLEAR_LOG2 0.2
/* More than the rounding error of a bound. */
#define Sd_ROUNDING (1 + 1e-9)
/* Weight of the usual slope of a reference, in samples times var_x. */
#define Sd_SLOPE_WEIGHT 8.0

/* Slope of a reference: the usual one, and its limits. */
static const struct slope {
    double usual;
    double min;
    double max;
} slopes[] = {
    /* a full engine's step takes 1.3 to 1.7 times as long as an idle one's */
    [SD_PACE] = {0.5, 0, 1},
    /* a part of the time does not depend on the prompt */
    [SD_PREFILL] = {-0.2, -1, 0},
};

static double
clamp(double value, double min, double max)
{
    return fmin(fmax(value, min), max);
}

static void
end_block(struct sd_stream *stream)
{
    double usec = (double)(stream->event_at - stream->block_at) / stream->gaps;
    if (stream->blocks++ == 0 || usec < stream->shortest_usec) {
        stream->shortest_usec = usec;
    }
    stream->sample_gaps += stream->gaps;
    stream->block_at = stream->event_at;
    stream->gaps = 0;
}

static void
take_sample(struct sd_stream *stream, struct sd_sample *sample)
{
    *sample = (struct sd_sample){
        .usec = stream->shortest_usec,
        .gaps = fmin(stream->sample_gaps, Sd_FULL_GAPS),
        .repeated = stream->sampled,
    };
    stream->blocks = 0;
    stream->sample_gaps = 0;
    stream->sampled = true;
}

bool
Sd_AddEvent(struct sd_stream *stream, int64_t now, struct sd_sample *sample)
{
    int64_t usec = now - stream->event_at;
    stream->event_at = now;
    if (stream->block_at == 0) {
        stream->block_at = now;
        return false;
    }
    stream->read_together |= usec < Sd_APART_USEC;
    if (++stream->gaps >= Sd_BLOCK_GAPS &&
        now - stream->block_at >= Sd_BLOCK_USEC) {
        end_block(stream);
    }
    if (stream->blocks < Sd_BLOCKS) {
        return false;
    }
    take_sample(stream, sample);
    return true;
}

/*
 * A block ends with the first event of a read, so it covers whole reads.  A
 * stream that is shorter than a block may have been read at once.
 */
bool
Sd_EndStream(struct sd_stream *stream, struct sd_sample *sample)
{
    bool is_short = !stream->sampled && stream->blocks == 0;
    if (is_short && stream->gaps >= Sd_SHORT_GAPS_MIN &&
        !stream->read_together) {
        end_block(stream);
    }
    if (stream->blocks == 0 ||
        (stream->sampled && stream->blocks < Sd_LAST_BLOCKS_MIN)) {
        return false;
    }
    take_sample(stream, sample);
    return true;
}

static double
slope_of(const struct sd_reference *reference, enum sd_kind kind)
{
    const struct slope *slope = &slopes[kind];
    double fit = (reference->samples * reference->cov +
                  Sd_SLOPE_WEIGHT * slope->usual) /
                 (reference->samples * reference->var_x + Sd_SLOPE_WEIGHT);
    return clamp(fit, slope->min, slope->max);
}

static double
usual_log2(const struct sd_reference *reference, enum sd_kind kind, double x)
{
    return reference->mean_log2 +
           slope_of(reference, kind) * (x - reference->mean_x);
}

double
Sd_UsualUsec(const struct sd_reference *reference, enum sd_kind kind, double x)
{
    return reference->samples <= 0 ? 0 : exp2(usual_log2(reference, kind, x));
}

/*
 * The slope is fitted to values that are corrected by the endpoints' speeds:
 * fast endpoints get more requests, and would make a high utilization look
 * fast.
 */
static void
add_to_reference(struct sd_reference *reference, double x, double value,
                 double speed, double weight)
{
    reference->samples =
        fmin(reference->samples + weight, Sd_REFERENCE_SAMPLES);
    double share = weight / reference->samples;
    double dx = x - reference->mean_x;
    double corrected = value + speed - reference->mean_corrected;
    reference->mean_x += share * dx;
    reference->mean_log2 += share * (value - reference->mean_log2);
    reference->mean_corrected += share * corrected;
    reference->var_x = (1 - share) * (reference->var_x + share * dx * dx);
    reference->cov = (1 - share) * (reference->cov + share * dx * corrected);
}

/* Adds to an estimate whose weight is up to date. */
static void
add(struct sd_estimate *sum, double value, double gaps)
{
    if (gaps > 0) {
        sum->gaps += gaps;
        sum->log2 += gaps / sum->gaps * (value - sum->log2);
    }
}

static double
decay(int64_t usec, double constant_usec)
{
    return usec <= 0 ? 1 : exp(-(double)usec / constant_usec);
}

/* The logarithm of the speed, shrunk towards 0 by the prior. */
static double
shrunk(const struct sd_estimate *estimate)
{
    return estimate->log2 * estimate->gaps / (estimate->gaps + Sd_PRIOR_GAPS);
}

void
Sd_Learn(struct sd_speed *speed, struct sd_reference *reference,
         enum sd_kind kind, const struct sd_sample *sample, int64_t now)
{
    double value = log2(fmax(sample->usec, Sd_USEC_MIN));
    double known = shrunk(&speed->known);
    double before = reference->samples;
    double weight = sample->gaps / Sd_FULL_GAPS;
    if (before <= 0) {
        if (sample->usec > Sd_USEC_MIN) {
            add_to_reference(reference, sample->x, value, known, weight);
        }
        return;
    }
    double usual = usual_log2(reference, kind, sample->x);
    double found = usual - value;
    if (before >= Sd_CLIP_SAMPLES) {
        found = clamp(found, known - Sd_CLIP_LOG2, known + Sd_CLIP_LOG2);
    }
    found = clamp(found, -Sd_LOG2_MAX, Sd_LOG2_MAX);
    /* Takes the clipped value; otherwise the mean speed would not be 1. */
    if (!sample->repeated) {
        add_to_reference(reference, sample->x, usual - found, known, weight);
    }
    speed->own = Sd_Own(speed, now);
    speed->own_at = now;
    add(&speed->own, found,
        sample->gaps * before / (before + Sd_REFERENCE_MIN));
}

struct sd_estimate
Sd_Own(const struct sd_speed *speed, int64_t now)
{
    struct sd_estimate own = speed->own;
    if (own.gaps > 0) {
        own.gaps *= decay(now - speed->own_at, (double)Sd_REPORT_USEC);
    }
    return own;
}

double
Sd_OwnAtMost(const struct sd_speed *speed, int64_t now)
{
    double x = (double)(now - speed->own_at) / (double)Sd_REPORT_USEC;
    if (speed->own.gaps <= 0 || x <= 0) {
        return speed->own.gaps;
    }
    /* e to the x is more than these terms of its series. */
    double terms = 1 + x * (1 + x / 2 * (1 + x / 3 * (1 + x / 4)));
    return speed->own.gaps / terms * Sd_ROUNDING;
}

double
Sd_ReportWeight(int64_t age_usec)
{
    return decay(age_usec, (double)Sd_REPORT_USEC);
}

void
Sd_AddWeighted(struct sd_estimate *sum, const struct sd_estimate *report,
               double weight)
{
    if (report->gaps > 0) {
        add(sum, clamp(report->log2, -Sd_LOG2_MAX, Sd_LOG2_MAX),
            report->gaps * weight);
    }
}

void
Sd_Add(struct sd_estimate *sum, const struct sd_estimate *report,
       int64_t age_usec)
{
    if (report->gaps > 0) {
        Sd_AddWeighted(sum, report, Sd_ReportWeight(age_usec));
    }
}

/*
 * A sample stays in the reports for Sd_REPORT_USEC on average, so the part of
 * their weight that is new is the interval / Sd_REPORT_USEC.  Reports need no
 * sequence numbers, and lost ones only reduce the weight.
 */
void
Sd_Update(struct sd_speed *speed, const struct sd_estimate *sum, int64_t now)
{
    int64_t usec = speed->known_at == 0 ? 0 : now - speed->known_at;
    speed->known_at = now;
    usec = usec < Sd_REPORT_USEC ? usec : Sd_REPORT_USEC;
    double left = decay(usec, Sd_KNOWN_USEC);
    speed->known.gaps *= left;
    if (sum->gaps < 1) {
        /* Without recent samples, the speed may have changed. */
        speed->known.log2 *= left;
    }
    add(&speed->known, sum->log2,
        sum->gaps * (double)usec / (double)Sd_REPORT_USEC);
}

double
Sd_Speed(const struct sd_speed *speed, const struct sd_estimate *sum)
{
    struct sd_estimate all = speed->known;
    add(&all, sum->log2, sum->gaps);
    double value = shrunk(&all);
    double part = clamp((fabs(value) - Sd_IGNORED_LOG2) /
                            (Sd_CLEAR_LOG2 - Sd_IGNORED_LOG2),
                        0, 1);
    return exp2(value * part);
}
