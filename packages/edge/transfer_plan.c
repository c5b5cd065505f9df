#include "edge/transfer_plan.h"

#include <stdlib.h>

#include "base/clock.h"

/* Time for the answer of a call, and for the lag of the endpoint's entry. */
#define Tr_MARGIN_USEC (300 * Ck_USEC_PER_MSEC)
/* Fraction of other hosts' requests there assumed to be moved as well. */
#define Tr_OTHERS_MOVED 0.25

void
Tr_Settings(struct sm_settings *settings)
{
    Sm_Defaults(settings);
    settings->margin = Tr_MARGIN_USEC;
}

/* Time that the move takes on the link, without the wait for other moves. */
static int64_t
copy_usec(const struct tr_run *run)
{
    int64_t tokens = run->stream.prompt_tokens + run->stream.tokens_given;
    return run->target.move_usec + run->target.move_per_token * tokens;
}

/*
 * Runs that cannot be resumed come first, since they are lost otherwise.
 * Among them the shortest moves come first, so that most runs are saved before
 * the endpoint is gone.
 */
static int
compare(const void *a, const void *b)
{
    const struct tr_run *left = a;
    const struct tr_run *right = b;
    if (left->resumable != right->resumable) {
        return left->resumable ? 1 : -1;
    }
    int64_t left_usec = copy_usec(left);
    int64_t right_usec = copy_usec(right);
    return (left_usec > right_usec) - (left_usec < right_usec);
}

/*
 * Plans the moves one after the other on the link, as far as they end in time;
 * returns when the last one ends.
 */
static int64_t
select_moves(const struct sm_settings *settings, const struct tr_link *link,
             struct rn_random *random, struct tr_run *runs, size_t count)
{
    int64_t end = link->busy;
    for (size_t i = 0; i < count; i++) {
        struct sm_decision decision;
        runs[i].target.wait = end;
        Sm_Decide(settings, &runs[i].stream, &runs[i].target, random,
                  &decision);
        runs[i].step = decision.plan == SM_MOVE ? TR_COPY : TR_LEAVE;
        end += decision.plan == SM_MOVE ? copy_usec(&runs[i]) : 0;
    }
    return end;
}

void
Tr_Plan(const struct tr_link *link, struct rn_random *random,
        struct tr_run *runs, size_t count)
{
    struct sm_settings settings;
    Tr_Settings(&settings);
    qsort(runs, count, sizeof(*runs), compare);
    int64_t end = select_moves(&settings, link, random, runs, count);
    for (size_t i = 0; i < count; i++) {
        struct tr_run *run = &runs[i];
        if (run->step == TR_LEAVE) {
            continue;
        }
        int64_t available = run->stream.time_left - settings.margin;
        int64_t copy = copy_usec(run);
        int64_t rest = run->stream.token_usec * run->stream.tokens_expected;
        int64_t others =
            (int64_t)(link->others_running * Tr_OTHERS_MOVED * (double)copy);
        /* Both calls may wait and copy for as long as one is planned to. */
        int64_t two_calls = 2 * (run->target.wait + copy);
        if (rest <= available && end + others + two_calls < available) {
            run->step = TR_LATER;
        }
        else if (two_calls > available) {
            run->step = TR_STOP_COPY;
        }
    }
}
