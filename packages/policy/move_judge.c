/*
 * The sequential test on the evidence of all routers.
 *
 * For each block (the same minutes for both versions), each cell and each
 * question (does it fail, is it slow) an e-value compares the two shares of
 * bad requests: the likelihood of "old a, new b" over the likelihood of one
 * common share, for several b above a, with a and b fixed before the block.
 * Its mean is at most 1 when the new version is no worse, so the product
 * over the blocks exceeds 1/r with a probability of at most r, at whatever
 * time one looks and however often (Ville's inequality).  Means of such
 * products have the same property; so the cells, the questions, the sizes of
 * a fault and the times at which a fault may begin are all put together as
 * weighted means, and the rate holds for the whole move.
 */
#include <bsd/string.h>
#include <math.h>
#include <string.h>

#include "policy/move.h"
#include "policy/move_internal.h"

#define OVERALL_WEIGHT 0.5
#define TOLERANCE 0.002 /* more failures by less than this are not judged */
#define FADE 0.97       /* of the old version's history, a block */
#define SLOW_QUANTILE 0.9
#define LATE_TOLERANCE 0.01 /* the same of late first tokens */
#define BLOCK_WORTH 50.0    /* requests that a block proves as much as */
#define BAD_MIN 3
#define PRIOR_COUNT 10.0
#define RECENT_FADE 0.8 /* of the old version's recent share, a block */
#define SHARE_LOW 0.002
#define SHARE_HIGH 0.9

/* How much worse a bad version may be, as part of what is left to 1. */
static const double effects[Mv_EFFECTS] = {0.01, 0.04, 0.15, 0.4, 0.8};

/* Starts a process with the weight of a fault from the start. */
void
mv_start_process(struct mv_process *process, double weight)
{
    for (int i = 0; i < Mv_EFFECTS; i++) {
        process->log_sum[i] = log(weight);
    }
}

static double
log_add(double a, double b)
{
    double high = fmax(a, b);
    return high + log1p(exp(fmin(a, b) - high));
}

static double
clamp_share(double share)
{
    return fmin(fmax(share, SHARE_LOW), SHARE_HIGH);
}

/* Counts of a block as the test takes them. */
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
 * Multiplies a block into a process.  The old version's share is what it was
 * in earlier blocks; using this block's own would void the false-alarm rate.
 */
static void
step_process(struct mv_process *process, const struct sample *sample,
             double start)
{
    double old = clamp_share((process->old_bad + PRIOR_COUNT * 0.01) /
                             (process->old_count + PRIOR_COUNT));
    for (int i = 0; i < Mv_EFFECTS; i++) {
        if (start > 0) {
            process->log_sum[i] = log_add(process->log_sum[i], log(start));
        }
        double new = old + effects[i] * (1 - old);
        process->log_sum[i] += log_likelihood_ratio(sample, old, new);
    }
    process->old_count = process->old_count * FADE + sample->count[MV_OLD];
    process->old_bad = process->old_bad * FADE + sample->bad[MV_OLD];
}

static bool
has_both(const struct sample *sample)
{
    return sample->count[MV_OLD] > 0 && sample->count[MV_NEW] > 0;
}

static void
note_bad(struct mv_process *process, const struct mv_cell *block,
         const struct sample *sample, enum mv_question question)
{
    for (int side = 0; side < MV_SIDES; side++) {
        process->count[side] += (uint64_t)sample->count[side];
        process->bad[side] += question == MV_FAILS
                                  ? block->failed[side]
                                  : (uint64_t)sample->bad[side];
    }
}

/*
 * Failures.  The old version is taken to fail by TOLERANCE more than it
 * does: a difference too small to matter must not take a good version back.
 */
static void
sample_failures(const struct mv_cell *block, struct sample *out)
{
    for (int side = 0; side < MV_SIDES; side++) {
        out->count[side] = block->count[side];
        out->bad[side] = block->failed[side];
    }
    out->bad[MV_OLD] += TOLERANCE * (out->count[MV_OLD] - out->bad[MV_OLD]);
}

static int
usual_slow_bucket(const double history[Mv_BUCKETS])
{
    double all = 0;
    for (int b = 0; b < Mv_BUCKETS; b++) {
        all += history[b];
    }
    double sum = 0;
    for (int b = 0; b < Mv_BUCKETS; b++) {
        sum += history[b];
        if (all > 0 && sum >= SLOW_QUANTILE * all) {
            return b + 1;
        }
    }
    return Mv_BUCKETS;
}

/*
 * Late first tokens: for the old version those above its usual 90 in 100,
 * for the new one those a bucket above that.  Requests of one block are not
 * independent: a pause of an engine or host makes a run of them late
 * together.  However many a block holds, they count as BLOCK_WORTH; counted
 * singly, a pause on either side would prove what hundreds of requests prove.
 */
static void
sample_slow(const struct mv_state_cell *cell, struct sample *out)
{
    int from = usual_slow_bucket(cell->history);
    memset(out, 0, sizeof(*out));
    if (from >= Mv_BUCKETS) {
        return;
    }
    for (int side = 0; side < MV_SIDES; side++) {
        int first = side == MV_OLD ? from : from + 1;
        for (int b = 0; b < Mv_BUCKETS; b++) {
            uint32_t seen = cell->block.first_token[side][b];
            out->count[side] += seen;
            out->bad[side] += b >= first ? seen : 0;
        }
        if (out->count[side] > BLOCK_WORTH) {
            out->bad[side] *= BLOCK_WORTH / out->count[side];
            out->count[side] = BLOCK_WORTH;
        }
    }
    out->bad[MV_OLD] +=
        LATE_TOLERANCE * (out->count[MV_OLD] - out->bad[MV_OLD]);
}

static void
fade_history(struct mv_state_cell *cell)
{
    for (int b = 0; b < Mv_BUCKETS; b++) {
        cell->history[b] =
            cell->history[b] * FADE + cell->block.first_token[MV_OLD][b];
    }
}

static void
clear_block(struct mv_cell *block)
{
    memset(block->count, 0, sizeof(block->count));
    memset(block->failed, 0, sizeof(block->failed));
    memset(block->first_token, 0, sizeof(block->first_token));
}

/*
 * The trip of a single router, on the requests of all: at small traffic no
 * router alone sees enough.  It looks for gross faults only; small ones are
 * the sequential test's.
 */
static void
step_trip(struct mv_state_cell *cell)
{
    const struct mv_cell *block = &cell->block;
    cell->recent_count =
        cell->recent_count * RECENT_FADE + block->count[MV_OLD];
    cell->recent_bad = cell->recent_bad * RECENT_FADE + block->failed[MV_OLD];
    double old_bad = (cell->recent_bad + 0.5) / (cell->recent_count + 1);
    if (block->failed[MV_OLD] >= 2) {
        old_bad = fmax(old_bad,
                       (double)block->failed[MV_OLD] / block->count[MV_OLD]);
    }
    Mv_TripBlock(&cell->trip, block->count[MV_NEW] - block->failed[MV_NEW],
                 block->failed[MV_NEW], old_bad);
}

/* Tests what the block of a cell holds and empties it. */
void
mv_close_cell(struct mv_state_cell *cell, double start)
{
    struct sample sample;
    sample_failures(&cell->block, &sample);
    if (!has_both(&sample)) {
        return; /* one version alone proves nothing; waits for the other */
    }
    step_trip(cell);
    step_process(&cell->processes[MV_FAILS], &sample, start);
    note_bad(&cell->processes[MV_FAILS], &cell->block, &sample, MV_FAILS);
    sample_slow(cell, &sample);
    if (has_both(&sample)) {
        step_process(&cell->processes[MV_SLOW], &sample, start);
        note_bad(&cell->processes[MV_SLOW], &cell->block, &sample, MV_SLOW);
    }
    fade_history(cell);
    clear_block(&cell->block);
}

static double
process_value(const struct mv_process *process, double unstarted)
{
    double sum = 0;
    for (int i = 0; i < Mv_EFFECTS; i++) {
        sum += exp(fmin(process->log_sum[i], 600)) + unstarted;
    }
    return sum / Mv_EFFECTS;
}

static void
describe(struct mv_finding *finding, const struct mv_state_cell *cell,
         bool overall, enum mv_question question)
{
    const struct mv_process *process = &cell->processes[question];
    finding->slow = question == MV_SLOW;
    finding->request_class = cell->block.request_class;
    strlcpy(finding->route, overall ? "" : cell->block.route,
            sizeof(finding->route));
    memcpy(finding->count, process->count, sizeof(finding->count));
    memcpy(finding->bad, process->bad, sizeof(finding->bad));
}

static void
judge_processes(struct mv_evidence *evidence)
{
    struct mv_finding *finding = &evidence->finding;
    double total = 0;
    double most = 0;
    uint64_t bad = 0;
    for (int i = 0; i <= Mv_CELLS_MAX; i++) {
        const struct mv_state_cell *cell = &evidence->cells[i];
        double weight =
            i == 0 ? OVERALL_WEIGHT : (1 - OVERALL_WEIGHT) / Mv_CELLS_MAX;
        for (int q = 0; q < Mv_QUESTIONS; q++) {
            double value = cell->used ? process_value(&cell->processes[q],
                                                      evidence->unstarted)
                                      : 1;
            value *= weight / Mv_QUESTIONS;
            total += value;
            if (cell->used && value > most) {
                most = value;
                bad = cell->processes[q].bad[MV_NEW];
                describe(finding, cell, i == 0, (enum mv_question)q);
            }
        }
    }
    finding->e_value = total;
    finding->alarm = total >= evidence->threshold && bad >= BAD_MIN;
}

static void
judge_trips(struct mv_evidence *evidence)
{
    for (int i = 0; i <= Mv_CELLS_MAX && !evidence->finding.alarm; i++) {
        const struct mv_state_cell *cell = &evidence->cells[i];
        if (cell->trip.tripped) {
            describe(&evidence->finding, cell, i == 0, MV_FAILS);
            evidence->finding.alarm = true;
        }
    }
}

/* Renews the finding. */
void
mv_judge(struct mv_evidence *evidence)
{
    judge_processes(evidence);
    judge_trips(evidence);
}
