/*
 * Poison requests: finds the prompt part, or the request as a whole, that
 * crashes the endpoints which answer it, so that requests with this part, or
 * repeats of this request, can be refused.  The functions do no I/O and read
 * no clock; the caller passes the true time, which is the same on all hosts.
 *
 * A prompt is a sequence of parts, each known by its hash.  A crash is the end
 * of an endpoint before the first event of a request's answer.  It implicates
 * all parts of the request.  The first event of an answer clears all parts of
 * its request.  Hosts gossip both.
 *
 * A part is quarantined, that is, requests with it are refused, when
 *  - a chain of endpoints crashed, each of which was sent a request with the
 *    part after the crash before,
 *  - no request with the part was answered on any host since, and
 *  - other requests were answered meanwhile.
 * A crash that a quarantined part explains no longer implicates other parts.
 * If several parts qualify, the one with the fewest answers is quarantined;
 * among these the one with the longest chain, then the deepest one in the
 * prompt, which the fewest requests have.
 *
 * A request as a whole is known by a hash of its content, which its repeats
 * have in common.  Any crash before the end of its answer implicates it; only
 * a whole answer clears it.  It needs fewer crashes than a part, since nobody
 * else loses by its quarantine, and its crashes explain no part's.
 *
 * A part is quarantined for the customer that sent it, since callers choose
 * the parts of their prompts, and no customer may get another one's requests
 * refused.  When a part crashes endpoints in requests of several customers, it
 * is quarantined for all of them.
 */
#ifndef POLICY_POISON_H
#define POLICY_POISON_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"

#ifdef __cplusplus
extern "C" {
#endif

struct pz_key {
    uint32_t service;
    /* Never 0 in a request; 0 in a quarantine: all customers. */
    uint32_t customer;
    uint32_t part;
};

#define Pz_CONTENT (-1)

/* An endpoint crashed while a request with the part waited for its answer. */
struct pz_crash {
    struct pz_key key;
    uint32_t endpoint; /* identifies one start of the endpoint */
    uint32_t request;  /* the same for all retries of a request */
    /* index of the part in the prompt, from 0; Pz_CONTENT: no part, but the
       request as a whole */
    int depth;
    bool head_received; /* the answer's headers had come, but no event */
    /* The connection led through a peer, which may have failed instead, so
       silence confirms nothing; not gossiped. */
    bool relayed;
    int64_t sent_at;
    int64_t ended_at;
};

/* A request with the part was answered. */
struct pz_clear {
    struct pz_key key;
    int64_t at;
};

/*
 * A hold is a short quarantine: as many endpoints crashed under a request as a
 * quarantine takes, but something else may explain it.
 */
struct pz_quarantine {
    struct pz_key key;
    int64_t decided_at;   /* time of the last crash of its chain */
    int64_t requested_at; /* last request with the part; Pz_HOLD: a hold */
};

#define Pz_HOLD 0
/*
 * Also in place of the time of the last request, in what is kept over a
 * restart of all hosts: a doubt.  Two endpoints crashed under the request, the
 * last one at "decided_at"; it is not stopped yet.
 */
#define Pz_DOUBT 1

/* Largest number of quarantines. */
#define Pz_QUARANTINES_MAX 64
/*
 * No endpoint restarts within this time after a crash, so an earlier sign of
 * life shows that the endpoint did not crash.
 */
#define Pz_RESTART_MIN_USEC (1500 * Ck_USEC_PER_MSEC)
/* A quarantine expires when no request with the part came for this long. */
#define Pz_QUARANTINE_TTL_USEC (600 * Ck_USEC_PER_SEC)
/* How long a hold lasts after the last crash. */
#define Pz_HOLD_TTL_USEC (60 * Ck_USEC_PER_SEC)
/* How long a doubt is worth keeping. */
#define Pz_DOUBT_TTL_USEC (60 * Ck_USEC_PER_SEC)

#define Pz_PARTS_MAX 32

/* The last part of a prompt, which no other request has, is left out. */
struct pz_request {
    uint32_t service;
    uint32_t customer;
    uint32_t id;      /* the same for all retries of a request */
    uint32_t content; /* hash of what its repeats share; 0: not known */
    uint32_t parts[Pz_PARTS_MAX];
    size_t count;
};

/* Conditions for a quarantine; 0 and false switch a condition off. */
struct pz_rule {
    int crashes_after_head; /* crashes after the headers of an answer */
    int crashes;            /* crashes at any time before the first event */
    int content_crashes;   /* the same of one request, during its answer too */
    int answered_factor;   /* multiplies both for a part answered before */
    int requests;          /* distinct requests: one may have been a victim */
    int other_answers;     /* other requests answered meanwhile */
    bool in_sequence;      /* each request was sent after the crash before */
    bool explain_crashes;  /* a quarantined part explains a crash */
    bool silence_confirms; /* no sign of life for a while confirms a crash */
    int64_t startup_grace_usec; /* no decision this soon after the start */
};

struct pz_rule Pz_DefaultRule(void);

struct pz_ops {
    /*
     * This host or, if "from_peer", another one put a part in quarantine.
     * "crashes" is the length of the chain; 0 if the quarantine is a peer's.
     */
    void (*quarantined)(void *arg, const struct pz_quarantine *quarantine,
                        int crashes, bool from_peer);
    /* A quarantine was lifted. */
    void (*lifted)(void *arg, const struct pz_quarantine *quarantine,
                   const char *why);
    /*
     * A second endpoint crashed under a request of this host; NULL if nobody
     * keeps doubts.
     */
    void (*doubted)(void *arg, const struct pz_quarantine *doubt);
};

struct pz_table;

struct pz_table *Pz_Create(const struct pz_rule *rule,
                           const struct pz_ops *ops, void *arg, int64_t now);
void Pz_Destroy(struct pz_table *table);

/* The first event of an answer arrived. */
void Pz_NoteAnswer(struct pz_table *table, const struct pz_request *request,
                   int64_t now);
/* The whole answer arrived. */
void Pz_NoteWholeAnswer(struct pz_table *table,
                        const struct pz_request *request, int64_t now);
/*
 * The connection of a request broke before the end of the answer; "begun": the
 * first event had arrived, which clears the parts.
 */
void Pz_NoteCrash(struct pz_table *table, const struct pz_request *request,
                  const struct pz_crash *crash, bool begun);
/*
 * Whether any crash or quarantine is known; if not, the content of a request
 * need not be hashed to ask about it.
 */
bool Pz_IsEmpty(const struct pz_table *table);
/*
 * A connection may break although its endpoint is alive.  A crash is counted,
 * and gossiped, once the endpoint is known to have crashed or has shown no
 * sign of life for a while.  Pz_NoteAlive() records a sign of life at "at".
 */
void Pz_NoteAlive(struct pz_table *table, uint32_t endpoint, int64_t at);
/* The endpoint lives: drops its crashes that are not confirmed. */
void Pz_DropUnconfirmed(struct pz_table *table, uint32_t endpoint);
/* The endpoint is known to have crashed. */
void Pz_ConfirmDead(struct pz_table *table, uint32_t endpoint);
/*
 * The quarantine that forbids sending the request, valid until the next call;
 * NULL if the request may be sent.
 */
const struct pz_quarantine *Pz_FindQuarantine(struct pz_table *table,
                                              const struct pz_request *request,
                                              int64_t now);
/* The same, but does not prolong the quarantine. */
const struct pz_quarantine *
Pz_PeekQuarantine(struct pz_table *table, const struct pz_request *request);
/*
 * Whether the request must not be sent to another endpoint, because it is in
 * quarantine, or one of its parts that was never answered has crashed several
 * endpoints already.
 */
bool Pz_DeniesRetry(const struct pz_table *table,
                    const struct pz_request *request, int64_t now);
/* For how long a request that a quarantine forbids need not come again. */
int64_t Pz_RetryUsec(const struct pz_quarantine *quarantine, int64_t now);
/*
 * Decides which parts to quarantine.  To be called after changes and
 * periodically, since with time unconfirmed crashes begin to count and
 * quarantines expire.
 */
void Pz_Evaluate(struct pz_table *table, int64_t now);

/* Which crashes to export: of parts, of whole requests, or both. */
enum pz_sort {
    PZ_PARTS,
    PZ_CONTENTS,
    PZ_BOTH,
};
/*
 * Rows to gossip, at most "rows_max" of each kind; crashes and quarantines
 * with the newest first.
 */
size_t Pz_ExportCrashes(const struct pz_table *table, enum pz_sort sort,
                        struct pz_crash *out, size_t rows_max, int64_t now);
size_t Pz_ExportClears(const struct pz_table *table, struct pz_clear *out,
                       size_t rows_max, int64_t now);
size_t Pz_ExportQuarantines(const struct pz_table *table,
                            struct pz_quarantine *out, size_t rows_max);
/* Rows received from other hosts. */
void Pz_ImportCrash(struct pz_table *table, const struct pz_crash *crash);
void Pz_ImportClear(struct pz_table *table, const struct pz_clear *clear);
void Pz_ImportQuarantine(struct pz_table *table,
                         const struct pz_quarantine *quarantine, int64_t now);
/* A doubt of before the start of this host. */
void Pz_ImportDoubt(struct pz_table *table, const struct pz_quarantine *doubt,
                    int64_t now);
/* Lifts the quarantines of a service, for instance when its version changes.
 */
void Pz_LiftService(struct pz_table *table, uint32_t service, const char *why,
                    int64_t now);

#ifdef __cplusplus
}
#endif

#endif
