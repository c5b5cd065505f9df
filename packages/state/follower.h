/*
 * Follows one stream of the log and delivers its records in order, each offset
 * exactly once.  It never goes back to an earlier offset, even if the log
 * reports a shorter tail.
 */
#ifndef STATE_FOLLOWER_H
#define STATE_FOLLOWER_H

#include <stdbool.h>

#include "base/clock.h"
#include "platform/plog.h"
#include "state/record.h"
#include "state/sequences.h"

#ifdef __cplusplus
extern "C" {
#endif

struct fo_ops {
    /* Delivers a record.  Must not destroy the follower. */
    void (*record)(void *arg, const struct rc_record *record);
    /* A read reached the tail that the log reported.  May be NULL. */
    void (*tail)(void *arg);
    /*
     * The records before "oldest" have expired.  The follower reads no more
     * until Fo_Restart().
     */
    void (*expired)(void *arg, uint64_t oldest);
};

struct fo_options {
    struct pl_log *log;
    const char *stream;
    uint64_t from;
    int64_t poll_usec; /* interval of reads at the tail; 0: 500 ms */
    const struct ck_clock *clock;
    struct se_table *sequences; /* drops duplicates; NULL: delivers them */
    const struct fo_ops *ops;
    void *arg;
};

struct fo_follower;

enum st_status Fo_Create(const struct fo_options *options,
                         struct fo_follower **out);
void Fo_Destroy(struct fo_follower *follower);
void Fo_ReadNow(struct fo_follower *follower);
void Fo_SetPoll(struct fo_follower *follower, int64_t poll_usec);
void Fo_Restart(struct fo_follower *follower, uint64_t from);
void Fo_Tick(struct fo_follower *follower);
uint64_t Fo_Next(const struct fo_follower *follower);
bool Fo_AtTail(const struct fo_follower *follower, int64_t *sent_at);

#ifdef __cplusplus
}
#endif

#endif
