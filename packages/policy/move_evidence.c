/*
 * Evidence of all routers: merging their reports, block by block.
 */
#include <bsd/string.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "policy/move.h"
#include "policy/move_internal.h"

#define BUCKET_FIRST 1000.0 /* usec */
#define BUCKET_FACTOR 1.3   /* slower by less than this is not judged */
#define START_WEIGHT                                                          \
    0.5             /* of a fault from the start; the rest begin later        \
                     */
#define HORIZON 720 /* blocks over which the later starts are spread */

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
        for (int q = 0; q < Mv_QUESTIONS; q++) {
            mv_start_process(&evidence->cells[i].processes[q], START_WEIGHT);
        }
    }
    evidence->cells[0].used = true;
    return evidence;
}

/* Frees the evidence; NULL is allowed. */
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

static struct mv_state_cell *
find_cell(struct mv_evidence *evidence, const struct mv_cell *key)
{
    for (int i = 1; i <= Mv_CELLS_MAX; i++) {
        struct mv_state_cell *cell = &evidence->cells[i];
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
        struct mv_state_cell *cell = find_cell(evidence, &cells[i]);
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
            mv_close_cell(&evidence->cells[i], start);
        }
    }
    if (!evidence->finding.alarm) {
        mv_judge(evidence);
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
