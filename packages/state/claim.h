/*
 * The table of claims of one stream.  A claim is the record by which a daemon
 * reserves an idempotency key before it dispatches the request: the first
 * claim of a key in log order wins, so the request runs at most once.  The
 * table depends on the records alone: the same records in the same order give
 * the same verdicts on every daemon.
 */
#ifndef STATE_CLAIM_H
#define STATE_CLAIM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/hash.h"
#include "state/record.h"

#ifdef __cplusplus
extern "C" {
#endif

#define Cl_SLOTS 16
#define Cl_CUSTOMER_MAX 48
#define Cl_TYPE_MAX 64
#define Cl_BODY_MAX ((size_t)8 << 10) /* larger: digest only */
#define Cl_CLAIM "claim"
#define Cl_RESULT "result"
#define Cl_RELEASE "release"

/* Identifies one request of a customer, including its retries. */
struct cl_key {
    char customer[Cl_CUSTOMER_MAX];
    char digest[Hash_DIGEST_HEX]; /* digest of the idempotency key */
};

/*
 * One attempt to win a key.  The owner numbers its attempts and never reuses a
 * number, so a second attempt of the same owner is a separate claim.
 */
struct cl_attempt {
    struct rc_writer owner; /* the daemon that dispatches if it wins */
    uint64_t number;
};

struct cl_claim {
    struct cl_key key;
    struct cl_attempt attempt;
    char body_digest[Hash_DIGEST_HEX];
    int64_t wall_ms; /* the owner's calendar time */
    /*
     * Calendar time after which a claim without a result has an unknown
     * outcome.
     */
    int64_t expires_ms;
};

/* The answer of the request that ran; retries get the same answer. */
struct cl_answer {
    int code;
    char type[Cl_TYPE_MAX];
    char digest[Hash_DIGEST_HEX]; /* digest of the complete body */
    const void *body;
    size_t len;
    bool truncated; /* the body is not kept */
};

enum cl_verdict {
    CL_NONE,        /* no claim holds the key */
    CL_WON,         /* this claim holds the key: only its owner may dispatch */
    CL_IN_PROGRESS, /* another claim holds the key and has no result */
    CL_DONE,        /* the request has run and its answer is kept */
    CL_REUSED,      /* the key was used with another request body */
    CL_FULL,        /* the table is full; the claim is not recorded */
};

struct cl_outcome {
    enum cl_verdict verdict;
    struct cl_attempt holder; /* for CL_WON and CL_IN_PROGRESS */
    int64_t expires_ms;       /* expiry of the holder's claim */
    struct cl_answer answer;  /* for CL_DONE; valid until the next record */
};

struct cl_options {
    int64_t window_ms;  /* how long a key is kept; 0: 24 hours */
    size_t max_entries; /* number of keys kept; 0: 20000 */
    size_t max_bodies;  /* total bytes of kept bodies; 0: 4 MiB */
};

struct cl_table;

struct cl_table *Cl_Create(const struct cl_options *options);
void Cl_Destroy(struct cl_table *table);
void Cl_Reset(struct cl_table *table);
void Cl_Apply(struct cl_table *table, const struct rc_record *record,
              struct cl_outcome *out);
void Cl_Load(struct cl_table *table, const json_t *entry);

void Cl_Lookup(const struct cl_table *table, const struct cl_key *key,
               const char *body_digest, struct cl_outcome *out);
size_t Cl_Count(const struct cl_table *table);
size_t Cl_BodyBytes(const struct cl_table *table);
json_t *Cl_Save(const struct cl_table *table);
void Cl_ForEach(const struct cl_table *table,
                void (*emit)(void *arg, json_t *entry), void *arg);

int Cl_Slot(const struct cl_key *key);
bool Cl_SameAttempt(const struct cl_attempt *a, const struct cl_attempt *b);

/* Bodies of the claim, result and release records; NULL if out of memory. */
json_t *Cl_ClaimBody(const struct cl_claim *claim);
json_t *Cl_ResultBody(const struct cl_key *key,
                      const struct cl_attempt *attempt,
                      const struct cl_answer *answer);
json_t *Cl_ReleaseBody(const struct cl_key *key,
                       const struct cl_attempt *attempt);
void Cl_ReadKey(const json_t *body, struct cl_key *out);
void Cl_ReadAttempt(const json_t *body, struct cl_attempt *out);
void Cl_ReadClaim(const json_t *body, struct cl_claim *out);
bool Cl_ReadAnswer(const json_t *body, struct cl_answer *out, void **bytes);

#ifdef __cplusplus
}
#endif

#endif
