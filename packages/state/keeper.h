/*
 * Decides claims for the claim slots that this daemon keeps.  A keeper
 * collects the claims of all daemons for a slot and appends them to the slot's
 * stream in one batch per interval.  It answers each claim from the table
 * after the claim's record was read back.  Two daemons may keep the same slot
 * at the same time; the order of the records in the log decides between them.
 *
 * Requirements on the owner of an attempt: it dispatches only on KP_WON, at
 * once and only once; it uses a new attempt number for every try of every
 * request; and it calls Kp_Release() for an attempt whose KP_WON arrives after
 * the owner has abandoned that attempt.
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
    KP_WON,         /* dispatch the request, once */
    KP_DONE,        /* return the kept answer */
    KP_IN_PROGRESS, /* another request with this key is running */
    KP_REUSED,      /* the key was used with another request body */
    KP_UNKNOWN,     /* an earlier request may have run; never dispatch */
    KP_NOT_RUN,     /* the claim was not won; see the reason */
};

struct kp_answer {
    enum kp_verdict verdict;
    const struct cl_answer *answer; /* for KP_DONE, during the callback */
    const char *reason;             /* for KP_NOT_RUN: what to do */
};

/* Called exactly once, and not from within Kp_Claim(). */
typedef void (*kp_claim_fn)(void *arg, const struct kp_answer *answer);

/*
 * "written" is false if the keeper was destroyed before the record was known
 * to be in the log.
 */
typedef void (*kp_done_fn)(void *arg, bool written);

struct kp_options {
    struct pl_log *log;
    const struct ck_clock *clock;
    struct rc_writer self;
    struct bg_budget *budget; /* the keeper sets the rate of claims */
    double appends_per_slot;  /* per second; 0: 12 */
    int64_t batch_usec;       /* how long claims are batched; 0: 20 ms */
    int64_t claim_usec;       /* time-out of a claim; 0: 2 s */
    int64_t snapshot_usec;    /* see snapshot.h; 0: 10 minutes */
    uint64_t snapshot_records;
    struct cl_options table;
    /* Whether a daemon's process is known to have ended.  May be NULL. */
    bool (*owner_ended)(void *arg, const struct rc_writer *owner);
    void *owner_ended_arg;
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
