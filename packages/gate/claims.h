/*
 * At-most-once execution: claims an idempotency key in the log before the
 * request is sent, and records the result for retries under the same key.
 *
 * Keys are hashed to slots.  Rendezvous hashing assigns each slot to one
 * daemon, which batches the claims of all daemons into one append.  The
 * assignment is only an optimisation: when the assigned daemon cannot be
 * reached, this daemon appends the claim itself.  The order of records in the
 * log decides which claim wins.
 */
#ifndef GATE_CLAIMS_H
#define GATE_CLAIMS_H

#include "gate/gate.h"
#include "platform/plog.h"
#include "state/keeper.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Code of a recorded result whose outcome is unknown; not an HTTP status. */
#define Gc_UNKNOWN_CODE 1000

struct gc_claims;
struct gc_wait;

/* Identifies a claim: the customer's idempotency key and the attempt. */
struct gc_key {
    struct cl_key key;
    char body_digest[Hash_DIGEST_HEX];
    uint64_t attempt; /* set by Gc_Claim() */
};

typedef void (*gc_done_fn)(void *arg, const struct kp_answer *answer);
typedef void (*gc_reply_fn)(void *arg, enum st_status status,
                            const char *payload, size_t len);

/* Access to the other daemons. */
struct gc_ops {
    /* The daemon that a slot is assigned to; NULL: this daemon. */
    const char *(*assigned_node)(void *arg, int slot);
    /*
     * Sends a request to another daemon.  On ST_OK "reply" is called exactly
     * once, after this function has returned.
     */
    enum st_status (*send)(void *arg, const char *node, const char *payload,
                           size_t len, int64_t timeout_usec, gc_reply_fn reply,
                           void *reply_arg);
    /* Whether the daemon process that made a claim is known to have ended. */
    bool (*has_ended)(void *arg, const struct rc_writer *owner);
};

struct gc_options {
    struct gt_gate *gate;
    struct pl_log *log;
    struct bg_budget *budget;
    struct rc_writer self;
    const struct gc_ops *ops;
    void *arg;
};

enum st_status Gc_Create(const struct gc_options *options,
                         struct gc_claims **out);
void Gc_Destroy(struct gc_claims *claims);
void Gc_Tick(struct gc_claims *claims);
bool Gc_Idle(const struct gc_claims *claims);
int Gc_AssignedSlots(const struct gc_claims *claims);

enum st_status Gc_Claim(struct gc_claims *claims, struct gc_key *key,
                        int64_t deadline, gc_done_fn done, void *arg,
                        struct gc_wait **out);
void Gc_Cancel(struct gc_wait *wait);
void Gc_Result(struct gc_claims *claims, const struct gc_key *key,
               const struct cl_answer *answer);
void Gc_Unknown(struct gc_claims *claims, const struct gc_key *key);
void Gc_Release(struct gc_claims *claims, const struct gc_key *key);

/* Sends the reply to a request of another daemon; called once. */
typedef void (*gc_answer_fn)(void *arg, const char *payload, size_t len);
enum st_status Gc_Serve(struct gc_claims *claims, const char *payload,
                        size_t len, gc_answer_fn answer, void *arg);

#ifdef __cplusplus
}
#endif

#endif
