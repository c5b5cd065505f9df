/*
 * Decides what to do with a stream on an endpoint that is about to be
 * reclaimed.
 */
#include "policy/stream.h"

#include "base/clock.h"

#define DEFAULT_SAFETY_FACTOR 1.5
#define DEFAULT_MARGIN_USEC (500 * Ck_USEC_PER_MSEC)
#define DEFAULT_RECOMPUTE_USEC_PER_TOKEN 50
#define DECIDE_AGAIN_USEC (250 * Ck_USEC_PER_MSEC)

/* Defaults for answers whose length can only be estimated. */
void
Sm_Defaults(struct sm_settings *settings)
{
    settings->safety_factor = DEFAULT_SAFETY_FACTOR;
    settings->margin = DEFAULT_MARGIN_USEC;
    settings->recompute = DEFAULT_RECOMPUTE_USEC_PER_TOKEN;
}

static int
context_tokens(const struct sm_stream *stream)
{
    return stream->prompt_tokens + stream->tokens_given;
}

static int
tokens_to_recompute(const struct sm_stream *stream,
                    const struct sm_target *target)
{
    int missing = context_tokens(stream) - target->cached_tokens;
    return missing > 0 ? missing : 0;
}

static int64_t
time_to_move(const struct sm_stream *stream, const struct sm_target *target)
{
    return target->wait + target->move_usec +
           target->move_per_token * context_tokens(stream);
}

static int64_t
time_to_resume(const struct sm_stream *stream, const struct sm_target *target)
{
    return target->wait +
           target->prefill_per_token * tokens_to_recompute(stream, target);
}

static bool
is_move_better(const struct sm_settings *settings,
               const struct sm_stream *stream, const struct sm_target *target)
{
    int64_t recompute_cost =
        settings->recompute * tokens_to_recompute(stream, target);
    return time_to_move(stream, target) <=
           time_to_resume(stream, target) + recompute_cost;
}

/*
 * Chooses when to resume. A resume needs nothing from the old endpoint, so the
 * stream goes on there and may still end. But a reclaim affects many streams
 * at once: if all of them resumed at the last moment, the targets would
 * prefill for all of them together. The start is therefore spread at random
 * over the time left.
 */
static int64_t
resume_after(const struct sm_settings *settings,
             const struct sm_stream *stream, struct rn_random *random)
{
    int64_t available = stream->time_left - settings->margin;
    return available > 0 ? (int64_t)((double)available * Rn_Unit(random)) : 0;
}

/*
 * Decides for one stream. Leaving it on its endpoint costs nothing and is
 * chosen when the remaining time, multiplied by the safety factor, fits; the
 * decision is taken again after act_after, while a move is still possible. A
 * move starts at once, because it needs the old endpoint until it is complete.
 */
void
Sm_Decide(const struct sm_settings *settings, const struct sm_stream *stream,
          const struct sm_target *target, struct rn_random *random,
          struct sm_decision *out)
{
    double remaining = (double)stream->token_usec * stream->tokens_expected;
    int64_t available = stream->time_left - settings->margin;
    *out = (struct sm_decision){.plan = SM_FINISH,
                                .act_after = DECIDE_AGAIN_USEC};
    if (remaining * settings->safety_factor <= (double)available) {
        return;
    }
    out->at_risk = true;
    if (!target->found) {
        return;
    }
    int64_t move = time_to_move(stream, target);
    if (target->imports_cache && move <= available &&
        is_move_better(settings, stream, target)) {
        out->plan = SM_MOVE;
        out->act_after = 0;
        out->pause = move;
        return;
    }
    out->plan = SM_RESUME;
    out->act_after = resume_after(settings, stream, random);
    out->pause = time_to_resume(stream, target);
    out->recomputed = tokens_to_recompute(stream, target);
}
