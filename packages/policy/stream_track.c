/* Tracking of a stream's token indexes. */
#include <bsd/string.h>
#include <string.h>

#include "policy/stream.h"

/*
 * Starts tracking a request; its first dispatch is source 0. Several streams
 * may share the counts.
 */
void
Sm_Start(struct sm_track *track, const char *request, struct sm_counts *counts)
{
    memset(track, 0, sizeof(*track));
    strlcpy(track->request, request, sizeof(track->request));
    track->counts = counts;
}

/*
 * Records a received token and says whether to pass it on. After a switch the
 * old endpoint may still send tokens, and its text may differ from that of the
 * new endpoint, so its tokens are dropped even when the index is the next one.
 * After a gap no token of that source is passed on: the caller would take an
 * answer with a missing token for a whole one.
 */
enum sm_token_result
Sm_AddToken(struct sm_track *track, int source, const char *request,
            int64_t index)
{
    if (strcmp(request, track->request) != 0) {
        track->counts->foreign++;
        return SM_FOREIGN;
    }
    if (source != track->source) {
        track->counts->stale++;
        return SM_STALE;
    }
    if (index < track->next) {
        track->counts->repeated++;
        return SM_REPEATED;
    }
    if (track->broken || index > track->next) {
        track->counts->gaps += !track->broken;
        track->broken = true;
        return SM_GAP;
    }
    track->next++;
    track->counts->delivered++;
    return SM_DELIVER;
}

/*
 * Makes a new dispatch, which continues after "from" tokens, the only accepted
 * source. ST_CONFLICT unless the caller has received exactly "from" tokens: an
 * exported cache that is ahead needs the missing events first, and one that is
 * behind would continue another text than the caller has.
 */
enum st_status
Sm_Switch(struct sm_track *track, int64_t from, int *source)
{
    if (from != track->next) {
        return St_Fail(ST_CONFLICT,
                       "the new endpoint goes on after %lld tokens, the "
                       "caller has %lld; resume from the caller's",
                       (long long)from, (long long)track->next);
    }
    track->source++;
    track->broken = false;
    *source = track->source;
    return ST_OK;
}

/*
 * Ends the stream. ST_CONFLICT when the end comes from a source that the
 * stream has left, ST_UNAVAILABLE when tokens are missing: resume from
 * track->next.
 */
enum st_status
Sm_Finish(struct sm_track *track, int source, int64_t completion_tokens)
{
    if (source != track->source) {
        track->counts->stale++;
        return St_Fail(ST_CONFLICT, "the end comes from an endpoint that the "
                                    "stream has left; ignore it");
    }
    if (track->broken || track->next < completion_tokens) {
        track->counts->gaps += !track->broken;
        track->broken = true;
        return St_Fail(ST_UNAVAILABLE,
                       "%lld of %lld tokens have come; resume elsewhere",
                       (long long)track->next, (long long)completion_tokens);
    }
    return ST_OK;
}
