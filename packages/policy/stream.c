/*
 * Decision for a stream on a leaving endpoint.
 */
#include "policy/stream.h"

#include "base/clock.h"

#define DEFAULT_DOUBT 1.5
#define DEFAULT_MARGIN (500 * Ck_USEC_PER_MSEC)
#define DEFAULT_RECOMPUTE 50
#define AGAIN (250 * Ck_USEC_PER_MSEC)

/* Settings for answers whose length is a guess. */
void
Sm_Defaults(struct sm_settings *settings)
{
    settings->doubt = DEFAULT_DOUBT;
    settings->margin = DEFAULT_MARGIN;
    settings->recompute = DEFAULT_RECOMPUTE;
}

static int
context(const struct sm_stream *stream)
{
    return stream->prompt_tokens + stream->tokens_given;
}

static int
to_recompute(const struct sm_stream *stream, const struct sm_target *target)
{
    int rest = context(stream) - target->cached_tokens;
    return rest > 0 ? rest : 0;
}

static int64_t
time_to_move(const struct sm_stream *stream, const struct sm_target *target)
{
    return target->wait + target->move_usec +
           target->move_per_token * context(stream);
}

static int64_t
time_to_resume(const struct sm_stream *stream, const struct sm_target *target)
{
    return target->wait +
           target->prefill_per_token * to_recompute(stream, target);
}

static bool
is_move_better(const struct sm_settings *settings,
               const struct sm_stream *stream, const struct sm_target *target)
{
    int64_t lost = settings->recompute * to_recompute(stream, target);
    return time_to_move(stream, target) <=
           time_to_resume(stream, target) + lost;
}

/*
 * A resume needs nothing of the old endpoint, so the stream runs on there
 * and may yet end; but a reclaim takes many streams at once, and if all
 * resumed in the last moment the targets would prefill for all of them
 * together.  The start is therefore spread over the time left.
 */
static int64_t
resume_after(const struct sm_settings *settings,
             const struct sm_stream *stream, struct rn_random *random)
{
    int64_t room = stream->left - settings->margin;
    return room > 0 ? (int64_t)((double)room * Rn_Unit(random)) : 0;
}

/*
 * Decides for one stream.  Finishing where it is costs nothing and is chosen
 * when the rest, with doubt, fits; the decision is taken again after
 * act_after, while a move is still possible.  A move is begun at once: it
 * needs the old endpoint until it is done.
 */
void
Sm_Decide(const struct sm_settings *settings, const struct sm_stream *stream,
          const struct sm_target *target, struct rn_random *random,
          struct sm_decision *out)
{
    double rest = (double)stream->token_usec * stream->tokens_expected;
    int64_t room = stream->left - settings->margin;
    *out = (struct sm_decision){.plan = SM_FINISH, .act_after = AGAIN};
    if (rest * settings->doubt <= (double)room) {
        return;
    }
    out->at_risk = true;
    if (!target->found) {
        return;
    }
    int64_t move = time_to_move(stream, target);
    if (target->imports && move <= room &&
        is_move_better(settings, stream, target)) {
        out->plan = SM_MOVE;
        out->act_after = 0;
        out->gap = move;
        return;
    }
    out->plan = SM_RESUME;
    out->act_after = resume_after(settings, stream, random);
    out->gap = time_to_resume(stream, target);
    out->recomputed = to_recompute(stream, target);
}
