/*
 * At most once for the request path: claims an idempotency key through the
 * keeper of its slot, wherever that is, and records results.
 *
 * Any daemon may keep a slot; rendezvous hashing only says which should, so
 * that the claims of all daemons share one append.  When that daemon cannot
 * be reached the claim goes through this one.  The order of records in the
 * log decides in any case.
 */
#ifndef GATE_CLAIMS_H
#define GATE_CLAIMS_H

#include "gate/gate.h"
#include "platform/plog.h"
#include "state/keeper.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Code of a result that says: the outcome cannot be known.  Not an HTTP code.
 */
#define Gc_UNKNOWN_CODE 1000

struct gc_claims;
struct gc_wait;

/* Names a claim: one intent of one customer, and this try to win it. */
struct gc_key {
    struct cl_key key;
    char body_digest[Hash_DIGEST_HEX];
    uint64_t attempt; /* set by Gc_Claim() */
};

typedef void (*gc_done_fn)(void *arg, const struct kp_answer *answer);
typedef void (*gc_reply_fn)(void *arg, enum st_status status,
                            const char *payload, size_t len);

/* How the keepers of other daemons are reached. */
struct gc_ops {
    /* The daemon that should keep a slot; NULL: this one. */
    const char *(*keeper)(void *arg, int slot);
    /* Asks another daemon; "reply" comes exactly once, later. */
    enum st_status (*ask)(void *arg, const char *node, const char *payload,
                          size_t len, int64_t timeout_usec, gc_reply_fn reply,
                          void *reply_arg);
    /* Whether a daemon's run is known to have ended. */
    bool (*dead)(void *arg, const struct rc_writer *owner);
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
int Gc_SlotsKept(const struct gc_claims *claims);

enum st_status Gc_Claim(struct gc_claims *claims, struct gc_key *key,
                        int64_t deadline, gc_done_fn done, void *arg,
                        struct gc_wait **out);
void Gc_Cancel(struct gc_wait *wait);
void Gc_Result(struct gc_claims *claims, const struct gc_key *key,
               const struct cl_answer *answer);
void Gc_Unknown(struct gc_claims *claims, const struct gc_key *key);
void Gc_Release(struct gc_claims *claims, const struct gc_key *key);

/* Serves another daemon's question; "answer" is called once, later. */
typedef void (*gc_answer_fn)(void *arg, const char *payload, size_t len);
enum st_status Gc_Serve(struct gc_claims *claims, const char *payload,
                        size_t len, gc_answer_fn answer, void *arg);

#ifdef __cplusplus
}
#endif

#endif
