/*
 * Keeps claim slots: gathers the claims of all daemons for a slot into one
 * append each interval and answers each from the table once its record was
 * read back.  Two daemons may keep the same slot at once; the order of
 * records in the log decides between them.
 *
 * What the caller of this module must do, as the owner of its attempts:
 * dispatch only on KP_WON, at once and once; give every try of every request
 * an attempt number of its own; and call Kp_Release() for an attempt whose
 * KP_WON comes after the owner has given that attempt up.
 */
#ifndef STATE_KEEPER_H
#define STATE_KEEPER_H

#include <stdbool.h>
#include <stddef.h>

#include "base/clock.h"
#include "platform/plog.h"
#include "state/budget.h"
#include "state/claim.h"

#ifdef __cplusplus
extern "C" {
#endif

enum kp_verdict {
    KP_WON,         /* dispatch, once */
    KP_DONE,        /* repeat the kept answer */
    KP_IN_PROGRESS, /* another request with this key is running */
    KP_REUSED,      /* the key belongs to another body */
    KP_UNKNOWN,     /* an earlier request may have run; never run it again */
    KP_NOT_RUN,     /* nothing was won; see the reason */
};

struct kp_answer {
    enum kp_verdict verdict;
    const struct cl_answer *answer; /* for KP_DONE, during the callback */
    const char *reason;             /* for KP_NOT_RUN: names the remedy */
};

/* Called once, never from within Kp_Claim(). */
typedef void (*kp_claim_fn)(void *arg, const struct kp_answer *answer);

/* "written" is false when the keeper was destroyed before it was certain. */
typedef void (*kp_done_fn)(void *arg, bool written);

struct kp_options {
    struct pl_log *log;
    const struct ck_clock *clock;
    struct rc_writer self;
    struct bg_budget *budget; /* the keeper sets its rate for claims */
    double appends_per_slot;  /* a second; 0: 12 */
    int64_t batch_usec;       /* claims gathered into one append; 0: 20 ms */
    int64_t claim_usec;       /* longest wait for a verdict; 0: 2 s */
    int64_t snapshot_usec;    /* see snapshot.h; 0: 10 minutes */
    uint64_t snapshot_records;
    struct cl_options table;
    /* Whether a daemon's run is known to have ended.  May be NULL. */
    bool (*dead)(void *arg, const struct rc_writer *owner);
    void *dead_arg;
};

struct kp_keeper;

enum st_status Kp_Create(const struct kp_options *options,
                         struct kp_keeper **out);
void Kp_Destroy(struct kp_keeper *keeper);
void Kp_Tick(struct kp_keeper *keeper);

enum st_status Kp_Open(struct kp_keeper *keeper, int slot);
void Kp_Close(struct kp_keeper *keeper, int slot);
enum st_status Kp_Claim(struct kp_keeper *keeper, const struct cl_claim *claim,
                        int64_t deadline, kp_claim_fn done, void *arg);
enum st_status Kp_Result(struct kp_keeper *keeper, const struct cl_key *key,
                         const struct cl_attempt *attempt,
                         const struct cl_answer *answer, kp_done_fn done,
                         void *arg);
enum st_status Kp_Release(struct kp_keeper *keeper, const struct cl_key *key,
                          const struct cl_attempt *attempt, kp_done_fn done,
                          void *arg);

bool Kp_IsOpen(const struct kp_keeper *keeper, int slot);
bool Kp_IsReady(const struct kp_keeper *keeper, int slot);
size_t Kp_Pending(const struct kp_keeper *keeper);
size_t Kp_Keys(const struct kp_keeper *keeper);

#ifdef __cplusplus
}
#endif

#endif
