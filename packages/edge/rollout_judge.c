/* Compares both versions of a move by their counts. */
#include <string.h>

#include "edge/rollout_internal.h"

/*
 * Worst windows of slow answers that do not make a suspect: a pause of an
 * endpoint rarely reaches into more.
 */
#define Ro_PAUSE_WINDOWS 2

static void
add_count(struct cy_count *to, const struct cy_count *addend)
{
    to->answers += addend->answers;
    to->bad += addend->bad;
}

void
ro_add_outcomes(struct cy_count to[CY_SIDES],
                const struct ro_outcomes *outcomes)
{
    add_count(&to[CY_OLD], &outcomes->old_version);
    add_count(&to[CY_NEW], &outcomes->new_version);
}

static void
sum_row(const struct ro_row *row, struct cy_count sums[CY_SIDES])
{
    for (int side = CY_OLD; side < CY_SIDES; side++) {
        add_count(&sums[side], &row->own[side]);
        add_count(&sums[side], &row->peers[side]);
        add_count(&sums[side], &row->departed[side]);
    }
}

void
ro_sum_failures(const struct ro_move *move, struct cy_count sums[CY_SIDES])
{
    for (size_t i = 0; i < move->row_count; i++) {
        if (Ro_KindOfKey(move->rows[i].key) == RO_FAILED) {
            sum_row(&move->rows[i], sums);
        }
    }
}

uint32_t
ro_sum_good(const struct ro_move *move)
{
    struct cy_count answers[CY_SIDES] = {{0, 0}, {0, 0}};
    struct cy_count all[CY_SIDES] = {{0, 0}, {0, 0}};
    ro_sum_failures(move, answers);
    for (size_t i = 0; i < move->row_count; i++) {
        sum_row(&move->rows[i], all);
    }
    return answers[CY_NEW].answers > all[CY_NEW].bad
               ? answers[CY_NEW].answers - all[CY_NEW].bad
               : 0;
}

/* What one row, or all rows of one kind, tell of the new version. */
struct finding {
    struct cy_tally tally; /* tells a suspect */
    /* Tells a worse version; of slow answers without pauses. */
    struct cy_tally unpaused;
    /* Tells a doubtful version: while the old one was not disturbed. */
    struct cy_tally undisturbed;
    bool disturbed; /* the old version was, in some windows */
    struct cy_count sums[CY_SIDES];
};

static void
add_row(struct finding *finding, const struct ro_row *row, uint64_t disturbed)
{
    sum_row(row, finding->sums);
    enum ro_kind kind = Ro_KindOfKey(row->key);
    bool slow = kind == RO_SLOW || kind == RO_SLOW_PACE;
    struct cy_tally tally =
        Cy_Tally(&row->evidence, finding->sums, slow ? Ro_PAUSE_WINDOWS : 0);
    struct cy_tally unpaused = slow ? Cy_CalmTally(&row->evidence) : tally;
    struct cy_tally undisturbed =
        slow ? tally : Cy_UndisturbedTally(&row->evidence, disturbed);
    Cy_Add(&finding->tally, &tally);
    Cy_Add(&finding->unpaused, &unpaused);
    Cy_Add(&finding->undisturbed, &undisturbed);
    finding->disturbed |= disturbed != 0;
}

static void
add_finding(struct finding *to, const struct finding *addend)
{
    Cy_Add(&to->tally, &addend->tally);
    Cy_Add(&to->unpaused, &addend->unpaused);
    Cy_Add(&to->undisturbed, &addend->undisturbed);
    to->disturbed |= addend->disturbed;
    add_count(&to->sums[CY_OLD], &addend->sums[CY_OLD]);
    add_count(&to->sums[CY_NEW], &addend->sums[CY_NEW]);
}

/*
 * Marks a suspect or doubtful version.  The first finding that shows that the
 * new version is worse sets "worst".
 */
static bool
judge_finding(struct ro_move *move, const struct finding *finding,
              bool is_worse, struct cy_count worst[CY_SIDES])
{
    move->suspect |= Cy_IsSuspect(&finding->tally);
    move->doubtful |=
        finding->disturbed && Cy_IsDoubtful(&finding->undisturbed);
    if (is_worse || !Cy_IsWorse(&finding->unpaused)) {
        return is_worse;
    }
    memcpy(worst, finding->sums, sizeof(finding->sums));
    return true;
}

/*
 * The versions are compared by each kind of bad answer: on each route, to
 * detect a fault on one route, and on all routes together, to detect a fault
 * that is rare on each.
 */
bool
ro_judge(struct ro_move *move, struct cy_count worst[CY_SIDES])
{
    static const struct finding nothing;
    struct finding all[RO_KINDS];
    uint64_t disturbed[RO_KINDS] = {0};
    bool is_worse = false;
    move->suspect = false;
    move->doubtful = false;
    for (int kind = 0; kind < RO_KINDS; kind++) {
        all[kind] = nothing;
    }
    for (size_t i = 0; i < move->row_count; i++) {
        disturbed[Ro_KindOfKey(move->rows[i].key)] |=
            Cy_DisturbedWindows(&move->rows[i].evidence);
    }
    for (size_t i = 0; i < move->row_count; i++) {
        struct finding finding = nothing;
        enum ro_kind kind = Ro_KindOfKey(move->rows[i].key);
        add_row(&finding, &move->rows[i], disturbed[kind]);
        is_worse = judge_finding(move, &finding, is_worse, worst);
        add_finding(&all[kind], &finding);
    }
    for (int kind = 0; kind < RO_KINDS; kind++) {
        is_worse = judge_finding(move, &all[kind], is_worse, worst);
    }
    return is_worse;
}

void
ro_close_windows(struct ro_move *move)
{
    for (size_t i = 0; i < move->row_count; i++) {
        struct ro_row *row = &move->rows[i];
        struct cy_count sums[CY_SIDES] = {{0, 0}, {0, 0}};
        sum_row(row, sums);
        Cy_CloseWindow(&row->evidence, move->window_count, sums);
    }
    move->window_count++;
}
