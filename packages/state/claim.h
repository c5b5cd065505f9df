/*
 * The claims of one stream, by which a request with an idempotency key runs
 * at most once: the first claim in log order wins.  A pure table: the same
 * records in the same order give the same verdicts on every daemon.
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
#define Cl_BODY_MAX ((size_t)8 << 10) /* larger answers are kept as digest */
#define Cl_CLAIM "claim"
#define Cl_RESULT "result"
#define Cl_RELEASE "release"

/* What names one intent of a customer. */
struct cl_key {
    char customer[Cl_CUSTOMER_MAX];
    char digest[Hash_DIGEST_HEX]; /* of the idempotency key */
};

/*
 * One try to win a key.  The owner numbers its attempts and never uses a
 * number twice: a second attempt of the same owner is one more claim.
 */
struct cl_attempt {
    struct rc_writer owner; /* the daemon that would dispatch */
    uint64_t number;
};

struct cl_claim {
    struct cl_key key;
    struct cl_attempt attempt;
    char body_digest[Hash_DIGEST_HEX];
    int64_t wall_ms;    /* the owner's calendar time */
    int64_t expires_ms; /* calendar time after which, without a result, the
                           outcome is called unknown */
};

/* The first answer, as it is repeated. */
struct cl_answer {
    int code;
    char type[Cl_TYPE_MAX];
    char digest[Hash_DIGEST_HEX]; /* of the whole body */
    const void *body;
    size_t len;
    bool truncated; /* the body was too large to be kept */
};

enum cl_verdict {
    CL_NONE,        /* nobody holds the key */
    CL_WON,         /* this claim holds it: its owner alone may dispatch */
    CL_IN_PROGRESS, /* another claim holds it and has no result yet */
    CL_DONE,        /* there is a kept answer */
    CL_REUSED,      /* the key was used with another body */
    CL_FULL,        /* the table is at its bound; the claim does not count */
};

struct cl_outcome {
    enum cl_verdict verdict;
    struct cl_attempt holder; /* for CL_WON and CL_IN_PROGRESS */
    int64_t expires_ms;       /* of the holder's claim */
    struct cl_answer answer;  /* for CL_DONE; valid until the next record */
};

struct cl_options {
    int64_t window_ms;  /* how long a key is remembered; 0: 24 hours */
    size_t max_entries; /* 0: 20000 */
    size_t max_bodies;  /* bytes of kept bodies; 0: 4 MiB */
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
void Cl_Each(const struct cl_table *table,
             void (*emit)(void *arg, json_t *entry), void *arg);

int Cl_Slot(const struct cl_key *key);
bool Cl_SameAttempt(const struct cl_attempt *a, const struct cl_attempt *b);

/* Bodies of the three kinds of record; NULL without memory. */
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
