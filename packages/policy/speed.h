/*
 * The speed of an endpoint relative to the mean of its service, estimated from
 * the time between the events of its streams and, for short streams, the time
 * to the first event.  Speeds are kept as binary logarithms.  Pure.  Times are
 * in microseconds.
 *
 * Each host estimates an endpoint from its own streams and reports that
 * estimate with the number of event gaps behind it.  A report lasts
 * Sd_REPORT_USEC; receivers keep what they have seen for longer.
 */
#ifndef POLICY_SPEED_H
#define POLICY_SPEED_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* The pace of a stream: that of the fastest of its recent blocks. */
struct sd_stream {
    int64_t block_at; /* first event of the current block; 0: none yet */
    int64_t event_at; /* last event */
    int gaps;         /* of the current block */
    int blocks;
    int sample_gaps;      /* of these blocks */
    double shortest_usec; /* mean gap of the fastest block */
    bool sampled;
    bool read_together; /* some events had no time between them */
};

struct sd_sample {
    double usec; /* time between two events, or per prompt token */
    double x;    /* what that depends on, see struct sd_reference */
    double gaps; /* weight */
    /* The stream has given a sample before.  Only first samples are part of
       the mean: slow streams give more samples than fast ones. */
    bool repeated;
};

/* An event has arrived; returns true when there is a sample. */
bool Sd_AddEvent(struct sd_stream *stream, int64_t now,
                 struct sd_sample *sample);
/* The stream ends; returns true if it has a sample left. */
bool Sd_EndStream(struct sd_stream *stream, struct sd_sample *sample);

/*
 * The usual sample of a service, as a line: the time between events
 * over the slot utilization, or the time per prompt token over the logarithm
 * of the prompt tokens.
 */
struct sd_reference {
    double samples;
    double mean_x;
    double mean_log2; /* of the samples as they are */
    /* of the samples corrected by the speeds of their endpoints */
    double mean_corrected;
    double var_x;
    double cov;
};

enum sd_kind {
    SD_PACE,   /* x: slot utilization, 0 to 1 */
    SD_PREFILL /* x: binary logarithm of the prompt tokens */
};

/* The usual time at "x", microseconds; 0: not known. */
double Sd_UsualUsec(const struct sd_reference *reference, enum sd_kind kind,
                    double x);

struct sd_estimate {
    double log2;
    double gaps; /* weight */
};

struct sd_speed {
    struct sd_estimate own; /* from this host's recent streams */
    int64_t own_at;
    struct sd_estimate known; /* long-term, from all hosts */
    int64_t known_at;
};

/* Time constant, in microseconds, with which a report loses weight. */
#define Sd_REPORT_USEC INT64_C(3000000)

/* Adds a sample to the endpoint's estimate and to the reference. */
void Sd_Learn(struct sd_speed *speed, struct sd_reference *reference,
              enum sd_kind kind, const struct sd_sample *sample, int64_t now);
/* The host's own estimate, to be reported. */
struct sd_estimate Sd_Own(const struct sd_speed *speed, int64_t now);
/*
 * A weight that Sd_Own() does not exceed, for a fraction of the time: most
 * endpoints have too few samples to be reported.
 */
double Sd_OwnAtMost(const struct sd_speed *speed, int64_t now);
/* Adds a report that is "age_usec" old to a sum of estimates. */
void Sd_Add(struct sd_estimate *sum, const struct sd_estimate *report,
            int64_t age_usec);
/* The same for several reports of one age, with its Sd_ReportWeight(). */
void Sd_AddWeighted(struct sd_estimate *sum, const struct sd_estimate *report,
                    double weight);
/* The part of a report's weight that is left after "age_usec". */
double Sd_ReportWeight(int64_t age_usec);
/*
 * Adds the sum of all current reports, this host's own included, to the
 * long-term estimate.  To be called at each tick.
 */
void Sd_Update(struct sd_speed *speed, const struct sd_estimate *sum,
               int64_t now);
/*
 * The speed to use, by the reports in "sum" and earlier ones: 1 where little
 * is known or the difference is small.
 */
double Sd_Speed(const struct sd_speed *speed, const struct sd_estimate *sum);

#ifdef __cplusplus
}
#endif

#endif
