/*
 * The sequential test on the statistics of all routers.
 *
 * For each block (the same time interval for both versions), each cell (route
 * and request class) and each metric (failures, late first tokens), an
 * e-value compares the bad-request rates of the two versions: the likelihood
 * of the rates "old a, new b" divided by the likelihood of one common rate,
 * for several b above a, with a and b fixed before the block.  Its
 * expectation is at most 1 when the new version is no worse.  The product
 * over the blocks therefore exceeds 1/r with a probability of at most r,
 * whenever and however often it is checked (Ville's inequality).  Weighted
 * means of such products have the same property.  The test takes weighted
 * means over the cells, the metrics, the effect sizes and the times at which
 * a fault may begin, so the false-alarm rate holds for the whole move.
 */
#include <bsd/string.h>
#include <math.h>
#include <string.h>

#include "policy/move.h"
#include "policy/move_internal.h"

#define OVERALL_WEIGHT 0.5 /* of the sum of all cells */
/* Smaller increases of the failure rate and the late rate are ignored. */
#define FAILURE_TOLERANCE 0.002
#define LATE_TOLERANCE 0.01
#define HISTORY_DECAY 0.97 /* factor per block */
#define RECENT_DECAY 0.8   /* factor per block */
#define LATE_QUANTILE 0.9  /* of the old version's first-token times */
/* Effective sample size of a block for latency; see sample_late(). */
#define BLOCK_SAMPLE_MAX 50.0 /* requests */
#define BAD_MIN 3             /* bad requests needed for an alarm */
#define PRIOR_COUNT 10.0      /* requests, weight of the prior bad rate 0.01 */
#define RATE_MIN 0.002
#define RATE_MAX 0.9

/* Effect sizes: by which fraction of 1 - old the bad rate may be higher. */
static const double effects[Mv_EFFECTS] = {0.01, 0.04, 0.15, 0.4, 0.8};

/* "weight" is the prior weight of a fault that is present from the start. */
void
mv_init_test(struct mv_seq_test *test, double weight)
{
    for (int i = 0; i < Mv_EFFECTS; i++) {
        test->log_e_value[i] = log(weight);
    }
}

static double
log_add(double a, double b)
{
    double high = fmax(a, b);
    return high + log1p(exp(fmin(a, b) - high));
}

static double
clamp_rate(double rate)
{
    return fmin(fmax(rate, RATE_MIN), RATE_MAX);
}

/* Counts of a block after tolerance and weighting, as input of a test. */
struct sample {
    double count[MV_SIDES];
    double bad[MV_SIDES];
};

static double
log_likelihood_ratio(const struct sample *s, double old, double new)
{
    double common = (s->count[MV_OLD] * old + s->count[MV_NEW] * new) /
                    (s->count[MV_OLD] + s->count[MV_NEW]);
    double good_old = s->count[MV_OLD] - s->bad[MV_OLD];
    double good_new = s->count[MV_NEW] - s->bad[MV_NEW];
    return s->bad[MV_OLD] * log(old / common) +
           good_old * log((1 - old) / (1 - common)) +
           s->bad[MV_NEW] * log(new / common) +
           good_new * log((1 - new) / (1 - common));
}

/*
 * Multiplies the e-value of a block into a test.  The old version's rate is
 * estimated from earlier blocks; estimating it from this block would break
 * the guaranteed false-alarm rate.
 */
static void
update_test(struct mv_seq_test *test, const struct sample *sample,
            double onset_weight)
{
    double old = clamp_rate((test->old_bad + PRIOR_COUNT * 0.01) /
                            (test->old_count + PRIOR_COUNT));
    for (int i = 0; i < Mv_EFFECTS; i++) {
        if (onset_weight > 0) {
            test->log_e_value[i] =
                log_add(test->log_e_value[i], log(onset_weight));
        }
        double new = old + effects[i] * (1 - old);
        test->log_e_value[i] += log_likelihood_ratio(sample, old, new);
    }
    test->old_count = test->old_count * HISTORY_DECAY + sample->count[MV_OLD];
    test->old_bad = test->old_bad * HISTORY_DECAY + sample->bad[MV_OLD];
}

static bool
has_both_sides(const struct sample *sample)
{
    return sample->count[MV_OLD] > 0 && sample->count[MV_NEW] > 0;
}

static void
add_counts(struct mv_seq_test *test, const struct mv_cell *block,
           const struct sample *sample, enum mv_metric metric)
{
    for (int side = 0; side < MV_SIDES; side++) {
        test->count[side] += (uint64_t)sample->count[side];
        test->bad[side] += metric == MV_METRIC_FAILURES
                               ? block->failed[side]
                               : (uint64_t)sample->bad[side];
    }
}

/*
 * Adds FAILURE_TOLERANCE to the old version's failure rate, so that a
 * negligible difference does not roll a good version back.
 */
static void
sample_failures(const struct mv_cell *block, struct sample *out)
{
    for (int side = 0; side < MV_SIDES; side++) {
        out->count[side] = block->count[side];
        out->bad[side] = block->failed[side];
    }
    out->bad[MV_OLD] +=
        FAILURE_TOLERANCE * (out->count[MV_OLD] - out->bad[MV_OLD]);
}

static int
late_bucket(const double first_token[Mv_BUCKETS])
{
    double all = 0;
    for (int b = 0; b < Mv_BUCKETS; b++) {
        all += first_token[b];
    }
    double sum = 0;
    for (int b = 0; b < Mv_BUCKETS; b++) {
        sum += first_token[b];
        if (all > 0 && sum >= LATE_QUANTILE * all) {
            return b + 1;
        }
    }
    return Mv_BUCKETS;
}

static void
cap_sample(struct sample *sample)
{
    for (int side = 0; side < MV_SIDES; side++) {
        if (sample->count[side] > BLOCK_SAMPLE_MAX) {
            sample->bad[side] *= BLOCK_SAMPLE_MAX / sample->count[side];
            sample->count[side] = BLOCK_SAMPLE_MAX;
        }
    }
}

/*
 * Counts late first tokens.  For the old version these are the times above
 * its usual 90th percentile, for the new version the times at least one
 * bucket above that.  The requests of one block are not independent: a pause
 * of an engine or host delays many of them together.  A block therefore
 * counts as at most BLOCK_SAMPLE_MAX requests on each side; otherwise a
 * single pause would count as hundreds of independent observations.
 */
static void
sample_late(const struct mv_cell_state *cell, struct sample *out)
{
    int late_from = late_bucket(cell->old_first_token);
    memset(out, 0, sizeof(*out));
    if (late_from >= Mv_BUCKETS) {
        return;
    }
    for (int side = 0; side < MV_SIDES; side++) {
        int first = side == MV_OLD ? late_from : late_from + 1;
        for (int b = 0; b < Mv_BUCKETS; b++) {
            uint32_t requests = cell->block.first_token[side][b];
            out->count[side] += requests;
            out->bad[side] += b >= first ? requests : 0;
        }
    }
    cap_sample(out);
    out->bad[MV_OLD] +=
        LATE_TOLERANCE * (out->count[MV_OLD] - out->bad[MV_OLD]);
}

/* Like late first tokens, slow streams of one block depend on each other. */
static void
sample_pace(const struct mv_cell *block, struct sample *out)
{
    for (int side = 0; side < MV_SIDES; side++) {
        out->count[side] = block->paced[side];
        out->bad[side] = block->slow_pace[side];
    }
    cap_sample(out);
    out->bad[MV_OLD] +=
        LATE_TOLERANCE * (out->count[MV_OLD] - out->bad[MV_OLD]);
}

static void
decay_history(struct mv_cell_state *cell)
{
    for (int b = 0; b < Mv_BUCKETS; b++) {
        cell->old_first_token[b] = cell->old_first_token[b] * HISTORY_DECAY +
                                   cell->block.first_token[MV_OLD][b];
    }
}

static void
clear_block(struct mv_cell *block)
{
    memset(block->count, 0, sizeof(block->count));
    memset(block->failed, 0, sizeof(block->failed));
    memset(block->first_token, 0, sizeof(block->first_token));
    memset(block->paced, 0, sizeof(block->paced));
    memset(block->slow_pace, 0, sizeof(block->slow_pace));
}

/*
 * Runs the circuit breaker of a single router on the requests of all routers,
 * since no single router sees enough of them when there is little traffic.
 * It detects gross faults only; the sequential test detects small ones.
 */
static void
update_trip(struct mv_cell_state *cell)
{
    const struct mv_cell *block = &cell->block;
    cell->old_recent_count =
        cell->old_recent_count * RECENT_DECAY + block->count[MV_OLD];
    cell->old_recent_bad =
        cell->old_recent_bad * RECENT_DECAY + block->failed[MV_OLD];
    double old_bad =
        (cell->old_recent_bad + 0.5) / (cell->old_recent_count + 1);
    if (block->failed[MV_OLD] >= 2) {
        old_bad = fmax(old_bad,
                       (double)block->failed[MV_OLD] / block->count[MV_OLD]);
    }
    Mv_TripNoteCounts(&cell->trip,
                      block->count[MV_NEW] - block->failed[MV_NEW],
                      block->failed[MV_NEW], old_bad);
}

static void
test_sample(struct mv_cell_state *cell, const struct sample *sample,
            enum mv_metric metric, double onset_weight)
{
    if (has_both_sides(sample)) {
        update_test(&cell->tests[metric], sample, onset_weight);
        add_counts(&cell->tests[metric], &cell->block, sample, metric);
    }
}

/* Tests the counts of the cell's open block and clears them. */
void
mv_close_cell(struct mv_cell_state *cell, double onset_weight)
{
    struct sample sample;
    sample_failures(&cell->block, &sample);
    if (!has_both_sides(&sample)) {
        return; /* keep the counts until both versions had requests */
    }
    update_trip(cell);
    update_test(&cell->tests[MV_METRIC_FAILURES], &sample, onset_weight);
    add_counts(&cell->tests[MV_METRIC_FAILURES], &cell->block, &sample,
               MV_METRIC_FAILURES);
    sample_late(cell, &sample);
    test_sample(cell, &sample, MV_METRIC_LATENCY, onset_weight);
    sample_pace(&cell->block, &sample);
    test_sample(cell, &sample, MV_METRIC_PACE, onset_weight);
    decay_history(cell);
    clear_block(&cell->block);
}

static double
test_e_value(const struct mv_seq_test *test, double pending_weight)
{
    double sum = 0;
    for (int i = 0; i < Mv_EFFECTS; i++) {
        sum += exp(fmin(test->log_e_value[i], 600)) + pending_weight;
    }
    return sum / Mv_EFFECTS;
}

static void
describe(struct mv_finding *finding, const struct mv_cell_state *cell,
         bool overall, enum mv_metric metric)
{
    const struct mv_seq_test *test = &cell->tests[metric];
    finding->metric = metric;
    finding->request_class = cell->block.request_class;
    strlcpy(finding->route, overall ? "" : cell->block.route,
            sizeof(finding->route));
    memcpy(finding->count, test->count, sizeof(finding->count));
    memcpy(finding->bad, test->bad, sizeof(finding->bad));
}

static void
evaluate_tests(struct mv_evidence *evidence)
{
    struct mv_finding *finding = &evidence->finding;
    double total = 0;
    double highest = 0;
    uint64_t highest_bad = 0;
    for (int i = 0; i <= Mv_CELLS_MAX; i++) {
        const struct mv_cell_state *cell = &evidence->cells[i];
        double weight =
            i == 0 ? OVERALL_WEIGHT : (1 - OVERALL_WEIGHT) / Mv_CELLS_MAX;
        for (int m = 0; m < MV_METRICS; m++) {
            double value = cell->used ? test_e_value(&cell->tests[m],
                                                     evidence->pending_weight)
                                      : 1;
            value *= weight / MV_METRICS;
            total += value;
            if (cell->used && value > highest) {
                highest = value;
                highest_bad = cell->tests[m].bad[MV_NEW];
                describe(finding, cell, i == 0, (enum mv_metric)m);
            }
        }
    }
    finding->e_value = total;
    finding->alarm = total >= evidence->threshold && highest_bad >= BAD_MIN;
}

static void
evaluate_trips(struct mv_evidence *evidence)
{
    for (int i = 0; i <= Mv_CELLS_MAX && !evidence->finding.alarm; i++) {
        const struct mv_cell_state *cell = &evidence->cells[i];
        if (cell->trip.tripped) {
            describe(&evidence->finding, cell, i == 0, MV_METRIC_FAILURES);
            evidence->finding.alarm = true;
        }
    }
}

void
mv_update_finding(struct mv_evidence *evidence)
{
    evaluate_tests(evidence);
    evaluate_trips(evidence);
}
