/*
 * Index bookkeeping of a stream.
 */
#include <bsd/string.h>
#include <string.h>

#include "policy/stream.h"

/*
 * Starts the bookkeeping of a request; its first dispatch is source 0.  The
 * counts may be shared by many streams.
 */
void
Sm_Start(struct sm_track *track, const char *request, struct sm_counts *counts)
{
    memset(track, 0, sizeof(*track));
    strlcpy(track->request, request, sizeof(track->request));
    track->counts = counts;
}

/*
 * Enters the event of one token and says whether to pass it on.  After a
 * switch the old endpoint may still send: its tokens and those of the new
 * one need not be the same text, so a token from the old one is dropped even
 * when its index is the next.  After a gap nothing of that source is passed
 * on: the caller would get an answer with a hole that looks whole.
 */
enum sm_take
Sm_Take(struct sm_track *track, int source, const char *request, int64_t index)
{
    if (strcmp(request, track->request) != 0) {
        track->counts->crossed++;
        return SM_CROSSED;
    }
    if (source != track->source) {
        track->counts->late++;
        return SM_LATE;
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
    track->counts->given++;
    return SM_GIVE;
}

/*
 * Makes a new dispatch, which goes on after "from" tokens, the only source.
 * ST_CONFLICT unless "from" is what the caller has been given: an exported
 * cache that is ahead needs the missing events first, one that is behind
 * would continue another text than the caller has.
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
 * Ends the stream.  ST_CONFLICT when the end comes from a source that was
 * left, ST_UNAVAILABLE when tokens are missing: resume from track->next.
 */
enum st_status
Sm_Finish(struct sm_track *track, int source, int64_t completion_tokens)
{
    if (source != track->source) {
        track->counts->late++;
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
