/*
 * Evidence of all routers and the sequential test on it.
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
#include <bsd/sys/queue.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "policy/move.h"

#define BUCKET_FIRST 1000.0 /* usec */
#define BUCKET_FACTOR 1.3   /* slower by less than this is not judged */
#define EFFECTS 5
#define QUESTIONS 2
#define OVERALL_WEIGHT 0.5
#define START_WEIGHT                                                          \
    0.5                 /* of a fault from the start; the rest begin later    \
                         */
#define HORIZON 720     /* blocks over which the later starts are spread */
#define TOLERANCE 0.002 /* more failures by less than this are not judged */
#define FADE 0.97       /* of the old version's history, a block */
#define SLOW_QUANTILE 0.9
#define BAD_MIN 3
#define PRIOR_COUNT 10.0
#define RECENT_FADE 0.8 /* of the old version's recent share, a block */
#define SHARE_LOW 0.002
#define SHARE_HIGH 0.9

/* How much worse a bad version may be, as part of what is left to 1. */
static const double effects[EFFECTS] = {0.01, 0.04, 0.15, 0.4, 0.8};

enum question { FAILS, SLOW };

struct process {
    double log_sum[EFFECTS];
    double old_count; /* fading history */
    double old_bad;
    uint64_t count[MV_SIDES]; /* in the test so far */
    uint64_t bad[MV_SIDES];
};

struct cell {
    bool used;
    struct mv_cell block; /* of the open block, all routers */
    struct process processes[QUESTIONS];
    double history[Mv_BUCKETS]; /* of the old version, fading */
    double recent_count;        /* of the old version, fading fast */
    double recent_bad;
    struct mv_trip trip; /* on the requests of all routers */
};

struct router {
    SLIST_ENTRY(router) entry;
    char id[Mv_NAME_MAX];
    uint64_t sequence;
};

struct mv_evidence {
    double threshold;
    int blocks;
    double unstarted;                    /* weight of starts still to come */
    struct cell cells[Mv_CELLS_MAX + 1]; /* the first is all together */
    SLIST_HEAD(router_list, router) routers;
    struct mv_totals totals;
    struct mv_finding finding;
};

/* The bucket of a time; each is BUCKET_FACTOR wide. */
int
Mv_Bucket(int64_t usec)
{
    if ((double)usec < BUCKET_FIRST) {
        return 0;
    }
    double at = log((double)usec / BUCKET_FIRST) / log(BUCKET_FACTOR);
    return at < Mv_BUCKETS - 2 ? (int)at + 1 : Mv_BUCKETS - 1;
}

/* The least time that falls into the bucket. */
int64_t
Mv_BucketStart(int bucket)
{
    return bucket < 1
               ? 0
               : (int64_t)(BUCKET_FIRST * pow(BUCKET_FACTOR, bucket - 1));
}

static void
start_process(struct process *process)
{
    for (int i = 0; i < EFFECTS; i++) {
        process->log_sum[i] = log(START_WEIGHT);
    }
}

/*
 * Starts the evidence of one move; false_alarms is the probability with
 * which a version no worse than the old one may ever be found bad.  NULL
 * when there is no memory.
 */
struct mv_evidence *
Mv_EvidenceCreate(double false_alarms)
{
    struct mv_evidence *evidence = calloc(1, sizeof(*evidence));
    if (evidence == NULL) {
        return NULL;
    }
    evidence->threshold = 1 / false_alarms;
    evidence->unstarted = 1 - START_WEIGHT;
    SLIST_INIT(&evidence->routers);
    for (int i = 0; i <= Mv_CELLS_MAX; i++) {
        for (int q = 0; q < QUESTIONS; q++) {
            start_process(&evidence->cells[i].processes[q]);
        }
    }
    evidence->cells[0].used = true;
    return evidence;
}

void
Mv_EvidenceDestroy(struct mv_evidence *evidence)
{
    if (evidence == NULL) {
        return;
    }
    struct router *router;
    struct router *next;
    SLIST_FOREACH_SAFE(router, &evidence->routers, entry, next)
    {
        free(router);
    }
    free(evidence);
}

static struct router *
find_router(struct mv_evidence *evidence, const char *id)
{
    struct router *router;
    SLIST_FOREACH (router, &evidence->routers, entry) {
        if (strcmp(router->id, id) == 0) {
            return router;
        }
    }
    router = calloc(1, sizeof(*router));
    if (router != NULL) {
        strlcpy(router->id, id, sizeof(router->id));
        SLIST_INSERT_HEAD(&evidence->routers, router, entry);
    }
    return router;
}

static struct cell *
find_cell(struct mv_evidence *evidence, const struct mv_cell *key)
{
    for (int i = 1; i <= Mv_CELLS_MAX; i++) {
        struct cell *cell = &evidence->cells[i];
        if (!cell->used) {
            cell->used = true;
            strlcpy(cell->block.route, key->route, sizeof(cell->block.route));
            cell->block.request_class = key->request_class;
            return cell;
        }
        if (cell->block.request_class == key->request_class &&
            strcmp(cell->block.route, key->route) == 0) {
            return cell;
        }
    }
    return NULL; /* counted in the sum of all only */
}

static void
add_cell(struct mv_cell *sum, const struct mv_cell *part)
{
    for (int side = 0; side < MV_SIDES; side++) {
        sum->count[side] += part->count[side];
        sum->failed[side] += part->failed[side];
        for (int b = 0; b < Mv_BUCKETS; b++) {
            sum->first_token[side][b] += part->first_token[side][b];
        }
    }
}

/*
 * Adds what a router saw in a block to the block that is open.  Reports of a
 * router are numbered from 1 up, and one not newer than the last is dropped:
 * gossip repeats, and counted twice a report would prove twice as much.  A
 * late report still holds both versions over the same time and is added
 * whole.  "router" names the incarnation as well.
 */
enum st_status
Mv_Merge(struct mv_evidence *evidence, const char *id, uint64_t sequence,
         const struct mv_cell *cells, size_t count)
{
    struct router *router = find_router(evidence, id);
    if (router == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for evidence; restart the "
                                     "daemon on a larger host");
    }
    if (sequence <= router->sequence) {
        return ST_OK;
    }
    router->sequence = sequence;
    for (size_t i = 0; i < count; i++) {
        struct cell *cell = find_cell(evidence, &cells[i]);
        if (cell != NULL) {
            add_cell(&cell->block, &cells[i]);
        }
        add_cell(&evidence->cells[0].block, &cells[i]);
        for (int side = 0; side < MV_SIDES; side++) {
            evidence->totals.count[side] += cells[i].count[side];
            evidence->totals.failed[side] += cells[i].failed[side];
        }
    }
    return ST_OK;
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
step_process(struct process *process, const struct sample *sample,
             double start)
{
    double old = clamp_share((process->old_bad + PRIOR_COUNT * 0.01) /
                             (process->old_count + PRIOR_COUNT));
    for (int i = 0; i < EFFECTS; i++) {
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
note_bad(struct process *process, const struct mv_cell *block,
         const struct sample *sample, enum question question)
{
    for (int side = 0; side < MV_SIDES; side++) {
        process->count[side] += (uint64_t)sample->count[side];
        process->bad[side] += question == FAILS ? block->failed[side]
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
 * for the new one those a bucket above that.
 */
static void
sample_slow(const struct cell *cell, struct sample *out)
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
    }
}

static void
fade_history(struct cell *cell)
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
step_trip(struct cell *cell)
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

static void
close_cell(struct cell *cell, double start)
{
    struct sample sample;
    sample_failures(&cell->block, &sample);
    if (!has_both(&sample)) {
        return; /* one version alone proves nothing; waits for the other */
    }
    step_trip(cell);
    step_process(&cell->processes[FAILS], &sample, start);
    note_bad(&cell->processes[FAILS], &cell->block, &sample, FAILS);
    sample_slow(cell, &sample);
    if (has_both(&sample)) {
        step_process(&cell->processes[SLOW], &sample, start);
        note_bad(&cell->processes[SLOW], &cell->block, &sample, SLOW);
    }
    fade_history(cell);
    clear_block(&cell->block);
}

static double
process_value(const struct process *process, double unstarted)
{
    double sum = 0;
    for (int i = 0; i < EFFECTS; i++) {
        sum += exp(fmin(process->log_sum[i], 600)) + unstarted;
    }
    return sum / EFFECTS;
}

static void
describe(struct mv_finding *finding, const struct cell *cell, bool overall,
         enum question question)
{
    const struct process *process = &cell->processes[question];
    finding->slow = question == SLOW;
    finding->request_class = cell->block.request_class;
    strlcpy(finding->route, overall ? "" : cell->block.route,
            sizeof(finding->route));
    memcpy(finding->count, process->count, sizeof(finding->count));
    memcpy(finding->bad, process->bad, sizeof(finding->bad));
}

static void
judge_trips(struct mv_evidence *evidence)
{
    for (int i = 0; i <= Mv_CELLS_MAX && !evidence->finding.alarm; i++) {
        const struct cell *cell = &evidence->cells[i];
        if (cell->trip.tripped) {
            describe(&evidence->finding, cell, i == 0, FAILS);
            evidence->finding.alarm = true;
        }
    }
}

static void
judge(struct mv_evidence *evidence)
{
    struct mv_finding *finding = &evidence->finding;
    double total = 0;
    double most = 0;
    uint64_t bad = 0;
    for (int i = 0; i <= Mv_CELLS_MAX; i++) {
        const struct cell *cell = &evidence->cells[i];
        double weight =
            i == 0 ? OVERALL_WEIGHT : (1 - OVERALL_WEIGHT) / Mv_CELLS_MAX;
        for (int q = 0; q < QUESTIONS; q++) {
            double value = cell->used ? process_value(&cell->processes[q],
                                                      evidence->unstarted)
                                      : 1;
            value *= weight / QUESTIONS;
            total += value;
            if (cell->used && value > most) {
                most = value;
                bad = cell->processes[q].bad[MV_NEW];
                describe(finding, cell, i == 0, (enum question)q);
            }
        }
    }
    finding->e_value = total;
    finding->alarm = total >= evidence->threshold && bad >= BAD_MIN;
}

/*
 * Ends the open block: call it each Mv_BLOCK_USEC, some seconds after the
 * routers have sent their reports.
 */
void
Mv_CloseBlock(struct mv_evidence *evidence)
{
    double start = 0;
    if (evidence->blocks > 0 && evidence->blocks <= HORIZON) {
        start = (1 - START_WEIGHT) / HORIZON;
        evidence->unstarted = fmax(0, evidence->unstarted - start);
    }
    evidence->blocks++;
    for (int i = 0; i <= Mv_CELLS_MAX; i++) {
        if (evidence->cells[i].used) {
            close_cell(&evidence->cells[i], start);
        }
    }
    if (!evidence->finding.alarm) {
        judge(evidence);
        judge_trips(evidence);
    }
}

/* Tells what the evidence says; an alarm once given stays. */
void
Mv_Finding(const struct mv_evidence *evidence, struct mv_finding *out)
{
    *out = evidence->finding;
}

/* Requests and failures merged so far. */
void
Mv_Totals(const struct mv_evidence *evidence, struct mv_totals *out)
{
    *out = evidence->totals;
}
