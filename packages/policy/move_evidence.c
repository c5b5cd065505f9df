/*
 * Merges the reports of all routers, block by block.
 */
#include <bsd/string.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "policy/move.h"
#include "policy/move_internal.h"

#define BUCKET_FIRST_USEC 1000.0
/* Slowdowns by less than this factor are not detected. */
#define BUCKET_FACTOR 1.3
/*
 * Prior weight of a fault that is present from the start.  The rest is spread
 * evenly over faults that begin with one of the next ONSET_HORIZON_BLOCKS
 * blocks.
 */
#define ONSET_AT_START_WEIGHT 0.5
#define ONSET_HORIZON_BLOCKS 720

/*
 * The histogram bucket of a time.  The upper bound of a bucket is
 * BUCKET_FACTOR times its lower bound; the first and the last are open.
 */
int
Mv_Bucket(int64_t usec)
{
    if ((double)usec < BUCKET_FIRST_USEC) {
        return 0;
    }
    double at = log((double)usec / BUCKET_FIRST_USEC) / log(BUCKET_FACTOR);
    return at < Mv_BUCKETS - 2 ? (int)at + 1 : Mv_BUCKETS - 1;
}

/* The lower bound of the bucket. */
int64_t
Mv_BucketStart(int bucket)
{
    return bucket < 1
               ? 0
               : (int64_t)(BUCKET_FIRST_USEC * pow(BUCKET_FACTOR, bucket - 1));
}

/*
 * Starts the statistics of one move.  false_alarms is the permitted
 * probability, over the whole move, of an alarm on a new version that is no
 * worse than the old one.  Returns NULL when out of memory.
 */
struct mv_evidence *
Mv_EvidenceCreate(double false_alarms)
{
    struct mv_evidence *evidence = calloc(1, sizeof(*evidence));
    if (evidence == NULL) {
        return NULL;
    }
    evidence->threshold = 1 / false_alarms;
    evidence->pending_weight = 1 - ONSET_AT_START_WEIGHT;
    SLIST_INIT(&evidence->routers);
    for (int i = 0; i <= Mv_CELLS_MAX; i++) {
        for (int m = 0; m < MV_METRICS; m++) {
            mv_init_test(&evidence->cells[i].tests[m], ONSET_AT_START_WEIGHT);
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
    struct mv_router *router;
    struct mv_router *next;
    SLIST_FOREACH_SAFE(router, &evidence->routers, entry, next)
    {
        free(router);
    }
    free(evidence);
}

static struct mv_router *
find_router(struct mv_evidence *evidence, const char *id)
{
    struct mv_router *router;
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

static struct mv_cell_state *
find_cell(struct mv_evidence *evidence, const struct mv_cell *key)
{
    for (int i = 1; i <= Mv_CELLS_MAX; i++) {
        struct mv_cell_state *cell = &evidence->cells[i];
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
    return NULL; /* table full: counted in cells[0] only */
}

static void
add_cell(struct mv_cell *sum, const struct mv_cell *added)
{
    for (int side = 0; side < MV_SIDES; side++) {
        sum->count[side] += added->count[side];
        sum->failed[side] += added->failed[side];
        sum->paced[side] += added->paced[side];
        sum->slow_pace[side] += added->slow_pace[side];
        for (int b = 0; b < Mv_BUCKETS; b++) {
            sum->first_token[side][b] += added->first_token[side][b];
        }
    }
}

/*
 * Adds a router's report on a block to the open block.  A router numbers its
 * reports from 1 up.  A report that is not newer than the router's last one
 * is dropped: gossip delivers reports repeatedly, and a report counted twice
 * would count as twice the evidence.  A late report is added whole, since it
 * has the counts of both versions over the same time.  "id" must differ
 * between incarnations of a router, which restart the numbering.
 */
enum st_status
Mv_Merge(struct mv_evidence *evidence, const char *id, uint64_t sequence,
         const struct mv_cell *cells, size_t count)
{
    struct mv_router *router = find_router(evidence, id);
    if (router == NULL) {
        return St_Fail(ST_NO_MEMORY, "no memory for evidence; restart the "
                                     "daemon on a larger host");
    }
    if (sequence <= router->sequence) {
        return ST_OK;
    }
    router->sequence = sequence;
    for (size_t i = 0; i < count; i++) {
        struct mv_cell_state *cell = find_cell(evidence, &cells[i]);
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

/*
 * Closes and tests the open block.  To be called every Mv_BLOCK_USEC, some
 * seconds after the routers have sent their reports.
 */
void
Mv_CloseBlock(struct mv_evidence *evidence)
{
    double onset_weight = 0;
    if (evidence->blocks > 0 && evidence->blocks <= ONSET_HORIZON_BLOCKS) {
        onset_weight = (1 - ONSET_AT_START_WEIGHT) / ONSET_HORIZON_BLOCKS;
        evidence->pending_weight =
            fmax(0, evidence->pending_weight - onset_weight);
    }
    evidence->blocks++;
    for (int i = 0; i <= Mv_CELLS_MAX; i++) {
        if (evidence->cells[i].used) {
            mv_close_cell(&evidence->cells[i], onset_weight);
        }
    }
    if (!evidence->finding.alarm) {
        mv_update_finding(evidence);
    }
}

/* The test result as of the last closed block; an alarm is never cleared. */
void
Mv_Finding(const struct mv_evidence *evidence, struct mv_finding *out)
{
    *out = evidence->finding;
}

/* The requests and failures merged so far. */
void
Mv_Totals(const struct mv_evidence *evidence, struct mv_totals *out)
{
    *out = evidence->totals;
}
