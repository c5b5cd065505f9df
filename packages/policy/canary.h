/*
 * Judges a new version of a service against the old one while it gets a small
 * share of the requests, and sets that share.  Pure.
 *
 * The versions are compared over the same time: in each window the old
 * version's rate of bad answers tells how many the new version would have
 * given there if it were as good.  What disturbed the old version at another
 * time excuses nothing.
 *
 * A version that looks worse, though not beyond chance, is a suspect: it gets
 * the small share only, until it is cleared or shown to be worse.  One that is
 * not shown to be as good is doubtful: it does not get all requests.  What it
 * does while the old version is disturbed shows neither: the two may fail for
 * different reasons.
 */
#ifndef POLICY_CANARY_H
#define POLICY_CANARY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

enum cy_side { CY_OLD, CY_NEW, CY_SIDES };

struct cy_count {
    uint32_t answers;
    uint32_t bad; /* failed, or slow, as the caller counts */
};

/* Answers of the new version. */
struct cy_tally {
    double answers;
    double bad;
    double expected; /* bad answers that the old version would have given */
};

/* How many of the worst windows are kept apart, so that they can be left out.
 */
#define Cy_LEFT_OUT 3

/* The answers of one window. */
struct cy_window {
    struct cy_count counts[CY_SIDES];
};

/* How many of the last windows are remembered one by one; one bit of a mask
   for each. */
#define Cy_WINDOWS 64

/* Answers of both versions, window by window. */
struct cy_evidence {
    struct cy_count at_start[CY_SIDES]; /* totals when the window began */
    struct cy_tally sum; /* of all windows that are over but the worst */
    struct cy_tally worst[Cy_LEFT_OUT]; /* the worst first */
    struct cy_window windows[Cy_WINDOWS];
};

/*
 * Ends a window; "totals" are the counts since the move began, "number" counts
 * the windows of the move from 0.
 */
void Cy_CloseWindow(struct cy_evidence *evidence, size_t number,
                    const struct cy_count totals[CY_SIDES]);
/* The windows in which the old version was far worse than usual. */
uint64_t Cy_DisturbedWindows(const struct cy_evidence *evidence);
/*
 * The remembered windows but those of the mask, compared with the old version
 * over the same windows together.
 */
struct cy_tally Cy_UndisturbedTally(const struct cy_evidence *evidence,
                                    uint64_t disturbed);
/*
 * All windows, the current one included, but the "left_out" worst of those
 * that are over; at most Cy_LEFT_OUT.
 */
struct cy_tally Cy_Tally(const struct cy_evidence *evidence,
                         const struct cy_count totals[CY_SIDES], int left_out);
/*
 * The windows that are over, without the Cy_LEFT_OUT worst ones: a pause of an
 * endpoint makes a series of answers slow whatever their version.
 */
struct cy_tally Cy_CalmTally(const struct cy_evidence *evidence);
void Cy_Add(struct cy_tally *to, const struct cy_tally *addend);
/* Whether the new version is worse beyond chance. */
bool Cy_IsWorse(const struct cy_tally *tally);
/* Whether the new version looks worse. */
bool Cy_IsSuspect(const struct cy_tally *tally);
/* Whether the new version may well be worse, so that it is not shown to be as
   good. */
bool Cy_IsDoubtful(const struct cy_tally *tally);

/* Shares are in thousandths of the requests. */
#define Cy_FULL_SHARE 1000

/* What the share of the new version depends on.  Times are microseconds. */
struct cy_progress {
    int64_t elapsed_usec; /* since the order */
    int64_t duration_usec;
    /* time that the old endpoints need to finish their requests */
    int64_t drain_usec;
    uint32_t answers;     /* of the new version */
    uint32_t all_answers; /* of both versions */
    /* good answers of the new version since it was last a suspect or doubtful,
       if it had all requests before */
    bool relapsed;
    uint32_t answers_since_relapse;
    bool suspect;
    bool doubtful;
    int old_usable; /* endpoints */
    int new_usable;
};

/* The share that the new version may have now, in thousandths. */
int Cy_Share(const struct cy_progress *progress);

/*
 * Spreads the share over the requests that are really sent, so that refused
 * requests do not raise it: each request sent earns a part of one request to
 * the new version.
 */
struct cy_pacer {
    double credit; /* requests that may go to the new version */
};

void Cy_PaceStart(struct cy_pacer *pacer, double random);
/* Whether the next request may go to the new version. */
bool Cy_PaceNew(const struct cy_pacer *pacer, int share);
/* A request was sent, to the new version or to the old one. */
void Cy_PaceSent(struct cy_pacer *pacer, int share, bool is_new);

#ifdef __cplusplus
}
#endif

#endif
