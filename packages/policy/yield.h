/*
 * Decides who gives up what a host holds for callers once its bound is met:
 * memory for requests and answers, and descriptors.  Pure.
 */
#ifndef POLICY_YIELD_H
#define POLICY_YIELD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* What all connections of callers may take together. */
struct yd_bound {
    size_t bytes;
    size_t connections;
};

enum yd_phase {
    YD_IDLE,    /* without a byte of a request */
    YD_READING, /* with a part of a request */
    YD_SERVING, /* with a whole request, until its answer has been given */
    YD_ENDING,  /* answered for the last time, and not closed yet */
};

/* One connection. */
struct yd_holder {
    enum yd_phase phase;
    bool served;       /* has had an answer before */
    int64_t since;     /* start of the phase, microseconds */
    int64_t moved_at;  /* when its request last got on */
    size_t received;   /* bytes of it since then */
    size_t bytes;      /* all that is held for it */
    size_t unread;     /* of an answer, that the caller has not taken */
    int64_t unread_at; /* since when there are such bytes */
    size_t queued;     /* the same, taken by the kernel */
    int64_t queued_at;
};

/* The bound of a host with that memory and that many descriptors. */
struct yd_bound Yd_Bound(int64_t memory_bytes, size_t files);

/*
 * Whether "all" bytes, with what is asked for, are within the bound, when
 * "own" of them are of the connection that asks.
 */
bool Yd_Fits(const struct yd_bound *bound, size_t all, size_t own);

/*
 * Notes bytes of a request.  It gets on by a part of its size: a byte now and
 * then moves nothing.
 */
void Yd_NoteReceived(struct yd_holder *holder, size_t len, int64_t now);

/*
 * Whether so much is held that what the kernel holds as well is to be counted,
 * which costs system calls for each connection.
 */
bool Yd_CountsQueues(const struct yd_bound *bound, size_t all,
                     size_t connections);

/*
 * Ranks the connections by what they have to give up: the one with the highest
 * value yields first, and none below 0 does.
 */
typedef double (*yd_rank_fn)(const struct yd_holder *holder, int64_t now);

/* For memory. */
double Yd_RankBytes(const struct yd_holder *holder, int64_t now);
/* For a descriptor. */
double Yd_RankConnection(const struct yd_holder *holder, int64_t now);

#ifdef __cplusplus
}
#endif

#endif
